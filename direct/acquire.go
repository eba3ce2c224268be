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

// search is one request's search for an endpoint.
type search struct {
	request placement.Request
	service string // without the tenant
	listed  []directory.Endpoint
	share   float64 // of the requests that goes to a version that comes in
	ranking selection.Ranking
	usual   selection.Usual // of the kind and the service, as of the ranking
	lot     uint32          // random
	probes  int             // so far
	probed  int             // the last one probed, by its index in listed
}

// Acquire chooses an endpoint for a request: it looks at the endpoints, decides and
// looks again after a pause, or when one of the service's has told that it has ended
// a request, until one is taken or the request is refused.
func (c *Chooser) Acquire(ctx context.Context, r placement.Request) (placement.Grant, *placement.Refusal) {
	s := search{request: r, service: tenant.ServiceName(r.Service), lot: rand.Uint32()}
	giveUp := c.opts.GiveUpAt(r, time.Now())
	for {
		probesBefore := s.probes
		c.look(ctx, &s)
		now := time.Now()
		d := c.opts.Decide(&s.ranking, r, selection.Situation{
			GiveUp: giveUp, Blind: s.probes == probesBefore, CallerLeft: ctx.Err() != nil,
			Evacuated: allEvacuated(s.listed), OutOfRegion: c.allOutOfRegion(&s),
		}, now)
		switch d.Do {
		case selection.Take:
			if grant, ok := c.take(&s, now); ok {
				return grant, nil
			}
		case selection.Refuse:
			return placement.Grant{}, c.refuse(&s, d)
		case selection.Wait:
			c.await(ctx, s.service, d.Pause)
		}
	}
}

// look ranks the endpoints and probes the best ones, one at a time, until one is
// good and no better one is expected, none may be probed, or the rounds are over.
func (c *Chooser) look(ctx context.Context, s *search) {
	c.rank(s, time.Now())
	for range selection.ProbeRounds(s.probes) {
		if c.seek(ctx, s) {
			c.rank(s, time.Now())
			continue
		}
		if !c.opts.NeedsProbe(&s.ranking, &s.usual) || !c.probe(ctx, s, time.Now()) {
			return
		}
		s.probes++
		c.rank(s, time.Now())
		c.noteProspect(s)
		if s.ranking.Len() == 0 || ctx.Err() != nil {
			return
		}
	}
}

// allEvacuated reports whether there are endpoints and an operator empties the zones of
// all of them.
func allEvacuated(listed []directory.Endpoint) bool {
	return len(listed) > 0 && !slices.ContainsFunc(listed, func(e directory.Endpoint) bool { return !e.Evacuated })
}

