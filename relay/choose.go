package relay

import "time"

// serveAsRelay activates the follower if this balancer is its zone's relay. It reports whether this
// balancer is the relay and is settled.
func (g *Group) serveAsRelay(now time.Time) bool {
	relay := g.isRelay(now)
	g.follower.SetServing(relay)
	if !relay {
		return false
	}
	g.starting.Store(false)
	g.follower.SetActive(true)
	return g.follower.UpToDate(now)
}

// ServesAsRelay reports whether this balancer is its zone's relay.
func (g *Group) ServesAsRelay() bool { return g.isRelay(time.Now()) }

// TakesDuties reports whether this balancer does what one balancer of its zone should do: it is the
// relay, and does not stop.
func (g *Group) TakesDuties() bool { return !g.leaving.Load() && g.ServesAsRelay() }

// isRelay reports whether this balancer is its zone's registered relay. While the zone has none,
// this balancer also counts as the relay for one TTL after it registered, because the store may not
// have reported the registration yet.
func (g *Group) isRelay(now time.Time) bool {
	own, ok := g.replica.relay(g.cfg.Zone)
	if ok {
		return own.Addr == g.cfg.Addr
	}
	registeredAfter := g.registeredAfter.Load()
	return registeredAfter > 0 && now.Sub(g.createdAt)-time.Duration(registeredAfter) < g.opts.TTL
}

// chooseTarget returns the relay to ask, or a balancer that is in touch with the store and was
// named by a relay or has asked this one. It returns false if there is none.
func (g *Group) chooseTarget(s *subscription, now time.Time) (Relay, bool) {
	mayFollowAsker := g.mayFollowAsker(now)
	g.mu.Lock()
	defer g.mu.Unlock()
	alternative := s.alternative
	if mayFollowAsker && alternative == "" {
		alternative = g.askers.lastInTouch(now)
	}
	if alternative != "" && alternative != g.cfg.Addr && !now.Before(g.penalized[alternative]) {
		return Relay{ID: alternative, Addr: alternative, Zone: g.cfg.Zone}, true
	}
	own := Relay{Addr: g.cfg.Addr, Zone: g.cfg.Zone}
	return nextRelay(g.candidateRelays(s), own, g.penalized, g.relayOffset, now)
}

// mayFollowAsker reports whether this balancer may follow one of its askers that is in touch with
// the store. Only two kinds of balancer do: a relay, in case it has lost the store, and an unsettled
// balancer while no relay is registered, for example one whose own registration has ended.
// Otherwise two balancers that are in touch with the store would follow each other.
func (g *Group) mayFollowAsker(now time.Time) bool {
	return g.isRelay(now) || len(g.replica.allRelays()) == 0 && !g.follower.UpToDate(now)
}

// candidateRelays returns the relays that may be asked: the registered ones or, if there is none
// any more, the one that was followed last. That one still watches the store and reports the next
// registration, so not every balancer has to look for it in the store.
func (g *Group) candidateRelays(s *subscription) []Relay {
	all := g.replica.allRelays()
	if len(all) == 0 && s.lastRelay.Addr != "" {
		all = append(all, s.lastRelay)
	}
	return all
}

// penalize keeps a relay from being asked until the given time, and drops penalties that have
// ended.
func (g *Group) penalize(r Relay, until, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for addr, end := range g.penalized {
		if now.After(end) {
			delete(g.penalized, addr)
		}
	}
	g.penalized[r.Addr] = until
}

// clearPenalty ends the penalty of a relay that has answered. A relay that lost the store is
// penalized, but its followers still make patient calls to it. When one of these calls returns
// changes, the relay is settled again; with the penalty in place its followers would not ask it, and
// each of them would watch the store.
func (g *Group) clearPenalty(r Relay) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.penalized, r.Addr)
}

// clearPenalties ends the penalties of all candidate relays.
func (g *Group) clearPenalties(s *subscription) {
	for _, r := range g.candidateRelays(s) {
		g.clearPenalty(r)
	}
}
