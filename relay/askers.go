package relay

import (
	"cmp"
	"context"
	"maps"
	"time"
)

// askedFor is how long a balancer that asked counts among a relay's askers.
const askedFor = 2 * time.Second

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
// one of those that ask it, the relay that it follows itself or, while it starts, will
// follow next.
func (g *Group) unsettledReply(now time.Time) ChangesReply {
	lost := g.follower.Active()
	g.mu.Lock()
	defer g.mu.Unlock()
	instead := cmp.Or(g.askers.instead(now), g.relayed.Addr)
	if instead == "" && g.starting.Load() {
		next, _ := nextRelay(g.replica.allRelays(), Relay{Addr: g.cfg.Addr, Zone: g.cfg.Zone}, g.penalized, g.turn, now)
		instead = next.Addr
	}
	return ChangesReply{StoreLost: lost, Askers: len(g.askers.asked), Instead: instead}
}

// waitSettled waits until this balancer is settled or knows one beside the asker that is
// in touch with the store, or until there is other news, at most as long as limit.
func (g *Group) waitSettled(asker string, limit time.Duration, news func() bool) {
	g.patient.Add(1)
	defer g.patient.Add(-1)
	deadline := time.Now().Add(limit)
	for now := time.Now(); now.Before(deadline); now = time.Now() {
		other := g.inTouch(now)
		if g.follower.Settled(now) || other != "" && other != asker || news() {
			return
		}
		g.replica.waitChange(context.Background(), deadline.Sub(now))
	}
}

// OnAnswer notes that the store has answered; give it to the follower.
func (g *Group) OnAnswer() { g.wakePatient() }

// OnFailure notes that the store has not answered; give it to the follower. Questions that wait
// here are told at once that this balancer is not settled any more, not at the end of their wait:
// what changes meanwhile they have to hear of elsewhere.
func (g *Group) OnFailure() {
	if !g.follower.Settled(time.Now()) {
		g.replica.wake()
	}
}

// wakePatient lets the questions look again that wait for this balancer to be settled.
func (g *Group) wakePatient() {
	if g.patient.Load() > 0 {
		g.replica.wake()
	}
}
