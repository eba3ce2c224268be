package balancer

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/lotuswing/lotuswing/coord/placement"
	"github.com/lotuswing/lotuswing/coord/reason"
	"github.com/lotuswing/lotuswing/coord/retry"
	"github.com/lotuswing/lotuswing/coord/verdict"
	"github.com/lotuswing/lotuswing/telemetry"
	"github.com/lotuswing/lotuswing/upstream"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
)

// serve waits for a grant, sends, and sends again where the rules allow it.
func (b *Balancer) serve(ctx context.Context, request any) (any, error) {
	x := request.(*exchange)
	if err := b.limitBody(x); err != nil {
		return nil, err
	}
	prepare(x.r, !b.cfg.Policy.HideCaller)
	b.cfg.Tracing.Propagator.Inject(ctx, propagation.HeaderCarrier(x.r.Header))
	body := upstream.NewBody(x.r.Body, b.cfg.Limits.ReplayBytes)
	if err := b.fill(x, body); err != nil {
		return nil, err
	}
	b.deposit(x.route.ServiceKey())
	var tried []string
	for attempt := 1; ; attempt++ {
		grant, err := b.acquire(ctx, x, tried)
		if err != nil {
			return nil, err
		}
		x.chosen(attempt, grant)
		sent := time.Now()
		res := b.send(ctx, x, grant, body)
		x.attempted(attempt, grant, &res, sent)
		if res.Verdict == verdict.Ran && !b.rejected(x, &res) {
			return nil, b.answer(x, grant, &res, sent)
		}
		b.complete(x, grant, &res, sent)
		x.mayRun = x.mayRun || res.Verdict != verdict.NotRun
		tried = append(tried, grant.Endpoint.VM)
		if !b.again(x, &res, attempt, body) {
			return nil, b.giveUp(ctx, x, &res)
		}
		res.Close()
	}
}

// fill reads a small body before the request waits.
func (b *Balancer) fill(x *exchange, body *upstream.Body) error {
	if x.r.ContentLength <= 0 || x.r.ContentLength > int64(b.cfg.Limits.ReplayBytes) {
		return nil
	}
	control := http.NewResponseController(x.w)
	_ = control.SetReadDeadline(x.deadline)
	err := body.Fill()
	_ = control.SetReadDeadline(time.Time{})
	switch {
	case err == nil:
		return nil
	case !time.Now().Before(x.deadline):
		return refusal{reason: reason.DeadlineWaiting, message: "the body did not arrive in time"}
	}
	return refusal{reason: reason.CallerLeft, message: "the body did not arrive: " + err.Error()}
}

// rejected reports whether an endpoint's answer is a bare rejection of a
// repeatable request. It proves nothing about what ran, but another endpoint
// may do better.
func (b *Balancer) rejected(x *exchange, res *upstream.Result) bool {
	if b.cfg.Policy.RepeatErrors && res.Response.StatusCode >= http.StatusInternalServerError {
		return x.route.Kind.Repeatable
	}
	switch res.Response.StatusCode {
	case http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return x.route.Kind.Repeatable
	}
	return false
}

// limitBody bounds the body and lets the answer begin before it has ended. A
// body that says that it is too long is refused before anything is sent.
func (b *Balancer) limitBody(x *exchange) error {
	limit := b.cfg.Limits.BodyBytes
	if most := x.route.Kind.MaxBody; most > 0 {
		limit = min(limit, most)
	}
	if x.r.ContentLength > limit {
		return refusal{reason: reason.BodyTooLarge, message: fmt.Sprintf("%d bytes, at most %d", x.r.ContentLength, limit)}
	}
	if x.r.ProtoMajor == 1 {
		_ = http.NewResponseController(x.w).EnableFullDuplex()
	}
	x.r.Body = http.MaxBytesReader(x.w, x.r.Body, limit)
	return nil
}

func (b *Balancer) acquire(ctx context.Context, x *exchange, tried []string) (placement.Grant, error) {
	ctx, span := b.cfg.Tracing.Tracer.Start(ctx, "wait")
	defer span.End()
	patience := min(time.Until(x.accepted.Add(x.route.Kind.Patience)), time.Until(x.deadline))
	grant, refused := b.cfg.Fleet.Acquire(ctx, placement.Request{
		ID:       b.cfg.Fleet.NextID(),
		Service:  x.route.ServiceKey(),
		Class:    x.route.Kind.Class,
		Patience: patience,
		Deadline: x.deadline,
		Avoid:    tried,

		Kind:     x.route.Team + "/" + x.route.Kind.Name,
		Accepted: x.accepted,
		Target:   x.route.Kind.Target,
	})
	if refused != nil && refused.Reason == reason.Expired && !time.Now().Before(x.deadline) {
		refused.Reason = reason.DeadlineWaiting
	}
	if refused != nil {
		x.noPlace(len(tried)+1, refused)
		return placement.Grant{}, refusal{reason: refused.Reason, message: "service " + x.route.ServiceKey(), retryAfter: refused.RetryAfter}
	}
	span.SetAttributes(attribute.String("vm", grant.Endpoint.VM), attribute.String("home", grant.HomeID))
	return grant, nil
}

func (b *Balancer) send(ctx context.Context, x *exchange, grant placement.Grant, body *upstream.Body) upstream.Result {
	ctx, span := b.cfg.Tracing.Tracer.Start(ctx, "send")
	defer span.End()
	res := b.client(x.route).Send(ctx, upstream.Request{
		ID:          b.attemptID(x, grant),
		Addr:        grant.Endpoint.Addr,
		In:          x.r,
		Body:        body,
		Deadline:    x.deadline,
		Instance:    grant.Endpoint.VM,
		BufferBytes: b.cfg.Policy.HoldBytes,
		Informational: func(code int, header http.Header) {
			if code == http.StatusContinue || code == http.StatusSwitchingProtocols {
				return // the server sends its own
			}
			copyHeader(x.w.Header(), header)
			x.w.WriteHeader(code)
			clear(x.w.Header())
		},
	})
	span.SetAttributes(attribute.String("verdict", res.Verdict.String()), attribute.String("reason", string(res.Reason)))
	return res
}

