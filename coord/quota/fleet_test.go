package quota

import (
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lotuswing/lotuswing/coord/tally"
)

// fleet simulates balancers that keep one team's quota: their books are the real ones, the
// messages between them are late, lost and cut.
type fleet struct {
	now    time.Time
	events events
	rng    *rand.Rand
	limit  Limit
	nodes  []*simNode
	zones  int
	loss   float64
	cut    func(a, b *simNode) bool // no message passes between them now
	// returned is the part of the requests let through that is put back after simWait.
	returned float64

	sent    []time.Time // requests that were let through
	refused []time.Time
	calls   int
}

type simNode struct {
	index  int
	addr   string
	zone   int
	book   *Book
	down   bool // stopped, or paused
	due    time.Time
	flight bool
}

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
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

var simStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newFleet(seed uint64, nodes, zones int, l Limit) *fleet {
	f := &fleet{now: simStart, rng: rand.New(rand.NewPCG(seed, 1)), limit: l, zones: zones, cut: func(_, _ *simNode) bool { return false }}
	for i := range nodes {
		n := &simNode{index: i, addr: fmt.Sprint(i), zone: i % zones}
		f.nodes = append(f.nodes, n)
		f.start(n)
	}
	return f
}

// start gives a node a new life.
func (f *fleet) start(n *simNode) {
	n.book = NewBook(n.addr, fmt.Sprint(n.zone), f.rng.Uint64())
	n.down, n.flight = false, false
	f.wake(n)
}

func (f *fleet) after(d time.Duration, do func()) {
	heap.Push(&f.events, event{f.now.Add(d), do})
}

// relayOf returns the relay of a zone: its first node that is up.
func (f *fleet) relayOf(zone int) *simNode {
	for i := zone; i < len(f.nodes); i += f.zones {
		if !f.nodes[i].down {
			return f.nodes[i]
		}
	}
	return nil
}

// isRelay reports whether a node is the relay of its zone.
func (f *fleet) isRelay(n *simNode) bool { return f.relayOf(n.zone) == n }

func (f *fleet) registered(addr string) bool {
	for z := range f.zones {
		if r := f.relayOf(z); r != nil && r.addr == addr {
			return true
		}
	}
	return false
}

func (f *fleet) limitOf(string) (Limit, bool) { return f.limit, true }

// wake looks whether a node has to report.
func (f *fleet) wake(n *simNode) {
	if n.down {
		return
	}
	n.book.SetRelay(f.isRelay(n), f.now)
	at, ok := n.book.Due(f.now)
	switch {
	case !ok || n.flight:
		return
	case at.After(f.now):
		if n.due != at {
			n.due = at
			f.after(at.Sub(f.now), func() { f.wake(n) })
		}
		return
	}
	if n.book.IsRelay() {
		f.exchange(n)
	} else {
		f.report(n)
	}
	f.after(urgentPause, func() { f.wake(n) })
}

// latency of one message.
func (f *fleet) latency() time.Duration {
	return time.Duration(500+f.rng.IntN(2500)) * time.Microsecond
}

// carried reports whether a message gets through.
func (f *fleet) carried(from, to *simNode) bool {
	return to != nil && !to.down && !f.cut(from, to) && f.rng.Float64() >= f.loss
}

const simTimeout = 650 * time.Millisecond

func (f *fleet) report(n *simNode) {
	f.calls++
	r, life, relay := n.book.Report(f.now), n.book, f.relayOf(n.zone)
	n.flight = true
	done := func(a Answer, ok bool) {
		if n.book != life {
			return
		}
		n.flight = false
		if ok {
			n.book.Answered(r, a, f.now)
		} else {
			n.book.Failed(f.now)
		}
		f.wake(n)
	}
	if !f.carried(n, relay) {
		f.after(simTimeout, func() { done(Answer{}, false) })
		return
	}
	f.after(f.latency(), func() {
		a := relay.book.Hear(r, f.limitOf, f.now)
		f.wake(relay)
		if f.carried(relay, n) {
			f.after(f.latency(), func() { done(a, true) })
		} else {
			f.after(simTimeout, func() { done(Answer{}, false) })
		}
	})
}

func (f *fleet) exchange(n *simNode) {
	r, life := n.book.ZoneReport(f.registered, f.now), n.book
	for z := range f.zones {
		to := f.relayOf(z)
		if to == n || !f.carried(n, to) {
			continue
		}
		f.calls++
		f.after(f.latency(), func() {
			a := to.book.Hear(r, f.limitOf, f.now)
			f.wake(to)
			if f.carried(to, n) {
				f.after(f.latency(), func() {
					if n.book == life {
						n.book.ZoneAnswered(r, a, f.now)
					}
				})
			}
		})
	}
}

