package balancer

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/lotuswing/lotuswing/coord/placement"
	"github.com/lotuswing/lotuswing/coord/reason"
	"github.com/lotuswing/lotuswing/coord/retry"
	"github.com/lotuswing/lotuswing/coord/verdict"
	"github.com/lotuswing/lotuswing/tenant"
	"github.com/lotuswing/lotuswing/upstream"
	"go.opentelemetry.io/otel/attribute"
)

// This file contains one attempt: choosing an endpoint and sending the request there.

// makeAttempt makes one attempt; number is 1 for the first. If the chosen endpoint stops accepting
// requests before there is a connection to it, nothing is sent and another endpoint is chosen
// within the same attempt. At most retry.MaxAttemptsNotRun endpoints are chosen for one attempt.
func (b *Balancer) makeAttempt(ctx context.Context, x *exchange, number int) (attempt, error) {
	for choices := 1; ; choices++ {
		a, err := b.chooseAndSend(ctx, x, number, choices == 1)
		if err != nil {
			return attempt{}, err
		}
		if a.result.Withdrawn && x.body.Replayable() && choices < retry.MaxAttemptsNotRun {
			a.complete(b.cfg.Chooser, placement.Result{Outcome: placement.Unused})
			x.tried = append(x.tried, a.grant.Endpoint.VM)
			b.endTrial(x)
			continue
		}
		a.observe(b.cfg.Chooser)
		return a, nil
	}
}

// chooseAndSend chooses an endpoint and sends the request there. The returned attempt may be a hedge
// at another endpoint. charged says whether a retry is charged to the team's quota.
func (b *Balancer) chooseAndSend(ctx context.Context, x *exchange, number int, charged bool) (attempt, error) {
	grant, err := b.acquireEndpoint(ctx, x, number)
	if err != nil {
		return attempt{}, err
	}
	if charged {
		b.chargeRetry(x, time.Now())
	}
	return b.sendOrHedge(ctx, x, number, grant), nil
}

// acquireEndpoint checks the quarantine, chooses an endpoint and checks the caller's key again. If
// the VM was suspended meanwhile, these results are out of date: acquireEndpoint discards them and
// starts over with the time that remains.
func (b *Balancer) acquireEndpoint(ctx context.Context, x *exchange, number int) (placement.Grant, error) {
	for {
		x.applySuspension(b.cfg.Suspensions.Check())
		if err := b.checkAttempt(x, time.Now()); err != nil {
			return placement.Grant{}, err
		}
		if err := b.checkQuarantine(ctx, x); err != nil {
			return placement.Grant{}, err
		}
		grant, err := b.chooseEndpoint(ctx, x, number)
		if err != nil {
			return grant, err
		}
		if err := errors.Join(b.recheckKey(x, time.Now()), b.checkAttempt(x, time.Now())); err != nil {
			b.cfg.Chooser.Complete(grant, placement.Result{Outcome: placement.Unused})
			return placement.Grant{}, err
		}
		if !x.applySuspension(b.cfg.Suspensions.Check()) {
			return grant, nil
		}
		b.cfg.Chooser.Complete(grant, placement.Result{Outcome: placement.Unused})
		b.endTrial(x)
	}
}

// chooseEndpoint gets an endpoint from the Chooser, which may wait for one. The error is a
// refusal.
func (b *Balancer) chooseEndpoint(ctx context.Context, x *exchange, number int) (placement.Grant, error) {
	ctx, span := b.cfg.Tracing.Tracer.Start(ctx, "wait")
	defer span.End()
	grant, refused := b.cfg.Chooser.Acquire(ctx, b.placementRequest(x))
	now := time.Now()
	if refused != nil {
		refused.Reason = expiryReason(refused.Reason, x.deadline, now)
		if isStopCut(ctx) {
			refused.Reason = reason.Stopping
			b.noteCut(x, "", combineVerdicts(verdict.NotRun, x.mayHaveRun), now)
		}
		x.logNoEndpoint(number, refused, now)
		return placement.Grant{}, refusal{reason: refused.Reason, message: "service " + x.route.ServiceKey(), retryAfter: refused.RetryAfter}
	}
	span.SetAttributes(attribute.String("vm", grant.Endpoint.VM), attribute.String("home", grant.HomeID))
	x.logChosen(number, grant, now)
	return grant, nil
}

