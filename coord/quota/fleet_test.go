package quota

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lotuswing/lotuswing/coord/internal/agenda"
	"github.com/lotuswing/lotuswing/coord/tally"
	"github.com/lotuswing/lotuswing/coord/window"
)

// fleet simulates balancers that keep one team's quota: their books are the real ones, the
// messages between them are late, lost and cut.
type fleet struct {
	*agenda.Agenda
	rng   *rand.Rand
	limit Limit
	nodes []*simNode
	zones int
	loss  float64
	cut   func(a, b *simNode) bool // no message passes between them now
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
	// waiting are requests that wait for a word.
	waiting []func()
}

var simStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newFleet(seed uint64, nodes, zones int, l Limit) *fleet {
	f := &fleet{Agenda: agenda.New(simStart), rng: rand.New(rand.NewPCG(seed, 1)), limit: l, zones: zones, cut: func(_, _ *simNode) bool { return false }}
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
	n.down, n.flight, n.waiting = false, false, nil
	f.wake(n)
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
	n.book.SetRelay(f.isRelay(n), f.Now())
	at, ok := n.book.Due(f.Now())
	switch {
	case !ok || n.flight:
		return
	case at.After(f.Now()):
		if n.due != at {
			n.due = at
			f.After(at.Sub(f.Now()), func() { f.wake(n) })
		}
		return
	}
	if n.book.IsRelay() {
		f.exchange(n)
	} else {
		f.report(n)
	}
	f.After(hurryPause, func() { f.wake(n) })
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
	r, life, relay := n.book.Report(f.Now()), n.book, f.relayOf(n.zone)
	n.flight = true
	done := func(a Answer, ok bool) {
		if n.book != life {
			return
		}
		n.flight = false
		if ok {
			n.book.Answered(r, a, f.Now())
		} else {
			n.book.Failed(f.Now())
		}
		f.answered(n, life)
		f.wake(n)
	}
	if !f.carried(n, relay) {
		f.After(simTimeout, func() { done(Answer{}, false) })
		return
	}
	f.After(f.latency(), func() {
		a := relay.book.Hear(r, f.limitOf, f.Now())
		f.wake(relay)
		if f.carried(relay, n) {
			f.After(f.latency(), func() { done(a, true) })
		} else {
			f.After(simTimeout, func() { done(Answer{}, false) })
		}
	})
}

