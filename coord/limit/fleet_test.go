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

// fleet simulates balancers in front of one endpoint that names a limit: their books are the
// real ones; messages between them are late, lost and cut.
type fleet struct {
	*agenda.Agenda
	rng    *rand.Rand
	nodes  []*node
	zones  int
	loss   float64
	cut    func(a, b *node) bool // no message passes between them now
	target Target

	says   string // header of its answers; "" for none
	probes bool   // its answers to probes have it, too

	sent  []arrival
	calls int
	notes int
	looks int
}

// arrival is a request that came to the endpoint, from a balancer that had been told or not.
type arrival struct {
	at   time.Time
	told bool
}

type node struct {
	index int
	addr  string
	zone  int
	life  int
	book  *Book
	down  bool
	told  time.Time // when it was first answered with a limit in this life
	slow  time.Duration
}

func newFleet(seed uint64, nodes, zones int) *fleet {
	f := &fleet{
		Agenda: agenda.New(testStart), rng: rand.New(rand.NewPCG(seed, 7)), zones: zones, target: Target{ID: "i-1", Start: 1},
		cut: func(_, _ *node) bool { return false },
	}
	for i := range nodes {
		n := &node{index: i, addr: fmt.Sprintf("balancer-%d", i), zone: i % zones}
		f.nodes = append(f.nodes, n)
		f.begin(n)
	}
	return f
}

