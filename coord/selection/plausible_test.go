package selection_test

import (
	"math"
	"testing"
	"time"

	"github.com/lotuswing/lotuswing/coord/placement"
	"github.com/lotuswing/lotuswing/coord/selection"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestReportsThatCannotBeTrueCountAsNone guards against numbers of a faulty endpoint that bound a loop, overflow a
// product or make it seem to take any number of requests.
func TestReportsThatCannotBeTrueCountAsNone(t *testing.T) {
	sound := placement.LoadReport{Known: true, InFlight: 2, Waiting: 1, Slots: 3, Pace: 1.5, State: placement.Live}
	for _, listed := range []int{0, 1, 3, 24} {
		assert.Equal(t, selection.PlausibleReport(sound, listed), sound)
	}
	for name, change := range map[string]func(*placement.LoadReport){
		"slots of 32 bits":       func(r *placement.LoadReport) { r.Slots = math.MaxUint32 },
		"slots of 63 bits":       func(r *placement.LoadReport) { r.Slots = math.MaxInt64 },
		"nine times the listing": func(r *placement.LoadReport) { r.Slots = 27 },
		"negative slots":         func(r *placement.LoadReport) { r.Slots = -1 },
		"many in flight":         func(r *placement.LoadReport) { r.InFlight = math.MaxInt64 },
		"negative in flight":     func(r *placement.LoadReport) { r.InFlight = math.MinInt64 },
		"many waiting":           func(r *placement.LoadReport) { r.Waiting = math.MaxInt64 },
		"infinite pace":          func(r *placement.LoadReport) { r.Pace = math.Inf(1) },
		"no pace":                func(r *placement.LoadReport) { r.Pace = math.NaN() },
		"pace of 63 bits":        func(r *placement.LoadReport) { r.Pace = math.MaxInt64 },
	} {
		r := sound
		change(&r)
		got := selection.PlausibleReport(r, 3)
		assert.Assert(t, !got.Known && got.State == placement.Live, name)
	}
}

// TestConcurrencyLimitIsThatOfAllNumbers checks that looking at the highest number of each occupancy level
// finds the same limit as looking at all numbers of requests.
func TestConcurrencyLimitIsThatOfAllNumbers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		learned := crowdingWith(rapid.SliceOfN(rapid.Float64Range(0.5, 6), 0, 200).Draw(t, "ratios"), rapid.IntRange(1, 64).Draw(t, "learned slots"))
		slots := rapid.IntRange(1, 5000).Draw(t, "slots")
		best, bestThroughput := 1, 0.0
		for n := max(1, slots/2); n <= slots; n++ {
			if throughput := float64(n) / learned.CrowdingFactor(n, slots); throughput > bestThroughput {
				best, bestThroughput = n, throughput
			}
		}
		assert.Equal(t, learned.ConcurrencyLimit(slots), best)
	})
}

// TestConcurrencyLimitOfAnyNumberOfSlots guards against a time that grows with the number of slots: with one step
// for each slot it does not end.
func TestConcurrencyLimitOfAnyNumberOfSlots(t *testing.T) {
	var none selection.Crowding
	for _, slots := range []int{math.MaxUint32, math.MaxInt64 / 32, math.MaxInt64} {
		limit := none.ConcurrencyLimit(slots)
		assert.Assert(t, limit >= slots/2 && limit <= slots, "%d of %d", limit, slots)
	}
}

// crowdingWith returns what is learned from requests that took the given ratios of their usual time, one for each
// number of requests at an endpoint in turn.
func crowdingWith(ratios []float64, slots int) selection.Crowding {
	var s selection.ServiceTime
	var c selection.Crowding
	for i, ratio := range ratios {
		choice := placement.Choice{Busy: i%slots + 1, Pace: 1}
		s, c = selection.WithCompletion(s, c, choice, time.Duration(ratio*float64(time.Second)), slots)
	}
	return c
}
