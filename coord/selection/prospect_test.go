package selection_test

import (
	"testing"
	"time"

	"github.com/lotuswing/lotuswing/coord/selection"
	"gotest.tools/v3/assert"
)

// prospectOf returns a prospect after probes with the given estimates, as multiples of work.
func prospectOf(factors ...float64) selection.Prospect {
	var p selection.Prospect
	for _, f := range factors {
		p = p.With(time.Duration(f*float64(work)), work)
	}
	return p
}

// TestProspect checks that the gain of a further probe is the mean saving over the latest probes.
func TestProspect(t *testing.T) {
	crowded := make([]float64, 40)
	for i := range crowded {
		crowded[i] = 3
	}
	for _, c := range []struct {
		name     string
		prospect selection.Prospect
		best     time.Duration
		want     time.Duration
	}{
		{"no probes", selection.Prospect{}, 10 * work, 0},
		{"too few probes", prospectOf(1, 1), 2 * work, 0},
		{"all as good", prospectOf(1, 1, 1), work, 0},
		{"all better", prospectOf(1, 1, 1, 1), 1.65 * 100 * time.Millisecond, 65 * time.Millisecond},
		{"half of them better", prospectOf(1, 5, 1, 5), 2 * work, work / 2},
		{"all worse", prospectOf(2, 3, 4), work, 0},
		{"old probes are forgotten", prospectOf(append([]float64{1, 1, 1, 1}, crowded...)...), 2 * work, 0},
		{"service time unknown", selection.Prospect{}.With(work, 0), work, 0},
	} {
		assert.Equal(t, c.prospect.ExpectedGain(c.best, work), c.want, c.name)
	}
	before := prospectOf(1, 1, 1)
	_ = before.With(5*work, work)
	assert.Equal(t, before.ExpectedGain(2*work, work), work, "With does not change its receiver")
}

// TestWorthFurtherProbe checks that a good endpoint with a fresh report is taken without a further
// probe, unless most others are likely to be better. Here the endpoint has only its last slot free,
// where requests take 1.45 times as long.
func TestWorthFurtherProbe(t *testing.T) {
	slowLastSlot := usual
	slowLastSlot.Crowding = *learnedCrowding(3, 1, 1, 1.45)
	slowLastSlot.Prospect = prospectOf(1, 1, 1, 1.45)
	e := probedEndpoint(2, 1)
	var list selection.Ranking
	list.Add(selection.NewCandidate(&e, 0, sameZone, &slowLastSlot, 0, start))
	assert.Assert(t, list.Best().Good)
	assert.Assert(t, options.NeedsProbe(&list, &slowLastSlot))
	slowLastSlot.Prospect = prospectOf(1.45, 1.45, 1.45, 1.7)
	assert.Assert(t, !options.NeedsProbe(&list, &slowLastSlot))
	idle := probedEndpoint(0, 1)
	assert.Assert(t, !options.NeedsProbe(rankingOf(idle), &slowLastSlot))
}
