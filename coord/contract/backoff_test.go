package contract_test

import (
	"testing"
	"time"

	"github.com/lotuswing/lotuswing/coord/contract"
	"github.com/lotuswing/lotuswing/coord/placement"
	"github.com/lotuswing/lotuswing/coord/reason"
	"gotest.tools/v3/assert"
)

// acquire asks for a contract and returns the decision about it.
func acquire(l *contract.Ledger, id string, now time.Time) contract.Decision {
	return l.Acquire(now, request(id, placement.Interactive, now))[0]
}

// TestEndpointThatWantsNoRequests gets no contract until its backoff has ended, one at a time until it
// has run one, and as before then; where no other is left, requests are refused at once.
func TestEndpointThatWantsNoRequests(t *testing.T) {
	l := contract.NewLedger(exact)
	l.SetEndpoints(start, endpoints(1), never)
	first := acquire(l, "a", start)
	assert.Equal(t, first.Kind, contract.Granted)
	l.Apply(contract.Step{At: start, Op: contract.OpBackoff, VM: "e0", For: 3 * time.Second})
	l.Complete(start, "a", placement.Shed, 0)

	at := start.Add(time.Second)
	refused := acquire(l, "b", at)
	assert.Equal(t, refused.Kind, contract.Refused)
	assert.Equal(t, refused.Reason, reason.EndpointsBackingOff)
	assert.Equal(t, refused.RetryAfter, 2*time.Second)

	restored := contract.Restore(l.State())
	for _, l := range []*contract.Ledger{l, restored} {
		at := start.Add(3 * time.Second)
		assert.Equal(t, acquire(l, "c", at).Kind, contract.Granted)
		assert.Equal(t, acquire(l, "d", at).Kind, contract.Queued, "one at a time")
		got := l.Complete(at.Add(10*time.Millisecond), "c", placement.Completed, 10*time.Millisecond)
		assert.Assert(t, len(got) == 1 && got[0].Request == "d" && got[0].Kind == contract.Granted, "%+v", got)
		assert.Equal(t, acquire(l, "e", at.Add(20*time.Millisecond)).Kind, contract.Granted, "it has run one")
	}
}

// TestOthersServeMeanwhile: a backoff of one endpoint keeps the others as they are.
func TestOthersServeMeanwhile(t *testing.T) {
	l := contract.NewLedger(exact)
	l.SetEndpoints(start, endpoints(2), never)
	l.Backoff(start, "e0", time.Minute)
	l.Backoff(start, "nobody", time.Minute)
	for i, id := range []string{"a", "b", "c"} {
		d := acquire(l, id, start.Add(time.Duration(i)*time.Millisecond))
		assert.Equal(t, d.Kind, contract.Granted)
		assert.Equal(t, d.Endpoint.VM, "e1")
	}
	l.Leaving("e1")
	d := acquire(l, "d", start.Add(time.Second))
	assert.Equal(t, d.Reason, reason.EndpointsBackingOff)
	assert.Equal(t, d.RetryAfter, 59*time.Second)
}
