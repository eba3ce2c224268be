package tally

import (
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