// send lets requests of the team arrive at some nodes at a rate, from one time to another.
func (f *fleet) send(perSecond float64, from, to time.Duration, pick func() *simNode) {
	f.sendOf("team", perSecond, from, to, pick)
}

// sendOf is send for a team by its name; only those of "team" are counted.
func (f *fleet) sendOf(team string, perSecond float64, from, to time.Duration, pick func() *simNode) {
	var next func()
	next = func() {
		if f.now.Sub(simStart) >= to {
			return
		}
		if n := pick(); !n.down {
			ok, _ := n.book.Take(team, f.limit, f.now)
			switch {
			case team != "team":
			case ok && f.returned > 0 && f.rng.Float64() < f.returned:
				f.putBack(n)
			case ok:
				f.sent = append(f.sent, f.now)
			default:
				f.refused = append(f.refused, f.now)
			}
			f.wake(n)
		}
		f.after(time.Duration(f.rng.ExpFloat64()/perSecond*float64(time.Second)), next)
	}
	f.after(from, next)
}

// simWait is how long a request waits for room that there is not.
const simWait = 300 * time.Millisecond

// putBack puts a request back that was let through and could not be sent.
func (f *fleet) putBack(n *simNode) {
	life := n.book
	f.after(simWait, func() {
		if n.book == life && !n.down {
			n.book.Return("team", f.now)
			f.wake(n)
		}
	})
}

// anyOf picks among the first nodes.
func (f *fleet) anyOf(n int) func() *simNode {
	return func() *simNode { return f.nodes[f.rng.IntN(n)] }
}

func (f *fleet) run(to time.Duration) {
	for len(f.events) > 0 {
		e := heap.Pop(&f.events).(event)
		f.now = e.at
		if f.now.Sub(simStart) > to {
			return
		}
		e.do()
	}
}

// worst returns the most that were let through in a window, as a part of what is allowed
// there: the operators bound it by (rate x window + burst) x 1.1 + 20 in 5 s.
func (f *fleet) worst(l Limit) float64 {
	const window = 5 * time.Second
	most, first := 0, 0
	for i, at := range f.sent {
		for at.Sub(f.sent[first]) >= window {
			first++
		}
		most = max(most, i-first+1)
	}
	return float64(most) / ((l.Rate*window.Seconds()+l.Burst)*1.1 + 20)
}

// refusedByOne returns how many of the requests a single bucket would have refused that
// knew of all and began as full as a fleet's.
func (f *fleet) refusedByOne() int {
	all := slices.SortedFunc(maps.Keys(f.asked()), time.Time.Compare)
	tokens, at, refused := startFill*f.limit.Burst, simStart, 0
	for _, now := range all {
		tokens = min(f.limit.full(1), tokens+f.limit.Rate*now.Sub(at).Seconds())
		at = now
		if tokens < 1 {
			refused++
			continue
		}
		tokens--
	}
	return refused
}

// asked returns when requests came; no two come at the same nanosecond.
func (f *fleet) asked() map[time.Time]bool {
	all := map[time.Time]bool{}
	for _, at := range append(slices.Clone(f.sent), f.refused...) {
		all[at] = true
	}
	return all
}

// spare is a quarter of the 20 requests that the operators bear with.
const spare = 5

// sizes are those of fleets, with their zones and a quota that fits them.
var sizes = []struct {
	nodes, zones int
	limit        Limit
}{
	{3, 1, Limit{20, 20, spare}},
	{30, 3, Limit{100, 100, spare}},
	{100, 3, Limit{300, 300, spare}},
	{300, 6, Limit{800, 800, spare}},
	{984, 6, Limit{2000, 2000, spare}},
}

// TestFleetKeepsQuota while a team sends four or ten times its quota, whatever the size of
// the fleet, and refuses nothing of one that keeps to it.
func TestFleetKeepsQuota(t *testing.T) {
	for _, s := range sizes {
		for _, times := range []float64{4, 10} {
			for seed := range seedsFor(s.nodes) {
				testHotTeam(t, seed, s.nodes, s.zones, s.limit, times)
			}
		}
	}
}

// seedsFor returns how many seeds are played with so many balancers.
func seedsFor(nodes int) uint64 {
	switch {
	case nodes <= 100:
		return 10
	case nodes <= 300:
		return 3
	}
	return 1
}

