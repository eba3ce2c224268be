package balancer

import (
	"context"
	"net/http"
	"time"

	"github.com/lotuswing/lotuswing/coord/placement"
	"github.com/lotuswing/lotuswing/coord/retry"
	"github.com/lotuswing/lotuswing/tenant"
	"github.com/lotuswing/lotuswing/upstream"
	"go.opentelemetry.io/otel/attribute"
)

// One attempt: an endpoint is chosen for the request, and the request is sent there.

// try makes one attempt. Where the endpoint wants no more requests once there is a connection to
// it, nothing was sent and another one is chosen.
func (b *Balancer) try(ctx context.Context, x *exchange, number int) (attempt, error) {
	for chosen := 1; ; chosen++ {
		grant, err := b.prepare(ctx, x, number)
		if err != nil {
			return attempt{}, err
		}
		if chosen == 1 {
			b.countRepeat(x, time.Now())
		}
		a := b.send(ctx, x, number, grant)
		a.stale = x.wake(b.cfg.Suspensions.Check())
		if a.result.Withdrawn && x.body.Replayable() && chosen < retry.MaxRefusals {
			b.cfg.Chooser.Complete(grant, placement.Result{Outcome: placement.Unused})
			x.tried = append(x.tried, grant.Endpoint.VM)
			b.endTrial(x)
			continue
		}
		b.cfg.Chooser.Hear(grant, a.report())
		return a, nil
	}
}

// prepare finds out whether and where the request may be sent now. Where the VM was suspended
// meanwhile, nothing of that holds any more and it begins anew, with the time that is left.
func (b *Balancer) prepare(ctx context.Context, x *exchange, number int) (placement.Grant, error) {
	for {
		x.wake(b.cfg.Suspensions.Check())
		if err := b.screen(ctx, x); err != nil {
			return placement.Grant{}, err
		}
		grant, err := b.choose(ctx, x, number)
		if err != nil {
			return grant, err
		}
		if err := b.stillHeld(x, time.Now()); err != nil {
			b.cfg.Chooser.Complete(grant, placement.Result{Outcome: placement.Unused})
			return placement.Grant{}, err
		}
		if !x.wake(b.cfg.Suspensions.Check()) {
			return grant, nil
		}
		b.cfg.Chooser.Complete(grant, placement.Result{Outcome: placement.Unused})
		b.endTrial(x)
	}
}

// choose gets an endpoint, waiting for one as long as the chooser sees fit.
func (b *Balancer) choose(ctx context.Context, x *exchange, number int) (placement.Grant, error) {
	ctx, span := b.cfg.Tracing.Tracer.Start(ctx, "wait")
	defer span.End()
	kind := x.route.Kind
	grant, refused := b.cfg.Chooser.Acquire(ctx, placement.Request{
		ID:       b.cfg.Chooser.NextID(),
		Service:  x.route.ServiceKey(),
		Class:    kind.Class,
		Patience: patience(x, time.Now()),
		Deadline: x.deadline,
		Avoid:    x.tried,
		Kind:     x.route.Team + "/" + kind.Name,
		Accepted: x.accepted,
		Target:   kind.Target,
		Alone:    x.pass.Trial,
		Ended:    x.pass.Ended,
		Priority: x.priority(b.teams()),
		Regions:  x.regions(b.teams()),
	})
	now := time.Now()
	if refused != nil {
		refused.Reason = waitingReason(refused.Reason, x.deadline, now)
		x.logNoEndpoint(number, refused, now)
		return placement.Grant{}, refusal{reason: refused.Reason, message: "service " + x.route.ServiceKey(), retryAfter: refused.RetryAfter}
	}
	span.SetAttributes(attribute.String("vm", grant.Endpoint.VM), attribute.String("home", grant.HomeID))
	x.logChosen(number, grant, now)
	return grant, nil
}

// send makes one attempt.
func (b *Balancer) send(ctx context.Context, x *exchange, number int, grant placement.Grant) attempt {
	ctx, span := b.cfg.Tracing.Tracer.Start(ctx, "send")
	defer span.End()
	a := attempt{number: number, grant: grant, sent: time.Now()}
	a.result = b.sendOn(ctx, x.route, grant, upstream.Request{
		ID:            b.attemptID(x, grant),
		Addr:          grant.Endpoint.Addr,
		In:            x.r,
		Body:          x.body,
		Deadline:      x.deadline,
		Instance:      grant.Endpoint.VM,
		BufferBytes:   b.cfg.Policy.BufferBytes,
		Admitted:      func() bool { return b.cfg.Chooser.Admits(grant, time.Now()) },
		Informational: x.passOnInformational,
	})
	span.SetAttributes(attribute.String("verdict", a.result.Verdict.String()), attribute.String("reason", string(a.result.Reason)))
	x.logAttempt(&a, time.Now())
	return a
}

// sendOn sends a request on a connection that fits it. One that must run once and whose
// endpoint has just answered a probe goes out on the probe's connection, if that is still
// free, and else on a new one.
func (b *Balancer) sendOn(ctx context.Context, route tenant.Route, grant placement.Grant, r upstream.Request) upstream.Result {
	if b.provedAlive(route, grant.Choice) {
		kept := r
		kept.MostIdle = b.cfg.Policy.ProvedAlive
		if result := b.cfg.Policy.Client.Send(ctx, kept); !result.Rested || !r.Body.Replayable() {
			return result
		}
	}
	return b.client(route).Send(ctx, r)
}

// provedAlive reports whether a request that must run once may go out on a connection on
// which its endpoint has just told its load.
func (b *Balancer) provedAlive(route tenant.Route, c placement.Choice) bool {
	p := b.cfg.Policy
	return p.FreshConnections && p.Client != nil && !route.Kind.Repeatable && c.Age >= 0 && c.Age < p.ProvedAlive
}

// passOnInformational passes on a 1xx response.
func (x *exchange) passOnInformational(code int, header http.Header) {
	if code == http.StatusContinue || code == http.StatusSwitchingProtocols {
		return // the server sends its own
	}
	copyHeader(x.w.Header(), header)
	x.w.WriteHeader(code)
	clear(x.w.Header())
}

// attemptID returns the identity of an attempt towards the endpoint: the caller's
// where that is sent on, else that of the grant.
func (b *Balancer) attemptID(x *exchange, grant placement.Grant) string {
	if b.cfg.Policy.Dialect.CallerRequestID {
		return x.id
	}
	return grant.ID
}
