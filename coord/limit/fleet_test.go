package limit

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lotuswing/lotuswing/coord/internal/agenda"
	"github.com/lotuswing/lotuswing/coord/window"
)

// fleet simulates balancers that send to one endpoint with a limit. It uses real Limiters;
// messages between them are delayed, lost or cut off by partitions.
type fleet struct {
	*agenda.Agenda
	rng         *rand.Rand
	nodes       []*node
	zones       int
	loss        float64
	partitioned func(a, b *node) bool // no messages pass between a and b now
	target      Target

	header           string // limit header of the answers; "" for none
	probesHaveHeader bool   // answers to probes have the header, too

	arrivals   []arrival
	callCount  int
	noteCount  int
	probeCount int
}

// arrival is a request that reached the endpoint. told says that its balancer had been told of the
// limit at least 500 ms before.
type arrival struct {
	at   time.Time
	told bool
}

type node struct {
	index       int
	addr        string
	zone        int
	incarnation int
	limiter     *Limiter
	down        bool
	toldAt      time.Time // when the first answer with a limit arrived in this incarnation
	slow        time.Duration
}

func newFleet(seed uint64, nodes, zones int) *fleet {
	f := &fleet{
		Agenda: agenda.New(testStart), rng: rand.New(rand.NewPCG(seed, 7)), zones: zones, target: Target{ID: "i-1", Start: 1},
		partitioned: func(_, _ *node) bool { return false },
	}
	for i := range nodes {
		n := &node{index: i, addr: fmt.Sprintf("balancer-%d", i), zone: i % zones}
		f.nodes = append(f.nodes, n)
		f.start(n)
	}
	return f
}

// start starts or restarts a node, with no state from before.
func (f *fleet) start(n *node) {
	n.limiter, n.down, n.toldAt = NewLimiter(f.rng.Uint64()), false, time.Time{}
	n.incarnation++
}

// relayOf returns the relay of a zone: its first node that is up.
func (f *fleet) relayOf(zone int) *node {
	for i := zone; i < len(f.nodes); i += f.zones {
		if !f.nodes[i].down {
			return f.nodes[i]
		}
	}
	return nil
}

// owner returns the relay that owns the endpoint, which is in the first zone.
func (f *fleet) owner() *node {
	var relays []Relay
	byAddr := map[string]*node{}
	for z := range f.zones {
		if r := f.relayOf(z); r != nil {
			relays = append(relays, Relay{Zone: fmt.Sprint(z), Addr: r.addr})
			byAddr[r.addr] = r
		}
	}
	addr, _ := Owner("0", f.target, relays)
	return byAddr[addr]
}

// latency returns the random latency of a message from a to b.
func (f *fleet) latency(a, b *node) time.Duration {
	d := time.Duration(300+f.rng.IntN(700)) * time.Microsecond
	if a.zone != b.zone {
		d += 1500 * time.Microsecond
	}
	return d + a.slow + b.slow
}

// delivered reports whether a message from a to b arrives; messages are lost at random.
func (f *fleet) delivered(a, b *node) bool {
	return !a.down && !b.down && !f.partitioned(a, b) && f.rng.Float64() >= f.loss
}

const (
	simCallTimeout = 650 * time.Millisecond
	simAskWait     = 25 * time.Millisecond // how long a request waits for the reply to an ask
	simServiceTime = 90 * time.Millisecond
)

// call sends an ask to the owner and applies its reply, or reports that there was none.
func (f *fleet) call(n *node, a Ask) {
	owner, incarnation := f.owner(), n.incarnation
	f.callCount++
	unanswered := func() {
		if n.incarnation == incarnation {
			n.limiter.HandleNoReply(a, f.Now())
		}
	}
	if owner == nil || !f.delivered(n, owner) {
		f.After(simCallTimeout, unanswered)
		return
	}
	f.After(f.latency(n, owner), func() {
		if owner.down {
			f.After(simCallTimeout, unanswered)
			return
		}
		r := owner.limiter.HandleAsks(n.addr, []Ask{a}, true, f.Now())
		f.publishNote(owner)
		if !f.delivered(owner, n) {
			f.After(simCallTimeout, unanswered)
			return
		}
		f.After(f.latency(owner, n), func() {
			if n.incarnation != incarnation || len(r.Grants) == 0 {
				return
			}
			if n.limiter.HandleReply(a, r.Grants[0], r.Askers, f.Now()) {
				f.probe(n)
			}
		})
	})
}