func (f *fleet) exchange(n *simNode) {
	r, life := n.book.ZoneReport(f.registered, f.Now()), n.book
	for z := range f.zones {
		to := f.relayOf(z)
		if to == n || !f.carried(n, to) {
			continue
		}
		f.calls++
		f.After(f.latency(), func() {
			a := to.book.Hear(r, f.limitOf, f.Now())
			f.wake(to)
			if f.carried(to, n) {
				f.After(f.latency(), func() {
					if n.book == life {
						n.book.ZoneAnswered(r, a, f.Now())
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
		if f.Elapsed() >= to {
			return
		}
		if n := pick(); !n.down {
			f.arrive(n, team)
		}
		f.After(time.Duration(f.rng.ExpFloat64()/perSecond*float64(time.Second)), next)
	}
	f.After(from, next)
}

// arrive has a request of a team come to a node, and wait for a word where it has to.
func (f *fleet) arrive(n *simNode, team string) {
	life, deadline := n.book, f.Now().Add(AskWithin)
	var look func()
	look = func() {
		switch {
		case n.book != life || n.down:
		case f.Now().Before(deadline) && n.book.Asks(team, f.limit, f.Now()):
			n.waiting = append(n.waiting, look)
			f.wake(n)
		default:
			f.take(n, team)
		}
	}
	look()
	f.After(AskWithin, func() { f.answered(n, life) })
}

// answered has the requests look again that wait for a word.
func (f *fleet) answered(n *simNode, life *Book) {
	if n.book != life {
		return
	}
	waiting := n.waiting
	n.waiting = nil
	for _, look := range waiting {
		look()
	}
}

// take lets a request through or refuses it.
func (f *fleet) take(n *simNode, team string) {
	ok, _ := n.book.Take(team, f.limit, f.Now())
	switch {
	case team != "team":
	case ok && f.returned > 0 && f.rng.Float64() < f.returned:
		f.putBack(n)
	case ok:
		f.sent = append(f.sent, f.Now())
	default:
		f.refused = append(f.refused, f.Now())
	}
	f.wake(n)
}

// simWait is how long a request waits for room that there is not.
const simWait = 300 * time.Millisecond

// putBack puts a request back that was let through and could not be sent.
func (f *fleet) putBack(n *simNode) {
	life := n.book
	f.After(simWait, func() {
		if n.book == life && !n.down {
			n.book.Return("team", f.Now())
			f.wake(n)
		}
	})
}

// anyOf picks among the first nodes.
func (f *fleet) anyOf(n int) func() *simNode {
	return func() *simNode { return f.nodes[f.rng.IntN(n)] }
}

// worst returns the most that were let through in a window, as a part of what is allowed
// there: the operators bound it by (rate x window + burst) x 1.1 + 20 in 5 s.
func (f *fleet) worst(l Limit) float64 {
	const length = 5 * time.Second
	return float64(window.Most(f.sent, length)) / ((l.Rate*length.Seconds()+l.Burst)*1.1 + 20)
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
	t.Parallel()
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

// keepsQuota plays something with fleets of all sizes and checks that the team never got more than
// the operators bear with. Seeds that did it before are played as well.
func keepsQuota(t *testing.T, play func(f *fleet), more ...uint64) {
	t.Helper()
	for _, s := range sizes {
		for _, seed := range append([]uint64{0, 1, 2}[:min(3, seedsFor(s.nodes))], more...) {
			f := newFleet(seed, s.nodes, s.zones, s.limit)
			play(f)
			t.Logf("%d balancers: worst window %.2f", s.nodes, f.worst(s.limit))
			assert.Assert(t, f.worst(s.limit) <= 1, "%d balancers, seed %d: %.2f", s.nodes, seed, f.worst(s.limit))
		}
	}
}

// testHotTeam has a team send many times its quota for five seconds.
func testHotTeam(t *testing.T, seed uint64, nodes, zones int, limit Limit, times float64) {
	t.Run(fmt.Sprint(nodes, " balancers, ", times, " times"), func(t *testing.T) {
		f := newFleet(seed, nodes, zones, limit)
		f.send(0.62*limit.Rate, 0, 4*time.Second, f.anyOf(nodes))
		f.send(times*limit.Rate, 4*time.Second, 9*time.Second, f.anyOf(nodes))
		f.send(0.62*limit.Rate, 9*time.Second, 14*time.Second, f.anyOf(nodes))
		f.Run(15 * time.Second)
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

// smallLimit is the quota of a team that sends some requests a second.
var smallLimit = Limit{8, 8, spare}

// TestSmallTeamIsNotRefused: one that sends some requests a second through many balancers.
func TestSmallTeamIsNotRefused(t *testing.T) {
	t.Parallel()
	for _, nodes := range []int{3, 30, 107} {
		for seed := range uint64(60) {
			f := newFleet(seed, nodes, 3, smallLimit)
			f.send(5, time.Second, 20*time.Second, f.anyOf(min(nodes, 20)))
			f.Run(20 * time.Second)
			ideal := f.refusedByOne()
			assert.Assert(t, len(f.refused) <= ideal+len(f.sent)/100, "%d balancers, seed %d: %d of %d refused, %d by one bucket", nodes, seed, len(f.refused), len(f.refused)+len(f.sent), ideal)
		}
	}
}

// TestSmallTeamKeepsQuota: such a team sends four or ten times its quota through balancers of which
// each has a part of less than a request.
func TestSmallTeamKeepsQuota(t *testing.T) {
	t.Parallel()
	for _, nodes := range []int{3, 30, 107, 300, 984} {
		for _, times := range []float64{4, 10} {
			for seed := range seedsFor(nodes) {
				f := newFleet(seed, nodes, 3, smallLimit)
				f.send(5, 0, 4*time.Second, f.anyOf(nodes))
				f.send(times*smallLimit.Rate, 4*time.Second, 14*time.Second, f.anyOf(nodes))
				f.Run(15 * time.Second)
				t.Logf("%d balancers, %v times: worst window %.2f", nodes, times, f.worst(smallLimit))
				assert.Assert(t, f.worst(smallLimit) <= 1, "%d balancers, %v times, seed %d: %.2f", nodes, times, seed, f.worst(smallLimit))
			}
		}
	}
}

// TestSmallTeamKeepsQuotaThroughCuts: such a team sends ten times its quota while a third of the
// balancers hears nobody, or while the relays end.
func TestSmallTeamKeepsQuotaThroughCuts(t *testing.T) {
	t.Parallel()
	for name, disturb := range map[string]func(*fleet){
		"a third is cut off": func(f *fleet) { f.cutOffThird(2*time.Second, 13*time.Second) },
		"relays end":         (*fleet).endRelays,
	} {
		for _, nodes := range []int{3, 30, 107, 300, 984} {
			f := newFleet(1, nodes, 3, smallLimit)
			disturb(f)
			f.send(5, 0, 4*time.Second, f.anyOf(nodes))
			f.send(10*smallLimit.Rate, 4*time.Second, 14*time.Second, f.anyOf(nodes))
			f.Run(16 * time.Second)
			if worst := f.worst(smallLimit); worst > 1 {
				t.Errorf("%s, %d balancers: %.2f", name, nodes, worst)
			}
		}
	}
}

// TestHotTeamKeepsQuotaAsACutBegins: a team begins to send ten times its quota at the moment at which
// a third of the balancers is cut off.
func TestHotTeamKeepsQuotaAsACutBegins(t *testing.T) {
	t.Parallel()
	for _, s := range sizes[:4] {
		for seed := range uint64(6) {
			f := newFleet(seed, s.nodes, s.zones, s.limit)
			f.cutOffThird(4*time.Second, 13*time.Second)
			f.send(0.62*s.limit.Rate, 0, 4*time.Second, f.anyOf(s.nodes))
			f.send(10*s.limit.Rate, 4*time.Second, 14*time.Second, f.anyOf(s.nodes))
			f.Run(16 * time.Second)
			if worst := f.worst(s.limit); worst > 1 {
				t.Errorf("%d balancers, seed %d: %.2f", s.nodes, seed, worst)
			}
		}
	}
}

// cutOffThird has a third of the balancers hear nobody from one time to another.
func (f *fleet) cutOffThird(from, to time.Duration) {
	isCut := func(n *simNode) bool { return n.index%3 == 2 }
	f.cut = func(a, b *simNode) bool {
		at := f.Elapsed()
		return at > from && at < to && (isCut(a) || isCut(b))
	}
}

// endRelays has the relays end in turn and come back as new lives, while messages are lost.
func (f *fleet) endRelays() {
	f.loss = 0.03
	for k := range 4 {
		f.After(time.Duration(5+2*k)*time.Second, func() {
			for z := range f.zones {
				if r := f.relayOf(z); r != nil && len(f.nodes) > 3 {
					r.down = true
					f.After(2500*time.Millisecond, func() { f.start(r) })
				}
			}
		})
	}
}

// TestCutOffBalancersKeepQuota: a third of the balancers hears no other one for nine
// seconds, while the team sends four times its quota through all.
func TestCutOffBalancersKeepQuota(t *testing.T) {
	t.Parallel()
	keepsQuota(t, func(f *fleet) {
		f.cutOffThird(4*time.Second, 13*time.Second)
		f.send(0.62*f.limit.Rate, 0, 6*time.Second, f.anyOf(len(f.nodes)))
		f.send(4*f.limit.Rate, 6*time.Second, 16*time.Second, f.anyOf(len(f.nodes)))
		f.Run(18 * time.Second)
	})
}

// TestCutOffBalancersKeepQuotaOfATeamThatIsNew: users saw a team get 1.11 of what is allowed in its
// worst window. A third of the balancers was cut off one second after the first requests, and heard
// of nobody for twelve; the team came at seven seconds with many times its quota. The balancers that
// were cut off had never heard a word on it, and each gave out a fiftieth of its quota: 37 of them
// three quarters of it, beside the whole that the others gave out.
func TestCutOffBalancersKeepQuotaOfATeamThatIsNew(t *testing.T) {
	t.Parallel()
	keepsQuota(t, func(f *fleet) {
		f.cutOffThird(time.Second, 13*time.Second)
		f.sendOf("another", 5*float64(len(f.nodes)), 0, 16*time.Second, f.anyOf(len(f.nodes)))
		f.send(5*f.limit.Rate, 7*time.Second, 16*time.Second, f.anyOf(len(f.nodes)))
		f.Run(18 * time.Second)
	}, 18, 25)
}

// TestReturnsKeepQuota: a team sends many times its quota, and of what is let in a half is put back
// after a while because no endpoint has room for it. Users saw a team get 1.13 of what is allowed:
// the totals of balancers that put more back than they took fell, and a relay took what had been
// told before the last report for what another relay had taken, so that it put it back twice.
func TestReturnsKeepQuota(t *testing.T) {
	t.Parallel()
	keepsQuota(t, func(f *fleet) {
		f.returned = 0.5
		f.send(0.62*f.limit.Rate, 0, 4*time.Second, f.anyOf(len(f.nodes)))
		f.send(5*f.limit.Rate, 4*time.Second, 14*time.Second, f.anyOf(len(f.nodes)))
		f.Run(16 * time.Second)
	})
}

// TestRelaysThatEndKeepQuota: the relays end in turn and come back as new lives, messages
// are lost, and the team sends four times its quota.
func TestRelaysThatEndKeepQuota(t *testing.T) {
	t.Parallel()
	keepsQuota(t, func(f *fleet) {
		f.endRelays()
		f.send(0.62*f.limit.Rate, 0, 4*time.Second, f.anyOf(len(f.nodes)))
		f.send(4*f.limit.Rate, 4*time.Second, 14*time.Second, f.anyOf(len(f.nodes)))
		f.Run(15 * time.Second)
	})
}

// TestStartOfAllKeepsQuota: all balancers end together and start again, and the team sends
// four times its quota all the while.
func TestStartOfAllKeepsQuota(t *testing.T) {
	t.Parallel()
	for _, s := range sizes {
		f := newFleet(1, s.nodes, s.zones, s.limit)
		f.After(5*time.Second, func() {
			for _, n := range f.nodes {
				n.down = true
			}
		})
		f.After(6*time.Second, func() {
			for _, n := range f.nodes {
				f.start(n)
			}
		})
		f.send(4*s.limit.Rate, 2*time.Second, 12*time.Second, f.anyOf(s.nodes))
		f.Run(13 * time.Second)
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
	f.After(5*time.Second, func() { f.limit = lower })
	f.Run(12 * time.Second)
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
