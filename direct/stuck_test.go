package direct_test

import (
	"context"
	"math"
	"testing"
	"time"

	"github.com/lotuswing/lotuswing/coord/placement"
	"github.com/lotuswing/lotuswing/coord/selection"
	"gotest.tools/v3/assert"
)

// TestFalseReportDoesNotStopChoice guards against a number in one load report that keeps a balancer from choosing
// endpoints.
func TestFalseReportDoesNotStopChoice(t *testing.T) {
	for name, report := range map[string]placement.LoadReport{
		"slots of 32 bits":        {Known: true, Slots: math.MaxUint32, Pace: 1, State: placement.Live},
		"slots of 63 bits":        {Known: true, Slots: math.MaxInt64, Pace: 1, State: placement.Live},
		"a hundred million slots": {Known: true, Slots: 100_000_000, Pace: 1, State: placement.Live},
		"no pace":                 {Known: true, Slots: 1 << 60, State: placement.Live},
		"all at once":             {Known: true, InFlight: math.MaxInt64, Waiting: math.MaxInt64, Slots: math.MaxInt64, Pace: math.MaxInt64, State: placement.Live},
	} {
		t.Run(name, func(t *testing.T) {
			r := newFixture(2, selection.Options{ProbeBurst: 1000})
			r.learn(t)
			g, refused := r.Acquire(context.Background(), newRequest())
			assert.Assert(t, refused == nil)
			r.Complete(g, placement.Result{Outcome: placement.Completed, Took: time.Millisecond, Load: report})
			for range 20 {
				g, refused := r.Acquire(context.Background(), newRequest())
				assert.Assert(t, refused == nil)
				r.Complete(g, placement.Result{Outcome: placement.Completed, Took: time.Millisecond})
			}
			assert.Assert(t, !r.Stuck())
		})
	}
}
