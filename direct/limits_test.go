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

// fakeLimits is a Limits that answers from tables, by endpoint.
type fakeLimits struct {
	mu            sync.Mutex
	standing      map[string]limit.Standing
	withheldUntil map[string]time.Time    // when a permit for a withheld endpoint may be requested again
	grants        map[string]bool         // whether RequestPermit brings a permit
	lostPermits   map[string]int          // how many more permits go to other requests
	requested     []string                // calls of RequestPermit in order
	used          []string                // successful calls of Use in order
	allowProbe    bool                    // result of RequestPermit
	probed        map[string]limit.Answer // arguments of Probed
	answered      map[string]limit.Answer // arguments of Answered
}

func newFakeLimits() *fakeLimits {
	return &fakeLimits{
		standing: map[string]limit.Standing{}, withheldUntil: map[string]time.Time{}, grants: map[string]bool{}, lostPermits: map[string]int{}, probed: map[string]limit.Answer{}, answered: map[string]limit.Answer{},
	}
}

func (f *fakeLimits) ObserveProbe(e limits.Endpoint, a limit.Answer) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.probed[e.ID] = a
}

func (f *fakeLimits) ObserveAnswer(e limits.Endpoint, a limit.Answer) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.answered[e.ID] = a
}

func (f *fakeLimits) HasNoLimits() bool { return false }

func (f *fakeLimits) Standing(e limits.Endpoint, now time.Time) (limit.Standing, time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if at, ok := f.withheldUntil[e.ID]; ok && !now.Before(at) {
		f.standing[e.ID] = limit.Askable
		delete(f.withheldUntil, e.ID)
	}
	return f.standing[e.ID], max(0, f.withheldUntil[e.ID].Sub(now))
}

func (f *fakeLimits) RequestPermit(_ context.Context, e limits.Endpoint, _ time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.requested = append(f.requested, e.ID)
	f.standing[e.ID] = limit.Denied
	if f.grants[e.ID] {
		f.standing[e.ID] = limit.Permitted
	}
	return f.allowProbe
}

func (f *fakeLimits) TakePermit(e limits.Endpoint, _ time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.lostPermits[e.ID] > 0 {
		f.lostPermits[e.ID]--
		f.standing[e.ID] = limit.Askable
		return false
	}
	f.used = append(f.used, e.ID)
	return f.standing[e.ID] != limit.Denied
}

// withhold makes permits for endpoints unavailable for a duration, or for an unknown time if d is
// 0.
func (f *fakeLimits) withhold(d time.Duration, ids ...string) {
	for _, id := range ids {
		f.standing[id] = limit.Denied
		if d > 0 {
			f.withheldUntil[id] = time.Now().Add(d)
		}
	}
}

// TestEndpointAtItsLimitGetsNothing checks that an endpoint at its limit gets no requests and no
// probes, and that no permit is requested for it, while other endpoints have room.
func TestEndpointAtItsLimitGetsNothing(t *testing.T) {
	f := newFakeLimits()
	r := newLimitedFixture(4, f)
	r.prober.set("e1", 1, 1.5) // worse, but not at its limit
	r.prober.set("e3", 1, 1.5)
	f.withhold(0, "e0", "e2")
	for range 20 {
		g, refused := r.Acquire(context.Background(), newRequest())
		assert.Assert(t, refused == nil)
		assert.Assert(t, g.Endpoint.VM == "e1" || g.Endpoint.VM == "e3", g.Endpoint.VM)
		r.Complete(g, placement.Result{Outcome: placement.Unused})
	}
	assert.Equal(t, r.prober.probesTo("e0", "e2"), 0)
	assert.Equal(t, len(f.requested), 0)
}

