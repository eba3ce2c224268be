package selection_test

import (
	"testing"
	"time"

	"github.com/lotuswing/lotuswing/coord/placement"
	"github.com/lotuswing/lotuswing/coord/selection"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

const work = 100 * time.Millisecond

var (
	start = time.Unix(1000, 0)
	warm  = selection.Conditions{Slots: 3, Warm: true, Slowness: 1, Crowding: learnedCrowding(3, 1, 1, 1)}
)

// learnedCrowding returns the crowding after many completions at endpoints with the given factors
// for 1, 2, ... requests in flight.
func learnedCrowding(slots int, factors ...float64) *selection.Crowding {
	var w selection.ServiceTime
	var c selection.Crowding
	for range 400 {
		for i, f := range factors {
			w, c = selection.WithCompletion(w, c, placement.Choice{Pace: 1, Busy: i + 1}, time.Duration(f*float64(work)), slots)
		}
	}
	return &c
}

// reportedLoad returns the load after a report received at start.
func reportedLoad(running, waiting int, pace float64) selection.Load {
	return selection.Load{}.WithReport(placement.LoadReport{Known: true, InFlight: running, Waiting: waiting, Slots: 3, Pace: pace}, start)
}

// TestEstimate checks how pace, occupancy, warm-up and slow completions raise the estimate.
func TestEstimate(t *testing.T) {
	lastSlot, cold, slow := warm, warm, warm
	lastSlot.Crowding = learnedCrowding(3, 1, 1, 1.7)
	cold.Warm = false
	slow.Slowness = 3
	cases := []struct {
		name       string
		load       selection.Load
		conditions selection.Conditions
		after      time.Duration
		want       time.Duration
	}{
		{"idle at a pace of 1", reportedLoad(0, 0, 1), warm, 0, work},
		{"idle at a pace of 5", reportedLoad(0, 0, 5), warm, 0, 5 * work},
		{"an old report counts as the default pace", reportedLoad(0, 0, 5), warm, time.Minute, 180 * time.Millisecond},
		{"no report counts as the default pace", selection.Load{}, warm, 0, 180 * time.Millisecond},
		{"last slot, without slowdown", reportedLoad(2, 0, 1), warm, 0, work},
		{"last slot, with slowdown", reportedLoad(2, 0, 1), lastSlot, 0, 170 * time.Millisecond},
		{"no free slot", reportedLoad(3, 0, 1), warm, 0, 133333333 * time.Nanosecond},
		{"warming up", reportedLoad(0, 0, 1), cold, 0, 2 * work},
		{"slow by its completions", reportedLoad(0, 0, 1), slow, 0, 3 * work},
	}
	for _, c := range cases {
		got := c.load.Estimate(c.conditions, work, start.Add(c.after))
		assert.Assert(t, (got-c.want).Abs() < time.Millisecond, "%s: %v, want %v", c.name, got, c.want)
	}
}

// TestConcurrencyLimit checks that the concurrency limit is below the number of slots exactly if the last
// slots lower the throughput.
func TestConcurrencyLimit(t *testing.T) {
	for _, c := range []struct {
		slots   int
		factors []float64
		want    int
	}{
		{3, []float64{1, 1, 1}, 3},
		{3, []float64{1, 1, 1.4}, 3},
		{3, []float64{1, 1, 1.6}, 2},
		{6, []float64{1, 1, 1, 1, 1.65, 1.65}, 4},
		{6, []float64{1, 1, 1, 1, 1.2, 1.3}, 6},
		{6, []float64{1, 1, 1, 1, 1, 1.65}, 5},
		{8, []float64{1, 1, 1, 1, 1, 1, 1.7, 1.7}, 6},
		{1, []float64{9}, 1},
	} {
		assert.Equal(t, learnedCrowding(c.slots, c.factors...).ConcurrencyLimit(c.slots), c.want, "%d slots, %v", c.slots, c.factors)
	}
}

// TestCrowdingIsLearned checks that the factor of each occupancy is learned on its own. Without
// samples it is that of the occupancy below, and somewhat higher for the last slot.
func TestCrowdingIsLearned(t *testing.T) {
	var nothing selection.Crowding
	assert.Equal(t, nothing.CrowdingFactor(4, 6), 1.0)
	assert.Equal(t, nothing.CrowdingFactor(5, 6), 1.0)
	assert.Equal(t, nothing.CrowdingFactor(6, 6), 1.2)
	c := learnedCrowding(6, 1, 1, 1, 1, 1.65)
	for busy, want := range []float64{1, 1, 1, 1, 1, 1.65, 1.65} {
		got := c.CrowdingFactor(busy, 6)
		assert.Assert(t, got > want-0.02 && got < want+0.02, "%d of 6: %v", busy, got)
	}
}

// TestOwnRequestsAreAddedToReport checks that requests sent since a report are added to
// it, until the next report, which includes them.
func TestOwnRequestsAreAddedToReport(t *testing.T) {
	now := start.Add(time.Millisecond)
	s := reportedLoad(1, 0, 1).WithSent().WithSent()
	assert.Equal(t, s.Busy(now), 3)
	s = s.WithReport(placement.LoadReport{Known: true, InFlight: 2, Slots: 3, Pace: 1}, start.Add(time.Millisecond))
	assert.Equal(t, s.Busy(now), 2)
	s = s.WithReport(placement.LoadReport{Known: true, InFlight: 0, Slots: 3, Pace: 1}, start)
	assert.Equal(t, s.Busy(now), 2, "an older report is ignored")
	assert.Equal(t, s.WithEnded().WithEnded().InFlight(), 0)
}

// TestBusyIsNeverBelowOwnRequests checks that in random sequences of requests and reports, Busy is at
// least the number of the balancer's own requests.
func TestBusyIsNeverBelowOwnRequests(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var s selection.Load
		now, own := start, 0
		for range rapid.IntRange(0, 40).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 2).Draw(t, "event") {
			case 0:
				s, own = s.WithSent(), own+1
			case 1:
				s, own = s.WithEnded(), max(0, own-1)
			case 2:
				s = s.WithReport(placement.LoadReport{Known: true, InFlight: rapid.IntRange(0, 5).Draw(t, "running"), Slots: 3, Pace: 1}, now)
			}
			assert.Assert(t, s.Busy(now) >= own, "busy %d below own %d", s.Busy(now), own)
			assert.Equal(t, s.InFlight(), own)
		}
	})
}

// TestOldReportIsIgnoredInBusy checks that an endpoint with an old report counts as free, except
// for this balancer's own requests, even if the report said that it was full.
func TestOldReportIsIgnoredInBusy(t *testing.T) {
	s := reportedLoad(3, 2, 1).WithSent()
	soon, later := start.Add(400*time.Millisecond), start.Add(401*time.Millisecond)
	assert.Equal(t, s.Busy(soon), 6)
	assert.Equal(t, s.Busy(later), 1)
	e := warm
	e.Crowding = learnedCrowding(3, 1, 1, 2)
	assert.Assert(t, s.Estimate(e, work, later) < s.Estimate(e, work, soon))
}
