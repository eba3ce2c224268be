package balancer

import (
	"context"
	"net/http"
	"time"

	"github.com/lotuswing/lotuswing/coord/placement"
	"github.com/lotuswing/lotuswing/coord/reason"
	"github.com/lotuswing/lotuswing/upstream"
	"go.opentelemetry.io/otel/propagation"
)

// serve gets a response for the request: it chooses an endpoint, sends the request there and
// evaluates the result, until a response is forwarded or the rules allow no further attempt.
func (b *Balancer) serve(ctx context.Context, request any) (any, error) {
	x := request.(*exchange)
	if !x.route.Kind.Repeatable {
		// An earlier response may close the connection. The requests behind it then count as not
		// read, so a non-repeatable one must not have been sent to an endpoint.
		if err := x.awaitTurn(); err != nil {
			return nil, refusal{reason: reason.CallerLeft, message: err.Error()}
		}
		if err := b.checkStop(x, time.Now()); err != nil {
			return nil, err
		}
	}
	if err := b.prepareRequest(ctx, x); err != nil {
		return nil, err
	}
	defer x.reading.bind(ctx, x.deadline)()
	if err := readSmallBody(ctx, x, b.cfg.Limits.ReplayBytes); err != nil {
		return nil, err
	}
	x.replaceKeyWithTeam(b.cfg.Policy.Dialect.Team)
	b.retries.addRequest(x.route.ServiceKey(), time.Now())
	defer b.endTrial(x)
	for number := 1; ; {
		a, err := b.makeAttempt(ctx, x, number)
		if err != nil {
			return nil, err
		}
		b.reportToQuarantine(ctx, x, &a)
		if isFinalResponse(&a.result, x.route.Kind.Repeatable, b.cfg.Policy.RetryServerErrors) {
			return nil, b.deliver(x, &a)
		}
		b.completeFailed(x, &a)
		if isStopCut(ctx) || !b.claimRetry(x, &a, time.Now()) {
			return nil, b.giveUp(ctx, x, &a)
		}
		a.result.Close()
		number = a.number + 1
	}
}

// completeFailed reports a failed attempt to the Chooser and records it in the exchange.
func (b *Balancer) completeFailed(x *exchange, a *attempt) {
	a.complete(b.cfg.Chooser, failedAttemptResult(a, x.callerLeft(), time.Since(a.sentAt)))
	x.recordFailure(a)
}

// prepareRequest limits the body and adapts the headers, so that the request can be sent, if necessary
// more than once.
func (b *Balancer) prepareRequest(ctx context.Context, x *exchange) error {
	if err := limitBody(x, b.cfg.Limits.BodyBytes); err != nil {
		return err
	}
	x.body = upstream.NewBody(x.r.Body, b.cfg.Limits.ReplayBytes)
	x.reading = newBodyReading(x.w, x.r, x.body)
	prepareHeaders(x.r, !b.cfg.Policy.HideCallerAddress)
	b.cfg.Tracing.Propagator.Inject(ctx, propagation.HeaderCarrier(x.r.Header))
	return nil
}

// claimRetry decides whether the request gets another attempt and, if so, charges the retry budget
// of its service.
func (b *Balancer) claimRetry(x *exchange, a *attempt, now time.Time) bool {
	if x.callerLeft() {
		return false
	}
	request := x.retryRequest()
	request.Stopping = b.checkAttempt(x, now) != nil
	d := b.retries.claim(x.route.ServiceKey(), request, a.retryAttempt(x.body), now)
	x.logRetry(d, a.number)
	return d.Again
}

// deliver forwards an endpoint's response and reports the result of the request.
func (b *Balancer) deliver(x *exchange, a *attempt) error {
	x.ran = true
	status := a.result.Response.StatusCode
	result := placement.Result{Outcome: forwardedOutcome(status, false, nil), Load: a.report().Load, Backoff: a.report().Admission.Backoff}
	if a.suspended {
		result = placement.Result{Outcome: placement.Unused}
	}
	complete := func() {
		result.Took = time.Since(a.sentAt)
		go a.complete(b.cfg.Chooser, result) // must not delay the response to the caller
	}
	if a.result.Buffered {
		complete() // the endpoint is done, even if the response waits for its turn
	} else {
		defer complete()
	}
	if status == http.StatusSwitchingProtocols {
		return b.upgrade(x, &a.result)
	}
	err := b.forward(x, &a.result)
	if !a.suspended {
		result.Outcome = forwardedOutcome(status, x.callerLeft(), err)
	}
	b.reportForwardedToQuarantine(x, a, err)
	if err != nil {
		x.abort() // the caller must not take it for a complete response
	}
	return nil
}

// giveUp ends a request without a successful attempt: it forwards the response of the last
// attempt, or returns a refusal if there is none, or if it is an endpoint's refusal and the policy
// has ReplaceRefusals.
func (b *Balancer) giveUp(ctx context.Context, x *exchange, a *attempt) error {
	res := &a.result
	res.Verdict = combineVerdicts(res.Verdict, x.mayHaveRun)
	retryAfter := retryAfterFailure(x)
	if res.Response != nil && (res.Reason == "" || !b.cfg.Policy.ReplaceRefusals) {
		if res.Reason != "" || res.Response.Header.Get("Retry-After") == "" {
			// The endpoint's Retry-After in a refusal applies to this balancer; the caller may be
			// served by other endpoints sooner.
			res.Response.Header.Set("Retry-After", b.cfg.Policy.Dialect.FormatRetryAfter(retryAfter))
		}
		if err := b.forward(x, res); err != nil {
			x.abort() // as in deliver
		}
		return nil
	}
	res.Close()
	if isStopCut(ctx) {
		res.Reason = stopReason(res.Verdict)
		b.noteCut(x, a.grant.Endpoint.VM, res.Verdict, time.Now())
	}
	message := "service " + x.route.ServiceKey()
	if res.Err != nil {
		message += ": " + res.Err.Error()
	}
	if ctx.Err() != nil && !isStopCut(ctx) {
		message += " (caller left)"
	}
	return refusal{verdict: res.Verdict, reason: res.Reason, message: message, retryAfter: retryAfter}
}
