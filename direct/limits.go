package direct

import (
	"context"
	"time"

	"github.com/lotuswing/lotuswing/coord/admission"
	"github.com/lotuswing/lotuswing/coord/limit"
	"github.com/lotuswing/lotuswing/directory"
	"github.com/lotuswing/lotuswing/limits"
)

// Endpoints that name how many requests a second they take from all balancers together get a
// request only once there is room for it, which the endpoint's owner tells (package limits).

// seekWait is how long a request waits for that: a round trip to another zone, and an owner that
// is busy.
const seekWait = 25 * time.Millisecond

// limited names an endpoint to package limits.
func limited(e *directory.Endpoint) limits.Endpoint {
	return limits.Endpoint{ID: e.VM, Start: e.Start, Service: e.Service, Zone: e.Zone}
}

// standing returns whether a request may go to an endpoint.
func (c *Chooser) standing(e *directory.Endpoint, now time.Time) (limit.Standing, time.Duration) {
	if c.cfg.Limits == nil || c.cfg.Limits.Quiet() {
		return limit.Free, 0
	}
	return c.cfg.Limits.Standing(limited(e), now)
}

// use takes the room for a request at an endpoint, if there is any.
func (c *Chooser) use(e *directory.Endpoint, now time.Time) bool {
	return c.cfg.Limits == nil || c.cfg.Limits.Use(limited(e), now)
}

// seek asks for room at the best candidate, where its limit wants that. It returns false where
// there is nothing to ask.
func (c *Chooser) seek(ctx context.Context, s *search) bool {
	if s.ranking.Len() == 0 || ctx.Err() != nil {
		return false
	}
	best := s.ranking.Best()
	if best.Admission.Access != admission.Askable || best.ColdBlocked {
		return false
	}
	e := s.listed[best.Index]
	if c.cfg.Limits.Seek(ctx, limited(&e), seekWait) {
		c.listen(ctx, e)
	}
	return true
}

// listen probes an endpoint of a low limit, to hear whether it still holds.
func (c *Chooser) listen(ctx context.Context, e directory.Endpoint) {
	path := c.probePath(e.Service)
	if path == "" {
		return
	}
	c.mu.Lock()
	known := c.known(&e)
	c.mu.Unlock()
	go c.ask(context.WithoutCancel(ctx), target{listed: e, known: known}, path)
}
