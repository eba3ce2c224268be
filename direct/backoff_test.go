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

// backsOff has an endpoint refuse a request and ask for a backoff.
func (r *rig) backsOff(g placement.Grant) {
	r.Hear(g, word(admission.Word{Backoff: backoff}))
	r.Complete(g, placement.Result{Outcome: placement.Shed})
}

// TestEndpointThatBacksOffGetsNothing, neither requests, nor what was granted before, nor probes,
// while the others serve; it is not taken for one that has failed.
func TestEndpointThatBacksOffGetsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(3, selection.Options{})
		first, granted := grant(t, r), grant(t, r)
		for granted.Endpoint.VM != first.Endpoint.VM {
			granted = grant(t, r)
		}
		r.backsOff(first)
		assert.Assert(t, !r.Admits(granted, time.Now()))
		probes := r.prober.total(first.Endpoint.VM)
		for end := time.Now().Add(backoff); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
			g := grant(t, r)
			assert.Assert(t, g.Endpoint.VM != first.Endpoint.VM)
			r.Complete(g, placement.Result{Outcome: placement.Completed, Took: time.Millisecond})
		}
		assert.Equal(t, r.prober.total(first.Endpoint.VM), probes)
		for _, e := range r.Status().Endpoints {
			assert.Assert(t, !e.Ejected, e.ID)
		}
		assert.Assert(t, r.Admits(granted, time.Now()))
	})
}

// TestAllBackOff: requests are refused at once, with when the first endpoint takes requests again,
// and later for some than for others.
func TestAllBackOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(2, selection.Options{})
		for range 2 {
			r.backsOff(grant(t, r))
		}
		began, seen := time.Now(), map[time.Duration]bool{}
		for range 20 {
			request := ask()
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

// TestSlowStart: after its backoff an endpoint gets one request at a time until it has run one, and
// a share of the requests that grows.
func TestSlowStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(1, selection.Options{})
		r.backsOff(grant(t, r))
		time.Sleep(backoff)
		may := func(n int) (granted []placement.Grant) {
			for range n {
				request := ask()
				request.Target = 50 * time.Millisecond
				if g, refused := r.Acquire(context.Background(), request); refused == nil {
					granted = append(granted, g)
				}
			}
			return granted
		}
		time.Sleep(200 * time.Millisecond)
		first := may(30)
		assert.Equal(t, len(first), 1, "one is tried")
		assert.Assert(t, first[0].Choice.Trial)
		answer := word(admission.Word{})
		answer.Ran = true
		r.Hear(first[0], answer)
		r.Complete(first[0], placement.Result{Outcome: placement.Completed, Took: time.Millisecond})
		served := func() int {
			n := 0
			for range 100 {
				for _, g := range may(1) {
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

// TestBackoffOutlivesItsEntry: entries lapse while the store is away, and come back.
func TestBackoffOutlivesItsEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRigForgetting(1, selection.Options{}, time.Nanosecond)
		g, other := grant(t, r), grant(t, r)
		r.Hear(g, word(admission.Word{Backoff: time.Minute}))
		r.Complete(g, placement.Result{Outcome: placement.Shed})
		r.directory.Apply(directory.Changes{Gone: []directory.Gone{{ID: "e0", Revision: 2}}}, time.Now())
		time.Sleep(30 * time.Second)
		r.directory.Apply(directory.Changes{At: 3}, time.Now())
		r.Complete(other, placement.Result{Outcome: placement.Unused}) // looks for what can be forgotten
		r.restart("e0", 0, 4)
		request := ask()
		request.Target = time.Second
		_, refused := r.Acquire(context.Background(), request)
		assert.Assert(t, refused != nil)
		assert.Equal(t, refused.Reason, reason.EndpointsBackingOff)
	})
}

// TestCallersComeBackSpread behind the end of the first backoff, also where many endpoints end
// theirs at once and the first one of them opens right then.
func TestCallersComeBackSpread(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const endpoints = 40
		r := newRig(endpoints, selection.Options{})
		for range endpoints {
			r.backsOff(grant(t, r))
		}
		for range 50 {
			request := ask()
			request.Target = 4 * time.Second
			_, refused := r.Acquire(context.Background(), request)
			assert.Assert(t, refused != nil)
			assert.Assert(t, refused.RetryAfter >= backoff+request.Target/8, "%v", refused.RetryAfter)
		}
	})
}