// TestPermitIsRequestedFirst checks that an endpoint with a limit is probed and chosen only once
// there is a permit.
func TestPermitIsRequestedFirst(t *testing.T) {
	f := newFakeLimits()
	r := newLimitedFixture(2, f)
	f.standing["e0"], f.standing["e1"] = limit.Askable, limit.Askable
	f.grants["e1"] = true
	g, refused := r.Acquire(context.Background(), newRequest())
	assert.Assert(t, refused == nil)
	assert.Equal(t, g.Endpoint.VM, "e1")
	assert.Assert(t, g.Choice.Limited)
	assert.DeepEqual(t, f.requested, []string{"e0", "e1"}) // the own zone first
	assert.Equal(t, r.prober.probesTo("e0"), 0)
	assert.DeepEqual(t, f.used, []string{"e1"})
}

// TestLostPermitIsRequestedAgain checks that a request whose permit went to another request asks
// for a new one.
func TestLostPermitIsRequestedAgain(t *testing.T) {
	f := newFakeLimits()
	r := newLimitedFixture(1, f)
	f.standing["e0"], f.grants["e0"], f.lostPermits["e0"] = limit.Askable, true, 2
	_, refused := r.Acquire(context.Background(), newRequest())
	assert.Assert(t, refused == nil)
	assert.DeepEqual(t, f.requested, []string{"e0", "e0", "e0"})
}

// TestAllEndpointsAtTheirLimits checks a request while all endpoints are at their limits. If
// permits become available too late for it, it is refused at once, with a retry time of when they
// do. If they become available in time, it waits.
func TestAllEndpointsAtTheirLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeLimits()
		r := newLimitedFixture(2, f)
		f.withhold(3*time.Second, "e0", "e1")
		began := time.Now()
		request := newRequest()
		request.Target = time.Second
		_, refused := r.Acquire(context.Background(), request)
		assert.Assert(t, refused != nil)
		assert.Equal(t, refused.Reason, reason.EndpointsLimited)
		assert.Equal(t, refused.RetryAfter, 3*time.Second)
		assert.Equal(t, refused.Search.Limited, 2)
		assert.Equal(t, time.Since(began), time.Duration(0))
		assert.Equal(t, r.prober.probesTo("e0", "e1"), 0)

		f.withhold(50*time.Millisecond, "e1")
		f.grants["e1"] = true
		request = newRequest()
		request.Target = time.Second
		g, refused := r.Acquire(context.Background(), request)
		assert.Assert(t, refused == nil, "%+v", refused)
		assert.Equal(t, g.Endpoint.VM, "e1")
		assert.Assert(t, time.Since(began) >= 50*time.Millisecond)
	})
}

// TestCanceledRequestDoesNotWaitForPermit checks that a request whose caller has left is refused at
// once while all endpoints are at their limits.
func TestCanceledRequestDoesNotWaitForPermit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeLimits()
		r := newLimitedFixture(2, f)
		f.withhold(time.Minute, "e0", "e1")
		ctx, leave := context.WithCancel(context.Background())
		leave()
		began := time.Now()
		_, refused := r.Acquire(ctx, newRequest())
		assert.Equal(t, refused.Reason, reason.CallerLeft)
		assert.Equal(t, time.Since(began), time.Duration(0))
	})
}

// TestProbesReportLimits checks that a limit in the response to a probe is processed, even if the
// probe was sent only to find out whether the limit still applies. A limit in the response of
// another instance at the endpoint's address is ignored.
func TestProbesReportLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeLimits()
		r := newLimitedFixture(2, f)
		f.allowProbe = true
		f.standing["e0"] = limit.Askable
		answer := r.prober.answers["e0"]
		answer.Limit = limit.Answer{Said: limit.HeaderNamed, Rate: 2, ReceivedAt: time.Now()}
		r.prober.answers["e0"] = answer
		foreign := answer
		foreign.Instance = "another"
		r.prober.answers["e1"] = foreign
		_, _ = r.Acquire(context.Background(), newRequest())
		synctest.Wait()
		assert.DeepEqual(t, f.probed["e0"], answer.Limit)
		_, ok := f.probed["e1"]
		assert.Assert(t, !ok)
	})
}

// newLimitedFixture is newFixture with a fakeLimits.
func newLimitedFixture(endpoints int, f *fakeLimits) *fixture {
	return newFixtureWithLimits(endpoints, selection.Options{}, 0, f)
}
