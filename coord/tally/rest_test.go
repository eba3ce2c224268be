package tally

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func never(string) bool { return false }

func later(a, b time.Time) time.Time {
	if a.Before(b) {
		return b
	}
	return a
}

// TestBalancerThatRestsIsNotCountedOn: one that has counted nothing for a while says so in its last
// report, and nobody counts on for it; one that falls silent while it counts is counted on.
func TestBalancerThatRestsIsNotCountedOn(t *testing.T) {
	for name, c := range map[string]struct {
		heardUntil time.Duration
		unheard    float64
	}{
		"rests":        {time.Minute, 0},
		"falls silent": {time.Second, 5},
	} {
		t.Run(name, func(t *testing.T) {
			counter, ledger := NewCounter("10.0.0.1:1", "medina", 1), NewLedger("10.0.0.2:1", "medina", 2)
			var last time.Time
			counter.Add("team", 1, start)
			now := start
			for now.Sub(start) < 10*time.Second {
				at, ok := counter.Due(Pauses{Calm: 250 * time.Millisecond}, now)
				if now = later(at, now.Add(time.Millisecond)); !ok {
					continue
				}
				r := counter.Report(now)
				if now.Sub(start) <= c.heardUntil {
					ledger.Note(r, now)
					ledger.Hold("team", "10.0.0.1:1", 5)
					counter.Taken(r)
					last = now
				}
			}
			own, _ := ledger.Unheard("team", never, last.Add(3*time.Second))
			assert.Equal(t, own, c.unheard)

			counter.Add("team", 7, now)
			changes := ledger.Note(counter.Report(now), now)
			assert.Equal(t, len(changes) > 0 && changes[0].By == 7, c.unheard == 0, "%+v", changes)
		})
	}
}

// TestUntoldPart: who is not heard of may begin to count what it has never counted.
func TestUntoldPart(t *testing.T) {
	heard := func(l *Ledger, from string, relay bool, members int, rests bool, age time.Duration, key string) {
		l.Note(Report{From: from, Zone: from, Life: 1, Number: 1, Relay: relay, Members: members, Rests: rests, Counts: []Count{{Key: key, Total: 1}}}, start.Add(-age))
	}
	l := NewLedger("10.0.0.1:1", "medina", 1)
	heard(l, "10.0.0.2:1", false, 0, false, 2*time.Second, "other")
	heard(l, "10.0.0.3:1", false, 0, false, 0, "other")
	heard(l, "10.0.0.4:1", false, 0, true, 2*time.Second, "other")
	heard(l, "10.0.0.5:1", false, 0, false, 20*time.Second, "other")
	heard(l, "10.0.0.6:1", true, 5, false, 6*time.Second, "other")
	heard(l, "10.0.0.7:1", true, 2, false, 2*time.Second, "other")
	all := 1.0 + 1 + 1 + 5 + 2 // the one that has been gone for 20 s is forgotten
	registered := func(addr string) bool { return addr == "10.0.0.6:1" }
	near := func(key string, isRelay IsRelay, want float64) {
		t.Helper()
		got := l.Untold(key, isRelay, start)
		assert.Assert(t, math.Abs(got-want) < 1e-9, "%v, want %v", got, want) // added up in no order
	}
	near("team", registered, (1+5+2)/all)
	near("team", never, (1+2)/all) // a relay that is not registered any more is gone sooner
	near("other", registered, 0)   // they have told of it
}

// TestHoldOfAZoneThatFellSilent is what it was told while it was heard of, whatever others count then.
func TestHoldOfAZoneThatFellSilent(t *testing.T) {
	l := NewLedger("10.0.0.1:1", "medina", 1)
	tell := func(from string, number uint64, total int64, at time.Time) {
		l.Note(Report{From: from, Zone: from, Life: 1, Number: number, Relay: true, Members: 10, Counts: []Count{{Key: "team", Total: total}}}, at)
		l.HoldRelays("team", 100, at)
	}
	tell("silent", 1, 10, start)
	tell("flooded", 1, 10, start)
	for i := range uint64(9) {
		tell("flooded", i+2, 10+1000*int64(i), start.Add(time.Duration(i+4)*100*time.Millisecond))
	}
	registered := func(string) bool { return true }
	_, unheard := l.Unheard("team", registered, start.Add(1100*time.Millisecond))
	assert.Equal(t, unheard, 50.0, "half of 100 a second, as of both")
}