// placementRequest returns the request for an endpoint that an attempt begins with.
func (b *Balancer) placementRequest(x *exchange) placement.Request {
	kind := x.route.Kind
	return placement.Request{
		ID:           b.cfg.Chooser.NextID(),
		Service:      x.route.ServiceKey(),
		Class:        kind.Class,
		Patience:     remainingPatience(x, time.Now()),
		Deadline:     b.stopDeadline(x),
		Avoid:        x.tried,
		Kind:         x.kindKey(),
		Accepted:     x.accepted,
		Target:       kind.Target,
		Alone:        x.admission.Trial,
		CrashedUnder: x.admission.Crashed,
		Priority:     x.priority(b.teams()),
		Team:         x.team,
		Weight:       x.weight(b.teams()),
		CallerWait:   x.callerWait,
		Regions:      x.allowedRegions(b.teams()),
	}
}

// send sends the request to the endpoint of a grant and logs the attempt.
func (b *Balancer) send(ctx context.Context, x *exchange, number int, grant placement.Grant) attempt {
	a := b.transmit(ctx, x.route, number, grant, b.upstreamRequest(x, grant))
	a.suspended = x.applySuspension(b.cfg.Suspensions.Check())
	x.logAttempt(&a, time.Now())
	return a
}

// transmit sends a request to the endpoint of a grant and returns the attempt.
func (b *Balancer) transmit(ctx context.Context, route tenant.Route, number int, grant placement.Grant, r upstream.Request) attempt {
	ctx, span := b.cfg.Tracing.Tracer.Start(ctx, "send")
	defer span.End()
	a := attempt{number: number, grant: grant, sentAt: time.Now()}
	a.result = b.sendUpstream(ctx, route, grant, r)
	a.took = time.Since(a.sentAt)
	span.SetAttributes(attribute.String("verdict", a.result.Verdict.String()), attribute.String("reason", string(a.result.Reason)))
	return a
}

// upstreamRequest returns the request as it is sent to the endpoint of a grant.
func (b *Balancer) upstreamRequest(x *exchange, grant placement.Grant) upstream.Request {
	return upstream.Request{
		ID:              b.upstreamRequestID(x, grant),
		Addr:            grant.Endpoint.Addr,
		Incoming:        x.r,
		Body:            x.body,
		Deadline:        x.deadline,
		Instance:        grant.Endpoint.VM,
		BufferBytes:     b.cfg.Policy.BufferBytes,
		Admitted:        func() bool { return b.cfg.Chooser.StillAccepts(grant, time.Now()) },
		Settle:          settleTime(grant.Choice),
		Repeatable:      x.route.Kind.Repeatable,
		OnInformational: x.forwardInformational,
	}
}

// sendUpstream sends a request over a suitable connection. A non-repeatable request whose endpoint
// has just answered a load probe reuses the connection of the probe if that has been idle for at
// most Policy.MaxProbeConnectionAge. Otherwise the client of the route sends the request, on a new
// connection if it is non-repeatable and the policy has FreshConnections.
func (b *Balancer) sendUpstream(ctx context.Context, route tenant.Route, grant placement.Grant, r upstream.Request) upstream.Result {
	if b.mayUseProbeConnection(route, grant.Choice) {
		reused := r
		reused.MaxIdle = b.cfg.Policy.MaxProbeConnectionAge
		if result := b.cfg.Policy.Client.Send(ctx, reused); !result.IdleTooLong || !r.Body.Replayable() {
			return result
		}
	}
	return b.clientFor(route).Send(ctx, r)
}

// mayUseProbeConnection reports whether a non-repeatable request may reuse the connection on which
// its endpoint has just reported its load.
func (b *Balancer) mayUseProbeConnection(route tenant.Route, c placement.Choice) bool {
	p := b.cfg.Policy
	return p.FreshConnections && p.Client != nil && !route.Kind.Repeatable && c.Age >= 0 && c.Age < p.MaxProbeConnectionAge
}

// forwardInformational forwards a 1xx response to the caller, except 100 and 101.
func (x *exchange) forwardInformational(code int, header http.Header) {
	if code == http.StatusContinue || code == http.StatusSwitchingProtocols {
		return // net/http sends these itself
	}
	x.limitWrites(time.Now())
	copyHeader(x.w.Header(), header)
	x.w.WriteHeader(code)
	clear(x.w.Header())
}

// upstreamRequestID returns the request ID that the endpoint gets: the caller's if the dialect
// forwards it, otherwise the ID of the grant.
func (b *Balancer) upstreamRequestID(x *exchange, grant placement.Grant) string {
	if b.cfg.Policy.Dialect.CallerRequestID {
		return x.id
	}
	return grant.ID
}
