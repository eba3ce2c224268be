package direct_test

import (
	"context"
	"testing"
	"time"

	"github.com/lotuswing/lotuswing/coord/placement"
	"github.com/lotuswing/lotuswing/coord/selection"
	"github.com/lotuswing/lotuswing/directory"
	"gotest.tools/v3/assert"
)

// restart lists another start of an endpoint in the directory.
func (r *fixture) restart(id string, start int64, revision uint64) {
	r.directory.Apply(directory.Changes{Entries: []directory.Entry{{
		Endpoint: directory.Endpoint{
			Endpoint: placement.Endpoint{VM: id, Addr: id, Zone: "near", Slots: 3}, Service: "s", Start: start,
		},
		Revision: revision,
	}}}, time.Now())
}

// TestRestartResetsState checks that what was observed of an endpoint before it restarted does not
// apply to the new start: neither its failures, nor the requests it held, nor the discovery that
// another instance answers at its address. The end of a request that was sent before the restart
// does not change the state of the new start.
func TestRestartResetsState(t *testing.T) {
	r := newFixture(1, selection.Options{ProbeBurst: 1000, RoundPause: time.Millisecond})
	r.restart("e0", 1, 2)
	var before []placement.Grant
	for range 3 {
		grant, refused := r.Acquire(context.Background(), newRequest())
		assert.Assert(t, refused == nil)
		assert.Equal(t, grant.Choice.Start, int64(1))
		before = append(before, grant)
	}
	for _, grant := range before[:2] {
		r.Complete(grant, placement.Result{Outcome: placement.Failed})
	}
	assert.Equal(t, r.Status().Endpoints[0].InFlight, 1)
	r.restart("e0", 2, 3)
	assert.Equal(t, r.Status().Endpoints[0].InFlight, 0)
	after, refused := r.Acquire(context.Background(), newRequest())
	assert.Assert(t, refused == nil)
	assert.Equal(t, after.Choice.Start, int64(2))
	r.Complete(before[2], placement.Result{Outcome: placement.Failed, Replaced: true})
	st := r.Status().Endpoints[0]
	assert.Equal(t, st.InFlight, 1, "the request of the previous start ended")
	assert.Assert(t, !st.Ejected)
	assert.Equal(t, st.State, "listed", "only the previous start was replaced")
	r.Complete(after, placement.Result{Outcome: placement.Completed, Took: time.Millisecond})
	assert.Equal(t, r.Status().Endpoints[0].InFlight, 0)
}

// TestAloneRequestGoesToIdleEndpoint checks that a request that should run alone goes to an idle
// endpoint even if a busy one in the own zone would be preferred otherwise, and to a busy one if
// none is idle.
func TestAloneRequestGoesToIdleEndpoint(t *testing.T) {
	r := newFixture(2, selection.Options{ProbeBurst: 1000, RoundPause: time.Millisecond})
	r.learn(t)
	r.prober.set("e0", 1, 1) // in the own zone
	r.prober.set("e1", 0, 1)
	time.Sleep(5 * time.Millisecond) // the last reports are outdated
	alone := newRequest()
	alone.Alone = true
	grant, refused := r.Acquire(context.Background(), alone)
	assert.Assert(t, refused == nil)
	assert.Equal(t, grant.Endpoint.VM, "e1")
	r.prober.set("e1", 1, 1)
	time.Sleep(5 * time.Millisecond)
	_, refused = r.Acquire(context.Background(), alone)
	assert.Assert(t, refused == nil)
}

// TestSuspensionAgesReports checks that a load report from before a suspension of the VM is no
// longer fresh after it.
func TestSuspensionAgesReports(t *testing.T) {
	r := newFixture(1, selection.Options{ProbeBurst: 1000, MaxFreshAge: time.Hour, RoundPause: time.Millisecond})
	_, refused := r.Acquire(context.Background(), newRequest())
	assert.Assert(t, refused == nil)
	probes := r.prober.probesTo("e0")
	_, refused = r.Acquire(context.Background(), newRequest())
	assert.Assert(t, refused == nil)
	assert.Equal(t, r.prober.probesTo("e0"), probes, "its report is fresh")
	r.Resume(2 * time.Hour)
	grant, refused := r.Acquire(context.Background(), newRequest())
	assert.Assert(t, refused == nil)
	assert.Equal(t, r.prober.probesTo("e0"), probes+1)
	assert.Assert(t, grant.Choice.Age < time.Hour)
}

// TestEndedStartGetsNoRetry checks that a request does not return to a start of an endpoint that
// ended while it had the request, however long this start stays listed. The request may go to
// another start of the endpoint.
func TestEndedStartGetsNoRetry(t *testing.T) {
	r := newFixture(1, selection.Options{ProbeBurst: 1000, RoundPause: time.Millisecond})
	r.restart("e0", 7, 2)
	request := newRequest()
	request.CrashedUnder = []placement.Incarnation{{VM: "e0", Start: 7}}
	_, refused := r.Acquire(context.Background(), request)
	assert.Assert(t, refused != nil)
	r.restart("e0", 8, 3)
	_, refused = r.Acquire(context.Background(), request)
	assert.Assert(t, refused == nil)
}