// testHotTeam has a team send many times its quota for five seconds.
func testHotTeam(t *testing.T, seed uint64, nodes, zones int, limit Limit, times float64) {
	t.Run(fmt.Sprint(nodes, " balancers, ", times, " times"), func(t *testing.T) {
		f := newFleet(seed, nodes, zones, limit)
		f.send(0.62*limit.Rate, 0, 4*time.Second, f.anyOf(nodes))
		f.send(times*limit.Rate, 4*time.Second, 9*time.Second, f.anyOf(nodes))
		f.send(0.62*limit.Rate, 9*time.Second, 14*time.Second, f.anyOf(nodes))
		f.run(15 * time.Second)
		early, late := 0, 0
		for _, at := range f.refused {
			switch d := at.Sub(simStart); {
			case d < 4*time.Second:
				early++
			case d > 11*time.Second:
				late++
			}
		}
		t.Logf("worst window %.2f of what is allowed; %d sent, %d refused (%d before, %d after); %d calls",
			f.worst(limit), len(f.sent), len(f.refused), early, late, f.calls)
		assert.Assert(t, f.worst(limit) <= 1)
		assert.Equal(t, early, 0)
		assert.Equal(t, late, 0)
	})
}

// TestSmallTeamIsNotRefused: one that sends some requests a second through many balancers.
func TestSmallTeamIsNotRefused(t *testing.T) {
	for _, nodes := range []int{3, 30, 107} {
		for seed := range uint64(5) {
			l := Limit{8, 8, spare}
			f := newFleet(seed, nodes, 3, l)
			f.send(5, time.Second, 20*time.Second, f.anyOf(min(nodes, 20)))
			f.run(20 * time.Second)
			ideal := f.refusedByOne()
			assert.Assert(t, len(f.refused) <= ideal+len(f.sent)/100, "%d balancers, seed %d: %d of %d refused, %d by one bucket", nodes, seed, len(f.refused), len(f.refused)+len(f.sent), ideal)
		}
	}
}

// TestCutOffBalancersKeepQuota: a third of the balancers hears no other one for nine
// seconds, while the team sends four times its quota through all.
func TestCutOffBalancersKeepQuota(t *testing.T) {
	for _, s := range sizes {
		for seed := range min(3, seedsFor(s.nodes)) {
			f := newFleet(seed, s.nodes, s.zones, s.limit)
			isCut := func(n *simNode) bool { return n.index%3 == 2 }
			f.cut = func(a, b *simNode) bool {
				at := f.now.Sub(simStart)
				return at > 4*time.Second && at < 13*time.Second && (isCut(a) || isCut(b))
			}
			f.send(0.62*s.limit.Rate, 0, 6*time.Second, f.anyOf(s.nodes))
			f.send(4*s.limit.Rate, 6*time.Second, 16*time.Second, f.anyOf(s.nodes))
			f.run(18 * time.Second)
			t.Logf("%d balancers: worst window %.2f", s.nodes, f.worst(s.limit))
			assert.Assert(t, f.worst(s.limit) <= 1, "%d balancers, seed %d: %.2f", s.nodes, seed, f.worst(s.limit))
		}
	}
}

// TestCutOffBalancersKeepQuotaOfATeamThatIsNew: users saw a team get 1.11 of what is allowed in its
// worst window. A third of the balancers was cut off one second after the first requests, and heard
// of nobody for twelve; the team came at seven seconds with many times its quota. The balancers that
// were cut off had never heard a word on it, and each gave out a fiftieth of its quota: 37 of them
// three quarters of it, beside the whole that the others gave out.
func TestCutOffBalancersKeepQuotaOfATeamThatIsNew(t *testing.T) {
	for _, s := range sizes {
		for seed := range min(3, seedsFor(s.nodes)) {
			f := newFleet(seed, s.nodes, s.zones, s.limit)
			isCut := func(n *simNode) bool { return n.index%3 == 2 }
			f.cut = func(a, b *simNode) bool {
				at := f.now.Sub(simStart)
				return at > time.Second && at < 13*time.Second && (isCut(a) || isCut(b))
			}
			f.sendOf("another", 5*float64(s.nodes), 0, 16*time.Second, f.anyOf(s.nodes))
			f.send(5*s.limit.Rate, 7*time.Second, 16*time.Second, f.anyOf(s.nodes))
			f.run(18 * time.Second)
			t.Logf("%d balancers: worst window %.2f", s.nodes, f.worst(s.limit))
			assert.Check(t, f.worst(s.limit) <= 1, "%d balancers, seed %d: %.2f", s.nodes, seed, f.worst(s.limit))
		}
	}
}

