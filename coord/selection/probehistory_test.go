package selection_test

import (
	"testing"
	"time"

	"github.com/lotuswing/lotuswing/coord/selection"
	"gotest.tools/v3/assert"
)

// probeHistoryOf returns a history after probes with the given estimates, as multiples of work.
func probeHistoryOf(factors ...float64) selection.ProbeHistory {
	var p selection.ProbeHistory
	for _, f := range factors {
		p = p.With(time.Duration(f*float64(work)), work)
	}
	return p
}

// TestProbeHistory checks that the gain of a further probe is the mean saving over the latest
// probes.
func TestProbeHistory(t *testing.T) {
	crowded := make([]float64, 40)
	for i := range crowded {
		crowded[i] = 3
	}
	for _, c := range []struct {
		name    string
		history selection.ProbeHistory
		best    time.Duration
		want    time.Duration
	}{
		{"no probes", selection.ProbeHistory{}, 10 * work, 0},
		{"too few probes", probeHistoryOf(1, 1), 2 * work, 0},
		{"all as good", probeHistoryOf(1, 1, 1), work, 0},
		{"all better", probeHistoryOf(1, 1, 1, 1), 1.65 * 100 * time.Millisecond, 65 * time.Millisecond},
		{"half of them better", probeHistoryOf(1, 5, 1, 5), 2 * work, work / 2},
		{"all worse", probeHistoryOf(2, 3, 4), work, 0},
		{"old probes are forgotten", probeHistoryOf(append([]float64{1, 1, 1, 1}, crowded...)...), 2 * work, 0},
		{"service time unknown", selection.ProbeHistory{}.With(work, 0), work, 0},
	} {
		assert.Equal(t, c.history.ExpectedGain(c.best, work), c.want, c.name)
	}
	before := probeHistoryOf(1, 1, 1)
	_ = before.With(5*work, work)
	assert.Equal(t, before.ExpectedGain(2*work, work), work, "With does not change its receiver")
}

// TestWorthFurtherProbe checks that a good endpoint with a fresh report is taken without a further
// probe, unless most others are likely to be better. Here the endpoint has only its last slot free,
// where requests take 1.45 times as long.
func TestWorthFurtherProbe(t *testing.T) {
	slowLastSlot := params
	slowLastSlot.Crowding = *learnedCrowding(3, 1, 1, 1.45)
	slowLastSlot.ProbeHistory = probeHistoryOf(1, 1, 1, 1.45)
	e := probedEndpoint(2, 1)
	var list selection.Ranking
	list.Add(selection.NewCandidate(&e, 0, sameZone, &slowLastSlot, 0, start))
	assert.Assert(t, list.Best().Good)
	assert.Assert(t, options.NeedsProbe(&list, &slowLastSlot))
	slowLastSlot.ProbeHistory = probeHistoryOf(1.45, 1.45, 1.45, 1.7)
	assert.Assert(t, !options.NeedsProbe(&list, &slowLastSlot))
	idle := probedEndpoint(0, 1)
	assert.Assert(t, !options.NeedsProbe(rankingOf(idle), &slowLastSlot))
}
