package direct_test

import (
	"context"
	"testing"
	"time"

	"github.com/lotuswing/lotuswing/coord/placement"
	"github.com/lotuswing/lotuswing/coord/reason"
	"github.com/lotuswing/lotuswing/coord/selection"
	"github.com/lotuswing/lotuswing/directory"
	"gotest.tools/v3/assert"
)

// empty lets an operator empty zones, or take them back.
func (r *rig) empty(revision uint64, over bool, zones ...string) {
	var told []directory.Evacuation
	for _, zone := range zones {
		told = append(told, directory.Evacuation{Zone: zone, Over: over, Revision: revision})
	}
	r.directory.Apply(directory.Changes{Evacuations: told}, time.Now())
}

// TestEmptiedZoneGetsNothing: neither requests, their second attempts nor probes, though
// all endpoints elsewhere are full and slow, and the emptied zone is the balancer's own.
func TestEmptiedZoneGetsNothing(t *testing.T) {
	r := newRig(6, selection.Options{ProbeBurst: 1000, LookAgain: time.Millisecond})
	r.learn(t)
	r.empty(10, false, "near")
	before := r.prober.total("e0", "e2", "e4")
	for _, far := range []string{"e1", "e3", "e5"} {
		r.prober.set(far, 2, 5)
	}
	for range 20 {
		again := hurried()
		again.Target = 0
		again.Avoid = []string{"e1", "e3"}
		g, refused := r.Acquire(context.Background(), again)
		assert.Assert(t, refused == nil)
		assert.Equal(t, g.Endpoint.VM, "e5")
		r.Complete(g, placement.Result{Outcome: placement.Completed, Took: time.Millisecond})
	}
	assert.Equal(t, r.prober.total("e0", "e2", "e4"), before)
	assert.DeepEqual(t, r.Status().Evacuated, []string{"near"})

	r.empty(11, true, "near")
	g, refused := r.Acquire(context.Background(), ask())
	assert.Assert(t, refused == nil)
	assert.Equal(t, g.Endpoint.Zone, "near", "taken back")
}

// TestAllZonesEmptiedIsRefusedAtOnce, with a reason of its own.
func TestAllZonesEmptiedIsRefusedAtOnce(t *testing.T) {
	r := newRig(4, selection.Options{})
	r.empty(10, false, "near", "far")
	_, refused := r.Acquire(context.Background(), ask())
	assert.Assert(t, refused != nil)
	assert.Equal(t, refused.Reason, reason.Evacuated)
	assert.Assert(t, refused.RetryAfter > 0)
	assert.Equal(t, r.prober.total("e0", "e1", "e2", "e3"), 0)
	ready, _ := r.Ready()
	assert.Assert(t, ready, "another balancer could not serve it either")
}
