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
	// trialPatience is the part of the target, one in so many, that a request waits while another
	// balancer tries the same one, and trialWait the same where there is no target: a trial takes
	// as long as the request itself, so that this is the wait of one more.
	trialPatience = 2
	trialWait     = 200 * time.Millisecond
	// shownWithin is how long the next attempt of a suspected request waits to know whether
	// the endpoint of the last one has ended: a round trip to another zone and some more.
	shownWithin = 40 * time.Millisecond
)

// screen asks whether the request may be sent on, where any request is suspected.
func (b *Balancer) screen(ctx context.Context, x *exchange) error {
	if b.cfg.Quarantine == nil || b.cfg.Quarantine.Quiet() || x.pass.Trial {
		return nil
	}
	pass, refused := b.cfg.Quarantine.Admit(ctx, x.suspected())
	if refused != nil {
		return refusal{reason: reason.Quarantined, message: refused.Evidence, retryAfter: refused.RetryAfter}
	}
	x.pass, x.shown = pass, false
	return nil
}

// endTrial ends a trial that showed nothing: an attempt that broke off ends it once it is
// known what became of the endpoint, one that ran at once.
func (b *Balancer) endTrial(x *exchange) {
	if x.pass.Trial && !x.shown {
		b.cfg.Quarantine.Over(x.suspected())
	}
	x.pass = quarantine.Pass{}
}

// suspected returns the request as the quarantine knows it.
func (x *exchange) suspected() quarantine.Request {
	if x.suspect.Prints.Exact == "" {
		x.suspect = quarantine.Request{
			ID: x.id, Prints: x.prints(), Service: x.route.Kind.Service, Kind: x.route.Kind.Name, Patience: patienceInTrial(x.route.Kind.Target), Target: x.route.Kind.Target,
		}
	}
	return x.suspect
}

// prints returns what tells the request from others. A body that is too long to be kept, or
// of unknown length, counts by its announced length alone.
func (x *exchange) prints() crash.Prints {
	s := crash.Subject{Team: x.team, Method: x.r.Method, Host: x.r.Host, Path: x.r.URL.EscapedPath(), Query: x.r.URL.RawQuery, Length: x.r.ContentLength}
	if x.bodyRead {
		s.Body, _ = x.body.Whole()
	}
	return s.Prints()
}

// patienceInTrial returns how long a request waits while another balancer tries the same one.
func patienceInTrial(target time.Duration) time.Duration {
	if target <= 0 {
		return trialWait
	}
	return target / trialPatience
}

// noteEnd tells the quarantine what an attempt showed. After one that broke off, a request
// that was suspected before waits to know whether the endpoint has ended.
func (b *Balancer) noteEnd(ctx context.Context, x *exchange, a *attempt) {
	switch {
	case b.cfg.Quarantine == nil, a.stale && a.result.Broken:
	case a.result.Broken && !x.callerLeft():
		x.shown = true
		shown := b.cfg.Quarantine.Broke(x.broken(a))
		if x.pass.Suspected {
			pause.Until(ctx, shown, shownWithin)
		}
	case a.result.Reason == "" && a.result.Buffered && !b.cfg.Quarantine.Quiet():
		x.shown = true
		b.cfg.Quarantine.Ran(x.suspected())
	}
}

// notePassedOn tells the quarantine how a response ended that was passed on as it came.
func (b *Balancer) notePassedOn(x *exchange, a *attempt, err error) {
	switch {
	case b.cfg.Quarantine == nil || a.result.Buffered:
	case err == nil && !b.cfg.Quarantine.Quiet():
		x.shown = true
		b.cfg.Quarantine.Ran(x.suspected())
	case errors.Is(err, errCutShort) && !x.callerLeft():
		x.shown = true
		b.cfg.Quarantine.Broke(x.broken(a))
	}
}

// broken returns an attempt that broke off as the quarantine knows it.
func (x *exchange) broken(a *attempt) quarantine.Attempt {
	e := a.grant.Endpoint
	return quarantine.Attempt{
		Request: x.suspected(), Endpoint: e.VM, Start: a.grant.Choice.Start, Addr: e.Addr, Trial: x.pass.Trial, Alone: alone(a.grant.Choice),
	}
}

// freshFor is the age up to which a report shows what an endpoint holds.
const freshFor = 10 * time.Millisecond

// alone reports whether an endpoint held nothing but the request when it was chosen, by its
// own word.
func alone(c placement.Choice) bool { return c.Busy == 1 && c.Age >= 0 && c.Age <= freshFor }
