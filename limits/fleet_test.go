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

// network carries asks and notes between keepers, by their addresses.
type network struct {
	mu      sync.Mutex
	keepers map[string]*limits.Keeper
	relays  []limit.Relay
	cut     map[string]bool
	old     map[string]bool // balancers of an earlier version
	notes   int
}

// port is one keeper's way into the network.
type port struct {
	net  *network
	addr string
}

func (p port) Serving() bool {
	for _, r := range p.Owners() {
		if r.Addr == p.addr {
			return true
		}
	}
	return false
}

func (p port) InTouch() bool { return true }

func (p port) Owners() []limit.Relay {
	p.net.mu.Lock()
	defer p.net.mu.Unlock()
	return p.net.relays
}

func (p port) Ask(_ context.Context, addr string, asks []limit.Ask) (limit.Reply, error) {
	time.Sleep(time.Millisecond)
	p.net.mu.Lock()
	k, cut, old := p.net.keepers[addr], p.net.cut[addr] || p.net.cut[p.addr], p.net.old[addr]
	p.net.mu.Unlock()
	switch {
	case cut:
		time.Sleep(650 * time.Millisecond)
		return limit.Reply{}, errors.New("unreachable")
	case old:
		return limit.Reply{}, nil
	}
	return k.Asked(p.addr, asks), nil
}

func (p port) Publish(topic string, data []byte) error {
	p.net.mu.Lock()
	defer p.net.mu.Unlock()
	p.net.notes++
	for addr, k := range p.net.keepers {
		if addr != p.addr && !p.net.cut[addr] && !p.net.cut[p.addr] {
			go func() { _ = k.Hear(relay.Note{Origin: p.addr, Topic: topic, Data: data}) }()
		}
	}
	return nil
}

// change changes what holds in the network.
func (n *network) change(do func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	do()
}

// told returns how many notes were told.
func (n *network) told() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.notes
}

// newNetwork starts keepers in two zones, "a" and "b", whose relays are a0 and b0.
func newNetwork() *network {
	n := &network{
		keepers: map[string]*limits.Keeper{}, relays: []limit.Relay{{Zone: "a", Addr: "a0"}, {Zone: "b", Addr: "b0"}},
		cut: map[string]bool{}, old: map[string]bool{},
	}
	for _, addr := range []string{"a0", "a1", "a2", "b0", "b1"} {
		k := limits.New(limits.Config{Addr: addr, Log: hclog.NewNullLogger(), Metrics: metrics.NewRegistry()})
		k.SetCarrier(port{net: n, addr: addr})
		n.keepers[addr] = k
	}
	return n
}

var inNeed = limits.Endpoint{ID: "i-1", Start: 1, Service: "archives", Zone: "a"}

// says returns an answer to a request of now.
func says(values ...string) limit.Answer {
	rate, said := limit.Parse(values)
	return limit.Answer{Said: said, Rate: rate, Asked: time.Now(), Heard: time.Now()}
}

// knows returns what a balancer may do with the endpoint.
func (n *network) knows(addr string) limit.Standing {
	s, _ := n.keepers[addr].Standing(inNeed, time.Now())
	return s
}

// press has all balancers send what they may for a while and returns how many requests went out.
func (n *network) press(d time.Duration) int {
	sent := 0
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		for _, k := range n.keepers {
			if s, _ := k.Standing(inNeed, time.Now()); s == limit.Askable {
				k.Seek(context.Background(), inNeed, 25*time.Millisecond)
			}
			if s, _ := k.Standing(inNeed, time.Now()); s == limit.Held && k.Use(inNeed, time.Now()) {
				sent++
			}
		}
	}
	return sent
}

