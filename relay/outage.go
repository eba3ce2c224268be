package relay

import (
	"context"
	"maps"
	"math/rand/v2"
	"time"
)

// While the store does not answer, nobody needs to find that out alone: a relay says so to its
// followers, which stay with it and ask the store by turns, so seldom that the calls of all of
// them together do not grow with their number. The first one that the store answers is named to
// the others, which follow it until a relay is settled again.

const (
	// firstProbe and laterProbe are the mean times between two calls of the store by
	// the followers of one relay together, while it is lost: at first a store that
	// turns the relay alone away is to be found out soon.
	firstProbe = 200 * time.Millisecond
	laterProbe = 500 * time.Millisecond
	// shortRound is the mean time between two calls of one follower where there are few: the
	// store may serve just one of them, and nobody else finds out for it. fewFollowers is how
	// many that are more than their share of the calls.
	shortRound   = 1500 * time.Millisecond
	fewFollowers = 5
	// lostFor is how long a relay's word that the store is lost holds.
	lostFor = 3 * time.Second
)

// outage is what a balancer believes of the store from what relays say. It is an
// immutable value; the zero value believes it well.
type outage struct {
	lost    map[string]time.Time // relays that said that it is lost, by address, and when
	askers  int                  // of the relay that said so last
	probeAt time.Time            // when this balancer asks the store itself
}

// withWord returns the outage after a relay said that the store is lost to it. random
// is from 0 to 1 and spreads the askers of one relay.
func (o outage) withWord(addr string, askers int, random float64, now time.Time) outage {
	began := !o.believed(now)
	lost := map[string]time.Time{addr: now}
	for other, at := range o.lost {
		if other != addr && now.Sub(at) < lostFor {
			lost[other] = at
		}
	}
	o.lost, o.askers = lost, max(1, askers)
	if began {
		o.probeAt = now.Add(time.Duration(random * float64(o.askers) * float64(firstProbe)))
	}
	return o
}

// withProbe returns the outage after this balancer asked the store in vain.
func (o outage) withProbe(random float64, now time.Time) outage {
	o.probeAt = now.Add(time.Duration((0.5 + random) * float64(o.round())))
	return o
}

// round returns the mean time between two calls of one follower. Of many followers a store that
// serves some of them serves one whose turn comes soon; of a few it may serve the one alone whose
// turn comes last.
func (o outage) round() time.Duration {
	whole := time.Duration(o.askers) * laterProbe
	return max(min(whole, shortRound), whole-fewFollowers*laterProbe)
}

// without returns the outage without what a relay said, which says so no more.
func (o outage) without(addr string) outage {
	if _, ok := o.lost[addr]; !ok {
		return o
	}
	o.lost = maps.Clone(o.lost)
	delete(o.lost, addr)
	return o
}

// believed reports whether some relay said lately that the store is lost.
func (o outage) believed(now time.Time) bool {
	for _, at := range o.lost {
		if now.Sub(at) < lostFor {
			return true
		}
	}
	return false
}

// said reports whether a relay said so lately.
func (o outage) said(addr string, now time.Time) bool {
	at, ok := o.lost[addr]
	return ok && now.Sub(at) < lostFor
}

// probeStore asks the store whether it answers this balancer, which follows it then.
func (g *Group) probeStore(ctx context.Context, s *subscription) {
	err := g.follower.ReadRegistrations(ctx)
	if err != nil {
		s.outage = s.outage.withProbe(rand.Float64(), time.Now())
		return
	}
	g.cfg.Log.Info("store answers, relays have lost it", "askers", s.outage.askers)
	g.follower.SetActive(true)
}

// tellPredecessor tells the relay that was followed before this balancer became one that
// this one is in touch with the store, as long as that one says that it has lost it. The
// predecessor names it to those that still wait there, and follows it itself: where its
// registration has ended and the store turns it away, nothing else tells it of the next:
// alone in its zone it would stay with what it knew.
func (g *Group) tellPredecessor(ctx context.Context, s *subscription) {
	if !s.outage.said(s.last.Addr, time.Now()) {
		return
	}
	err := g.ask(ctx, s.last, false)
	s.noteWord(s.last, err, time.Now())
}

// sitOut waits at a relay that has lost the store until it is settled or names a
// balancer that is in touch.
func (g *Group) sitOut(ctx context.Context, s *subscription) {
	began := time.Now()
	target, ok := g.lostRelay(s, began)
	if !ok {
		s.outage = outage{}
		return
	}
	err := g.ask(ctx, target, true)
	now := time.Now()
	if ctx.Err() != nil {
		return
	}
	if err == nil {
		g.followedRelay(target, s, now)
		return
	}
	s.noteWord(target, err, now)
	if !s.outage.said(target.Addr, now) {
		g.left(target, s, err, now)
		return
	}
	if now.Sub(began) < idle { // it names one that this balancer cannot reach
		g.replica.waitChange(ctx, idle)
	}
}

// lostRelay returns a relay that says that the store is lost: that of the own zone
// first.
func (g *Group) lostRelay(s *subscription, now time.Time) (Relay, bool) {
	var found Relay
	for _, r := range g.relaysFor(s) {
		if r.Addr == g.cfg.Addr || !s.outage.said(r.Addr, now) {
			continue
		}
		if found.Addr == "" || r.Zone == g.cfg.Zone {
			found = r
		}
	}
	return found, found.Addr != ""
}