// begin gives a node a new life.
func (f *fleet) begin(n *node) {
	n.book, n.down, n.told = NewBook(f.rng.Uint64()), false, time.Time{}
	n.life++
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

// owner returns the relay that owns the endpoint, which stands in the first zone.
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

// latency of one message.
func (f *fleet) latency(a, b *node) time.Duration {
	d := time.Duration(300+f.rng.IntN(700)) * time.Microsecond
	if a.zone != b.zone {
		d += 1500 * time.Microsecond
	}
	return d + a.slow + b.slow
}

func (f *fleet) passes(a, b *node) bool {
	return !a.down && !b.down && !f.cut(a, b) && f.rng.Float64() >= f.loss
}

const (
	simTimeout = 650 * time.Millisecond
	simPatient = 25 * time.Millisecond // a request waits for an ask
	simWork    = 90 * time.Millisecond
)

// call carries an ask and calls done once.
func (f *fleet) call(n *node, a Ask) {
	owner, life := f.owner(), n.life
	f.calls++
	unanswered := func() {
		if n.life == life {
			n.book.Unanswered(a, f.Now())
		}
	}
	if owner == nil || !f.passes(n, owner) {
		f.After(simTimeout, unanswered)
		return
	}
	f.After(f.latency(n, owner), func() {
		if owner.down {
			f.After(simTimeout, unanswered)
			return
		}
		r := owner.book.Asked(n.addr, []Ask{a}, true, f.Now())
		f.note(owner)
		if !f.passes(owner, n) {
			f.After(simTimeout, unanswered)
			return
		}
		f.After(f.latency(owner, n), func() {
			if n.life != life || len(r.Grants) == 0 {
				return
			}
			if n.book.Replied(a, r.Grants[0], r.Askers, f.Now()) {
				f.probe(n)
			}
		})
	})
}

// note has the owner tell all others what they should hear.
func (f *fleet) note(owner *node) {
	told, ok := owner.book.Note(f.target, f.Now())
	if !ok {
		if after, due := owner.book.NoteDue(f.target, f.Now()); due {
			f.After(after, func() { f.note(owner) })
		}
		return
	}
	f.notes++
	sent := f.Now()
	for _, n := range f.nodes {
		if n != owner && f.passes(owner, n) {
			life := n.life
			f.After(2*f.latency(owner, n)+5*time.Millisecond, func() {
				if n.life == life && !n.down {
					aged := told
					aged.AskedAge += f.Now().Sub(sent)
					aged.HeardAge += f.Now().Sub(sent)
					n.book.Learn(f.target, aged, f.Now())
				}
			})
		}
	}
}

// answer carries what the endpoint says now to a node.
func (f *fleet) answer(n *node, asked time.Time, probe bool) {
	rate, said := Parse(headerOf(f.says))
	if probe && !f.probes {
		rate, said = 0, Nothing
	}
	target, life := f.target, n.life
	f.After(time.Millisecond, func() {
		if n.life != life || n.down {
			return
		}
		if said == Named && n.told.IsZero() && !probe {
			n.told = f.Now()
		}
		n.book.Answered(target, Answer{Said: said, Rate: rate, Asked: asked, Heard: f.Now()}, probe)
		if a, ok := n.book.Tell(target, f.Now()); ok {
			f.call(n, a)
		}
	})
}

func headerOf(says string) []string {
	if says == "" {
		return nil
	}
	return []string{says}
}

func (f *fleet) probe(n *node) {
	f.looks++
	asked := f.Now()
	f.After(2*time.Millisecond, func() { f.answer(n, asked, true) })
}

// request is one that would like to go to the endpoint, and goes elsewhere where it may not.
func (f *fleet) request(n *node) {
	if n.down {
		return
	}
	s, _ := n.book.Standing(f.target, f.Now())
	switch s {
	case Free, Held:
		f.send(n)
	case Askable:
		a, _ := n.book.Ask(f.target, f.Now())
		f.call(n, a)
		f.await(n, n.life, f.Now())
	case Withheld:
	}
}

// await sends the request once there is a permit.
func (f *fleet) await(n *node, life int, since time.Time) {
	f.After(time.Millisecond, func() {
		if n.life != life || n.down {
			return
		}
		switch s, _ := n.book.Standing(f.target, f.Now()); {
		case s == Held || s == Free:
			f.send(n)
		case s == Withheld && f.Now().Sub(since) < simPatient:
			f.await(n, life, since)
		}
	})
}

func (f *fleet) send(n *node) {
	if !n.book.Use(f.target, f.Now()).Admits() {
		return
	}
	asked := f.Now()
	f.After(time.Millisecond, func() {
		f.sent = append(f.sent, arrival{at: f.Now(), told: !n.told.IsZero() && f.Now().Sub(n.told) >= 500*time.Millisecond})
		f.After(simWork, func() { f.answer(n, asked, false) })
	})
}

// press lets requests come at some nodes at a rate, from one time to another.
func (f *fleet) press(perSecond float64, from, to time.Duration, pick func() *node) {
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

func (f *fleet) anyOf(n int) func() *node {
	return func() *node { return f.nodes[f.rng.IntN(n)] }
}

// setAt has the endpoint name a limit from a time on; "" lifts it.
func (f *fleet) setAt(at time.Duration, says string) { f.After(at, func() { f.says = says }) }

// windowFor is the time in which the operators count.
const windowFor = 4 * time.Second

// allowedFor is what they bear with in it.
func allowedFor(rate float64) float64 { return 1.5*rate*windowFor.Seconds() + 5 }

// worst returns the most requests that came in a window between two times, all of them and
// those of balancers that had been told.
func (f *fleet) worst(from, to time.Duration) (all, told int) {
	var list []arrival
	for _, a := range f.sent {
		if d := a.at.Sub(testStart); d >= from && d <= to {
			list = append(list, a)
		}
	}
	return most(list), most(slices.DeleteFunc(list, func(a arrival) bool { return !a.told }))
}

func most(list []arrival) int {
	times := make([]time.Time, len(list))
	for i, a := range list {
		times[i] = a.at
	}
	return window.Most(times, windowFor)
}

// rate returns how many requests came a second between two times.
func (f *fleet) rate(from, to time.Duration) float64 {
	n := 0
	for _, a := range f.sent {
		if d := a.at.Sub(testStart); d >= from && d < to {
			n++
		}
	}
	return float64(n) / (to - from).Seconds()
}

// sizes are those of fleets, with their zones.
var sizes = []struct{ nodes, zones int }{{3, 1}, {18, 4}, {30, 3}, {100, 3}, {300, 6}, {984, 6}}

// simLimits are limits of endpoints, in requests a second.
var simLimits = []float64{0, 0.1, 0.5, 2.5, 20}

// limitNamed is when the endpoint names its limit, limitKnown from when on everybody keeps it.
const (
	limitNamed = 2 * time.Second
	limitKnown = limitNamed + 500*time.Millisecond
)

// pressure is how many requests would like to go to an endpoint of a limit, a second.
func pressure(rate float64) float64 { return max(12, 6*rate) }

// Between usedFrom and usedTo it is counted how much of a limit is used; oneRequest more or less
// is chance.
const (
	usedFrom   = 7 * time.Second
	usedTo     = 32 * time.Second
	oneRequest = 1 / 25.0
)

// TestFleetKeepsLimit: whatever the size of the fleet and the limit, the endpoint gets no more
// than the operators bear with, and most of what it takes.
func TestFleetKeepsLimit(t *testing.T) {
	for _, s := range sizes {
		for _, rate := range simLimits {
			for seed := range uint64(3) {
				f := newFleet(seed, s.nodes, s.zones)
				f.setAt(limitNamed, fmt.Sprint(rate))
				f.press(pressure(rate), 0, usedTo, f.anyOf(s.nodes))
				f.Run(usedTo)
				all, _ := f.worst(limitKnown, usedTo)
				used := f.rate(usedFrom, usedTo)
				name := fmt.Sprintf("%d balancers, limit %v, seed %d", s.nodes, rate, seed)
				t.Logf("%s: worst window %d of %v, used %.2f a second, %d calls, %d notes", name, all, allowedFor(rate), used, f.calls, f.notes)
				assert.Check(t, float64(all) <= allowedFor(rate), name)
				assert.Check(t, used+oneRequest >= 0.85*rate, name)
			}
		}
	}
}
