package direct

import (
	"slices"
	"time"

	"github.com/lotuswing/lotuswing/coord/admission"
	"github.com/lotuswing/lotuswing/coord/placement"
	"github.com/lotuswing/lotuswing/directory"
	"github.com/lotuswing/lotuswing/tenant"
)

// An endpoint is checked three times: whether it may be chosen for a request (Chooser.admission),
// whether it may still get the request when that is about to be written (StillAccepts), and whether
// it may be probed by another package (MayProbe). The rules are in coord/admission.

// excludes reports whether the request must not go to an endpoint: it has already been sent there,
// or this start of the endpoint ended while it had the request.
func (s *search) excludes(e *directory.Endpoint) bool {
	return slices.Contains(s.request.Avoid, e.VM) || slices.Contains(s.request.CrashedUnder, placement.Incarnation{VM: e.VM, Start: e.Start})
}

// admission decides whether, and from when, a request may go to the endpoint at an index of
// s.listed. It also returns the endpoint's state, nil if the endpoint is not usable. c.mu must be
// held.
func (c *Chooser) admission(s *search, indices []int, index int, now time.Time) (*endpointState, admission.Decision) {
	e := &s.listed[index]
	f := admission.Facts{Usable: e.Usable(now), Random: s.randomFor(index), Priority: s.request.Priority}
	if !f.Usable {
		return nil, admission.Decide(f, now)
	}
	state := c.stateForRanking(s, indices, e, now)
	f.State = state.admission
	f.Limit, f.LimitOpens = c.limitStanding(e, now)
	if s.learned.WarmupPermits {
		f.WarmingUp = state.observed.MayBeWarmingUp(c.listing(e), now)
		f.Warmup, f.WarmupOpens = c.warmupStanding(s, e, f.WarmingUp, now)
	}
	return state, admission.Decide(f, now)
}

// randomFor returns a pseudorandom number in [0,1) for the endpoint at an index of s.listed. It is
// the same in each ranking of the request.
func (s *search) randomFor(index int) float64 {
	const goldenRatio = 0x9e3779b9 // 2^32 divided by the golden ratio; spreads neighboring indices
	return float64((s.random^uint32(index+1)*goldenRatio)*goldenRatio) / (1 << 32)
}

// StillAccepts reports whether the endpoint of a grant may still get the request. It may not if,
// since the grant, the endpoint has restarted, or announced that it is leaving or backing off, has turned
// out to be warming up, or the permit for that has expired.
func (c *Chooser) StillAccepts(g placement.Grant, now time.Time) bool {
	if !g.Choice.WriteUntil.IsZero() && c.cfg.Suspensions.Check() != g.Choice.Suspended {
		c.coldWithdrawn.Inc(1)
		return false
	}
	listed, ok := c.cfg.Directory.Snapshot().Find(tenant.ServiceName(g.Service), g.Endpoint.VM)
	if !ok || listed.Start != g.Choice.Start {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	state, ok := c.endpoints[g.Endpoint.VM]
	if !ok || state.start != g.Choice.Start {
		return listed.Usable(now) && (g.Choice.WriteUntil.IsZero() || now.Before(g.Choice.WriteUntil))
	}
	if !c.warmupAccepts(g, listed, state, now) {
		c.coldWithdrawn.Inc(1)
		return false
	}
	return admission.AcceptsChosen(listed.Usable(now), state.admission, now)
}

// MayProbe reports whether the endpoint with an ID may be probed, that is, whether it is not known
// to be backing off.
func (c *Chooser) MayProbe(id string, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	state, ok := c.endpoints[id]
	return !ok || !state.admission.BackingOff(now)
}
