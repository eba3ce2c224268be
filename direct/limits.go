package direct

import (
	"context"
	"time"

	"github.com/lotuswing/lotuswing/coord/admission"
	"github.com/lotuswing/lotuswing/coord/limit"
	"github.com/lotuswing/lotuswing/directory"
	"github.com/lotuswing/lotuswing/limits"
)

// An endpoint may name how many requests a second it accepts from all balancers together. It then
// gets a request only with a permit, which the owner of its limit grants (package limits).

// permitWait is how long a request waits for a permit. It covers a round trip to another zone and
// an owner that is busy.
const permitWait = 25 * time.Millisecond

// limitsEndpoint converts a listed endpoint to the type of package limits.
func limitsEndpoint(e *directory.Endpoint) limits.Endpoint {
	return limits.Endpoint{ID: e.VM, Start: e.Start, Service: e.Service, Zone: e.Zone}
}

// limitStanding returns whether the rate limit of an endpoint lets a request go there, as
// Limits.Standing does.
func (c *Chooser) limitStanding(e *directory.Endpoint, now time.Time) (limit.Standing, time.Duration) {
	if c.cfg.Limits == nil || c.cfg.Limits.Quiet() {
		return limit.Free, 0
	}
	return c.cfg.Limits.Standing(limitsEndpoint(e), now)
}

// usePermit takes the permit for a request at an endpoint. It returns false if the endpoint's limit
// requires one and there is none.
func (c *Chooser) usePermit(e *directory.Endpoint, now time.Time) bool {
	return c.cfg.Limits == nil || c.cfg.Limits.Use(limitsEndpoint(e), now)
}

// requestPermit requests a permit for the best candidate, if its limit requires that. It returns
// false if no request was made.
func (c *Chooser) requestPermit(ctx context.Context, s *search) bool {
	if s.ranking.Len() == 0 || ctx.Err() != nil {
		return false
	}
	best := s.ranking.Best()
	if best.Admission.Access != admission.Askable || best.Closed {
		return false
	}
	e := s.listed[best.Index]
	if c.cfg.Limits.Seek(ctx, limitsEndpoint(&e), permitWait) {
		c.refreshLimit(ctx, e)
	}
	return true
}

// refreshLimit probes an endpoint with a low limit, to find out whether the limit still applies. It
// does not wait for the response.
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
