package direct

import (
	"context"
	"time"

	"github.com/lotuswing/lotuswing/coord/admission"
	"github.com/lotuswing/lotuswing/coord/limit"
	"github.com/lotuswing/lotuswing/directory"
	"github.com/lotuswing/lotuswing/limits"
)

// An endpoint may name a rate limit: how many requests a second it accepts from all balancers
// together. A balancer then needs a permit for each request to the endpoint, granted by the
// balancer that owns the limit (package limits).

// permitWait is how long a request waits for a permit. It covers a round trip to another zone and
// a limit owner that is busy.
const permitWait = 25 * time.Millisecond

// limitsEndpoint converts a listed endpoint to a limits.Endpoint.
func limitsEndpoint(e *directory.Endpoint) limits.Endpoint {
	return limits.Endpoint{ID: e.VM, Start: e.Start, Service: e.Service, Zone: e.Zone}
}

// limitStanding returns whether the rate limit of an endpoint lets a request go there, as
// Limits.Standing does.
func (c *Chooser) limitStanding(e *directory.Endpoint, now time.Time) (limit.Standing, time.Duration) {
	if c.cfg.Limits == nil || c.cfg.Limits.HasNoLimits() {
		return limit.Unlimited, 0
	}
	return c.cfg.Limits.Standing(limitsEndpoint(e), now)
}

// usePermit takes a permit for a request to an endpoint. It returns false if the endpoint's limit
// requires a permit and there is none.
func (c *Chooser) usePermit(e *directory.Endpoint, now time.Time) bool {
	return c.cfg.Limits == nil || c.cfg.Limits.TakePermit(limitsEndpoint(e), now)
}

// requestPermit asks the owner of its limit, or of its zone, for a permit for the best candidate, if that
// needs one. It reports whether it has asked.
func (c *Chooser) requestPermit(ctx context.Context, s *search) bool {
	if s.ranking.Len() == 0 || ctx.Err() != nil {
		return false
	}
	best := s.ranking.Best()
	if best.Admission.Access != admission.Askable || best.ColdBlocked {
		return false
	}
	if best.Admission.Cause == admission.WarmingUp {
		return c.requestWarmupPermits(ctx, s, best)
	}
	e := s.listed[best.Index]
	if c.cfg.Limits.RequestPermit(ctx, limitsEndpoint(&e), permitWait) {
		c.refreshLimit(ctx, e)
	}
	return true
}

// refreshLimit probes an endpoint, to find out whether its limit still applies, and does not wait
// for the response. The limit's owner allows this for low limits: their few requests seldom show
// whether the limit still applies.
func (c *Chooser) refreshLimit(ctx context.Context, e directory.Endpoint) {
	path := c.probePath(e.Service)
	if path == "" {
		return
	}
	c.mu.Lock()
	state := c.state(&e)
	c.mu.Unlock()
	go c.probeEndpoint(context.WithoutCancel(ctx), probeTarget{listed: e, state: state}, path)
}
