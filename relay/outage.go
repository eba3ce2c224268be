package relay

import (
	"cmp"
	"context"
	"maps"
	"math/rand/v2"
	"time"
)

// While the store does not answer, nobody needs to find that out alone: a relay says
// so to its followers, which stay with it and ask the store by turns, so seldom that
// the calls of all of them together do not grow with their number. The first one that
// the store answers is named to the others, which follow it until a relay is settled
// again. Without this 473 balancers made 4,249 calls in eight seconds.

const (
	// firstProbe and laterProbe are the mean times between two calls of the store by
	// the followers of one relay together, while it is lost: at first a store that
	// turns the relay alone away is to be found out soon.
	firstProbe = 200 * time.Millisecond
	laterProbe = 500 * time.Millisecond
	// lostFor is how long a relay's word that the store is lost holds. Chosen without a
	// measurement.
	lostFor = 3 * time.Second
	// askedFor is how long a balancer that asked counts among a relay's askers. Chosen
	// without a measurement.
	askedFor = 2 * time.Second
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
	o.probeAt = now.Add(time.Duration((0.5 + random) * float64(o.askers) * float64(laterProbe)))
	return o
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

// askers are the balancers that asked a relay lately. The zero value is empty. It is not
// safe for concurrent use.
type askers struct {
	asked   map[string]time.Time // by address
	pruned  time.Time            // when those were dropped last that ask no more
	inTouch string               // address of the last one that was in touch with the store
	touched time.Time            // when it said so
}

// note notes that a balancer asked, and reports whether it is in touch with the store.
func (a *askers) note(args ChangesArgs, now time.Time) bool {
	if args.From == "" {
		return false
	}
	if a.asked == nil {
		a.asked = map[string]time.Time{}
	}
	a.asked[args.From] = now
	if now.Sub(a.pruned) >= askedFor {
		a.pruned = now
		maps.DeleteFunc(a.asked, func(_ string, at time.Time) bool { return now.Sub(at) >= askedFor })
	}
	switch {
	case args.InTouch:
		a.inTouch, a.touched = args.From, now
	case a.inTouch == args.From:
		a.inTouch = ""
	}
	return args.InTouch
}

// instead returns the balancer that is in touch with the store; empty for none.
func (a *askers) instead(now time.Time) string {
	if now.Sub(a.touched) >= askedFor {
		return ""
	}
	return a.inTouch
}

// noteAsker notes who asks this balancer. One that is in touch with the store is news to
// the others that wait here.
func (g *Group) noteAsker(args ChangesArgs, now time.Time) {
	g.mu.Lock()
	news := g.askers.note(args, now)
	g.mu.Unlock()
	if news {
		g.wakePatient()
	}
}

// inTouch returns the asker that is in touch with the store; empty for none.
func (g *Group) inTouch(now time.Time) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.askers.instead(now)
}

// unsettledReply says why this balancer is not settled, and who may be asked instead:
// one of those that ask it, or the relay that it follows itself.
func (g *Group) unsettledReply(now time.Time) ChangesReply {
	lost := g.follower.Active()
	g.mu.Lock()
	defer g.mu.Unlock()
	instead := cmp.Or(g.askers.instead(now), g.relayed.Addr)
	return ChangesReply{StoreLost: lost, Askers: len(g.askers.asked), Instead: instead}
}

// waitSettled waits until this balancer is settled or knows one beside the asker that is
// in touch with the store, at most as long as limit.
func (g *Group) waitSettled(asker string, limit time.Duration) {
	g.patient.Add(1)
	defer g.patient.Add(-1)
	deadline := time.Now().Add(limit)
	for now := time.Now(); now.Before(deadline); now = time.Now() {
		other := g.inTouch(now)
		if g.follower.Settled(now) || other != "" && other != asker {
			return
		}
		g.replica.waitChange(context.Background(), deadline.Sub(now))
	}
}

// OnAnswer notes that the store has answered; give it to the follower.
func (g *Group) OnAnswer() { g.wakePatient() }

// wakePatient lets the questions look again that wait for this balancer to be settled.
func (g *Group) wakePatient() {
	if g.patient.Load() > 0 {
		g.replica.wake()
	}
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
