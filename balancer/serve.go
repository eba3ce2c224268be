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

// serve gets a response for the request: it chooses an endpoint, sends the request
// there and judges what came back, until a response is passed on or the rules
// allow no other attempt.
func (b *Balancer) serve(ctx context.Context, request any) (any, error) {
	x := request.(*exchange)
	if !x.route.Kind.Repeatable {
		// A response before it may yet close the connection; then it must not have begun.
		if err := x.takeTurn(); err != nil {
			return nil, refusal{reason: reason.CallerLeft, message: err.Error()}
		}
	}
	if err := b.receive(ctx, x); err != nil {
		return nil, err
	}
	x.nameTeam(b.cfg.Policy.Dialect.Team)
	b.retries.addRequest(x.route.ServiceKey(), time.Now())
	defer b.endTrial(x)
	for number := 1; ; number++ {
		a, err := b.try(ctx, x, number)
		if err != nil {
			return nil, err
		}
		b.noteEnd(ctx, x, &a)
		if delivers(&a.result, x.route.Kind.Repeatable, b.cfg.Policy.RetryServerErrors) {
			return nil, b.passOn(x, &a)
		}
		b.cfg.Chooser.Complete(a.grant, failedResult(&a, x.callerLeft(), time.Since(a.sent)))
		x.noteFailed(&a)
		if !b.mayRetry(x, &a, time.Now()) {
			return nil, b.giveUp(ctx, x, &a)
		}
		a.result.Close()
	}
}

// receive makes the caller's request fit to be sent on, as often as needed.
func (b *Balancer) receive(ctx context.Context, x *exchange) error {
	if err := limitBody(x, b.cfg.Limits.BodyBytes); err != nil {
		return err
	}
	prepareHeaders(x.r, !b.cfg.Policy.HideCaller)
	b.cfg.Tracing.Propagator.Inject(ctx, propagation.HeaderCarrier(x.r.Header))
	x.body = upstream.NewBody(x.r.Body, b.cfg.Limits.ReplayBytes)
	return readSmallBody(x, b.cfg.Limits.ReplayBytes)
}

// mayRetry decides about another attempt, and spends a part of the budget on it.
func (b *Balancer) mayRetry(x *exchange, a *attempt, now time.Time) bool {
	if x.callerLeft() {
		return false
	}
	d := b.retries.decide(x.route.ServiceKey(), x.forRetry(), a.forRetry(x.body), now)
	x.logRetry(d, a.number)
	return d.Again
}

// passOn passes an endpoint's response on and reports how the request ended.
func (b *Balancer) passOn(x *exchange, a *attempt) error {
	x.ran = true
	status := a.result.Response.StatusCode
	result := placement.Result{Outcome: outcomeOf(status, false, nil), Load: a.report().Load, Backoff: a.report().Word.Backoff}
	if a.stale {
		result = placement.Result{Outcome: placement.Unused}
	}
	complete := func() {
		result.Took = time.Since(a.sent)
		go b.cfg.Chooser.Complete(a.grant, result) // the caller's bytes go first
	}
	if a.result.Buffered {
		complete() // its endpoint has done with it, even where it has to wait for its turn
	} else {
		defer complete()
	}
	if status == http.StatusSwitchingProtocols {
		return b.upgrade(x, &a.result)
	}
	err := b.forward(x, &a.result)
	if !a.stale {
		result.Outcome = outcomeOf(status, x.callerLeft(), err)
	}
	b.notePassedOn(x, a, err)
	if err != nil {
		// The caller must see a broken response, never a clean short one.
		panic(http.ErrAbortHandler)
	}
	return nil
}

// giveUp makes the last response of a request that no endpoint ran to its end. An
// endpoint's own refusal is passed on, where the policy says so.
func (b *Balancer) giveUp(ctx context.Context, x *exchange, a *attempt) error {
	res := &a.result
	res.Verdict = overall(res.Verdict, x.mayHaveRun)
	retryAfter := retryAfterFailure(x)
	if res.Response != nil && (res.Reason == "" || !b.cfg.Policy.OwnRefusals) {
		if res.Reason != "" || res.Response.Header.Get("Retry-After") == "" {
			// The refusal's own time is for this balancer, which may have other endpoints.
			res.Response.Header.Set("Retry-After", b.cfg.Policy.Dialect.FormatRetryAfter(retryAfter))
		}
		if err := b.forward(x, res); err != nil {
			panic(http.ErrAbortHandler) // as in passOn
		}
		return nil
	}
	res.Close()
	message := "service " + x.route.ServiceKey()
	if res.Err != nil {
		message += ": " + res.Err.Error()
	}
	if ctx.Err() != nil {
		message += " (caller left)"
	}
	return refusal{verdict: res.Verdict, reason: res.Reason, message: message, retryAfter: retryAfter}
}
