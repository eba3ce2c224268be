package selection_test

import (
	"testing"
	"time"

	"github.com/lotuswing/lotuswing/coord/selection"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

const work = 100 * time.Millisecond

var (
	start = time.Unix(1000, 0)
	opts  = selection.Options{}.WithDefaults()
	warm  = selection.Endpoint{Slots: 3, Warm: true, Slowness: 1, Crowded: 1}
)

func reported(running, waiting int, pace float64) selection.State {
	return selection.State{}.WithReport(selection.Report{Running: running, Waiting: waiting, Slots: 3, Pace: pace, At: start})
}

// TestEstimate: what makes an answer come later raises the estimate.
func TestEstimate(t *testing.T) {
	crowded, cold, slow := warm, warm, warm
	crowded.Crowded = 1.7
	cold.Warm = false
	slow.Slowness = 3
	cases := []struct {
		name     string
		state    selection.State
		endpoint selection.Endpoint
		after    time.Duration
		want     time.Duration
	}{
		{"idle at its usual pace", reported(0, 0, 1), warm, 0, work},
		{"five times as slow", reported(0, 0, 5), warm, 0, 5 * work},
		{"a slow report long ago counts as the mean", reported(0, 0, 5), warm, time.Minute, 180 * time.Millisecond},
		{"nothing known counts as the mean", selection.State{}, warm, 0, 180 * time.Millisecond},
		{"last slot where it costs nothing", reported(2, 0, 1), warm, 0, work},
		{"last slot where it slows work", reported(2, 0, 1), crowded, 0, 170 * time.Millisecond},
		{"one request waits ahead of none", reported(3, 0, 1), warm, 0, 133333333 * time.Nanosecond},
		{"starting", reported(0, 0, 1), cold, 0, 2 * work},
		{"slow by its completions", reported(0, 0, 1), slow, 0, 3 * work},
	}
	for _, c := range cases {
		got := c.state.Estimate(c.endpoint, work, opts, start.Add(c.after))
		assert.Assert(t, (got-c.want).Abs() < time.Millisecond, "%s: %v, want %v", c.name, got, c.want)
	}
}

// TestRoom: the last slot is left free only where it costs more than it adds.
func TestRoom(t *testing.T) {
	state := reported(0, 0, 1)
	for _, c := range []struct {
		crowded float64
		want    int
	}{{1, 3}, {1.4, 3}, {1.6, 2}} {
		e := warm
		e.Crowded = c.crowded
		assert.Equal(t, state.Room(e), c.want, "factor %v", c.crowded)
	}
	single := selection.Endpoint{Slots: 1, Crowded: 9}
	assert.Equal(t, selection.State{}.Room(single), 1, "a single slot is always used")
}

// TestOwnRequestsCountFromTheReport: requests sent since a report are added to
// it until the next report, which knows them.
func TestOwnRequestsCountFromTheReport(t *testing.T) {
	now := start.Add(time.Millisecond)
	s := reported(1, 0, 1).WithSent().WithSent()
	assert.Equal(t, s.Busy(opts, now), 3)
	s = s.WithReport(selection.Report{Running: 2, Slots: 3, Pace: 1, At: start.Add(time.Millisecond)})
	assert.Equal(t, s.Busy(opts, now), 2)
	s = s.WithReport(selection.Report{Running: 0, Slots: 3, Pace: 1, At: start})
	assert.Equal(t, s.Busy(opts, now), 2, "an older report changes nothing")
	assert.Equal(t, s.WithEnded().WithEnded().InFlight(), 0)
}

// TestBusyIsNeverBelowOwnRequests, whatever order reports come in.
func TestBusyIsNeverBelowOwnRequests(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var s selection.State
		now, own := start, 0
		for range rapid.IntRange(0, 40).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 2).Draw(t, "event") {
			case 0:
				s, own = s.WithSent(), own+1
			case 1:
				s, own = s.WithEnded(), max(0, own-1)
			case 2:
				s = s.WithReport(selection.Report{Running: rapid.IntRange(0, 5).Draw(t, "running"), Slots: 3, Pace: 1, At: now})
			}
			assert.Assert(t, s.Busy(opts, now) >= own, "busy %d below own %d", s.Busy(opts, now), own)
			assert.Equal(t, s.InFlight(), own)
		}
	})
}

// TestOldReportSaysNothingOfOthers: an endpoint that was full a while ago is
// thought free again, but for this process's own requests.
func TestOldReportSaysNothingOfOthers(t *testing.T) {
	s := reported(3, 2, 1).WithSent()
	soon, later := start.Add(opts.BusyMemory), start.Add(opts.BusyMemory+time.Millisecond)
	assert.Equal(t, s.Busy(opts, soon), 6)
	assert.Equal(t, s.Busy(opts, later), 1)
	e := warm
	e.Crowded = 2
	assert.Assert(t, s.Estimate(e, work, opts, later) < s.Estimate(e, work, opts, soon))
}
