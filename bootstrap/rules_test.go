package bootstrap_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/lotuswing/lotuswing/bootstrap"
	"gotest.tools/v3/assert"
)

var start = time.Unix(1000, 0)

// TestOrder: those to whom a balancer is sent on come first, then the relay of the own
// zone, then the others; each is asked once within the time.
func TestOrder(t *testing.T) {
	self := bootstrap.Peer{Addr: "self", Zone: "a"}
	relays := []bootstrap.Peer{{Addr: "b", Zone: "b"}, {Addr: "c", Zone: "c"}, {Addr: "a", Zone: "a"}, self}
	take := func(o bootstrap.Order, n int, now time.Time) (got []string, next bootstrap.Order) {
		for range n {
			peer, rest, ok := o.WithNext(now)
			if !ok {
				break
			}
			got, o = append(got, peer.Addr), rest
		}
		return got, o
	}
	o := bootstrap.NewOrder(self, nil, 0, time.Second).WithRelays(relays)
	got, _ := take(o, 9, start)
	assert.DeepEqual(t, got, []string{"a", "b", "c"})
	got, _ = take(bootstrap.NewOrder(self, nil, 1, time.Second).WithRelays(relays), 9, start)
	assert.DeepEqual(t, got, []string{"a", "c", "b"})
	got, o = take(o, 1, start)
	assert.DeepEqual(t, got, []string{"a"})
	got, o = take(o.WithRedirect([]string{"x", "self", "y"}), 9, start)
	assert.DeepEqual(t, got, []string{"x", "y", "b", "c"})
	o = o.WithRelays(relays)
	got, _ = take(o, 9, start.Add(time.Second-1))
	assert.Equal(t, len(got), 0, "%v", got)
	got, _ = take(o, 9, start.Add(time.Second))
	assert.DeepEqual(t, got, []string{"a", "b", "c"})
}

// TestSeeds are asked when nobody else is left, and again after a time.
func TestSeeds(t *testing.T) {
	o := bootstrap.NewOrder(bootstrap.Peer{Addr: "self", Zone: "a"}, []string{"s1", "self", "s2"}, 1, time.Second)
	o = o.WithRelays([]bootstrap.Peer{{Addr: "a", Zone: "a"}, {Addr: "s1", Zone: "b"}})
	var got []string
	for now := start; len(got) < 6; now = now.Add(300 * time.Millisecond) {
		peer, rest, ok := o.WithNext(now)
		if o = rest; ok {
			got = append(got, peer.Addr)
		}
	}
	assert.DeepEqual(t, got, []string{"a", "s1", "s2", "s1", "s2", "s1"})
}

// TestRecipients: a few are given a copy, the others are sent on to these in turn, and
// after a time new ones are given one.
func TestRecipients(t *testing.T) {
	var r bootstrap.Recipients
	var instead []string
	given := map[string]bool{}
	for i := range 8 {
		addr := fmt.Sprint("given", i)
		r, instead = r.WithQuestion(addr, 8, start)
		assert.Equal(t, len(instead), 0)
		given[addr] = true
	}
	sentTo := map[string]int{}
	for i := range 16 {
		r, instead = r.WithQuestion(fmt.Sprint("late", i), 8, start.Add(time.Millisecond))
		assert.Equal(t, len(instead), 2)
		assert.Assert(t, given[instead[0]] && given[instead[1]] && instead[0] != instead[1])
		sentTo[instead[0]]++
	}
	assert.Equal(t, len(sentTo), 8)
	for addr, n := range sentTo {
		assert.Equal(t, n, 2, addr)
	}
	_, instead = r.WithQuestion("given3", 8, start.Add(time.Millisecond))
	assert.Equal(t, len(instead), 0, "a copy may be lost on the way")
	_, instead = r.WithQuestion("late1", 8, start.Add(time.Second))
	assert.Equal(t, len(instead), 0)
}

// TestTreeIsShallow: how many steps the copies for a fleet's zone take grows with the
// logarithm of its size, whatever the order in which balancers ask.
func TestTreeIsShallow(t *testing.T) {
	for _, size := range []int{3, 30, 79, 300, 1210, 7257} {
		books := map[string]bootstrap.Recipients{}
		depth := map[string]int{"relay": 0}
		deepest := 0
		for i := range size {
			self := fmt.Sprint(i)
			peer := "relay"
			for {
				next, instead := books[peer].WithQuestion(self, 8, start)
				books[peer] = next
				if len(instead) == 0 {
					break
				}
				peer = instead[0]
			}
			depth[self] = depth[peer] + 1
			deepest = max(deepest, depth[self])
		}
		most := 1 + int(math.Ceil(math.Log(float64(size))/math.Log(8)))
		assert.Assert(t, deepest <= most, "%d balancers: %d steps, at most %d", size, deepest, most)
	}
}

// TestReadAfter: a relay reads at once, larger balancers before smaller ones, and while
// relays are known nobody else reads in the first half second.
func TestReadAfter(t *testing.T) {
	o := bootstrap.Options{ReadSpread: time.Second}
	assert.Equal(t, o.ReadAfter(true, false, true, 0.9, 0.1), time.Duration(0))
	assert.Equal(t, o.ReadAfter(false, true, false, 0.9, 0.1), time.Duration(0), "a seed is asked where no relay is known")
	assert.Equal(t, o.ReadAfter(false, true, true, 0.5, 0.2), 2500*time.Millisecond)
	assert.Equal(t, o.ReadAfter(false, false, false, 0.5, 0.2), 500*time.Millisecond)
	assert.Equal(t, o.ReadAfter(false, false, false, 0.5, 0.8), 125*time.Millisecond)
	assert.Equal(t, o.ReadAfter(false, false, false, 0.5, 0.01), o.ReadAfter(false, false, false, 0.5, 0.1))
	assert.Equal(t, o.ReadAfter(false, false, true, 0, 0.8), 500*time.Millisecond)
	assert.Equal(t, o.ReadAfter(false, false, true, 0.5, 0.2), 2500*time.Millisecond)
}