// noteProspect notes what the endpoint is like that was probed last, where it told its
// load in time.
func (c *Chooser) noteProspect(s *search) {
	probed, ok := s.ranking.Find(s.probed)
	if !ok || probed.Age > c.opts.ProbeFresh {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.prospects[s.service] = c.prospects[s.service].With(probed.Estimate, s.usual.Work)
}

// rank makes candidates of the endpoints that the request may go to: those of its side,
// while a version of the service comes in.
func (c *Chooser) rank(s *search, now time.Time) {
	snapshot := c.cfg.Directory.Snapshot()
	s.listed, s.share = snapshot.Endpoints[s.service], snapshot.Shares[s.service]
	c.mu.Lock()
	defer c.mu.Unlock()
	s.usual = selection.Usual{
		Work: c.workloads[s.request.Kind].Usual(s.request.Target), Crowding: c.crowding[s.service], Prospect: c.prospects[s.service],
		Warming: c.warming[s.service], Fresh: c.opts.ProbeFresh, TellsLoad: c.probePath(s.service) != "",
		WarmupRate: c.warmupRate(s.service), Lot: s.lot, Alone: s.request.Alone,
	}
	side := s.side()
	c.rankSide(s, side, now)
	if other, ok := s.otherSide(side); ok {
		c.rankSide(s, other, now)
	}
	c.listed[s.service] = c.listed[s.service] || len(s.listed) > 0
}

// side returns which version of the service the request goes to.
func (s *search) side() placement.Side {
	switch {
	case s.share == 0:
		return placement.AnySide
	case float64(s.lot) < s.share*math.MaxUint32:
		return placement.NewSide
	}
	return placement.OldSide
}

// otherSide returns the version that takes the request where its own has no room. What is
// meant for the old one goes to the new one only where there is no old one at all.
func (s *search) otherSide(side placement.Side) (placement.Side, bool) {
	switch {
	case side == placement.NewSide && s.share < 1 && (s.ranking.Len() == 0 || s.ranking.Best().Full):
		return placement.OldSide, true
	case side == placement.OldSide && s.ranking.Len() == 0:
		return placement.NewSide, true
	}
	return side, false
}

// rankSide makes candidates of the endpoints of one side; c.mu is held.
func (c *Chooser) rankSide(s *search, side placement.Side, now time.Time) {
	members := c.poolOf(s.service, s.listed)
	s.ranking.Reset(len(members))
	for _, i := range members {
		e := &s.listed[i]
		if side != placement.AnySide && e.Side != side || s.avoids(e) || !c.inRegion(s, e) {
			continue
		}
		known, admitted := c.admission(s, members, i, now)
		if admitted.Access == admission.Never {
			continue
		}
		listing := selection.Listing{Slots: e.Slots, SameZone: e.Zone == c.cfg.Zone, Admission: admitted, WarmAt: e.WarmAt, WarmTold: e.WarmTold}
		s.ranking.Add(selection.NewCandidate(&known.state, i, listing, &s.usual, c.rng.Uint32(), now))
	}
	s.ranking.DropEjected()
}

// knownOf returns what is remembered of an endpoint. One that appears after the
// service's others has joined it, and is tried by as many balancers as use each of the
// others. Another start under the identity of an earlier one has joined it, too: what was
// seen of that one says nothing of this one. c.mu is held.
func (c *Chooser) knownOf(s *search, members []int, listed *directory.Endpoint, now time.Time) *endpoint {
	if e, ok := c.endpoints[listed.VM]; ok && e.start == listed.Start {
		return e
	}
	if c.listed[s.service] && c.rng.Float64() < c.shareInUse(s.listed, members, now) {
		return c.remember(listed, selection.NewJoined())
	}
	return c.remember(listed, selection.NewEndpoint())
}

// shareInUse returns which part of the endpoints that are known in the own zone this
// process has used lately; c.mu is held.
func (c *Chooser) shareInUse(listed []directory.Endpoint, members []int, now time.Time) float64 {
	near, used := 0, 0
	for _, i := range members {
		e, ok := c.endpoints[listed[i].VM]
		if !ok || listed[i].Zone != c.cfg.Zone {
			continue
		}
		near++
		if e.state.InUse(now) {
			used++
		}
	}
	return float64(used) / float64(max(1, near))
}

// known returns what is remembered of an endpoint; c.mu is held.
func (c *Chooser) known(listed *directory.Endpoint) *endpoint {
	if e, ok := c.endpoints[listed.VM]; ok && e.start == listed.Start {
		return e
	}
	return c.remember(listed, selection.NewEndpoint())
}

// remember begins to remember an endpoint; c.mu is held.
func (c *Chooser) remember(listed *directory.Endpoint, state selection.Endpoint) *endpoint {
	e := &endpoint{start: listed.Start, state: state, probes: c.opts.NewProbeBudget()}
	c.endpoints[listed.VM] = e
	return e
}

// take gives the request to the best candidate. It fails where the room that an endpoint with a
// limit had for it has gone to another request meanwhile.
func (c *Chooser) take(s *search, now time.Time) (grant placement.Grant, ok bool) {
	best := s.ranking.Best()
	target := &s.listed[best.Index]
	if !c.use(target, now) {
		return placement.Grant{}, false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.known(target)
	c.noteSent(e, now)
	trial := e.admission.OnTrial(now)
	e.state, e.admission = e.state.WithSent(), e.admission.WithSent(now)
	load := e.state.Load()
	choice := placement.Choice{
		Start: target.Start, Side: target.Side, Pace: load.Report().Pace, Busy: load.Busy(now), Cold: best.Cold, Trial: trial, Limited: best.Admission.Held, Estimate: best.Estimate, Age: -1, Probes: s.probes,
	}
	if age := load.Age(now); age < oldestAge {
		choice.Age = age
	}
	return placement.Grant{
		ID: s.request.ID, Service: s.request.Service, Endpoint: target.Endpoint, Class: s.request.Class, Kind: s.request.Kind, Choice: choice,
	}, true
}

// oldestAge is the age from which a report counts as none in the log.
const oldestAge = time.Hour
