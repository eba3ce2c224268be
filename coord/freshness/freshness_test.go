package freshness_test

import (
	"testing"
	"time"

	"github.com/lotuswing/lotuswing/coord/freshness"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestLongestWayFitsBudget adds up the longest way from a change to its full read, for any budget and costs.
func TestLongestWayFitsBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		within := time.Duration(rapid.Int64Range(int64(400*time.Millisecond), int64(time.Minute)).Draw(t, "within"))
		part := func(name string, most float64) time.Duration {
			return time.Duration(rapid.Float64Range(0, most).Draw(t, name) * float64(within))
		}
		b := freshness.Budget{Within: within, Patience: part("patience", 0.5)}
		c := freshness.Costs{}.WithCheck(part("check", 0.25)).WithRead(part("read", 0.25))
		period := b.CheckPeriod(part("longest", 0.5), c)
		change := time.Unix(1000, 0) // just after the check that confirmed everything before it
		seen := change.Add(period + 2*c.Check)
		inPause := rapid.Bool().Draw(t, "pause")
		if watchAt := b.WatchAt(change, seen, c); inPause && watchAt.After(seen) {
			seen = watchAt
		}
		readAt := b.ReadAt(change, seen, c)
		if readAt.Before(seen) {
			readAt = seen
		}
		known := readAt.Add(c.Read)
		assert.Assert(t, known.Sub(change) <= within, "known %v after the change, %v allowed", known.Sub(change), within)
	})
}

// TestRereadPeriodGrowsWithinBudget checks that refused watches cause no loop of reads without a pause.
func TestRereadPeriodGrowsWithinBudget(t *testing.T) {
	b := freshness.Budget{Within: 2 * time.Second}
	c := freshness.Costs{Read: 100 * time.Millisecond}
	last := time.Duration(-1)
	for n := range 50 {
		period := b.RereadPeriod(n, 500*time.Millisecond, c)
		assert.Assert(t, period >= last && period+2*c.Read <= b.Within, "%d: %v", n, period)
		assert.Equal(t, period == 0, n <= 1)
		last = period
	}
}
