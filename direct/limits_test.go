package direct_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/lotuswing/lotuswing/coord/limit"
	"github.com/lotuswing/lotuswing/coord/placement"
	"github.com/lotuswing/lotuswing/coord/reason"
	"github.com/lotuswing/lotuswing/coord/selection"
	"github.com/lotuswing/lotuswing/limits"
	"gotest.tools/v3/assert"
)

// fakeLimits tells what was set, by endpoint.
type fakeLimits struct {
	mu       sync.Mutex
	standing map[string]limit.Standing
	opens    map[string]time.Time    // when a withheld one may be asked again
	grants   map[string]bool         // what an ask brings
	taken    map[string]int          // how often a permit has just gone to another request
	sought   []string                // in order
	used     []string                // in order
	look     bool                    // asks allow a probe
	probed   map[string]limit.Answer // by endpoint
	answered map[string]limit.Answer // by endpoint
}

func newFakeLimits() *fakeLimits {
	return &fakeLimits{
		standing: map[string]limit.Standing{}, opens: map[string]time.Time{}, grants: map[string]bool{}, taken: map[string]int{}, probed: map[string]limit.Answer{}, answered: map[string]limit.Answer{},
	}
}

func (f *fakeLimits) Probed(e limits.Endpoint, a limit.Answer) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.probed[e.ID] = a
}

func (f *fakeLimits) Answered(e limits.Endpoint, a limit.Answer) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.answered[e.ID] = a
}

func (f *fakeLimits) Quiet() bool { return false }

func (f *fakeLimits) Standing(e limits.Endpoint, now time.Time) (limit.Standing, time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if at, ok := f.opens[e.ID]; ok && !now.Before(at) {
		f.standing[e.ID] = limit.Askable
		delete(f.opens, e.ID)
	}
	return f.standing[e.ID], max(0, f.opens[e.ID].Sub(now))
}

func (f *fakeLimits) Seek(_ context.Context, e limits.Endpoint, _ time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sought = append(f.sought, e.ID)
	f.standing[e.ID] = limit.Withheld
	if f.grants[e.ID] {
		f.standing[e.ID] = limit.Held
	}
	return f.look
}

func (f *fakeLimits) Use(e limits.Endpoint, _ time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.taken[e.ID] > 0 {
		f.taken[e.ID]--
		f.standing[e.ID] = limit.Askable
		return false
	}
	f.used = append(f.used, e.ID)
	return f.standing[e.ID] != limit.Withheld
}

// withhold withholds endpoints for a time; 0 for one that is not known.
func (f *fakeLimits) withhold(d time.Duration, ids ...string) {
	for _, id := range ids {
		f.standing[id] = limit.Withheld
		if d > 0 {
			f.opens[id] = time.Now().Add(d)
		}
	}
}

// TestEndpointAtItsLimitGetsNothing, not even a probe, and is no reason to wait.
func TestEndpointAtItsLimitGetsNothing(t *testing.T) {
	f := newFakeLimits()
	r := newLimitedRig(4, f)
	r.prober.set("e1", 1, 1.5) // worse, but it may get something
	r.prober.set("e3", 1, 1.5)
	f.withhold(0, "e0", "e2")
	for range 20 {
		g, refused := r.Acquire(context.Background(), ask())
		assert.Assert(t, refused == nil)
		assert.Assert(t, g.Endpoint.VM == "e1" || g.Endpoint.VM == "e3", g.Endpoint.VM)
		r.Complete(g, placement.Result{Outcome: placement.Unused})
	}
	assert.Equal(t, r.prober.total("e0", "e2"), 0)
	assert.Equal(t, len(f.sought), 0)
}

// TestRoomIsAskedForFirst: an endpoint with a limit is probed and chosen only once there is room.
func TestRoomIsAskedForFirst(t *testing.T) {
	f := newFakeLimits()
	r := newLimitedRig(2, f)
	f.standing["e0"], f.standing["e1"] = limit.Askable, limit.Askable
	f.grants["e1"] = true
	g, refused := r.Acquire(context.Background(), ask())
	assert.Assert(t, refused == nil)
	assert.Equal(t, g.Endpoint.VM, "e1")
	assert.Assert(t, g.Choice.Limited)
	assert.DeepEqual(t, f.sought, []string{"e0", "e1"}) // the own zone first
	assert.Equal(t, r.prober.total("e0"), 0)
	assert.DeepEqual(t, f.used, []string{"e1"})
}

// TestRoomThatWentToAnotherRequest is asked for once more.
func TestRoomThatWentToAnotherRequest(t *testing.T) {
	f := newFakeLimits()
	r := newLimitedRig(1, f)
	f.standing["e0"], f.grants["e0"], f.taken["e0"] = limit.Askable, true, 2
	_, refused := r.Acquire(context.Background(), ask())
	assert.Assert(t, refused == nil)
	assert.DeepEqual(t, f.sought, []string{"e0", "e0", "e0"})
}

// TestAllAtTheirLimits: what cannot be served in time is refused at once, with when there may be
// room; what can, waits for it.
func TestAllAtTheirLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeLimits()
		r := newLimitedRig(2, f)
		f.withhold(3*time.Second, "e0", "e1")
		began := time.Now()
		request := ask()
		request.Target = time.Second
		_, refused := r.Acquire(context.Background(), request)
		assert.Assert(t, refused != nil)
		assert.Equal(t, refused.Reason, reason.EndpointsLimited)
		assert.Equal(t, refused.RetryAfter, 3*time.Second)
		assert.Equal(t, refused.Search.Limited, 2)
		assert.Equal(t, time.Since(began), time.Duration(0))
		assert.Equal(t, r.prober.total("e0", "e1"), 0)

		f.withhold(50*time.Millisecond, "e1")
		f.grants["e1"] = true
		request = ask()
		request.Target = time.Second
		g, refused := r.Acquire(context.Background(), request)
		assert.Assert(t, refused == nil, "%+v", refused)
		assert.Equal(t, g.Endpoint.VM, "e1")
		assert.Assert(t, time.Since(began) >= 50*time.Millisecond)
	})
}

// TestCallerThatLeavesIsNotWaitedFor, while all endpoints are at their limits.
func TestCallerThatLeavesIsNotWaitedFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeLimits()
		r := newLimitedRig(2, f)
		f.withhold(time.Minute, "e0", "e1")
		ctx, leave := context.WithCancel(context.Background())
		leave()
		began := time.Now()
		_, refused := r.Acquire(ctx, ask())
		assert.Equal(t, refused.Reason, reason.CallerLeft)
		assert.Equal(t, time.Since(began), time.Duration(0))
	})
}

// TestLimitsAreHeardInProbes, also in one that only asks whether a limit still holds; another
// instance at the address speaks for itself alone.
func TestLimitsAreHeardInProbes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeLimits()
		r := newLimitedRig(2, f)
		f.look = true
		f.standing["e0"] = limit.Askable
		answer := r.prober.answers["e0"]
		answer.Limit = limit.Answer{Said: limit.Named, Rate: 2, Heard: time.Now()}
		r.prober.answers["e0"] = answer
		foreign := answer
		foreign.Instance = "another"
		r.prober.answers["e1"] = foreign
		_, _ = r.Acquire(context.Background(), ask())
		synctest.Wait()
		assert.DeepEqual(t, f.probed["e0"], answer.Limit)
		_, ok := f.probed["e1"]
		assert.Assert(t, !ok)
	})
}

// newLimitedRig is newRig with endpoints that name limits.
func newLimitedRig(endpoints int, f *fakeLimits) *rig {
	return newRigWith(endpoints, selection.Options{}, 0, f)
}
