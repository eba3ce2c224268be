package balancer

import (
	"context"
	"errors"
	"time"

	"github.com/lotuswing/lotuswing/coord/crash"
	"github.com/lotuswing/lotuswing/coord/placement"
	"github.com/lotuswing/lotuswing/coord/reason"
	"github.com/lotuswing/lotuswing/internal/pause"
	"github.com/lotuswing/lotuswing/quarantine"
)

const (
	// A request waits for 1/trialPatienceDivisor of its latency target while another balancer runs
	// the same request on trial, or for defaultTrialPatience if it has no target. A trial takes as
	// long as the request itself, so this is about the time of one more run.
	trialPatienceDivisor = 2
	defaultTrialPatience = 200 * time.Millisecond
	// crashCheckWait limits how long the next attempt of a suspected request waits to learn
	// whether the endpoint of the last one crashed: a round trip to another zone and a margin.
	crashCheckWait = 40 * time.Millisecond
)

// checkQuarantine asks the quarantine, if any request is suspected, whether this one may be sent.
func (b *Balancer) checkQuarantine(ctx context.Context, x *exchange) error {
	if b.cfg.Quarantine == nil || b.cfg.Quarantine.Empty() || x.admission.Trial {
		return nil
	}
	admission, refused := b.cfg.Quarantine.Admit(ctx, x.quarantineRequest())
	if refused != nil && isStopCut(ctx) {
		return refusal{reason: reason.Stopping, message: refused.Evidence}
	}
	if refused != nil {
		return refusal{reason: reason.Quarantined, message: refused.Evidence, retryAfter: refused.RetryAfter}
	}
	x.admission, x.quarantineNotified = admission, false
	return nil
}

// endTrial ends a trial whose result was not reported to the quarantine. A reported one ends by
// itself: a completed run at once, a broken attempt when it is known whether the endpoint crashed.
func (b *Balancer) endTrial(x *exchange) {
	if x.admission.Trial && !x.quarantineNotified {
		b.cfg.Quarantine.EndTrial(x.quarantineRequest())
	}
	x.admission = quarantine.Admission{}
}

// quarantineRequest returns the request in the form that the quarantine uses.
func (x *exchange) quarantineRequest() quarantine.Request {
	if x.quarantineReq.Fingerprints.Exact == "" {
		x.quarantineReq = quarantine.Request{
			ID: x.id, Fingerprints: x.fingerprints(), Service: x.route.Kind.Service, Kind: x.route.Kind.Name, Patience: trialPatience(x.route.Kind.Target), Target: x.route.Kind.Target,
		}
	}
	return x.quarantineReq
}

// fingerprints returns the fingerprints that identify equal requests. A body that is too long to
// be kept, or has no known length, is represented by its Content-Length only.
func (x *exchange) fingerprints() crash.Fingerprints {
	s := crash.Request{Team: x.team, Method: x.r.Method, Host: x.r.Host, Path: x.r.URL.EscapedPath(), Query: x.r.URL.RawQuery, Length: x.r.ContentLength}
	if x.bodyRead {
		s.Body, _ = x.body.Bytes()
	}
	return s.Fingerprints()
}

// trialPatience returns how long a request waits while another balancer runs the same request on
// trial.
func trialPatience(target time.Duration) time.Duration {
	if target <= 0 {
		return defaultTrialPatience
	}
	return target / trialPatienceDivisor
}

// reportToQuarantine reports the result of an attempt to the quarantine. After a broken attempt, a
// request that was already suspected waits up to crashCheckWait to learn whether the endpoint
// crashed.
func (b *Balancer) reportToQuarantine(ctx context.Context, x *exchange, a *attempt) {
	switch {
	case b.cfg.Quarantine == nil, a.suspended && a.result.ConnectionBroken:
	case a.result.ConnectionBroken && !x.callerLeft():
		x.quarantineNotified = true
		checked := b.cfg.Quarantine.CheckEndpoint(x.brokenAttempt(a))
		if x.admission.Suspected {
			pause.Until(ctx, checked, crashCheckWait)
		}
	case a.result.Reason == "" && a.result.Buffered && !b.cfg.Quarantine.Empty():
		x.quarantineNotified = true
		b.cfg.Quarantine.Completed(x.quarantineRequest())
	}
}

// reportForwardedToQuarantine reports to the quarantine how an unbuffered response ended after it
// was forwarded.
func (b *Balancer) reportForwardedToQuarantine(x *exchange, a *attempt, err error) {
	switch {
	case b.cfg.Quarantine == nil || a.result.Buffered:
	case err == nil && !b.cfg.Quarantine.Empty():
		x.quarantineNotified = true
		b.cfg.Quarantine.Completed(x.quarantineRequest())
	case errors.Is(err, errTruncated) && !x.callerLeft():
		x.quarantineNotified = true
		b.cfg.Quarantine.CheckEndpoint(x.brokenAttempt(a))
	}
}

// brokenAttempt returns an attempt whose connection broke in the form that the quarantine uses.
func (x *exchange) brokenAttempt(a *attempt) quarantine.Attempt {
	e := a.grant.Endpoint
	return quarantine.Attempt{
		Request: x.quarantineRequest(), Endpoint: e.VM, Start: a.grant.Choice.Start, Addr: e.Addr, Trial: x.admission.Trial, Alone: ranAlone(a.grant.Choice),
	}
}

// maxLoadReportAge is the age up to which a load report shows what an endpoint is running.
const maxLoadReportAge = 10 * time.Millisecond

// ranAlone reports whether, by its own recent load report, an endpoint held no other request when
// it was chosen.
func ranAlone(c placement.Choice) bool { return c.Busy == 1 && c.Age >= 0 && c.Age <= maxLoadReportAge }
