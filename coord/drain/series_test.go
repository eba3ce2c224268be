package drain_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/lotuswing/lotuswing/coord/drain"
	"gotest.tools/v3/assert"
)

// Times of the simulated fleets.
const (
	restartTime   = 500 * time.Millisecond
	askPeriod     = time.Second // of the platform's balancer
	callersEach   = 8           // callers for each balancer
	sendPeriod    = 400 * time.Millisecond
	requestTime   = 750 * time.Millisecond
	slowShare     = 0.03 // of the requests, which take slowFactor times as long
	slowFactor    = 7
	requestLimit  = 8 * time.Second
	seriesSpacing = 400 * time.Millisecond
	simulatedTime = 60 * time.Second
)

// seriesFleet is a simulated fleet whose balancers are stopped one after the other.
type seriesFleet struct {
	rng    *rand.Rand
	now    time.Time
	events events
	stops  []drain.Plan // by balancer; zero while it runs
	down   []bool
	misses []int // readiness checks missed in a row
	tally  map[string]int
}

// event is something that happens at a time.
type event struct {
	at time.Time
	do func()
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func (f *seriesFleet) after(d time.Duration, do func()) {
	heap.Push(&f.events, event{f.now.Add(d), do})
}

// stop stops a balancer, which starts again when it has ended.
func (f *seriesFleet) stop(i int) {
	if f.stops[i].Stopping() || f.down[i] {
		return
	}
	f.stops[i] = drain.NewPlan(f.now, drain.Times{Notice: 3 * time.Second, Limit: time.Hour, Grace: 6 * time.Second})
	f.after(f.stops[i].EndsAt().Sub(f.now), func() {
		f.down[i], f.stops[i] = true, drain.Plan{}
		f.after(restartTime, func() { f.down[i] = false })
	})
}

// check is one readiness check of a balancer.
func (f *seriesFleet) check(i int) {
	f.misses[i]++
	if !f.down[i] && !f.stops[i].Stopping() {
		f.misses[i] = 0
	}
	f.after(askPeriod, func() { f.check(i) })
}

// connect chooses a balancer for a new connection, as the platform's balancer does.
func (f *seriesFleet) connect() int {
	for range 100 {
		i := f.rng.IntN(len(f.stops))
		if f.misses[i] < 2 && !f.down[i] && f.stops[i].Action(drain.Connection, f.now) == drain.Serve {
			f.tally["connections"]++
			return i
		}
		f.tally["tries"]++
	}
	f.tally["unconnected"]++
	return f.rng.IntN(len(f.stops))
}

// kept is a connection of a caller.
type kept struct {
	balancer int
	plan     drain.Plan // of the stop that it has met
	inFlight int
	sealed   bool      // a response has closed it
	last     time.Time // when its last response begins; responses go back in the order of the requests
}

// usable reports whether a request can be sent on a connection.
func (f *seriesFleet) usable(k *kept) bool {
	if !k.plan.Stopping() {
		k.plan = f.stops[k.balancer]
	}
	return !k.sealed && (k.inFlight > 0 || k.plan.Action(drain.Idle, f.now) == drain.Serve)
}

// send sends the next request of a caller, which does not wait for responses, and draws when it sends
// another one.
func (f *seriesFleet) send(k *kept) {
	k = f.request(k, false)
	f.after(time.Duration(f.rng.ExpFloat64()*float64(sendPeriod)), func() { f.send(k) })
}

// request sends a request and returns the connection that took it; again says that its last try was
// refused.
func (f *seriesFleet) request(k *kept, again bool) *kept {
	if !f.usable(k) {
		balancer := f.connect()
		k = &kept{balancer: balancer, plan: f.stops[balancer]}
	}
	if !k.plan.AcceptsRequest(f.now.Add(requestLimit), f.now) {
		f.tally["refused"]++
		if again {
			f.tally["refused twice"]++
		}
		k.sealed = true
		return f.request(k, true)
	}
	takes := requestTime
	if f.rng.Float64() < slowShare {
		takes *= slowFactor
	}
	k.inFlight++
	late := k.plan.Phase(f.now) > drain.Notice
	f.after(takes, func() { f.ended(k, late) })
	if end := f.now.Add(takes); end.After(k.last) {
		k.last = end
	}
	f.after(k.last.Sub(f.now), func() { f.respond(k) })
	return k
}

// ended notes that an endpoint has ended a request.
func (f *seriesFleet) ended(k *kept, sentLate bool) {
	f.usable(k) // learns of a stop
	switch {
	case k.plan.Phase(f.now) < drain.Ending:
		f.tally["served"]++
	case sentLate:
		f.tally["given up after the notice"]++
	default:
		f.tally["given up"]++
	}
}

// respond sends the response of a request, with which its connection ends in a stop.
func (f *seriesFleet) respond(k *kept) {
	f.usable(k)
	k.inFlight--
	k.sealed = k.sealed || k.plan.Stopping()
}

// run stops most balancers one after the other, several at once in a large fleet so that the series takes
// as long, and returns what became of the requests.
func runSeries(size int, seed uint64) map[string]int {
	f := &seriesFleet{
		rng: rand.New(rand.NewPCG(seed, 1)), now: start, stops: make([]drain.Plan, size), down: make([]bool, size),
		misses: make([]int, size), tally: map[string]int{},
	}
	for i := range size {
		f.after(time.Duration(f.rng.Int64N(int64(askPeriod))), func() { f.check(i) })
		for range callersEach {
			f.after(time.Duration(f.rng.Int64N(int64(time.Second))), func() { f.send(&kept{balancer: f.connect()}) })
		}
	}
	const most = 0.9
	perStep := max(1, size/100)
	for n, i := range f.rng.Perm(size)[:int(most*float64(size))] {
		f.after(5*time.Second+time.Duration(n/perStep)*seriesSpacing, func() { f.stop(i) })
	}
	for f.events.Len() > 0 {
		next := heap.Pop(&f.events).(event)
		if next.at.After(start.Add(simulatedTime)) {
			break
		}
		f.now = next.at
		next.do()
	}
	return f.tally
}

func TestSeriesOfStopsLosesNothing(t *testing.T) {
	for _, size := range []int{30, 300, 984} {
		t.Run(fmt.Sprintf("%d balancers", size), func(t *testing.T) {
			tally := runSeries(size, 1)
			t.Logf("%v", tally)
			assert.Assert(t, tally["served"] > 0)
			assert.Equal(t, tally["given up after the notice"], 0)
			assert.Equal(t, tally["unconnected"], 0)
			assert.Assert(t, tally["refused twice"] == 0, "callers go from one balancer that stops to another")
		})
	}
}
