package selection_test

import (
	"testing"
	"time"

	"github.com/lotuswing/lotuswing/coord/selection"
	"gotest.tools/v3/assert"
)

// seen returns a prospect of endpoints at which a request takes so many times as long as
// usual.
func seen(factors ...float64) selection.Prospect {
	var p selection.Prospect
	for _, f := range factors {
		p = p.With(time.Duration(f*float64(work)), work)
	}
	return p
}

// TestProspect: the gain of one more probe is what the endpoints seen lately were better
// by, at the mean.
func TestProspect(t *testing.T) {
	crowded := make([]float64, 40)
	for i := range crowded {
		crowded[i] = 3
	}
	for _, c := range []struct {
		name string
		of   selection.Prospect
		best time.Duration
		want time.Duration
	}{
		{"nothing seen", selection.Prospect{}, 10 * work, 0},
		{"too few seen", seen(1, 1), 2 * work, 0},
		{"all as good", seen(1, 1, 1), work, 0},
		{"all better", seen(1, 1, 1, 1), 1.65 * 100 * time.Millisecond, 65 * time.Millisecond},
		{"half of them better", seen(1, 5, 1, 5), 2 * work, work / 2},
		{"all worse", seen(2, 3, 4), work, 0},
		{"what was seen long ago is forgotten", seen(append([]float64{1, 1, 1, 1}, crowded...)...), 2 * work, 0},
		{"work unknown", selection.Prospect{}.With(work, 0), work, 0},
	} {
		assert.Equal(t, c.of.Gain(c.best, work), c.want, c.name)
	}
	before := seen(1, 1, 1)
	_ = before.With(5*work, work)
	assert.Equal(t, before.Gain(2*work, work), work, "a prospect is a value")
}

// TestLooksFurther: a good endpoint with a fresh report is not taken while most others
// are likely to be better, and is when they are as busy.
func TestLooksFurther(t *testing.T) {
	lastSlot := usual
	lastSlot.Crowding = *learnt(3, 1, 1, 1.45)
	lastSlot.Prospect = seen(1, 1, 1, 1.45)
	e := probed(2, 1)
	var list selection.Ranking
	list.Add(selection.NewCandidate(&e, 0, near, &lastSlot, 0, start))
	assert.Assert(t, list.Best().Good)
	assert.Assert(t, options.NeedsProbe(&list, &lastSlot))
	lastSlot.Prospect = seen(1.45, 1.45, 1.45, 1.7)
	assert.Assert(t, !options.NeedsProbe(&list, &lastSlot))
	idle := probed(0, 1)
	assert.Assert(t, !options.NeedsProbe(ranked(idle), &lastSlot))
}
