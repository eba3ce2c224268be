package direct

import (
	"context"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/lotuswing/lotuswing/coord/admission"
	"github.com/lotuswing/lotuswing/coord/placement"
	"github.com/lotuswing/lotuswing/coord/selection"
	"github.com/lotuswing/lotuswing/directory"
	"github.com/lotuswing/lotuswing/tenant"
)

// search is the state of one request's search for an endpoint.
type search struct {
	request      placement.Request
	service      string               // name without the tenant
	listed       []directory.Endpoint // of the service, as of the last ranking
	rolloutShare float64              // of the requests, for the new version during a rollout; 0 without a rollout
	ranking      selection.Ranking
	learned      selection.Usual // about the request kind and the service, as of the last ranking
	random       uint32          // drawn once, so that each ranking of this request decides alike
	probes       int             // sent for this request so far
	lastProbed   int             // index in listed of the endpoint probed last
}

// Acquire chooses an endpoint for a request. It ranks and probes endpoints, decides, and repeats
// this after a pause, or as soon as an endpoint of the service ends a request of this process and
// reports its load, until an endpoint is granted or the request is refused.
func (c *Chooser) Acquire(ctx context.Context, r placement.Request) (placement.Grant, *placement.Refusal) {
	s := search{request: r, service: tenant.ServiceName(r.Service), random: rand.Uint32()}
	giveUp := c.opts.GiveUpAt(r, time.Now())
	for {
		probesBefore := s.probes
		c.rankAndProbe(ctx, &s)
		now := time.Now()
		d := c.opts.Decide(&s.ranking, r, selection.Situation{
			GiveUp: giveUp, Blind: s.probes == probesBefore, CallerLeft: ctx.Err() != nil,
			Evacuated: allEvacuated(s.listed), OutOfRegion: c.allOutOfRegion(&s),
		}, now)
		switch d.Do {
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

// rankAndProbe ranks the endpoints and probes the best ones, one at a time, until one is good and
// no better one is expected, no endpoint may be probed, or the number of rounds is used up. A best
// candidate whose rate limit requires a permit costs a round to request it.
func (c *Chooser) rankAndProbe(ctx context.Context, s *search) {
	c.rank(s, time.Now())
	for range selection.ProbeRounds(s.probes) {
		if c.requestPermit(ctx, s) {
			c.rank(s, time.Now())
			continue
		}
		if !c.opts.NeedsProbe(&s.ranking, &s.learned) || !c.probe(ctx, s, time.Now()) {
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

// allEvacuated reports whether there are endpoints and an operator has evacuated the zones of all
// of them.
func allEvacuated(listed []directory.Endpoint) bool {
	return len(listed) > 0 && !slices.ContainsFunc(listed, func(e directory.Endpoint) bool { return !e.Evacuated })
}

// recordProspect adds the estimate for the endpoint probed last to the prospects of its service,
// provided that its load report arrived in time.
func (c *Chooser) recordProspect(s *search) {
	lastProbed, ok := s.ranking.Find(s.lastProbed)
	if !ok || lastProbed.Age > c.opts.ProbeFresh {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.prospects[s.service] = c.prospects[s.service].With(lastProbed.Estimate, s.learned.Work)
}

// rank ranks the endpoints that the request may go to. During a rollout these are the endpoints of
// one version of the service.
func (c *Chooser) rank(s *search, now time.Time) {
	snapshot := c.cfg.Directory.Snapshot()
	s.listed, s.rolloutShare = snapshot.Endpoints[s.service], snapshot.Shares[s.service]
	c.mu.Lock()
	defer c.mu.Unlock()
	s.learned = selection.Usual{
		Work: c.workloads[s.request.Kind].Usual(s.request.Target), Crowding: c.crowding[s.service], Prospect: c.prospects[s.service],
		Warming: c.warming[s.service], Fresh: c.opts.ProbeFresh, TellsLoad: c.probePath(s.service) != "",
		WarmupRate: c.warmupRate(s.service), Lot: s.random, Alone: s.request.Alone,
	}
	preferredSide := s.preferredSide()
	c.rankSide(s, preferredSide, now)
	if other, ok := s.fallbackSide(preferredSide); ok {
		c.rankSide(s, other, now)
	}
	c.listed[s.service] = c.listed[s.service] || len(s.listed) > 0
}

// preferredSide returns which version of the service the request goes to: during a rollout, the new
// one for the rollout's share of the requests.
func (s *search) preferredSide() placement.Side {
	switch {
	case s.rolloutShare == 0:
		return placement.AnySide
	case float64(s.random) < s.rolloutShare*math.MaxUint32:
		return placement.NewSide
	}
	return placement.OldSide
}

// fallbackSide returns the version that takes the request instead of its preferred one, and whether
// there is one. A request for the new version falls back to the old one if no endpoint of the new
// one has room, unless all requests belong to the new one. A request for the old version goes to
// the new one only if the old one has no endpoint at all.
func (s *search) fallbackSide(side placement.Side) (placement.Side, bool) {
	switch {
	case side == placement.NewSide && s.rolloutShare < 1 && (s.ranking.Len() == 0 || s.ranking.Best().Full):
		return placement.OldSide, true
	case side == placement.OldSide && s.ranking.Len() == 0:
		return placement.NewSide, true
	}
	return side, false
}

// rankSide ranks the endpoints of one version that the request may go to; c.mu must be held.
func (c *Chooser) rankSide(s *search, side placement.Side, now time.Time) {
	members := c.poolOf(s.service, s.listed)
	s.ranking.Reset(len(members))
	for _, i := range members {
		e := &s.listed[i]
		if side != placement.AnySide && e.Side != side || s.excludes(e) || !c.inRegion(s, e) {
			continue
		}
		state, admitted := c.admission(s, members, i, now)
		if admitted.Access == admission.Never {
			continue
		}
		listing := selection.Listing{Slots: e.Slots, SameZone: e.Zone == c.cfg.Zone, Admission: admitted, WarmAt: e.WarmAt, WarmTold: e.WarmTold}
		s.ranking.Add(selection.NewCandidate(&state.observed, i, listing, &s.learned, c.rng.Uint32(), now))
	}
	s.ranking.DropEjected()
}

// stateForRanking returns the state of a listed endpoint, and creates it if there is none. An
// endpoint that appears after others of its service counts as joined (selection.NewJoined) with the
// probability shareInUse, so that about as many balancers try it as use each of the others. A new
// start under the ID of an earlier one is such an endpoint as well: what was observed of the
// earlier start does not apply to it. c.mu must be held.
func (c *Chooser) stateForRanking(s *search, members []int, listed *directory.Endpoint, now time.Time) *endpointState {
	if e, ok := c.endpoints[listed.VM]; ok && e.start == listed.Start {
		return e
	}
	if c.listed[s.service] && c.rng.Float64() < c.shareInUse(s.listed, members, now) {
		return c.addState(listed, selection.NewJoined())
	}
	return c.addState(listed, selection.NewEndpoint())
}

// shareInUse returns the fraction of the endpoints with a state in this process's zone that this
// process has used recently; c.mu must be held.
func (c *Chooser) shareInUse(listed []directory.Endpoint, members []int, now time.Time) float64 {
	near, used := 0, 0
	for _, i := range members {
		e, ok := c.endpoints[listed[i].VM]
		if !ok || listed[i].Zone != c.cfg.Zone {
			continue
		}
		near++
		if e.observed.InUse(now) {
			used++
		}
	}
	return float64(used) / float64(max(1, near))
}

// state returns the state of a listed endpoint, and creates it if there is none; c.mu must be held.
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

// grantBest grants the request the best candidate. It returns false if the permit for an endpoint
// with a rate limit has gone to another request in the meantime.
func (c *Chooser) grantBest(s *search, now time.Time) (grant placement.Grant, ok bool) {
	best := s.ranking.Best()
	target := &s.listed[best.Index]
	if !c.usePermit(target, now) {
		return placement.Grant{}, false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.state(target)
	c.countUnwantedSend(e, now)
	trial := e.admission.OnTrial(now)
	e.observed, e.admission = e.observed.WithSent(), e.admission.WithSent(now)
	load := e.observed.Load()
	choice := placement.Choice{
		Start: target.Start, Side: target.Side, Pace: load.Report().Pace, Busy: load.Busy(now), Cold: best.Cold, Trial: trial, Limited: best.Admission.Held, Estimate: best.Estimate, Age: -1, Probes: s.probes,
	}
	if age := load.Age(now); age < maxLoggedAge {
		choice.Age = age
	}
	return placement.Grant{
		ID: s.request.ID, Service: s.request.Service, Endpoint: target.Endpoint, Class: s.request.Class, Kind: s.request.Kind, Choice: choice,
	}, true
}

// maxLoggedAge is the age from which a load report is logged as if there were none.
const maxLoggedAge = time.Hour
