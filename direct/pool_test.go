package direct_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/lotuswing/lotuswing/coord/placement"
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
