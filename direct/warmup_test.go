package direct_test

import (
	"context"
	"testing"
	"time"

	"github.com/lotuswing/lotuswing/coord/placement"
	"github.com/lotuswing/lotuswing/coord/selection"
	"github.com/lotuswing/lotuswing/upstream"
	"gotest.tools/v3/assert"
)

// setWarmup sets how much longer the endpoint at an address warms up, according to its responses to
// probes.
func (p *fakeProber) setWarmup(addr string, left time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	answer := p.answers[addr]
	answer.Warmup = upstream.Warmup{Known: true, Remaining: left}
	p.answers[addr] = answer
}

// TestProbeReportsWarmup checks that an endpoint that responds to a probe that it is cold again
// gets one request at a time, and that the time of that request does not count towards the usual
// service time of its kind.
func TestProbeReportsWarmup(t *testing.T) {
	r := newFixture(2, selection.Options{ProbeBurst: 1000, RoundPause: time.Millisecond})
	r.learn(t)
	r.prober.setWarmup("e0", time.Hour)
	r.prober.set("e1", 3, 1)         // full
	time.Sleep(5 * time.Millisecond) // its last report is outdated
	first, refused := r.Acquire(context.Background(), newRequest())
	assert.Assert(t, refused == nil)
	assert.Equal(t, first.Endpoint.VM, "e0")
	assert.Assert(t, first.Choice.Cold)
	_, refused = r.Acquire(context.Background(), overdueRequest())
	assert.Assert(t, refused != nil, "it still runs the first request")

	before := r.Status()
	r.Complete(first, placement.Result{Outcome: placement.Completed, Took: time.Minute})
	assert.Equal(t, r.Status().Endpoints[0].Slowness, before.Endpoints[0].Slowness)
	r.prober.setWarmup("e0", 0)
	again, refused := r.Acquire(context.Background(), newRequest())
	assert.Assert(t, refused == nil)
	assert.Assert(t, again.Choice.Estimate < time.Second, "%v, as if requests took a minute", again.Choice.Estimate)
}

// TestColdEndpointsAreAvoidedAfterRefusal checks that after one cold endpoint has refused a
// request, the balancer avoids all cold endpoints of the service for a while.
func TestColdEndpointsAreAvoidedAfterRefusal(t *testing.T) {
	r := newFixture(2, selection.Options{ProbeBurst: 1000, RoundPause: time.Millisecond})
	for _, e := range []string{"e0", "e1"} {
		r.prober.setWarmup(e, time.Hour)
	}
	first, refused := r.Acquire(context.Background(), newRequest())
	assert.Assert(t, refused == nil)
	r.Complete(first, placement.Result{Outcome: placement.Shed})
	_, refused = r.Acquire(context.Background(), overdueRequest())
	assert.Assert(t, refused != nil)
}
