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

// cool lets an endpoint say in its responses to probes how much longer it warms up.
func (p *fakeProber) cool(addr string, left time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	answer := p.answers[addr]
	answer.Warmup = upstream.Warmup{Told: true, Left: left}
	p.answers[addr] = answer
}

// TestEndpointThatTurnsColdIsListenedTo: one that says in response to a probe that it has
// turned cold gets one request at a time, and what it takes teaches nothing of the kind.
func TestEndpointThatTurnsColdIsListenedTo(t *testing.T) {
	r := newRig(2, selection.Options{ProbeBurst: 1000, LookAgain: time.Millisecond})
	r.learn(t)
	r.prober.cool("e0", time.Hour)
	r.prober.set("e1", 3, 1)         // full
	time.Sleep(5 * time.Millisecond) // its last report is no longer fresh
	first, refused := r.Acquire(context.Background(), ask())
	assert.Assert(t, refused == nil)
	assert.Equal(t, first.Endpoint.VM, "e0")
	assert.Assert(t, first.Choice.Cold)
	_, refused = r.Acquire(context.Background(), hurried())
	assert.Assert(t, refused != nil, "it works on the first one")

	usual := r.Status()
	r.Complete(first, placement.Result{Outcome: placement.Completed, Took: time.Minute})
	assert.Equal(t, r.Status().Endpoints[0].Slowness, usual.Endpoints[0].Slowness)
	r.prober.cool("e0", 0)
	again, refused := r.Acquire(context.Background(), ask())
	assert.Assert(t, refused == nil)
	assert.Assert(t, again.Choice.Estimate < time.Second, "%v, as if work took a minute", again.Choice.Estimate)
}

// TestColdEndpointsThatRefuseAreLeftAlone by the balancer that they refused.
func TestColdEndpointsThatRefuseAreLeftAlone(t *testing.T) {
	r := newRig(2, selection.Options{ProbeBurst: 1000, LookAgain: time.Millisecond})
	for _, e := range []string{"e0", "e1"} {
		r.prober.cool(e, time.Hour)
	}
	first, refused := r.Acquire(context.Background(), ask())
	assert.Assert(t, refused == nil)
	r.Complete(first, placement.Result{Outcome: placement.Shed})
	_, refused = r.Acquire(context.Background(), hurried())
	assert.Assert(t, refused != nil)
}