// publishNote sends the note of the owner to all other nodes, if there is one.
func (f *fleet) publishNote(owner *node) {
	observation, ok := owner.limiter.TakeNote(f.target, f.Now())
	if !ok {
		if after, due := owner.limiter.NoteDelay(f.target, f.Now()); due {
			f.After(after, func() { f.publishNote(owner) })
		}
		return
	}
	f.noteCount++
	sent := f.Now()
	for _, n := range f.nodes {
		if n != owner && f.delivered(owner, n) {
			incarnation := n.incarnation
			f.After(2*f.latency(owner, n)+5*time.Millisecond, func() {
				if n.incarnation == incarnation && !n.down {
					aged := observation
					aged.AskedAge += f.Now().Sub(sent)
					aged.HeardAge += f.Now().Sub(sent)
					n.limiter.MergeRemote(f.target, aged, f.Now())
				}
			})
		}
	}
}

// answer delivers to a node an answer with the present header of the endpoint.
func (f *fleet) answer(n *node, asked time.Time, probe bool) {
	rate, said := Parse(headerValues(f.header))
	if probe && !f.probesHaveHeader {
		rate, said = 0, HeaderAbsent
	}
	target, incarnation := f.target, n.incarnation
	f.After(time.Millisecond, func() {
		if n.incarnation != incarnation || n.down {
			return
		}
		if said == HeaderNamed && n.toldAt.IsZero() && !probe {
			n.toldAt = f.Now()
		}
		n.limiter.ObserveAnswer(target, Answer{Said: said, Rate: rate, SentAt: asked, ReceivedAt: f.Now()}, probe)
		if a, ok := n.limiter.Report(target, f.Now()); ok {
			f.call(n, a)
		}
	})
}

func headerValues(header string) []string {
	if header == "" {
		return nil
	}
	return []string{header}
}

func (f *fleet) probe(n *node) {
	f.probeCount++
	asked := f.Now()
	f.After(2*time.Millisecond, func() { f.answer(n, asked, true) })
}

// request has a node send a request to the endpoint if the limit allows it. Otherwise the request
// is dropped, as if another endpoint had got it.
func (f *fleet) request(n *node) {
	if n.down {
		return
	}
	s, _ := n.limiter.Standing(f.target, f.Now())
	switch s {
	case Unlimited, Permitted:
		f.send(n)
	case Askable:
		a, _ := n.limiter.Ask(f.target, f.Now())
		f.call(n, a)
		f.awaitPermit(n, n.incarnation, f.Now())
	case Denied:
	}
}

// awaitPermit sends the request once there is a permit, and drops it after simAskWait.
func (f *fleet) awaitPermit(n *node, incarnation int, since time.Time) {
	f.After(time.Millisecond, func() {
		if n.incarnation != incarnation || n.down {
			return
		}
		switch s, _ := n.limiter.Standing(f.target, f.Now()); {
		case s == Permitted || s == Unlimited:
			f.send(n)
		case s == Denied && f.Now().Sub(since) < simAskWait:
			f.awaitPermit(n, incarnation, since)
		}
	})
}

func (f *fleet) send(n *node) {
	if !n.limiter.Use(f.target, f.Now()).Admits() {
		return
	}
	asked := f.Now()
	f.After(time.Millisecond, func() {
		f.arrivals = append(f.arrivals, arrival{at: f.Now(), told: !n.toldAt.IsZero() && f.Now().Sub(n.toldAt) >= 500*time.Millisecond})
		f.After(simServiceTime, func() { f.answer(n, asked, false) })
	})
}

