package direct_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/lotuswing/lotuswing/coord/admission"
	"github.com/lotuswing/lotuswing/coord/placement"
	"github.com/lotuswing/lotuswing/coord/reason"
	"github.com/lotuswing/lotuswing/coord/selection"
	"github.com/lotuswing/lotuswing/directory"
	"gotest.tools/v3/assert"
)

const backoff = 3 * time.Second

// requestBackoff makes the endpoint of a grant refuse its request and ask for a backoff.
func (r *fixture) requestBackoff(g placement.Grant) {
	r.ObserveResponse(g, reportWith(admission.Signal{Backoff: backoff}))
	r.Complete(g, placement.Result{Outcome: placement.Shed})
}

// TestBackingOffEndpointGetsNothing checks that during its backoff an endpoint gets no requests,
// even if they were granted before, and no probes, while the other endpoints serve. The endpoint
// must not be ejected as if it had failed.
func TestBackingOffEndpointGetsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newFixture(3, selection.Options{})
		first, granted := grant(t, r), grant(t, r)
		for granted.Endpoint.VM != first.Endpoint.VM {
			granted = grant(t, r)
		}
		r.requestBackoff(first)
		assert.Assert(t, !r.StillAccepts(granted, time.Now()))
		probes := r.prober.probesTo(first.Endpoint.VM)
		for end := time.Now().Add(backoff); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
			g := grant(t, r)
			assert.Assert(t, g.Endpoint.VM != first.Endpoint.VM)
			r.Complete(g, placement.Result{Outcome: placement.Completed, Took: time.Millisecond})
		}
		assert.Equal(t, r.prober.probesTo(first.Endpoint.VM), probes)
		for _, e := range r.Status().Endpoints {
			assert.Assert(t, !e.Ejected, e.ID)
		}
		assert.Assert(t, r.StillAccepts(granted, time.Now()))
	})
}

// TestRefusesWhileAllBackOff checks that requests are refused at once while all endpoints back off.
// The retry times must be spread, and none may be before the end of the first backoff.
func TestRefusesWhileAllBackOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newFixture(2, selection.Options{})
		for range 2 {
			r.requestBackoff(grant(t, r))
		}
		began, seen := time.Now(), map[time.Duration]bool{}
		for range 20 {
			request := newRequest()
			request.Target = time.Second
			_, refused := r.Acquire(context.Background(), request)
			assert.Assert(t, refused != nil)
			assert.Equal(t, refused.Reason, reason.EndpointsBackingOff)
			assert.Equal(t, refused.Search.BackingOff, 2)
			assert.Assert(t, refused.RetryAfter >= backoff && refused.RetryAfter <= 2*backoff, "%v", refused.RetryAfter)
			seen[refused.RetryAfter] = true
		}
		assert.Equal(t, time.Since(began), time.Duration(0))
		assert.Assert(t, len(seen) > 10, "%d different times", len(seen))
	})
}

// TestSlowStart checks that an endpoint after its backoff gets one request at a time until it has
// run one, and then a growing share of the requests.
func TestSlowStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newFixture(1, selection.Options{})
		r.requestBackoff(grant(t, r))
		time.Sleep(backoff)
		acquireUpTo := func(n int) (granted []placement.Grant) {
			for range n {
				request := newRequest()
				request.Target = 50 * time.Millisecond
				if g, refused := r.Acquire(context.Background(), request); refused == nil {
					granted = append(granted, g)
				}
			}
			return granted
		}
		time.Sleep(200 * time.Millisecond)
		first := acquireUpTo(100) // each may be sent with a probability of 0.1
		assert.Equal(t, len(first), 1, "one request at a time")
		assert.Assert(t, first[0].Choice.Trial)
		answer := reportWith(admission.Signal{})
		answer.Ran = true
		r.ObserveResponse(first[0], answer)
		r.Complete(first[0], placement.Result{Outcome: placement.Completed, Took: time.Millisecond})
		served := func() int {
			n := 0
			for range 100 {
				for _, g := range acquireUpTo(1) {
					n++
					r.Complete(g, placement.Result{Outcome: placement.Completed, Took: time.Millisecond})
				}
			}
			return n
		}
		early := served()
		time.Sleep(2 * time.Second)
		assert.Assert(t, early > 0 && early < 70, "%d of 100", early)
		assert.Equal(t, served(), 100)
	})
}

// TestBackoffOutlivesDirectoryEntry checks that a backoff still applies after the endpoint's
// directory entry has expired and come back, as happens when the store is unavailable for a while.
func TestBackoffOutlivesDirectoryEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newFixtureForgetting(1, selection.Options{}, time.Nanosecond)
		g, other := grant(t, r), grant(t, r)
		r.ObserveResponse(g, reportWith(admission.Signal{Backoff: time.Minute}))
		r.Complete(g, placement.Result{Outcome: placement.Shed})
		r.directory.Apply(directory.Changes{Gone: []directory.RemovedEntry{{ID: "e0", Revision: 2}}}, time.Now())
		time.Sleep(30 * time.Second)
		r.directory.Apply(directory.Changes{Revision: 3}, time.Now())
		r.Complete(other, placement.Result{Outcome: placement.Unused}) // drops the states of endpoints that are gone
		r.restart("e0", 0, 4)
		request := newRequest()
		request.Target = time.Second
		_, refused := r.Acquire(context.Background(), request)
		assert.Assert(t, refused != nil)
		assert.Equal(t, refused.Reason, reason.EndpointsBackingOff)
	})
}

// TestRetriesAreSpread checks that refused callers are told to retry later than the end of the
// first backoff, by at least an eighth of the target, even if many endpoints end their backoffs at
// once and one of them accepts requests right then. Otherwise all callers would retry at that
// moment.
func TestRetriesAreSpread(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const endpoints = 40
		r := newFixture(endpoints, selection.Options{})
		for range endpoints {
			r.requestBackoff(grant(t, r))
		}
		for range 50 {
			request := newRequest()
			request.Target = 4 * time.Second
			_, refused := r.Acquire(context.Background(), request)
			assert.Assert(t, refused != nil)
			assert.Assert(t, refused.RetryAfter >= backoff+request.Target/8, "%v", refused.RetryAfter)
		}
	})
}
