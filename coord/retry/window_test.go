package retry_test

import (
	"testing"
	"time"

	"github.com/lotuswing/lotuswing/coord/retry"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestFleetKeepsItsBudget: processes that each keep to a share of their own
// requests and one repeat beyond it keep the fleet's bound in any span, without
// knowing how many they are.
func TestFleetKeepsItsBudget(t *testing.T) {
	const (
		ratio = 0.2
		burst = 64
	)
	limit := retry.ShareOf(10*time.Second, ratio, burst)
	assert.DeepEqual(t, limit, retry.WindowLimit{Span: 10 * time.Second, Ratio: 0.85 * ratio, Allowance: 1})
	rapid.Check(t, func(t *rapid.T) {
		processes := make([]retry.Window, rapid.IntRange(1, 18).Draw(t, "processes"))
		for i := range processes {
			processes[i] = retry.NewWindow(limit)
		}
		now := time.Unix(1000, 0)
		var requests, repeats []time.Time
		for range rapid.IntRange(1, 600).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "ms")) * time.Millisecond)
			p := rapid.IntRange(0, len(processes)-1).Draw(t, "process")
			if rapid.IntRange(0, 2).Draw(t, "event") == 0 {
				processes[p] = processes[p].WithRequest(now)
				requests = append(requests, now)
			} else if processes[p].Covers(now) {
				processes[p] = processes[p].WithRetry(now)
				repeats = append(repeats, now)
			}
			bound := ratio*float64(within(requests, now, 10*time.Second)) + burst
			assert.Assert(t, float64(within(repeats, now, 10*time.Second)) <= bound)
		}
	})
}

// TestFleetOfAnySizeKeepsItsBudget: processes that use all that their share covers, with
// as many requests as fall to each or none at all, keep the fleet's bound at any size, as
// long as the burst is at least their number.
func TestFleetOfAnySizeKeepsItsBudget(t *testing.T) {
	const ratio = 0.2
	now := time.Unix(1000, 0)
	for _, size := range []int{3, 30, 300, 3000} {
		for _, each := range []int{0, 1, 7, 200} {
			burst := float64(size)
			limit := retry.ShareOf(10*time.Second, ratio, burst)
			retries := 0
			for range size {
				w := retry.NewWindow(limit)
				for range each {
					w = w.WithRequest(now)
				}
				for ; w.Covers(now); retries++ {
					w = w.WithRetry(now)
				}
			}
			bound := ratio*float64(size*each) + burst
			assert.Assert(t, float64(retries) <= bound, "%d processes with %d requests each: %d retries, %.0f allowed", size, each, retries, bound)
			assert.Assert(t, each < 7 || retries > size, "%d processes with %d requests each: %d retries, of no use", size, each, retries)
		}
	}
}

func within(times []time.Time, now time.Time, span time.Duration) int {
	n := 0
	for _, at := range times {
		if now.Sub(at) < span {
			n++
		}
	}
	return n
}

// TestWindowForgets: repeats count for the span and no longer.
func TestWindowForgets(t *testing.T) {
	now := time.Unix(1000, 0)
	w := retry.NewWindow(retry.WindowLimit{Span: 10 * time.Second, Allowance: 1})
	assert.Assert(t, w.Covers(now))
	w = w.WithRetry(now)
	assert.Assert(t, !w.Covers(now.Add(9*time.Second)))
	assert.Assert(t, w.Covers(now.Add(11*time.Second)))
	assert.Assert(t, w.Covers(now.Add(time.Hour)))
}

// TestRatioIsEarnedByRequests of the window.
func TestRatioIsEarnedByRequests(t *testing.T) {
	now := time.Unix(1000, 0)
	w := retry.NewWindow(retry.WindowLimit{Span: 10 * time.Second, Ratio: 0.2})
	for range 5 {
		assert.Assert(t, !w.Covers(now))
		w = w.WithRequest(now)
	}
	assert.Assert(t, w.Covers(now))
	assert.Assert(t, !w.WithRetry(now).Covers(now))
}

// TestNewLimitKeepsCounts of the same span.
func TestNewLimitKeepsCounts(t *testing.T) {
	now := time.Unix(1000, 0)
	w := retry.NewWindow(retry.WindowLimit{Span: 10 * time.Second, Allowance: 2}).WithRetry(now)
	assert.Assert(t, w.Covers(now))
	assert.Assert(t, !w.WithLimit(retry.WindowLimit{Span: 10 * time.Second, Allowance: 1}).Covers(now))
	assert.Assert(t, w.WithLimit(retry.WindowLimit{Span: 20 * time.Second, Allowance: 1}).Covers(now), "another span begins anew")
}

// TestNoRepeatIsForgottenWithinTheSpan, wherever in a part of it the repeat fell.
func TestNoRepeatIsForgottenWithinTheSpan(t *testing.T) {
	for offset := range 100 {
		now := time.Unix(1000, 0).Add(time.Duration(offset) * 10 * time.Millisecond)
		w := retry.NewWindow(retry.WindowLimit{Span: 10 * time.Second, Allowance: 1}).WithRetry(now)
		assert.Assert(t, !w.Covers(now.Add(10*time.Second-time.Millisecond)), "offset %d", offset)
	}
}
