package balancer

import (
	"errors"
	"net/http"
	"testing"
	"time"

	"github.com/lotuswing/lotuswing/coord/placement"
	"github.com/lotuswing/lotuswing/coord/reason"
	"github.com/lotuswing/lotuswing/coord/verdict"
	"github.com/lotuswing/lotuswing/tenant"
	"github.com/lotuswing/lotuswing/upstream"
	"gotest.tools/v3/assert"
)

// TestWhichResponseIsPassedOn.
func TestWhichResponseIsPassedOn(t *testing.T) {
	for _, c := range []struct {
		name              string
		verdict           verdict.Verdict
		status            int
		repeatable, every bool // every: after any server error
		want              bool
	}{
		{"a success", verdict.Ran, 200, true, true, true},
		{"the endpoint's refusal", verdict.NotRun, 503, true, false, false},
		{"a response that proves nothing", verdict.MayHaveRun, 200, true, false, false},
		{"a rejection of what is repeatable", verdict.Ran, 502, true, false, false},
		{"a rejection of what must run once", verdict.Ran, 502, false, true, true},
		{"the endpoint's own failure", verdict.Ran, 500, true, false, true},
		{"the same, where any server error is retried", verdict.Ran, 500, true, true, false},
		{"a caller's fault", verdict.Ran, 404, true, true, true},
	} {
		res := upstream.Result{Verdict: c.verdict, Response: &http.Response{StatusCode: c.status}}
		assert.Equal(t, delivers(&res, c.repeatable, c.every), c.want, c.name)
	}
}

// TestWhatAResponseShows of its endpoint.
func TestWhatAResponseShows(t *testing.T) {
	assert.Equal(t, outcomeOf(200, false, nil), placement.Completed)
	assert.Equal(t, outcomeOf(500, false, nil), placement.Failed)
	assert.Equal(t, outcomeOf(200, false, errCutShort), placement.Failed)
	assert.Equal(t, outcomeOf(500, true, nil), placement.Unused)
	assert.Equal(t, outcomeOf(200, false, errors.Join(errCallerGone)), placement.Unused)
}

// TestVerdictOfAllAttempts: what one attempt left open stays open.
func TestVerdictOfAllAttempts(t *testing.T) {
	assert.Equal(t, overall(verdict.NotRun, false), verdict.NotRun)
	assert.Equal(t, overall(verdict.NotRun, true), verdict.MayHaveRun)
	assert.Equal(t, overall(verdict.Ran, true), verdict.Ran)
	for _, c := range []struct {
		name       string
		code       reason.Code
		mayHaveRun bool
		verdict    verdict.Verdict
		want       reason.Code
	}{
		{"refused before anything was sent", reason.TooLate, false, verdict.NotRun, reason.TooLate},
		{"no endpoint for another attempt", reason.TooLate, true, verdict.MayHaveRun, reason.AnswerUnknown},
		{"refused by the endpoint after an attempt", reason.EndpointRefused, true, verdict.MayHaveRun, reason.AnswerUnknown},
		{"late", reason.AnswerLate, true, verdict.MayHaveRun, reason.AnswerLate},
	} {
		got := refusal{reason: c.code}.settled(c.mayHaveRun)
		assert.Equal(t, got.verdict, c.verdict, c.name)
		assert.Equal(t, got.reason, c.want, c.name)
	}
}

// TestWaitingReason tells a deadline from a patience that ended.
func TestWaitingReason(t *testing.T) {
	now := time.Unix(1000, 0)
	assert.Equal(t, waitingReason(reason.Expired, now.Add(time.Second), now), reason.Expired)
	assert.Equal(t, waitingReason(reason.Expired, now, now), reason.DeadlineWaiting)
	assert.Equal(t, waitingReason(reason.NoEndpoint, now, now), reason.NoEndpoint)
}

// TestProvedAlive: only on the word of a response a moment ago, and only where it matters.
func TestProvedAlive(t *testing.T) {
	client := upstream.NewClient(upstream.Options{})
	t.Cleanup(client.Close)
	policy := Policy{FreshConnections: true, ProvedAlive: 50 * time.Millisecond, Client: client}
	once, again := tenant.Route{Kind: &tenant.Kind{}}, tenant.Route{Kind: &tenant.Kind{Repeatable: true}}
	for _, c := range []struct {
		name   string
		policy Policy
		route  tenant.Route
		age    time.Duration
		want   bool
	}{
		{"has just answered", policy, once, 2 * time.Millisecond, true},
		{"answered a while ago", policy, once, 50 * time.Millisecond, false},
		{"told nothing yet", policy, once, -1, false},
		{"may run again", policy, again, 0, false},
		{"never", Policy{FreshConnections: true, Client: client}, once, 0, false},
	} {
		b := &Balancer{cfg: Config{Policy: c.policy}}
		assert.Equal(t, b.provedAlive(c.route, placement.Choice{Age: c.age}), c.want, c.name)
	}
}
