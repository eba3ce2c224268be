package direct

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/lotuswing/lotuswing/coord/admission"
	"github.com/lotuswing/lotuswing/coord/placement"
	"github.com/lotuswing/lotuswing/coord/selection"
	"github.com/lotuswing/lotuswing/coord/warmup"
	"github.com/lotuswing/lotuswing/directory"
	"github.com/lotuswing/lotuswing/warmups"
)

// Where the configuration says how many requests a second an endpoint takes while it warms up, a balancer
// needs a permit for each request to it, granted by the balancer that owns its availability zone (package
// warmups). For each request to another endpoint it needs a proof that this one is warm, which one request
// uses up (selection.Candidate.Unproven).

// maxAskCandidates bounds how many candidates are looked at for an ask.
const maxAskCandidates = 4 * warmup.MaxTargets

// needsWarmupPermits reports whether requests to endpoints of a service that are warming up need permits.
func (c *Chooser) needsWarmupPermits(service string) bool {
	return c.cfg.Warmups != nil && c.serviceConfig(service).WarmupRate > 0
}

// listing returns what the directory says of an endpoint.
func (c *Chooser) listing(e *directory.Endpoint) selection.Listing {
	return selection.Listing{Slots: e.Slots, SameZone: e.Zone == c.cfg.Zone, WarmUntil: e.WarmUntil, WarmupReceivedAt: e.WarmupReceivedAt}
}

// warmupEndpoint converts a listed endpoint to a warmups.Endpoint.
func warmupEndpoint(service string, e *directory.Endpoint) warmups.Endpoint {
	return warmups.Endpoint{Target: warmup.Target{ID: e.VM, Start: e.Start}, Group: warmup.Group{Service: service, Zone: e.Zone}}
}

// warmupStanding returns whether the warm-up of an endpoint lets a request go there, as Warmups.Standing does.
// Permits are too scarce for hedges.
func (c *Chooser) warmupStanding(s *search, e *directory.Endpoint, mayBeWarmingUp bool, now time.Time) (warmup.Standing, time.Duration) {
	if !mayBeWarmingUp || s.request.Hedge {
		return warmup.Denied, 0
	}
	return c.cfg.Warmups.Standing(warmupEndpoint(s.service, e), now)
}

// requestWarmupPermits asks for permits for the best candidate and others of its zone that need one. It
// reports whether it has asked.
func (c *Chooser) requestWarmupPermits(ctx context.Context, s *search, best *selection.Candidate) bool {
	zone := s.listed[best.Index].Zone
	var list []warmups.Endpoint
	for i := 0; i < min(s.ranking.Len(), maxAskCandidates) && len(list) < warmup.MaxTargets; i++ {
		a := s.ranking.At(i)
		if e := &s.listed[a.Index]; a.Admission.Cause == admission.WarmingUp && a.Admission.Access == admission.Askable && e.Zone == zone {
			list = append(list, warmupEndpoint(s.service, e))
		}
	}
	return c.cfg.Warmups.RequestPermits(ctx, list, 1+c.Waiting(s.service), permitWait)
}

// takeWarmupPermit takes a permit for the candidate if it needs one; until is when it expires. ok is false
// if there is none.
func (c *Chooser) takeWarmupPermit(service string, e *directory.Endpoint, best *selection.Candidate, now time.Time) (until time.Time, ok bool) {
	if !best.Admission.Warmup {
		return time.Time{}, true
	}
	return c.cfg.Warmups.TakePermit(warmupEndpoint(service, e), now)
}

// warmupAccepts reports whether the warm-up of an endpoint lets the request of a grant be written now. c.mu
// must be held.
func (c *Chooser) warmupAccepts(g placement.Grant, listed *directory.Endpoint, state *endpointState, now time.Time) bool {
	if g.Choice.WriteUntil.IsZero() {
		return true
	}
	return now.Before(g.Choice.WriteUntil) && (g.Choice.Permit || !state.observed.IsWarmingUp(c.listing(listed), now))
}

// takeProof uses up the proof that an endpoint is warm, and returns until when the request that relies on
// it may be written; ok is false if another request has used it. It allows a further probe, so that the
// budget of probes does not bound the requests. c.mu must be held.
func (c *Chooser) takeProof(s *search, e *endpointState, now time.Time) (until time.Time, ok bool) {
	if s.learned.Probeable {
		if !e.observed.IsProvenWarm(now) {
			return time.Time{}, false
		}
		e.probes = e.probes.WithCredit(c.opts)
		return e.observed.ProofUntil(), true
	}
	return now.Add(selection.MaxWarmAge), true
}

// WarmupStatus is what a chooser reports of one endpoint that it knows, or has to assume, to be warming up.
// The field names are also the JSON names.
type WarmupStatus struct {
	Endpoint, Service, Zone string
	WarmingUp               bool          // known, by its listing or its response to a probe; else it responds to no probes
	Standing                string        // whether this balancer may send there: denied, askable or permitted
	OpensIn                 time.Duration // if denied: until that may change; 0 if unknown
}

// Warmups returns the listed endpoints that are warming up, or respond to no probes, of services whose
// endpoints need permits then.
func (c *Chooser) Warmups(now time.Time) []WarmupStatus {
	list := []WarmupStatus{}
	for service, endpoints := range c.cfg.Directory.Snapshot().Endpoints {
		if !c.needsWarmupPermits(service) {
			continue
		}
		for i := range endpoints {
			if st, ok := c.warmupStatus(service, &endpoints[i], now); ok {
				list = append(list, st)
			}
		}
	}
	slices.SortFunc(list, func(a, b WarmupStatus) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Endpoint, b.Endpoint))
	})
	return list
}

// warmupStatus returns the status of an endpoint; ok is false for one that is not known to be cold.
func (c *Chooser) warmupStatus(service string, e *directory.Endpoint, now time.Time) (st WarmupStatus, ok bool) {
	c.mu.Lock()
	observed := c.observedState(e)
	c.mu.Unlock()
	isWarmingUp := observed.MayBeWarmingUp(c.listing(e), now)
	st = WarmupStatus{Endpoint: e.VM, Service: service, Zone: e.Zone, WarmingUp: observed.IsWarmingUp(c.listing(e), now)}
	if !isWarmingUp {
		return WarmupStatus{}, false
	}
	standing, opens := c.cfg.Warmups.Standing(warmupEndpoint(service, e), now)
	st.Standing, st.OpensIn = standing.String(), opens
	return st, true
}
