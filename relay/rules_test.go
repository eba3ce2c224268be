package relay

import (
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestNextRelay checks that the relay of the own zone comes first and that others are selected by
// offset.
func TestNextRelay(t *testing.T) {
	now := time.Unix(1000, 0)
	own := Relay{Addr: "me", Zone: "medina"}
	ownZoneRelay := Relay{ID: "a", Addr: "a", Zone: "medina"}
	others := []Relay{{ID: "b", Addr: "b", Zone: "tribunal"}, {ID: "c", Addr: "c", Zone: "ville-nouvelle"}}
	all := append([]Relay{ownZoneRelay}, others...)
	penalize := func(addr string) map[string]time.Time { return map[string]time.Time{addr: now.Add(time.Second)} }
	for _, c := range []struct {
		name      string
		all       []Relay
		penalized map[string]time.Time
		offset    int
		want      string // empty for none
	}{
		{"relay of the own zone", all, nil, 1, "a"},
		{"another relay while that one is penalized", all, penalize("a"), 0, "b"},
		{"another relay by offset", all, penalize("a"), 1, "c"},
		{"relay of the own zone after its penalty", all, map[string]time.Time{"a": now}, 0, "a"},
		{"not this balancer itself", []Relay{{ID: "me", Addr: "me", Zone: "medina"}}, nil, 0, ""},
		{"none", nil, nil, 0, ""},
		{"all relays penalized", []Relay{ownZoneRelay}, penalize("a"), 0, ""},
	} {
		got, ok := nextRelay(c.all, own, c.penalized, c.offset, now)
		assert.Equal(t, ok, c.want != "", c.name)
		assert.Equal(t, got.ID, c.want, c.name)
	}
}

// TestPenaltyAndBackoff checks how long a relay that failed is not asked, when the store is watched
// instead, and how long a balancer waits before it registers.
func TestPenaltyAndBackoff(t *testing.T) {
	o := Options{}.withDefaults()
	now := time.Unix(1000, 0)
	assert.Equal(t, o.penalty(errors.New("silent")), 3*time.Second)
	assert.Equal(t, o.penalty(unsettledError{}), 750*time.Millisecond)
	assert.Equal(t, o.penalty(unsettledError{lost: true}), 3*time.Second, "followers of a relay that lost the store wait with patient calls")
	assert.Assert(t, !o.mustWatchStore(now.Add(-650*time.Millisecond), now))
	assert.Assert(t, o.mustWatchStore(now.Add(-651*time.Millisecond), now))
	assert.Equal(t, o.maxJitter(0), time.Second)
	assert.Equal(t, o.maxJitter(2), 10*time.Second)
	assert.Equal(t, o.backoff(0, 0.2), 300*time.Millisecond)
	assert.Equal(t, o.backoff(100*time.Millisecond, 0.8), 100*time.Millisecond)
	assert.Equal(t, o.backoff(0, 0.01), 600*time.Millisecond, "a very small VM counts as one with 0.1 of a core")
}

// TestLargerVMsRegisterFirst checks that every VM with four times the processor share finishes its
// wait before the first small VM does, however many VMs there are.
func TestLargerVMsRegisterFirst(t *testing.T) {
	o := Options{}.withDefaults()
	for _, relays := range []int{0, 1, 3} {
		wait := func(random, cores float64) time.Duration {
			return o.backoff(jitterAt(o.maxJitter(relays), random), cores)
		}
		assert.Assert(t, wait(1, 0.8) < wait(0, 0.2), "%d relays: %v, %v", relays, wait(1, 0.8), wait(0, 0.2))
		assert.Assert(t, wait(0, 0.2) < wait(1, 0.2), "VMs of the same size spread")
	}
	assert.Assert(t, o.backoff(jitterAt(o.maxJitter(0), 1), 0.16) < o.TTL, "without any relay, a balancer registers soon")
}

// TestSeedsRegisterAfterOthersOfTheirSize checks that seeds register after all other VMs of their
// size and before smaller VMs.
func TestSeedsRegisterAfterOthersOfTheirSize(t *testing.T) {
	o := Options{}.withDefaults()
	wait := func(isSeed bool, random, cores float64) time.Duration {
		return o.backoff(jitterAt(o.maxJitter(1), jitterPosition(isSeed, random)), cores)
	}
	assert.Assert(t, wait(false, 0.999, 0.8) < wait(true, 0, 0.8))
	assert.Assert(t, wait(true, 1, 0.8) < wait(false, 0, 0.2))
}

// TestOtherRelaysAreAskedInRotation checks whom a balancer asks that waits at a relay without the store, and that a
// large fleet asks less often.
func TestOtherRelaysAreAskedInRotation(t *testing.T) {
	all := []Relay{{Addr: "a"}, {Addr: "b"}, {Addr: "c"}, {Addr: "d"}}
	for n, want := range []string{"b", "d", "b"} {
		r, ok := otherRelay(all, "a", "c", n)
		assert.Assert(t, ok && r.Addr == want, "%d: %v", n, r)
	}
	_, ok := otherRelay(all[:2], "a", "b", 0)
	assert.Assert(t, !ok)
	assert.Equal(t, otherRelayPause(1), minOtherRelayPause)
	assert.Assert(t, 604/otherRelayPause(604).Seconds() <= 250, "calls a second by the balancers of a zone")
}