// attemptID names an attempt to the endpoint: the caller's name where that goes
// through, else that of the grant.
func (b *Balancer) attemptID(x *exchange, grant placement.Grant) string {
	if b.cfg.Policy.Dialect.CallerRequestID {
		return x.id
	}
	return grant.ID
}

// complete reports an attempt that the endpoint did not run to its end.
func (b *Balancer) complete(x *exchange, grant placement.Grant, res *upstream.Result, sent time.Time) {
	e := placement.Result{Outcome: placement.Failed, Took: time.Since(sent)}
	switch {
	case res.Reason == reason.EndpointReplaced:
		e.Replaced = true
	case res.Reason == reason.EndpointRefused:
		e.Outcome = placement.Shed
		e.Load = b.load(res)
	case x.r.Context().Err() != nil, res.Reason == reason.NothingWritten:
		e.Outcome = placement.Unused // says nothing about the endpoint
	}
	b.cfg.Fleet.Complete(grant, e)
}

// again decides about another attempt.
func (b *Balancer) again(x *exchange, res *upstream.Result, attempt int, body *upstream.Body) bool {
	if x.r.Context().Err() != nil {
		return false
	}
	service := x.route.ServiceKey()
	now := time.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	budget := b.budget(service)
	d := retry.Decide(attemptsOf(x),
		retry.Attempt{Number: attempt, Verdict: repeatVerdict(res.Verdict), Replayable: body.Replayable(), Deadline: x.deadline},
		budget, now)
	if d.Again {
		b.budgets[service] = budget.withRepeat(now)
	}
	x.story.Line(telemetry.EventRepeat).Bool("again", d.Again).Text("why", string(d.Reason)).
		Int("attempts", int64(attempt)).Int("most", int64(x.route.Kind.MaxAttempts)).Done()
	return d.Again
}

// attemptsOf bounds the attempts of a request.
func attemptsOf(x *exchange) retry.Policy {
	policy := retry.Policy{MaxAttempts: maxAttempts, MaxRefusals: maxRefusals, Repeatable: x.route.Kind.Repeatable}
	if x.mayRun {
		policy.MaxRefusals = maxAttempts
	}
	if most := x.route.Kind.MaxAttempts; most > 0 {
		policy.MaxAttempts, policy.MaxRefusals = most, most
	}
	return policy
}

// repeatVerdict is what counts for another attempt: only rejections get as far
// as that with an answer.
func repeatVerdict(v verdict.Verdict) verdict.Verdict {
	if v == verdict.Ran {
		return verdict.MayHaveRun
	}
	return v
}

func (b *Balancer) deposit(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budgets[service] = b.budget(service).withRequest(time.Now())
}

// load returns the endpoint's word about its load on an answer.
func (b *Balancer) load(res *upstream.Result) placement.LoadReport {
	d := &b.cfg.Policy.Dialect
	return d.ParseLoad(res.Response.Header.Get(d.Load))
}

// giveUp makes the last answer of a request that no endpoint ran. An
// endpoint's own refusal is passed on.
func (b *Balancer) giveUp(ctx context.Context, x *exchange, res *upstream.Result) error {
	if x.mayRun && res.Verdict == verdict.NotRun {
		res.Verdict = verdict.MayHaveRun
	}
	if res.Response != nil && !(res.Reason != "" && b.cfg.Policy.OwnRefusals) {
		if res.Response.Header.Get("Retry-After") == "" {
			res.Response.Header.Set("Retry-After", b.cfg.Policy.Dialect.FormatRetryAfter(b.comeBack(x)))
		}
		if err := b.relay(x, res); err != nil {
			panic(http.ErrAbortHandler)
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
	return refusal{verdict: res.Verdict, reason: res.Reason, message: message, retryAfter: b.comeBack(x)}
}

// comeBack returns when a caller whose request did not run should ask again.
func (b *Balancer) comeBack(x *exchange) time.Duration {
	if x.route.Kind.Target > 0 {
		return x.route.Kind.Target / comeBackShare
	}
	return time.Second
}

// comeBackShare is the part of a kind's target after which a caller may ask
// again.
const comeBackShare = 8

// answer passes an endpoint's answer on and reports how the exchange ended.
func (b *Balancer) answer(x *exchange, grant placement.Grant, res *upstream.Result, sent time.Time) error {
	e := placement.Result{
		Outcome: placement.Completed,
		Load:    b.load(res),
	}
	if res.Response.StatusCode >= http.StatusInternalServerError {
		e.Outcome = placement.Failed // failing fast must not look like being fast
	}
	defer func() {
		e.Took = time.Since(sent)
		go b.cfg.Fleet.Complete(grant, e) // the caller's last bytes go first
	}()
	if res.Response.StatusCode == http.StatusSwitchingProtocols {
		return b.upgrade(x, res)
	}
	err := b.relay(x, res)
	switch {
	case x.r.Context().Err() != nil || errors.Is(err, errCallerGone):
		e.Outcome = placement.Unused
	case errors.Is(err, errCutShort):
		e.Outcome = placement.Failed
	}
	if err != nil {
		// The caller must see a broken answer, never a clean short one.
		panic(http.ErrAbortHandler)
	}
	return nil
}
