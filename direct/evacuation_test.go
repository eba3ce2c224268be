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

// evacuate evacuates zones, or ends their evacuation if ended is set.
func (r *fixture) evacuate(revision uint64, ended bool, zones ...string) {
	var evacuations []directory.Evacuation
	for _, zone := range zones {
		evacuations = append(evacuations, directory.Evacuation{Zone: zone, Ended: ended, Revision: revision})
	}
	r.directory.Apply(directory.Changes{Evacuations: evacuations}, time.Now())
}

// TestEvacuatedZoneGetsNothing checks that an evacuated zone gets no requests, no second attempts
// and no probes, even if it is the balancer's own and all endpoints elsewhere are full and slow.
func TestEvacuatedZoneGetsNothing(t *testing.T) {
	r := newFixture(6, selection.Options{ProbeBurst: 1000, RoundPause: time.Millisecond})
	r.learn(t)
	r.evacuate(10, false, "near")
	before := r.prober.probesTo("e0", "e2", "e4")
	for _, far := range []string{"e1", "e3", "e5"} {
		r.prober.set(far, 2, 5)
	}
	for range 20 {
		again := overdueRequest()
		again.Target = 0
		again.Avoid = []string{"e1", "e3"}
		g, refused := r.Acquire(context.Background(), again)
		assert.Assert(t, refused == nil)
		assert.Equal(t, g.Endpoint.VM, "e5")
		r.Complete(g, placement.Result{Outcome: placement.Completed, Took: time.Millisecond})
	}
	assert.Equal(t, r.prober.probesTo("e0", "e2", "e4"), before)
	assert.DeepEqual(t, r.Status().Evacuated, []string{"near"})

	r.evacuate(11, true, "near")
	g, refused := r.Acquire(context.Background(), newRequest())
	assert.Assert(t, refused == nil)
	assert.Equal(t, g.Endpoint.Zone, "near", "the evacuation has ended")
}

// TestRefusesIfAllZonesAreEvacuated checks that requests are refused with their own reason if all
// zones are evacuated, without a probe, and that the balancer stays ready.
func TestRefusesIfAllZonesAreEvacuated(t *testing.T) {
	r := newFixture(4, selection.Options{})
	r.evacuate(10, false, "near", "far")
	_, refused := r.Acquire(context.Background(), newRequest())
	assert.Assert(t, refused != nil)
	assert.Equal(t, refused.Reason, reason.Evacuated)
	assert.Assert(t, refused.RetryAfter > 0)
	assert.Equal(t, r.prober.probesTo("e0", "e1", "e2", "e3"), 0)
	ready, _ := r.Ready()
	assert.Assert(t, ready, "another balancer could not serve the request either")
}
