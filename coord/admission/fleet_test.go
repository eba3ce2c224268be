package admission_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/lotuswing/lotuswing/coord/admission"
	"gotest.tools/v3/assert"
)

// The simulated fleets compare ways to return to an endpoint after its backoff. Time goes in steps,
// in which balancers do not see what others send.

const (
	step      = 5 * time.Millisecond
	workSteps = 18 // of a request
	slots     = 3
	spare     = 2 // requests that wait at an endpoint
	attempts  = 2
)

// way is one way to return: what a balancer keeps of an endpoint, and when a request may go there.
type way interface {
	asked(d time.Duration, now time.Time) way
	sent(now time.Time) way
	ran(sent, now time.Time) way
	opens(lot float64, now time.Time) time.Time // not after now where the request may go
	hinted(d time.Duration, now time.Time) way
	deferred(lot float64, now time.Time) bool
}

// unheard is a way that hears of no backoff of others.
type unheard struct{}

func (unheard) deferred(float64, time.Time) bool { return false }

// slowly is the rule of the package.
type slowly struct{ admission.State }

func (s slowly) asked(d time.Duration, now time.Time) way {
	return slowly{s.With(admission.Word{Backoff: d}, now)}
}
func (s slowly) sent(now time.Time) way    { return slowly{s.WithSent(now)} }
func (s slowly) ran(sent, _ time.Time) way { return slowly{s.WithRun(sent)} }
func (s slowly) opens(lot float64, now time.Time) time.Time {
	return now.Add(admission.Decide(admission.Facts{Usable: true, State: s.State, Lot: lot}, now).OpensIn)
}

func (s slowly) hinted(d time.Duration, now time.Time) way { return slowly{s.WithHint(d, now)} }
func (s slowly) deferred(lot float64, now time.Time) bool {
	return admission.Decide(admission.Facts{Usable: true, State: s.State, Lot: lot}, now).Deferred
}

// atOnce sends as before from the end of the backoff.
type atOnce struct {
	unheard
	until time.Time
}

func (a atOnce) asked(d time.Duration, now time.Time) way     { return atOnce{until: now.Add(d)} }
func (a atOnce) sent(time.Time) way                           { return a }
func (a atOnce) ran(time.Time, time.Time) way                 { return a }
func (a atOnce) hinted(time.Duration, time.Time) way          { return a }
func (a atOnce) opens(_ float64, now time.Time) (t time.Time) { return latest(now, a.until) }

// growing sends one request at a time, twice as many after each that ran.
type growing struct {
	unheard
	until        time.Time
	most, flying int
}

func (g growing) asked(d time.Duration, now time.Time) way {
	return growing{until: now.Add(d), most: 1, flying: max(0, g.flying-1)}
}
func (g growing) sent(time.Time) way                  { g.flying++; return g }
func (g growing) hinted(time.Duration, time.Time) way { return g }
func (g growing) ran(time.Time, time.Time) way {
	g.most, g.flying = min(2*g.most, 1<<10), max(0, g.flying-1)
	return g
}

func (g growing) opens(_ float64, now time.Time) time.Time {
	if !g.until.IsZero() && g.flying >= g.most {
		return latest(now.Add(step), g.until)
	}
	return latest(now, g.until)
}

func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// fleet is balancers in front of the endpoints of one service.
type fleet struct {
	rng      *rand.Rand
	known    [][]way // by balancer and endpoint
	holds    []int   // by endpoint
	ends     map[int64][]running
	callers  map[int64]int // that come back, by step
	refusing scenario
	offered  float64 // of the endpoints' work
	telling  bool    // balancers tell others of backoffs
	hints    map[int64][]hint
	hintedAt []time.Duration // by endpoint, when it was last told of; below 0 for never
	seen     []int           // holds at the beginning of the step
	tally
}

type running struct {
	balancer, endpoint int
	sent               time.Time
}

// hint is a backoff that others are told of.
type hint struct {
	endpoint int
	backoff  time.Duration
}

// hintDelay is how long a hint is on its way.
const hintDelay = 50 * time.Millisecond

// tally is what became of the requests of a run.
type tally struct{ asked, served, wasted, refused, hints int }

var begin = time.Unix(1000, 0)