// generateLoad generates requests from one time to another as a Poisson process; pick returns the
// node for each.
func (f *fleet) generateLoad(perSecond float64, from, to time.Duration, pick func() *node) {
	var next func()
	next = func() {
		if f.Elapsed() >= to {
			return
		}
		f.request(pick())
		f.After(time.Duration(f.rng.ExpFloat64()/perSecond*float64(time.Second)), next)
	}
	f.After(from, next)
}

func (f *fleet) randomNode(n int) func() *node {
	return func() *node { return f.nodes[f.rng.IntN(n)] }
}

// setHeaderAt sets the limit header of the endpoint at a time; "" lifts the limit.
func (f *fleet) setHeaderAt(at time.Duration, header string) {
	f.After(at, func() { f.header = header })
}

// countWindow is the window in which operators count requests.
const countWindow = 4 * time.Second

// toleratedFor returns how many requests operators tolerate in a countWindow under a limit.
func toleratedFor(rate float64) float64 { return 1.5*rate*countWindow.Seconds() + 5 }

// mostInWindow returns the largest number of requests that arrived in any countWindow between two
// times: all of them, and only those from balancers that had been told of the limit.
func (f *fleet) mostInWindow(from, to time.Duration) (all, told int) {
	var list []arrival
	for _, a := range f.arrivals {
		if d := a.at.Sub(testStart); d >= from && d <= to {
			list = append(list, a)
		}
	}
	return maxInWindow(list), maxInWindow(slices.DeleteFunc(list, func(a arrival) bool { return !a.told }))
}

func maxInWindow(list []arrival) int {
	times := make([]time.Time, len(list))
	for i, a := range list {
		times[i] = a.at
	}
	return window.MaxCount(times, countWindow)
}

// rate returns how many requests per second arrived between two times.
func (f *fleet) rate(from, to time.Duration) float64 {
	n := 0
	for _, a := range f.arrivals {
		if d := a.at.Sub(testStart); d >= from && d < to {
			n++
		}
	}
	return float64(n) / (to - from).Seconds()
}

// sizes are the sizes of the simulated fleets.
var sizes = []struct{ nodes, zones int }{{3, 1}, {18, 4}, {30, 3}, {100, 3}, {300, 6}, {984, 6}}

// testedLimits are limits of the endpoint, in requests per second.
var testedLimits = []float64{0, 0.1, 0.5, 2.5, 20}

const (
	// limitNamed is when the endpoint first names its limit, and limitKnown when all balancers
	// know it.
	limitNamed = 2 * time.Second
	limitKnown = limitNamed + 500*time.Millisecond
)

// offeredRate returns the rate of requests per second offered to an endpoint with a limit.
func offeredRate(rate float64) float64 { return max(12, 6*rate) }

// The used part of a limit is measured between usedFrom and usedTo. oneRequest is the rate of one
// request in that time, which is within random variation.
const (
	usedFrom   = 7 * time.Second
	usedTo     = 32 * time.Second
	oneRequest = 1 / 25.0
)

// TestFleetKeepsLimit checks for fleets and limits of all sizes that the endpoint gets no more
// requests than operators tolerate, and that at least 85% of the limit is used.
func TestFleetKeepsLimit(t *testing.T) {
	for _, s := range sizes {
		for _, rate := range testedLimits {
			for seed := range uint64(3) {
				f := newFleet(seed, s.nodes, s.zones)
				f.setHeaderAt(limitNamed, fmt.Sprint(rate))
				f.generateLoad(offeredRate(rate), 0, usedTo, f.randomNode(s.nodes))
				f.Run(usedTo)
				all, _ := f.mostInWindow(limitKnown, usedTo)
				used := f.rate(usedFrom, usedTo)
				name := fmt.Sprintf("%d balancers, limit %v, seed %d", s.nodes, rate, seed)
				t.Logf("%s: worst window %d of %v, used %.2f a second, %d calls, %d notes", name, all, toleratedFor(rate), used, f.callCount, f.noteCount)
				assert.Check(t, float64(all) <= toleratedFor(rate), name)
				assert.Check(t, used+oneRequest >= 0.85*rate, name)
			}
		}
	}
}