// TestAllKnowAndShareOneLimit: what one balancer hears of an endpoint all know at once, and all
// together send what the limit allows, until it is lifted.
func TestAllKnowAndShareOneLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		n.keepers["b1"].Answered(inNeed, says("2"))
		time.Sleep(10 * time.Millisecond)
		for addr := range n.keepers {
			assert.Assert(t, n.knows(addr) != limit.Free, addr)
		}
		assert.Equal(t, n.told(), 1)
		sent := n.press(10 * time.Second)
		assert.Assert(t, sent >= 17 && sent <= 22, "%d of 20", sent)
		assert.Assert(t, n.keepers["a0"].List(time.Now())[0].Owns)
		assert.Equal(t, n.keepers["a0"].List(time.Now())[0].Given, int64(sent))

		n.keepers["a1"].Answered(inNeed, says())
		time.Sleep(2100 * time.Millisecond)
		for addr := range n.keepers {
			assert.Equal(t, n.knows(addr), limit.Free, addr)
		}
		assert.Equal(t, n.told(), 2)
	})
}

// TestNotesAreFewHoweverOftenALimitChanges, and the last word is told.
func TestNotesAreFewHoweverOftenALimitChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork()
		for i := range 50 {
			n.keepers["a1"].Answered(inNeed, says([]string{"1", "9"}[i%2]))
			time.Sleep(20 * time.Millisecond)
		}
		n.keepers["a1"].Answered(inNeed, says("4"))
		time.Sleep(2 * time.Second)
		assert.Assert(t, n.told() <= 4, "%d notes", n.told())
		for addr, k := range n.keepers {
			assert.Equal(t, k.List(time.Now())[0].PerSecond, 4.0, addr)
		}
	})
}

// TestOwnerThatDoesNotAnswer, because it is cut off or of an earlier version: all others together
// send half of the limit at most, and once it answers again, all of it.
func TestOwnerThatDoesNotAnswer(t *testing.T) {
	for name, c := range map[string]struct {
		fail func(*network)
		most float64 // of the limit
	}{
		"cut off":            {func(n *network) { n.cut["a0"] = true }, 1.5}, // it lets itself have the whole
		"an earlier version": {func(n *network) { n.old["a0"] = true }, 1.5},
		"no relay":           {func(n *network) { n.relays = nil }, 0.6},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := newNetwork()
				relays := n.relays
				for _, k := range n.keepers {
					k.Answered(inNeed, says("4"))
				}
				n.press(5 * time.Second)
				n.change(func() { c.fail(n) })
				n.press(time.Second) // permits that were given before
				sent := n.press(20 * time.Second)
				assert.Assert(t, float64(sent) <= 4*20*c.most, "%d", sent)
				assert.Assert(t, sent > 4, "%d: nobody may send any more", sent)
				n.change(func() {
					clear(n.cut)
					clear(n.old)
					n.relays = relays
				})
				n.press(3 * time.Second)
				sent = n.press(10 * time.Second)
				assert.Assert(t, sent >= 34 && sent <= 44, "%d of 40", sent)
				time.Sleep(time.Second) // asks that are under way
			})
		})
	}
}

// TestWithoutOthers a balancer keeps the whole limit by itself.
func TestWithoutOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		k := limits.New(limits.Config{Log: hclog.NewNullLogger(), Metrics: metrics.NewRegistry()})
		n := &network{keepers: map[string]*limits.Keeper{"": k}}
		k.Answered(inNeed, says("2"))
		sent := n.press(10 * time.Second)
		assert.Assert(t, sent >= 18 && sent <= 22, "%d of 20", sent)
	})
}

// TestNotesThatMakeNoSense change nothing.
func TestNotesThatMakeNoSense(t *testing.T) {
	n := newNetwork()
	for _, data := range []string{"", "{", `{"Target":{"ID":"i-1","Start":1},"Word":{"Known":true,"Rate":-1}}`, `{"Target":{"ID":"i-1","Start":1}}`, `{"Word":7}`} {
		_ = n.keepers["a1"].Hear(relay.Note{Topic: limits.Topic, Data: []byte(data)})
		assert.Equal(t, n.knows("a1"), limit.Free, data)
	}
}
