package tally

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func neverRelay(string) bool { return false }

func latest(a, b time.Time) time.Time {
	if a.Before(b) {
		return b
	}
	return a
}

// TestIdleBalancerIsNotExtrapolated checks that no rate is assumed for a balancer whose last report
// said that it is idle, but is for one that falls silent while it counts.
func TestIdleBalancerIsNotExtrapolated(t *testing.T) {
	for name, c := range map[string]struct {
		reportsUntil time.Duration
		silentRate   float64
	}{
		"idle":         {time.Minute, 0},
		"falls silent": {time.Second, 5},
	} {
		t.Run(name, func(t *testing.T) {
			counter, aggregator := NewCounter("10.0.0.1:1", "medina", 1), NewAggregator("10.0.0.2:1", "medina", 2)
			var lastReport time.Time
			counter.Add("team", 1, start)
			now := start
			for now.Sub(start) < 10*time.Second {
				at, ok := counter.Due(Intervals{Normal: 250 * time.Millisecond}, now)
				if now = latest(at, now.Add(time.Millisecond)); !ok {
					continue
				}
				r := counter.Report(now)
				if now.Sub(start) <= c.reportsUntil {
					aggregator.Apply(r, now)
					aggregator.SetFallbackRate("team", "10.0.0.1:1", 5)
					counter.Acknowledge(r)
					lastReport = now
				}
			}
			own, _ := aggregator.SilentRates("team", neverRelay, lastReport.Add(3*time.Second))
			assert.Equal(t, own, c.silentRate)

			counter.Add("team", 7, now)
			changes := aggregator.Apply(counter.Report(now), now)
			assert.Equal(t, len(changes) > 0 && changes[0].By == 7, c.silentRate == 0, "%+v", changes)
		})
	}
}

// TestUnreportedShare checks the share of silent balancers that have never reported a key and may
// begin to count under it.
func TestUnreportedShare(t *testing.T) {
	apply := func(a *Aggregator, from string, relay bool, members int, idle bool, age time.Duration, key string) {
		a.Apply(Report{From: from, Zone: from, Life: 1, Number: 1, Relay: relay, Members: members, Rests: idle, Counts: []Count{{Key: key, Total: 1}}}, start.Add(-age))
	}
	a := NewAggregator("10.0.0.1:1", "medina", 1)
	apply(a, "10.0.0.2:1", false, 0, false, 2*time.Second, "other")
	apply(a, "10.0.0.3:1", false, 0, false, 0, "other")
	apply(a, "10.0.0.4:1", false, 0, true, 2*time.Second, "other")
	apply(a, "10.0.0.5:1", false, 0, false, 20*time.Second, "other")
	apply(a, "10.0.0.6:1", true, 5, false, 6*time.Second, "other")
	apply(a, "10.0.0.7:1", true, 2, false, 2*time.Second, "other")
	all := 1.0 + 1 + 1 + 5 + 2 // the balancer that is silent for 20 s is no longer counted
	isRegistered := func(addr string) bool { return addr == "10.0.0.6:1" }
	check := func(key string, isRelay IsRelay, want float64) {
		t.Helper()
		got := a.UnreportedShare(key, isRelay, start)
		assert.Assert(t, math.Abs(got-want) < 1e-9, "%v, want %v", got, want) // summed in map order
	}
	check("team", isRegistered, (1+5+2)/all)
	check("team", neverRelay, (1+2)/all) // a relay that is no longer registered is dropped sooner
	check("other", isRegistered, 0)      // all have reported this key
}

// TestFallbackRateOfSilentZoneIsFrozen checks that the fallback rate of a silent zone is the one of
// its last report, whatever other zones count afterwards.
func TestFallbackRateOfSilentZoneIsFrozen(t *testing.T) {
	a := NewAggregator("10.0.0.1:1", "medina", 1)
	report := func(from string, number uint64, total int64, at time.Time) {
		a.Apply(Report{From: from, Zone: from, Life: 1, Number: number, Relay: true, Members: 10, Counts: []Count{{Key: "team", Total: total}}}, at)
		a.SetRelayFallbackRates("team", 100, at)
	}
	report("silent", 1, 10, start)
	report("flooded", 1, 10, start)
	for i := range uint64(9) {
		report("flooded", i+2, 10+1000*int64(i), start.Add(time.Duration(i+4)*100*time.Millisecond))
	}
	isRegistered := func(string) bool { return true }
	_, silentRate := a.SilentRates("team", isRegistered, start.Add(1100*time.Millisecond))
	assert.Equal(t, silentRate, 50.0, "half of 100 per second, from before the other zone was flooded")
}
