package direct_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/lotuswing/lotuswing/coord/placement"
	"github.com/lotuswing/lotuswing/coord/rollout"
	"github.com/lotuswing/lotuswing/coord/selection"
	"github.com/lotuswing/lotuswing/coord/subset"
	"github.com/lotuswing/lotuswing/directory"
	"gotest.tools/v3/assert"
)

// acquireAndComplete acquires a grant and completes its request at once.
func (r *fixture) acquireAndComplete(t testing.TB) placement.Grant {
	g, refused := r.Acquire(context.Background(), newRequest())
	assert.Assert(t, refused == nil)
	r.Complete(g, placement.Result{Outcome: placement.Completed, Took: time.Millisecond})
	return g
}

// TestKeepsStateOfSubsetOnly checks that a process keeps the states only of its subset of the
// endpoints of a service, which may be thousands, however long it runs.
func TestKeepsStateOfSubsetOnly(t *testing.T) {
	r := newFixture(6000, selection.Options{})
	for range 50 {
		r.acquireAndComplete(t)
	}
	assert.Assert(t, r.EndpointStateCount() < subset.Size*5/4, "%d", r.EndpointStateCount())
	r.Status() // must not create states
	assert.Assert(t, r.EndpointStateCount() < subset.Size*5/4, "%d", r.EndpointStateCount())
}

// TestSubsetFollowsDirectory checks that endpoints that have left are not chosen any more, and that
// their replacements are.
func TestSubsetFollowsDirectory(t *testing.T) {
	r := newFixture(1000, selection.Options{})
	r.acquireAndComplete(t)
	var fresh []directory.Entry
	for i := range 300 {
		id := fmt.Sprintf("f%d", i)
		r.prober.set(id, 0, 1)
		fresh = append(fresh, directory.Entry{Endpoint: directory.Endpoint{
			Endpoint: placement.Endpoint{VM: id, Addr: id, Zone: "near", Slots: 3}, Service: "s",
		}, Revision: 2})
	}
	r.directory.Apply(directory.Changes{Revision: 9, Complete: true, Entries: fresh}, time.Now().Add(-time.Hour))
	r.directory.Apply(directory.Changes{Revision: 10}, time.Now())
	for range 50 {
		assert.Equal(t, r.acquireAndComplete(t).Endpoint.VM[0], byte('f'))
	}
}

// TestRolloutShare checks which version gets the requests during a rollout. Before the rollout
// begins the old version gets all of them. In the first stage a twentieth goes to a single one of
// the ten endpoints of the new version. After a rollback the old version gets all requests again,
// and after the rollout has completed, the new version does.
func TestRolloutShare(t *testing.T) {
	r := newFixture(0, selection.Options{ProbeBurst: 100000})
	var entries []directory.Entry
	for i := range 20 {
		id := fmt.Sprintf("v%d-%d", 1+i/10, i)
		r.prober.set(id, 0, 1)
		entries = append(entries, directory.Entry{Endpoint: directory.Endpoint{
			Endpoint: placement.Endpoint{VM: id, Addr: id, Zone: "near", Slots: 3}, Service: "s", Version: fmt.Sprintf("v%d", 1+i/10),
		}, Revision: 1})
	}
	order := directory.RolloutOrder{Service: "s", Version: "v2", Duration: time.Minute, Revision: 2}
	r.directory.Apply(directory.Changes{Revision: 2, Entries: entries, Rollouts: []directory.RolloutOrder{order}}, time.Now())
	for range 50 {
		assert.Equal(t, r.acquireAndComplete(t).Choice.Side, placement.OldSide, "the rollout has not begun")
	}
	r.applyRolloutStatus(t, rollout.Status{State: rollout.Running, Stage: 0}, 3)
	used := map[string]int{}
	newer := 0
	const requests = 2000
	for range requests {
		g := r.acquireAndComplete(t)
		if g.Choice.Side == placement.NewSide {
			newer++
			used[g.Endpoint.VM]++
		}
	}
	assert.Assert(t, newer > requests/40 && newer < requests/12, "%d of %d", newer, requests)
	assert.Equal(t, len(used), 1, "%v", used)
	r.applyRolloutStatus(t, rollout.Status{State: rollout.RolledBack}, 4)
	for range 50 {
		assert.Equal(t, r.acquireAndComplete(t).Choice.Side, placement.OldSide)
	}
	r.applyRolloutStatus(t, rollout.Status{State: rollout.Completed}, 5)
	for range 50 {
		assert.Equal(t, r.acquireAndComplete(t).Endpoint.VM[:2], "v2")
	}
}

// applyRolloutStatus applies a status of the rollout that was ordered at revision 2 of the store to
// the directory. The parameter revision is the one at which the status was stored.
func (r *fixture) applyRolloutStatus(t *testing.T, s rollout.Status, revision uint64) {
	t.Helper()
	value := fmt.Appendf(nil, `{"order":2,"version":"v2","state":%q,"stage":%d}`, s.State, s.Stage)
	applied := r.directory.Apply(directory.Changes{Revision: revision, Registrations: []directory.Record{{
		Key: directory.RolloutRecordName("s"), Value: value, Revision: revision,
	}}}, time.Now())
	assert.Equal(t, len(applied.Errors), 0)
}
