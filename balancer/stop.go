package balancer

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/lotuswing/lotuswing/coord/drain"
	"github.com/lotuswing/lotuswing/coord/reason"
	"github.com/lotuswing/lotuswing/coord/verdict"

	"github.com/go-kit/kit/endpoint"
	"github.com/rcrowley/go-metrics"
)

// This file contains what a planned stop changes for requests. The rules are those of coord/drain.

// errStopCut is the cause with which attempts are canceled that a planned stop gives up.
var errStopCut = errors.New("balancer: given up by a planned stop")

// stopState is the planned stop of a Balancer, if one has begun.
type stopState struct {
	current atomic.Pointer[drain.Plan]
	cut     context.Context // ends when attempts are given up
	cutAll  context.CancelCauseFunc
}

func newStopState() stopState {
	cut, cutAll := context.WithCancelCause(context.Background())
	return stopState{cut: cut, cutAll: cutAll}
}

// plan returns the plan of the stop; the zero plan before one has begun.
func (s *stopState) plan() drain.Plan {
	if p := s.current.Load(); p != nil {
		return *p
	}
	return drain.Plan{}
}

// bind returns a context that also ends when attempts are given up. release must be called.
func (s *stopState) bind(ctx context.Context) (bound context.Context, release func()) {
	bound, cancel := context.WithCancelCause(ctx)
	unbind := context.AfterFunc(s.cut, func() { cancel(errStopCut) })
	return bound, func() {
		unbind()
		cancel(nil)
	}
}

// isStopCut reports whether a request's context ended because a planned stop gave it up.
func isStopCut(ctx context.Context) bool { return errors.Is(context.Cause(ctx), errStopCut) }

// Stop begins a planned stop. It is called again if the plan has moved.
func (b *Balancer) Stop(plan drain.Plan) { b.stop.current.Store(&plan) }

// CutAttempts gives up all attempts of a planned stop. Their callers get a response that says whether
// the request may have run. It returns the number of requests in flight.
func (b *Balancer) CutAttempts() int {
	cut := int(b.InFlight())
	b.stop.cutAll(errStopCut)
	return cut
}

// admitDuringStop refuses requests that a planned stop leaves no time for.
func (b *Balancer) admitDuringStop(next endpoint.Endpoint) endpoint.Endpoint {
	return func(ctx context.Context, request any) (any, error) {
		x := request.(*exchange)
		if err := b.checkStop(x, time.Now()); err != nil {
			return nil, err
		}
		return next(ctx, x)
	}
}

// checkStop returns a refusal if a planned stop leaves no time for a request that is about to begin.
func (b *Balancer) checkStop(x *exchange, now time.Time) error {
	plan := b.stop.plan()
	if !plan.AcceptsRequest(x.deadline, now) || isUpgrade(x.r) && !plan.AcceptsSession(now) {
		return stopRefusal(plan, now)
	}
	return nil
}

// checkAttempt returns a refusal if a planned stop leaves no time for another attempt.
func (b *Balancer) checkAttempt(x *exchange, now time.Time) error {
	if plan := b.stop.plan(); !plan.BeginsAttempt(x.expectedTime(now), x.deadline, now) {
		return stopRefusal(plan, now)
	}
	return nil
}

// stopRefusal returns the refusal of a request in a planned stop. Its caller may come back at once,
// since it reaches another balancer.
func stopRefusal(plan drain.Plan, now time.Time) refusal {
	return refusal{reason: reason.Stopping, message: plan.Phase(now).String()}
}

// stopDeadline returns the deadline of a search for an endpoint: that of the request or, in a planned
// stop, when attempts are given up.
func (b *Balancer) stopDeadline(x *exchange) time.Time {
	if plan := b.stop.plan(); plan.Stopping() && plan.CutAt().Before(x.deadline) {
		return plan.CutAt()
	}
	return x.deadline
}

// expectedTime returns how long an attempt of the request is expected to take at most: its latency
// target or, without one, all the time that is left.
func (x *exchange) expectedTime(now time.Time) time.Duration {
	left := x.deadline.Sub(now)
	if target := x.route.Kind.Target; target > 0 {
		return min(target, left)
	}
	return left
}

// isUpgrade reports whether a request asks to upgrade its connection.
func isUpgrade(r *http.Request) bool { return len(r.Header["Upgrade"]) > 0 }

// stopReason returns the reason code of a request that a planned stop gave up.
func stopReason(v verdict.Verdict) reason.Code {
	if v == verdict.NotRun {
		return reason.Stopping
	}
	return reason.StopEnded
}

// noteCut logs and counts a request that a planned stop gave up.
func (b *Balancer) noteCut(x *exchange, endpointID string, v verdict.Verdict, now time.Time) {
	x.logCut(endpointID, v, x.accepted.Sub(b.stop.plan().Began()), now.Sub(x.accepted))
	metrics.GetOrRegisterCounter("stop_given_up", b.cfg.Metrics).Inc(1)
}
