package direct

import (
	"context"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/lotuswing/lotuswing/coord/admission"
	"github.com/lotuswing/lotuswing/coord/placement"
	"github.com/lotuswing/lotuswing/coord/reason"
	"github.com/lotuswing/lotuswing/coord/selection"
	"github.com/lotuswing/lotuswing/directory"
	"github.com/lotuswing/lotuswing/tenant"
)

// search is the state of one request's search for an endpoint.
type search struct {
	request      placement.Request
	service      string               // name without the tenant's prefix
	listed       []directory.Endpoint // of the service, as of the last ranking
	rolloutShare float64              // fraction of the requests that the new version gets during a rollout; 0 without a rollout
	ranking      selection.Ranking
	learned      selection.ScoringParams // usual values for the request kind and the service, as of the last ranking
	random       uint32                  // drawn once, so that each ranking of this request decides alike
	probes       int                     // number sent for this request so far
	lastProbed   int                     // index in listed of the endpoint probed last
	responses    *probeResponses         // nil before the first probe
}

// Acquire chooses an endpoint for a request. It ranks and probes endpoints, then decides to grant
// the best endpoint, to refuse the request or to wait. A waiting request tries again after a pause,
// or earlier if a request of this process to the same service completes with a load report. Where
// requests are ordered by urgency, they wait in a queue instead (queue.go). A hedge does not wait.
func (c *Chooser) Acquire(ctx context.Context, r placement.Request) (placement.Grant, *placement.Refusal) {
	s := search{request: r, service: tenant.ServiceName(r.Service), random: rand.Uint32()}
	if c.cfg.Paths != nil {
		if retryAfter, refuses := c.cfg.Paths.Refuses(s.service, time.Now()); refuses {
			return placement.Grant{}, &placement.Refusal{Reason: reason.NoPath, RetryAfter: retryAfter}
		}
	}
	switch {
	case r.Hedge:
		return c.acquireForHedge(ctx, &s)
	case c.OrdersByUrgency():
		return c.acquireByUrgency(ctx, &s)
	}
	deadline := c.opts.SearchDeadline(r, time.Now())
	for {
		d, now := c.evaluate(ctx, &s, deadline)
		switch d.Action {
		case selection.Take:
			if grant, ok := c.grantBest(&s, now); ok {
				return grant, nil
			}
		case selection.Refuse:
			return placement.Grant{}, c.refuse(&s, d)
		case selection.Wait:
			c.pauseUntilWoken(ctx, s.service, d.Pause)
		}
	}
}

// evaluate ranks and probes endpoints, and decides what to do with a request whose search ends at
// the deadline. It also returns the time of the decision.
func (c *Chooser) evaluate(ctx context.Context, s *search, deadline time.Time) (selection.Decision, time.Time) {
	probesBefore := s.probes
	c.rankAndProbe(ctx, s)
	now := time.Now()
	return c.opts.Decide(&s.ranking, s.request, selection.SearchState{
		Deadline: deadline, NoneProbed: s.probes == probesBefore, CallerLeft: ctx.Err() != nil,
		Evacuated: allEvacuated(s.listed), OutOfRegion: c.allOutOfRegion(s),
	}, now), now
}

// rankAndProbe ranks the endpoints and probes the best ones, one at a time. It stops when the best
// one is good and a better one is not expected, when no endpoint may be probed, or after a limited
// number of rounds. Requesting a permit for a best candidate with a rate limit also takes a round.
func (c *Chooser) rankAndProbe(ctx context.Context, s *search) {
	c.rank(s, time.Now())
	for range selection.MaxProbes(s.probes) {
		if c.requestPermit(ctx, s) {
			c.rank(s, time.Now())
			continue
		}
		if !c.opts.NeedsProbe(&s.ranking, &s.learned) || !c.probeNext(ctx, s, time.Now()) {
			return
		}
		s.probes++
		c.rank(s, time.Now())
		c.recordProspect(s)
		if s.ranking.Len() == 0 || ctx.Err() != nil {
			return
		}
	}
}

// allEvacuated reports whether the list is not empty and the zone of every endpoint in it is
// evacuated.
func allEvacuated(listed []directory.Endpoint) bool {
	return len(listed) > 0 && !slices.ContainsFunc(listed, func(e directory.Endpoint) bool { return !e.Evacuated })
}

