package limits_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/lotuswing/lotuswing/coord/limit"
	"github.com/lotuswing/lotuswing/limits"
	"github.com/lotuswing/lotuswing/relay"
	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"
)

// network delivers asks and notes between keepers, by address.
type network struct {
	mu             sync.Mutex
	keepers        map[string]*limits.Keeper
	relays         []limit.Relay
	isCut          map[string]bool // balancers that no message reaches or leaves
	earlierVersion map[string]bool // balancers that run an earlier version
	uncertain      bool            // no balancer is certain to be the only relay of its zone
	published      int             // number of published notes
}

// testTransport is the Transport of one keeper.
type testTransport struct {
	net  *network
	addr string
}

func (p testTransport) ServesAsRelay() bool {
	for _, r := range p.LimitOwners() {
		if r.Addr == p.addr {
			return true
		}
	}
	return false
}

func (p testTransport) IsOnlyRelay() bool {
	p.net.mu.Lock()
	defer p.net.mu.Unlock()
	return !p.net.uncertain
}

func (p testTransport) LimitOwners() []limit.Relay {
	p.net.mu.Lock()
	defer p.net.mu.Unlock()
	return p.net.relays
}

func (p testTransport) Ask(_ context.Context, addr string, asks []limit.Ask) (limit.Reply, error) {
	time.Sleep(time.Millisecond)
	p.net.mu.Lock()
	k, cut, earlierVersion := p.net.keepers[addr], p.net.isCut[addr] || p.net.isCut[p.addr], p.net.earlierVersion[addr]
	p.net.mu.Unlock()
	switch {
	case cut:
		time.Sleep(650 * time.Millisecond)
		return limit.Reply{}, errors.New("unreachable")
	case earlierVersion:
		return limit.Reply{}, nil
	}
	return k.HandleAsks(p.addr, asks), nil
}

func (p testTransport) Publish(topic string, data []byte) error {
	p.net.mu.Lock()
	defer p.net.mu.Unlock()
	p.net.published++
	for addr, k := range p.net.keepers {
		if addr != p.addr && !p.net.isCut[addr] && !p.net.isCut[p.addr] {
			go func() { _ = k.HandleNote(relay.Note{Origin: p.addr, Topic: topic, Data: data}) }()
		}
	}
	return nil
}

// update runs do with the lock held.
func (n *network) update(do func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	do()
}

// noteCount returns the number of published notes.
func (n *network) noteCount() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.published
}

// newNetwork returns keepers in two zones, "a" and "b", whose relays are a0 and b0.
func newNetwork() *network {
	n := &network{
		keepers: map[string]*limits.Keeper{}, relays: []limit.Relay{{Zone: "a", Addr: "a0"}, {Zone: "b", Addr: "b0"}},
		isCut: map[string]bool{}, earlierVersion: map[string]bool{},
	}
	for _, addr := range []string{"a0", "a1", "a2", "b0", "b1"} {
		k := limits.New(limits.Config{Addr: addr, Log: hclog.NewNullLogger(), Metrics: metrics.NewRegistry()})
		k.SetTransport(testTransport{net: n, addr: addr})
		n.keepers[addr] = k
	}
	return n
}

var overloaded = limits.Endpoint{ID: "i-1", Start: 1, Service: "archives", Zone: "a"}

// answerNow returns an answer with the given header values to a request sent now.
func answerNow(values ...string) limit.Answer {
	rate, said := limit.Parse(values)
	return limit.Answer{Said: said, Rate: rate, SentAt: time.Now(), ReceivedAt: time.Now()}
}

// standing returns the standing of the endpoint at one balancer.
func (n *network) standing(addr string) limit.Standing {
	s, _ := n.keepers[addr].Standing(overloaded, time.Now())
	return s
}

// sendAll has all balancers send as many requests as they may for a while, and returns how many
// were sent.
func (n *network) sendAll(d time.Duration) int {
	sent := 0
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		for _, k := range n.keepers {
			if s, _ := k.Standing(overloaded, time.Now()); s == limit.Askable {
				k.RequestPermit(context.Background(), overloaded, 25*time.Millisecond)
			}
			if s, _ := k.Standing(overloaded, time.Now()); s == limit.Permitted && k.TakePermit(overloaded, time.Now()) {
				sent++
			}
		}
	}
	return sent
}

