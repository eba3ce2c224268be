package relay

import "time"

// serve has the store followed where this balancer is its zone's relay, and
// reports whether it is and is settled.
func (g *Group) serve(now time.Time) bool {
	relay := g.isRelay(now)
	g.follower.SetServing(relay)
	if !relay {
		return false
	}
	g.starting.Store(false)
	g.follower.SetActive(true)
	return g.follower.Settled(now)
}

// Serving reports whether this balancer is its zone's relay.
func (g *Group) Serving() bool { return g.isRelay(time.Now()) }

// isRelay reports whether this balancer is the one that its zone asks.
func (g *Group) isRelay(now time.Time) bool {
	own, ok := g.replica.relay(g.cfg.Zone)
	if ok {
		return own.Addr == g.cfg.Addr
	}
	registered := g.registered.Load()
	return registered > 0 && now.Sub(g.began)-time.Duration(registered) < g.opts.TTL
}

// choose returns the relay to ask, or the balancer that one of them named.
func (g *Group) choose(s *subscription, now time.Time) (Relay, bool) {
	followsAsker := g.followsAsker(now)
	g.mu.Lock()
	defer g.mu.Unlock()
	instead := s.instead
	if followsAsker && instead == "" {
		instead = g.askers.instead(now)
	}
	if instead != "" && instead != g.cfg.Addr && !now.Before(g.penalized[instead]) {
		return Relay{ID: instead, Addr: instead, Zone: g.cfg.Zone}, true
	}
	own := Relay{Addr: g.cfg.Addr, Zone: g.cfg.Zone}
	return nextRelay(g.relaysFor(s), own, g.penalized, g.turn, now)
}

// followsAsker reports whether this balancer follows one of those that ask it and are in
// touch with the store: as a relay that has lost it, and as one whose registration has
// ended while nobody else is registered. Nobody else does, and none that is settled: two
// that are in touch would follow each other.
func (g *Group) followsAsker(now time.Time) bool {
	return g.isRelay(now) || len(g.replica.allRelays()) == 0 && !g.follower.Settled(now)
}

// relaysFor returns the relays that may be asked: the registered ones, and where there
// is none any more, the one that was followed last. It follows the store still, and
// tells of the next registration: not everybody has to look for it in the store.
func (g *Group) relaysFor(s *subscription) []Relay {
	all := g.replica.allRelays()
	if len(all) == 0 && s.last.Addr != "" {
		all = append(all, s.last)
	}
	return all
}

// penalize leaves a relay alone until a time.
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

// forgive lets a relay be asked at once again that was left alone. One that has answered a
// question that waited there for the store's return is well: without this its followers left it
// alone for what remained of the penalty, and each followed the store.
func (g *Group) forgive(r Relay) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.penalized, r.Addr)
}

// forgiveRelays lets the relays be asked at once that were left alone.
func (g *Group) forgiveRelays(s *subscription) {
	for _, r := range g.relaysFor(s) {
		g.forgive(r)
	}
}