// recordProspect records the estimate for the endpoint probed last, if it responded in time. The
// recorded estimates predict how good the endpoints that have not been probed yet are.
func (c *Chooser) recordProspect(s *search) {
	lastProbed, ok := s.ranking.Find(s.lastProbed)
	if !ok || lastProbed.Age > c.opts.MaxFreshAge {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.probeHistories[s.service] = c.probeHistories[s.service].With(lastProbed.Estimate, s.learned.Work)
}

// rank ranks the endpoints that the request may go to. During a rollout these are the endpoints of
// one version of the service: of the preferred one, or of the other one if fallbackSide says so.
func (c *Chooser) rank(s *search, now time.Time) {
	snapshot := c.cfg.Directory.Snapshot()
	s.listed, s.rolloutShare = snapshot.Endpoints[s.service], snapshot.Shares[s.service]
	c.mu.Lock()
	defer c.mu.Unlock()
	s.learned = selection.ScoringParams{
		Work: c.serviceTimes[s.request.Kind].Expected(s.request.Target), Crowding: c.crowding[s.service], ProbeHistory: c.probeHistories[s.service],
		WarmupBackoff: c.warmupBackoffs[s.service], MaxFreshAge: c.opts.MaxFreshAge, Probeable: c.probePath(s.service) != "",
		WarmupPermits: c.needsWarmupPermits(s.service), Alone: s.request.Alone,
		Pressed: c.OrdersByUrgency() && c.pressures[s.service].Lasts(now),
	}
	preferredSide := s.preferredSide()
	c.rankSide(s, preferredSide, now)
	if other, ok := s.fallbackSide(preferredSide); ok {
		c.rankSide(s, other, now)
	}
	c.listed[s.service] = c.listed[s.service] || len(s.listed) > 0
}

// preferredSide returns the version of the service for which the request is meant. During a rollout
// that is the new version for a fraction rolloutShare of the requests.
func (s *search) preferredSide() placement.RolloutSide {
	switch {
	case s.rolloutShare == 0:
		return placement.AnySide
	case float64(s.random) < s.rolloutShare*math.MaxUint32:
		return placement.NewSide
	}
	return placement.OldSide
}

// fallbackSide reports whether the request should go to the other version instead of its preferred
// one, and returns that version. A request for the new version falls back to the old one if no
// endpoint of the new version has room, unless rolloutShare is 1. A request for the old version
// goes to the new one only if the request may go to no endpoint of the old version.
func (s *search) fallbackSide(side placement.RolloutSide) (placement.RolloutSide, bool) {
	switch {
	case side == placement.NewSide && s.rolloutShare < 1 && (s.ranking.Len() == 0 || s.ranking.Best().Full):
		return placement.OldSide, true
	case side == placement.OldSide && s.ranking.Len() == 0:
		return placement.NewSide, true
	}
	return side, false
}

// rankSide ranks the endpoints of one version that the request may go to. If a small pool has none, as
// one of a process that is starting may, it ranks those of a pool of the usual size. c.mu must be held.
func (c *Chooser) rankSide(s *search, side placement.RolloutSide, now time.Time) {
	size := c.poolSize(now)
	c.rankPool(s, side, c.poolOf(s.service, s.listed, size), now)
	if s.ranking.Len() == 0 && size < c.cfg.PoolSize {
		c.rankPool(s, side, c.drawPool(s.listed, c.cfg.PoolSize), now)
	}
}

// rankPool ranks those endpoints of a pool that run one version and that the request may go to; c.mu
// must be held.
func (c *Chooser) rankPool(s *search, side placement.RolloutSide, indices []int, now time.Time) {
	s.ranking.Reset(len(indices))
	for _, i := range indices {
		e := &s.listed[i]
		if side != placement.AnySide && e.Side != side || s.excludes(e) || !c.inRegion(s, e) {
			continue
		}
		state, admitted := c.admission(s, indices, i, now)
		if admitted.Access == admission.Excluded {
			continue
		}
		listing := c.listing(e)
		listing.Admission = admitted
		if s.learned.WarmupPermits {
			_, allowed := state.probes.WithProbe(c.opts, now)
			listing.Unprobeable = !allowed
		}
		s.ranking.Add(selection.NewCandidate(&state.observed, i, listing, &s.learned, c.rng.Uint32(), now))
	}
	s.ranking.DropEjected()
}

// stateForRanking returns the state of a listed endpoint, and creates it if there is none. An
// endpoint that appears after others of its service counts as joined (selection.NewJoinedEndpoint),
// which makes this process try it, with the probability recentlyUsedFraction: then about as many
// balancers try it as use each of the others. The same goes for an endpoint that restarted under
// its ID, since what was observed before the restart does not apply to it. c.mu must be held.
func (c *Chooser) stateForRanking(s *search, indices []int, listed *directory.Endpoint, now time.Time) *endpointState {
	if e, ok := c.endpoints[listed.VM]; ok && e.start == listed.Start {
		return e
	}
	if c.listed[s.service] && c.rng.Float64() < c.recentlyUsedFraction(s.listed, indices, now) {
		return c.addState(listed, selection.NewJoinedEndpoint())
	}
	return c.addState(listed, selection.NewEndpoint())
}

// recentlyUsedFraction returns which fraction of the pool's endpoints in this process's zone this
// process has used recently. Endpoints without a state are left out. c.mu must be held.
func (c *Chooser) recentlyUsedFraction(listed []directory.Endpoint, indices []int, now time.Time) float64 {
	near, used := 0, 0
	for _, i := range indices {
		e, ok := c.endpoints[listed[i].VM]
		if !ok || listed[i].Zone != c.cfg.Zone {
			continue
		}
		near++
		if e.observed.HasOpenConnection(now) {
			used++
		}
	}
	return float64(used) / float64(max(1, near))
}

// state returns the state of a listed endpoint, and creates it if there is none. Unlike
// stateForRanking it never counts the endpoint as joined. c.mu must be held.
func (c *Chooser) state(listed *directory.Endpoint) *endpointState {
	if e, ok := c.endpoints[listed.VM]; ok && e.start == listed.Start {
		return e
	}
	return c.addState(listed, selection.NewEndpoint())
}

// addState creates the state of a listed endpoint; c.mu must be held.
func (c *Chooser) addState(listed *directory.Endpoint, observed selection.Endpoint) *endpointState {
	e := &endpointState{start: listed.Start, observed: observed, probes: c.opts.NewProbeBudget()}
	c.endpoints[listed.VM] = e
	return e
}

// grantBest grants the best candidate to the request. It returns false if the candidate has a rate
// limit and another request has taken the permit for it in the meantime.
func (c *Chooser) grantBest(s *search, now time.Time) (grant placement.Grant, ok bool) {
	suspended := c.cfg.Suspensions.Check()
	best := s.ranking.Best()
	target := &s.listed[best.Index]
	permitUntil, ok := c.takeWarmupPermit(s.service, target, best, now)
	if !ok || !c.usePermit(target, now) {
		return placement.Grant{}, false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.state(target)
	warmAge := e.observed.WarmAge(now)
	if s.learned.WarmupPermits && permitUntil.IsZero() {
		if permitUntil, ok = c.takeProof(s, e, now); !ok {
			return placement.Grant{}, false
		}
	}
	c.countUnwantedSend(e, now)
	cold := best.Cold || best.Admission.Warmup
	if cold {
		c.coldRequests.Inc(1)
	}
	trial := e.admission.OnTrial(now)
	e.observed, e.admission = e.observed.WithRequestSent(), e.admission.WithSent(now)
	load := e.observed.Load()
	choice := placement.Choice{
		Start: target.Start, Side: target.Side, Pace: load.Report().Pace, Busy: load.Busy(now), Cold: cold, WarmAge: warmAge, WriteUntil: permitUntil, Permit: best.Admission.Warmup, Suspended: suspended, Pressed: s.learned.Pressed, Trial: trial, Limited: best.Admission.Held, Estimate: best.Estimate, Age: -1, Probes: s.probes,
	}
	if age := load.Age(now); age < maxLoggedAge {
		choice.Age = age
	}
	return placement.Grant{
		ID: s.request.ID, Service: s.request.Service, Endpoint: target.Endpoint, Class: s.request.Class, Kind: s.request.Kind, Choice: choice,
	}, true
}

// maxLoggedAge bounds the age of a load report in the log: a report of this age or older is logged
// as -1, like a missing one.
const maxLoggedAge = time.Hour
