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

// acquire chooses an endpoint and completes the request at once.
func (r *rig) acquire(t testing.TB) placement.Grant {
	g, refused := r.Acquire(context.Background(), ask())
	assert.Assert(t, refused == nil)
	r.Complete(g, placement.Result{Outcome: placement.Completed, Took: time.Millisecond})
	return g
}

// TestRemembersOnlyItsSubset: of thousands of endpoints a process knows those among which it
// chooses, however long it runs.
func TestRemembersOnlyItsSubset(t *testing.T) {
	r := newRig(6000, selection.Options{})
	for range 50 {
		r.acquire(t)
	}
	assert.Assert(t, r.Remembered() < subset.Size*5/4, "%d", r.Remembered())
	r.Status() // does not begin to remember all
	assert.Assert(t, r.Remembered() < subset.Size*5/4, "%d", r.Remembered())
}

// TestSubsetFollowsTheList: endpoints that leave are not chosen any more, and those that come
// in their place are.
func TestSubsetFollowsTheList(t *testing.T) {
	r := newRig(1000, selection.Options{})
	r.acquire(t)
	var fresh []directory.Entry
	for i := range 300 {
		id := fmt.Sprintf("f%d", i)
		r.prober.set(id, 0, 1)
		fresh = append(fresh, directory.Entry{Endpoint: directory.Endpoint{
			Endpoint: placement.Endpoint{VM: id, Addr: id, Zone: "near", Slots: 3}, Service: "s",
		}, Revision: 2})
	}
	r.directory.Apply(directory.Changes{At: 9, Whole: true, Entries: fresh}, time.Now().Add(-time.Hour))
	r.directory.Apply(directory.Changes{At: 10}, time.Now())
	for range 50 {
		assert.Equal(t, r.acquire(t).Endpoint.VM[0], byte('f'))
	}
}

// TestRequestsAreDividedByShare while a version comes in: a twentieth goes to one of ten of
// its endpoints, and none to the other nine.
func TestRequestsAreDividedByShare(t *testing.T) {
	r := newRig(0, selection.Options{ProbeBurst: 100000})
	var entries []directory.Entry
	for i := range 20 {
		id := fmt.Sprintf("v%d-%d", 1+i/10, i)
		r.prober.set(id, 0, 1)
		entries = append(entries, directory.Entry{Endpoint: directory.Endpoint{
			Endpoint: placement.Endpoint{VM: id, Addr: id, Zone: "near", Slots: 3}, Service: "s", Version: fmt.Sprintf("v%d", 1+i/10),
		}, Revision: 1})
	}
	order := directory.RolloutOrder{Service: "s", Version: "v2", Duration: time.Minute, Revision: 2}
	r.directory.Apply(directory.Changes{At: 2, Entries: entries, Rollouts: []directory.RolloutOrder{order}}, time.Now())
	for range 50 {
		assert.Equal(t, r.acquire(t).Choice.Side, placement.OldSide, "nobody has begun it")
	}
	r.stage(t, rollout.Status{State: rollout.Running, Stage: 0}, 3)
	used := map[string]int{}
	newer := 0
	const requests = 2000
	for range requests {
		g := r.acquire(t)
		if g.Choice.Side == placement.NewSide {
			newer++
			used[g.Endpoint.VM]++
		}
	}
	assert.Assert(t, newer > requests/40 && newer < requests/12, "%d of %d", newer, requests)
	assert.Equal(t, len(used), 1, "%v", used)
	r.stage(t, rollout.Status{State: rollout.RolledBack}, 4)
	for range 50 {
		assert.Equal(t, r.acquire(t).Choice.Side, placement.OldSide)
	}
	r.stage(t, rollout.Status{State: rollout.Completed}, 5)
	for range 50 {
		assert.Equal(t, r.acquire(t).Endpoint.VM[:2], "v2")
	}
}

// stage brings a status of the roll-out of revision 2 into force.
func (r *rig) stage(t *testing.T, s rollout.Status, revision uint64) {
	t.Helper()
	value := fmt.Appendf(nil, `{"order":2,"version":"v2","state":%q,"stage":%d}`, s.State, s.Stage)
	applied := r.directory.Apply(directory.Changes{At: revision, Registrations: []directory.Record{{
		Key: directory.RecordName("s"), Value: value, Revision: revision,
	}}}, time.Now())
	assert.Equal(t, len(applied.Faults), 0)
}