func newFleet(balancers, endpoints int, first way, offered float64, refusing scenario) *fleet {
	f := &fleet{
		rng: rand.New(rand.NewPCG(uint64(balancers), 7)), holds: make([]int, endpoints), ends: map[int64][]running{}, callers: map[int64]int{},
		refusing: refusing, offered: offered, hints: map[int64][]hint{}, hintedAt: make([]time.Duration, endpoints),
	}
	for range balancers {
		known := make([]way, endpoints)
		for i := range known {
			known[i] = first
		}
		f.known = append(f.known, known)
	}
	return f
}

// run lets the fleet serve for a while.
func (f *fleet) run(from, to time.Duration) {
	perStep := f.offered * float64(len(f.holds)*slots) / workSteps
	for at := from; at < to; at += step {
		now := begin.Add(at)
		f.seen = append(f.seen[:0], f.holds...)
		for _, r := range f.ends[int64(at/step)] {
			f.holds[r.endpoint]--
			f.known[r.balancer][r.endpoint] = f.known[r.balancer][r.endpoint].ran(r.sent, now)
			f.served++
		}
		delete(f.ends, int64(at/step))
		f.hear(at, now)
		n := f.callers[int64(at/step)] + int(perStep)
		if f.rng.Float64() < perStep-float64(int(perStep)) {
			n++
		}
		for range n {
			f.serve(at, now)
		}
	}
}

// hear has all balancers hear what was told.
func (f *fleet) hear(at time.Duration, now time.Time) {
	for _, h := range f.hints[int64(at/step)] {
		f.hintedAt[h.endpoint] = at
		for _, known := range f.known {
			known[h.endpoint] = known[h.endpoint].hinted(h.backoff, now)
		}
	}
	delete(f.hints, int64(at/step))
}

// tell tells all others of a backoff, unless one is known.
func (f *fleet) tell(h hint, at time.Duration) {
	if !f.telling || f.hintedAt[h.endpoint] > 0 && at < f.hintedAt[h.endpoint]+h.backoff {
		return
	}
	f.tally.hints++
	due := int64((at + hintDelay) / step)
	f.hints[due] = append(f.hints[due], h)
}

// serve serves one request, or has its caller come back.
func (f *fleet) serve(at time.Duration, now time.Time) {
	f.asked++
	b := f.rng.IntN(len(f.known))
	tried := -1
	for range attempts {
		e, opens := f.choose(b, tried, now)
		if e < 0 {
			f.comeBack(at, opens.Sub(now))
			return
		}
		f.known[b][e] = f.known[b][e].sent(now)
		backoff := f.refusing(e, f.holds[e], at)
		if backoff == 0 && f.holds[e] < slots+spare {
			f.holds[e]++
			end := int64(at/step) + workSteps
			f.ends[end] = append(f.ends[end], running{b, e, now})
			return
		}
		if backoff > 0 {
			f.known[b][e] = f.known[b][e].asked(backoff, now)
			f.tell(hint{e, backoff}, at)
		}
		f.wasted++
		tried = e
	}
	f.comeBack(at, 100*time.Millisecond)
}

// comeBack has a refused caller come back, spread by half.
func (f *fleet) comeBack(at, after time.Duration) {
	f.refused++
	after += time.Duration(float64(100*time.Millisecond) * (0.5 + f.rng.Float64()))
	f.callers[int64((at+after)/step)]++
}

// choose returns the less busy one of two endpoints that are open, by reports of the beginning of
// the step, or when the first one opens. Those that are likely to refuse come last.
func (f *fleet) choose(b, tried int, now time.Time) (best int, opens time.Time) {
	for _, deferred := range []bool{false, true} {
		best = -1
		for range 2 {
			e, at := f.pick(b, tried, deferred, now)
			if e >= 0 && (best < 0 || f.seen[e] < f.seen[best]) {
				best = e
			}
			if e < 0 && (opens.IsZero() || at.Before(opens)) {
				opens = at
			}
		}
		if best >= 0 && f.seen[best] < slots {
			break
		}
	}
	return best, opens
}

// pick draws an endpoint that is open, or returns when the first one opens.
func (f *fleet) pick(b, tried int, deferred bool, now time.Time) (endpoint int, opens time.Time) {
	first := f.rng.IntN(len(f.holds))
	for i := range f.holds {
		e := (first + i) % len(f.holds)
		lot := f.rng.Float64()
		if e == tried || !deferred && f.known[b][e].deferred(lot, now) {
			continue
		}
		at := f.known[b][e].opens(lot, now)
		if !at.After(now) {
			return e, at
		}
		if opens.IsZero() || at.Before(opens) {
			opens = at
		}
	}
	if opens.IsZero() {
		opens = now.Add(step)
	}
	return -1, opens
}

