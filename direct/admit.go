package direct

import (
	"slices"
	"time"

	"github.com/lotuswing/lotuswing/coord/admission"
	"github.com/lotuswing/lotuswing/coord/placement"
	"github.com/lotuswing/lotuswing/directory"
	"github.com/lotuswing/lotuswing/tenant"
)

// Whether an endpoint may get a request: when it is chosen, when the request is written, and when it
// is probed for another reason. The rule is coord/admission's.

// avoids reports whether the request must not go to an endpoint: it was there, or the endpoint has
// ended under it.
func (s *search) avoids(e *directory.Endpoint) bool {
	return slices.Contains(s.request.Avoid, e.VM) || slices.Contains(s.request.Ended, placement.Incarnation{VM: e.VM, Start: e.Start})
}

// admission decides whether and from when a request may go to an endpoint, and returns what is
// remembered of it; nothing of one that is not usable. c.mu is held.
func (c *Chooser) admission(s *search, members []int, index int, now time.Time) (*endpoint, admission.Decision) {
	e := &s.listed[index]
	f := admission.Facts{Usable: e.Usable(now), Lot: s.lotOf(index), Priority: s.request.Priority}
	if !f.Usable {
		return nil, admission.Decide(f, now)
	}
	known := c.knownOf(s, members, e, now)
	f.State = known.admission
	f.Limit, f.LimitOpens = c.standing(e, now)
	return known, admission.Decide(f, now)
}

// lotOf returns the request's random number for an endpoint, by its place in the list. It is the
// same however often the request looks.
func (s *search) lotOf(index int) float64 {
	const goldenRatio = 0x9e3779b9 // spreads neighbouring places
	return float64((s.lot^uint32(index+1)*goldenRatio)*goldenRatio) / (1 << 32)
}

// Admits reports whether the endpoint of a grant still may get the request.
func (c *Chooser) Admits(g placement.Grant, now time.Time) bool {
	listed, ok := c.cfg.Directory.Snapshot().Find(tenant.ServiceName(g.Service), g.Endpoint.VM)
	if !ok || listed.Start != g.Choice.Start {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	known, ok := c.endpoints[g.Endpoint.VM]
	if !ok || known.start != g.Choice.Start {
		return listed.Usable(now)
	}
	return admission.Willing(listed.Usable(now), known.admission, now)
}

// Willing reports whether an endpoint may be asked something: it does not want to be left alone.
func (c *Chooser) Willing(id string, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	known, ok := c.endpoints[id]
	return !ok || !known.admission.BackingOff(now)
}