// TestFleetSharesLimit checks that all balancers learn at once of a limit that one of them
// observes, and that all together send as many requests as it allows until it is lifted.
func TestFleetSharesLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		n.keepers["b1"].ObserveAnswer(overloaded, answerNow("2"))
		time.Sleep(10 * time.Millisecond)
		for addr := range n.keepers {
			assert.Assert(t, n.standing(addr) != limit.Unlimited, addr)
		}
		assert.Equal(t, n.noteCount(), 1)
		sent := n.sendAll(10 * time.Second)
		assert.Assert(t, sent >= 17 && sent <= 22, "%d of 20", sent)
		assert.Assert(t, n.keepers["a0"].List(time.Now())[0].Owns)
		assert.Equal(t, n.keepers["a0"].List(time.Now())[0].Given, int64(sent))

		n.keepers["a1"].ObserveAnswer(overloaded, answerNow())
		time.Sleep(2100 * time.Millisecond)
		for addr := range n.keepers {
			assert.Equal(t, n.standing(addr), limit.Unlimited, addr)
		}
		assert.Equal(t, n.noteCount(), 2)
	})
}

// TestNotesAreRateLimited checks that a limit that changes often causes few notes, and that the
// last value is published.
func TestNotesAreRateLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		for i := range 50 {
			n.keepers["a1"].ObserveAnswer(overloaded, answerNow([]string{"1", "9"}[i%2]))
			time.Sleep(20 * time.Millisecond)
		}
		n.keepers["a1"].ObserveAnswer(overloaded, answerNow("4"))
		time.Sleep(2 * time.Second)
		assert.Assert(t, n.noteCount() <= 4, "%d notes", n.noteCount())
		for addr, k := range n.keepers {
			assert.Equal(t, k.List(time.Now())[0].PerSecond, 4.0, addr)
		}
	})
}

// TestOwnerDoesNotReply makes the owner fail. The balancers without a reply must send half of the
// limit at most, and all balancers together the whole limit once the owner replies again.
func TestOwnerDoesNotReply(t *testing.T) {
	for name, c := range map[string]struct {
		fail     func(*network)
		maxShare float64 // most requests sent, as a fraction of those that the limit allows
	}{
		"cut off":            {func(n *network) { n.isCut["a0"] = true }, 1.5}, // the owner itself still uses the whole limit
		"an earlier version": {func(n *network) { n.earlierVersion["a0"] = true }, 1.5},
		"another may own it": {func(n *network) { n.uncertain = true }, 0.6},
		"no relay":           {func(n *network) { n.relays = nil }, 0.6},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := newNetwork()
				relays := n.relays
				for _, k := range n.keepers {
					k.ObserveAnswer(overloaded, answerNow("4"))
				}
				n.sendAll(5 * time.Second)
				n.update(func() { c.fail(n) })
				n.sendAll(time.Second) // permits granted before expire
				sent := n.sendAll(20 * time.Second)
				assert.Assert(t, float64(sent) <= 4*20*c.maxShare, "%d", sent)
				assert.Assert(t, sent > 4, "%d: the fallback sends nothing", sent)
				n.update(func() {
					n.uncertain = false
					clear(n.isCut)
					clear(n.earlierVersion)
					n.relays = relays
				})
				n.sendAll(3 * time.Second)
				sent = n.sendAll(10 * time.Second)
				assert.Assert(t, sent >= 34 && sent <= 44, "%d of 40", sent)
				time.Sleep(time.Second) // asks in flight end
			})
		})
	}
}

// TestSingleBalancer checks that a balancer without a Transport enforces the whole limit itself.
func TestSingleBalancer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		k := limits.New(limits.Config{Log: hclog.NewNullLogger(), Metrics: metrics.NewRegistry()})
		n := &network{keepers: map[string]*limits.Keeper{"": k}}
		k.ObserveAnswer(overloaded, answerNow("2"))
		sent := n.sendAll(10 * time.Second)
		assert.Assert(t, sent >= 18 && sent <= 22, "%d of 20", sent)
	})
}

// TestInvalidNotesAreIgnored checks that an invalid note sets no limit.
func TestInvalidNotesAreIgnored(t *testing.T) {
	n := newNetwork()
	for _, data := range []string{"", "{", `{"Target":{"ID":"i-1","Start":1},"Word":{"Known":true,"Rate":-1}}`, `{"Target":{"ID":"i-1","Start":1}}`, `{"Word":7}`} {
		_ = n.keepers["a1"].HandleNote(relay.Note{Topic: limits.Topic, Data: []byte(data)})
		assert.Equal(t, n.standing("a1"), limit.Unlimited, data)
	}
}