// TestReturnsKeepQuota: a team sends many times its quota, and of what is let in a half is put back
// after a while because no endpoint has room for it. Users saw a team get 1.13 of what is allowed:
// the totals of balancers that put more back than they took fell, and a relay took what had been
// told before the last report for what another relay had taken, so that it put it back twice.
func TestReturnsKeepQuota(t *testing.T) {
	for _, s := range sizes {
		for seed := range min(3, seedsFor(s.nodes)) {
			f := newFleet(seed, s.nodes, s.zones, s.limit)
			f.returned = 0.5
			f.send(0.62*s.limit.Rate, 0, 4*time.Second, f.anyOf(s.nodes))
			f.send(5*s.limit.Rate, 4*time.Second, 14*time.Second, f.anyOf(s.nodes))
			f.run(16 * time.Second)
			t.Logf("%d balancers: worst window %.2f", s.nodes, f.worst(s.limit))
			assert.Check(t, f.worst(s.limit) <= 1, "%d balancers, seed %d: %.2f", s.nodes, seed, f.worst(s.limit))
		}
	}
}

// TestRelaysThatEndKeepQuota: the relays end in turn and come back as new lives, messages
// are lost, and the team sends four times its quota.
func TestRelaysThatEndKeepQuota(t *testing.T) {
	for _, s := range sizes {
		for seed := range min(3, seedsFor(s.nodes)) {
			f := newFleet(seed, s.nodes, s.zones, s.limit)
			f.loss = 0.03
			for k := range 4 {
				f.after(time.Duration(5+2*k)*time.Second, func() {
					for z := range f.zones {
						if r := f.relayOf(z); r != nil && s.nodes > 3 {
							r.down = true
							f.after(2500*time.Millisecond, func() { f.start(r) })
						}
					}
				})
			}
			f.send(0.62*s.limit.Rate, 0, 4*time.Second, f.anyOf(s.nodes))
			f.send(4*s.limit.Rate, 4*time.Second, 14*time.Second, f.anyOf(s.nodes))
			f.run(15 * time.Second)
			t.Logf("%d balancers: worst window %.2f", s.nodes, f.worst(s.limit))
			assert.Assert(t, f.worst(s.limit) <= 1, "%d balancers, seed %d: %.2f", s.nodes, seed, f.worst(s.limit))
		}
	}
}

// TestStartOfAllKeepsQuota: all balancers end together and start again, and the team sends
// four times its quota all the while.
func TestStartOfAllKeepsQuota(t *testing.T) {
	for _, s := range sizes {
		f := newFleet(1, s.nodes, s.zones, s.limit)
		f.after(5*time.Second, func() {
			for _, n := range f.nodes {
				n.down = true
			}
		})
		f.after(6*time.Second, func() {
			for _, n := range f.nodes {
				f.start(n)
			}
		})
		f.send(4*s.limit.Rate, 2*time.Second, 12*time.Second, f.anyOf(s.nodes))
		f.run(13 * time.Second)
		t.Logf("%d balancers: worst window %.2f", s.nodes, f.worst(s.limit))
		assert.Assert(t, f.worst(s.limit) <= 1, "%d balancers: %.2f", s.nodes, f.worst(s.limit))
	}
}

// TestLoweredQuota is kept from the moment at which a balancer knows it.
func TestLoweredQuota(t *testing.T) {
	l := Limit{300, 300, spare}
	f := newFleet(1, 100, 3, l)
	lower := Limit{30, 30, spare}
	f.send(200, 0, 12*time.Second, f.anyOf(100))
	f.after(5*time.Second, func() { f.limit = lower })
	f.run(12 * time.Second)
	var late []time.Time
	for _, at := range f.sent {
		if at.Sub(simStart) > 6*time.Second {
			late = append(late, at)
		}
	}
	f.sent = late
	assert.Assert(t, f.worst(lower) <= 1, "%.2f", f.worst(lower))
	assert.Assert(t, len(late) > 100, "%d: what is in the quota is sent", len(late))
}

// TestReportsThatComeTwiceOrLateChangeNothing.
func TestReportsThatComeTwiceOrLateChangeNothing(t *testing.T) {
	now := simStart
	l := Limit{10, 100, spare}
	limitOf := func(string) (Limit, bool) { return l, true }
	relay := NewBook("r", "z", 1)
	relay.SetRelay(true, now)
	b := NewBook("b", "z", 2)
	ok, _ := b.Take("team", l, now)
	assert.Assert(t, ok)
	first := b.Report(now)
	ok, _ = b.Take("team", l, now)
	assert.Assert(t, ok)
	second := b.Report(now)
	for _, r := range []tally.Report{second, first, second, first} {
		relay.Hear(r, limitOf, now)
	}
	assert.Equal(t, relay.Sum("team/team"), int64(2))
}
