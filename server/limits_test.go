package server_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/lotuswing/lotuswing/audit"
	"github.com/lotuswing/lotuswing/coord/window"
	"github.com/lotuswing/lotuswing/limits"
	"github.com/lotuswing/lotuswing/platform/platformtest"
	"github.com/lotuswing/lotuswing/tenant"
	"gotest.tools/v3/assert"
)

// The story of the failure. Two of ten endpoints of a service, in need, named in their answers
// how many requests a second they take from all balancers together, 3.5 and 2.3. They went on to
// get as many as before, 12 and 7 a second, for the rest of the day; callers noticed nothing, the
// endpoints did. The evidence: in the logs of the eighteen balancers what each sends there does
// not change when the limits are named, no line knows of a limit, and no balancer alone sends
// more than the limit: had each read it and kept it for itself, nothing would have changed.
// Cause: no code read the header, and what bounded an endpoint at all (probes, cold endpoints) was
// kept by each process. With the header read and logged by all three balancers below, and nothing
// else, 896 requests came in the worst four seconds; each of the three keeping 2.5 a second for itself
// would let 30 through, and 20 are allowed.

// limitedService is the service of the endpoints that name limits, at /l/ for requests that may
// be repeated and at /once/ for others.
const limitedService = "limited"

// limitedEndpoints starts endpoints of a service of their own.
func (r *platformRig) limitedEndpoints(t *testing.T, n int) []*platformtest.Endpoint {
	t.Helper()
	all := make([]*platformtest.Endpoint, n)
	for i := range all {
		id := fmt.Sprintf("l-%d", i)
		all[i] = platformtest.NewEndpoint(id, platformtest.Behavior{ServiceTime: 2 * time.Millisecond})
		front := httptest.NewServer(all[i])
		t.Cleanup(front.Close)
		r.store.PutServer(id, platformtest.Server{Address: front.Listener.Addr().String(), Service: limitedService, Zone: "medina", Slots: 3})
	}
	route := func(name, prefix string, repeatable bool) tenant.PrefixRoute {
		return tenant.PrefixRoute{
			Name: name, Host: "a.example", Prefix: prefix, Repeatable: repeatable, Timeout: 10 * time.Second, Target: time.Second, MaxAttempts: 2,
			Split: []tenant.Share{{Service: limitedService, Weight: 1}},
		}
	}
	r.store.Publish(2, []tenant.PrefixRoute{route("safe", "/l/", true), route("once", "/once/", false)},
		map[string]tenant.Service{limitedService: {Connections: 100, ProbePath: "/health"}})
	return all
}

// press has callers call all balancers in turn without a pause until ctx ends, and counts the
// answers by status.
func press(ctx context.Context, t *testing.T, all []platformBalancer, callers int) *statuses {
	t.Helper()
	s := &statuses{counts: map[int]int{}}
	var done sync.WaitGroup
	var next atomic.Int64
	for range callers {
		done.Go(func() {
			for ctx.Err() == nil {
				i := next.Add(1)
				path := [...]string{"/l/1", "/once/1"}[i%2]
				s.add(all[int(i)%len(all)].callFor(t, path))
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
	t.Cleanup(done.Wait)
	return s
}

// statuses counts answers.
type statuses struct {
	mu     sync.Mutex
	counts map[int]int
}

func (s *statuses) add(status int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts[status]++
}

func (s *statuses) of(status int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts[status]
}

const (
	// limitKnown is how long after the naming balancers may not have heard of it.
	limitKnown = 500 * time.Millisecond
)

// worstWindow returns the most requests that arrived in a window between two times.
func worstWindow(arrivals []time.Time, from, to time.Time) int {
	arrivals = slices.DeleteFunc(arrivals, func(at time.Time) bool { return at.Before(from) || at.After(to) })
	slices.SortFunc(arrivals, time.Time.Compare)
	return window.MaxCount(arrivals, audit.LimitWindow)
}

// checkListed checks what operators are told of the only endpoint that names a limit: each
// balancer knows it, and one of them is its owner.
func checkListed(t *testing.T, all []platformBalancer, perSecond float64) {
	t.Helper()
	owners := 0
	for _, b := range all {
		resp, err := http.Get("http://" + b.admin + "/limits")
		assert.NilError(t, err)
		var list []limits.Status
		assert.NilError(t, json.NewDecoder(resp.Body).Decode(&list))
		assert.NilError(t, resp.Body.Close())
		assert.Assert(t, len(list) == 1 && list[0].Endpoint == "l-0" && list[0].State == "named" && list[0].PerSecond == perSecond, "%+v", list)
		if list[0].Owns {
			owners++
			assert.Assert(t, list[0].Given > 0, "%+v", list)
		}
	}
	assert.Equal(t, owners, 1)
}

// TestLimitHoldsForTheFleet: an endpoint that names a limit gets no more than it allows from
// three balancers together, and the others take what it does not.
func TestLimitHoldsForTheFleet(t *testing.T) {
	const perSecond = 2.5
	r := newPlatformRig(t)
	endpoints := r.limitedEndpoints(t, 4)
	all := threeBalancers(t, r)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	got := press(ctx, t, all, 12)
	time.Sleep(time.Second)
	endpoints[0].Set(func(b *platformtest.Behavior) { b.Limit = fmt.Sprint(perSecond) })
	known := time.Now().Add(limitKnown)
	time.Sleep(limitKnown + audit.LimitWindow + time.Second)
	ends := time.Now()
	stop()
	checkListed(t, all, perSecond)
	worst := worstWindow(endpoints[0].ArrivalTimes(), known, ends)
	allowed := audit.LimitAllows(perSecond)
	t.Logf("%d in the worst window of %v; %d answered with 200, %d with 503", worst, allowed, got.of(http.StatusOK), got.of(http.StatusServiceUnavailable))
	assert.Assert(t, float64(worst) <= allowed, "%d in the worst window, %v allowed", worst, allowed)
	assert.Assert(t, got.of(http.StatusOK) > 50, "%d", got.of(http.StatusOK))
}