// scenario says for how long an endpoint that holds so many requests wants no others; 0 for not at
// all.
type scenario func(endpoint, holds int, at time.Duration) time.Duration

// scenarios are what endpoints refuse.
var scenarios = map[string]scenario{
	// A fifth of the endpoints refuses all for nine seconds.
	"some": func(e, _ int, at time.Duration) time.Duration {
		if e%5 == 0 && at >= 2*time.Second && at < 11*time.Second {
			return 3 * time.Second
		}
		return 0
	},
	// All refuse all for a second.
	"all": func(_, _ int, at time.Duration) time.Duration {
		if at >= 2*time.Second && at < 3*time.Second {
			return 2 * time.Second
		}
		return 0
	},
	// All refuse all for a second, and bear one request at a time for another two after their
	// backoff.
	"all-weak": func(_, holds int, at time.Duration) time.Duration {
		if at >= 2*time.Second && at < 3*time.Second || at < 7*time.Second && at >= 3*time.Second && holds > 0 {
			return 2 * time.Second
		}
		return 0
	},
}

// sizes are balancers and endpoints.
var sizes = [][2]int{{3, 10}, {30, 20}, {300, 100}, {984, 200}}

// returns has a fleet serve for twenty seconds, and returns what became of the requests, and of
// those from the end of the refusals on.
func returns(size [2]int, name string, first way, telling bool) (all, afterwards tally) {
	f := newFleet(size[0], size[1], first, 0.6, scenarios[name])
	f.telling = telling
	f.run(0, 11*time.Second)
	before := f.tally
	f.run(11*time.Second, 20*time.Second)
	return f.tally, tally{
		asked: f.asked - before.asked, served: f.served - before.served, wasted: f.wasted - before.wasted,
		refused: f.refused - before.refused, hints: f.tally.hints - before.hints,
	}
}

// retryRatio is how many requests may be sent once more for each request.
const retryRatio = 0.2

// TestReturnAfterBackoff: while a fifth of a service's endpoints want no requests, those that are
// wasted there fit the fleet's bound on retries, at any size; once they want some again there is no
// second wave of refusals, also where all had wanted none.
func TestReturnAfterBackoff(t *testing.T) {
	for _, size := range sizes {
		all, afterwards := returns(size, "some", slowly{}, true)
		t.Logf("%d balancers, some: %+v, afterwards %+v", size[0], all, afterwards)
		assert.Assert(t, float64(all.wasted) <= retryRatio*float64(all.asked), "%d balancers: %+v", size[0], all)
		assert.Assert(t, all.refused <= all.asked/100, "%d balancers: %+v", size[0], all)
		assert.Assert(t, afterwards.wasted <= afterwards.asked/100, "%d balancers: %+v", size[0], afterwards)
		_, afterwards = returns(size, "all", slowly{}, true)
		assert.Assert(t, afterwards.wasted <= afterwards.asked/100, "%d balancers, all: %+v", size[0], afterwards)
	}
	// What each balancer learns from its own requests is not enough for a large fleet.
	all, _ := returns(sizes[3], "some", slowly{}, false)
	assert.Assert(t, float64(all.wasted) > retryRatio*float64(all.asked), "%+v", all)
}

// BenchmarkReturnAfterBackoff compares the ways to return by the requests that were wasted on
// endpoints which refused them, and refused to callers, of a hundred.
func BenchmarkReturnAfterBackoff(b *testing.B) {
	for scenario := range scenarios {
		for name, first := range map[string]way{"slowly": slowly{}, "at-once": atOnce{}, "growing": growing{}, "slowly-told": slowly{}} {
			for _, size := range sizes {
				b.Run(fmt.Sprintf("%s/%s/%d", scenario, name, size[0]), func(b *testing.B) {
					for b.Loop() {
						all, afterwards := returns(size, scenario, first, name == "slowly-told")
						b.ReportMetric(100*float64(all.wasted)/float64(all.asked), "wasted%")
						b.ReportMetric(100*float64(all.refused)/float64(all.asked), "refused%")
						b.ReportMetric(float64(afterwards.wasted), "wasted-afterwards")
						b.ReportMetric(float64(all.hints), "hints")
					}
				})
			}
		}
	}
}
