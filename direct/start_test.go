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

// restart puts the entry of another start of an endpoint into force.
func (r *rig) restart(id string, start int64, revision uint64) {
	r.directory.Apply(directory.Changes{Entries: []directory.Entry{{
		Endpoint: directory.Endpoint{
			Endpoint: placement.Endpoint{VM: id, Addr: id, Zone: "near", Slots: 3}, Service: "s", Start: start,
		},
		Revision: revision,
	}}}, time.Now())
}

// TestAnotherStartIsAnotherServer: what was seen of an endpoint before it started again says
// nothing of it: not its failures, not what it held, not its word of leaving; and what began
// before ends nothing of what began after.
func TestAnotherStartIsAnotherServer(t *testing.T) {
	r := newRig(1, selection.Options{ProbeBurst: 1000, LookAgain: time.Millisecond})
	r.restart("e0", 1, 2)
	var before []placement.Grant
	for range 3 {
		grant, refused := r.Acquire(context.Background(), ask())
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
	after, refused := r.Acquire(context.Background(), ask())
	assert.Assert(t, refused == nil)
	assert.Equal(t, after.Choice.Start, int64(2))
	r.Complete(before[2], placement.Result{Outcome: placement.Failed, Replaced: true})
	st := r.Status().Endpoints[0]
	assert.Equal(t, st.InFlight, 1, "an end of the start before")
	assert.Assert(t, !st.Ejected)
	assert.Equal(t, st.State, "listed", "a word about the start before")
	r.Complete(after, placement.Result{Outcome: placement.Completed, Took: time.Millisecond})
	assert.Equal(t, r.Status().Endpoints[0].InFlight, 0)
}

// TestAloneWhereOneIsIdle: a request that should be alone goes to an endpoint that holds
// nothing, though another one is cheaper, and elsewhere where none does.
func TestAloneWhereOneIsIdle(t *testing.T) {
	r := newRig(2, selection.Options{ProbeBurst: 1000, LookAgain: time.Millisecond})
	r.learn(t)
	r.prober.set("e0", 1, 1) // of the own zone
	r.prober.set("e1", 0, 1)
	time.Sleep(5 * time.Millisecond) // the last reports are no longer fresh
	alone := ask()
	alone.Alone = true
	grant, refused := r.Acquire(context.Background(), alone)
	assert.Assert(t, refused == nil)
	assert.Equal(t, grant.Endpoint.VM, "e1")
	r.prober.set("e1", 1, 1)
	time.Sleep(5 * time.Millisecond)
	_, refused = r.Acquire(context.Background(), alone)
	assert.Assert(t, refused == nil)
}

// TestSuspensionAgesReports: what was fresh before the VM was suspended is asked for again.
func TestSuspensionAgesReports(t *testing.T) {
	r := newRig(1, selection.Options{ProbeBurst: 1000, ProbeFresh: time.Hour, LookAgain: time.Millisecond})
	_, refused := r.Acquire(context.Background(), ask())
	assert.Assert(t, refused == nil)
	probes := r.prober.total("e0")
	_, refused = r.Acquire(context.Background(), ask())
	assert.Assert(t, refused == nil)
	assert.Equal(t, r.prober.total("e0"), probes, "its report is fresh")
	r.Resume(2 * time.Hour)
	grant, refused := r.Acquire(context.Background(), ask())
	assert.Assert(t, refused == nil)
	assert.Equal(t, r.prober.total("e0"), probes+1)
	assert.Assert(t, grant.Choice.Age < time.Hour)
}

// TestStartThatEndedUnderARequest gets it no more, however long it is listed; another start of the
// endpoint does.
func TestStartThatEndedUnderARequest(t *testing.T) {
	r := newRig(1, selection.Options{ProbeBurst: 1000, LookAgain: time.Millisecond})
	r.restart("e0", 7, 2)
	request := ask()
	request.Ended = []placement.Incarnation{{VM: "e0", Start: 7}}
	_, refused := r.Acquire(context.Background(), request)
	assert.Assert(t, refused != nil)
	r.restart("e0", 8, 3)
	_, refused = r.Acquire(context.Background(), request)
	assert.Assert(t, refused == nil)
}
