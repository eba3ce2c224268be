package relay

import (
	"context"
	"errors"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/lotuswing/lotuswing/link"
)

// idle is the pause between two looks while there is nothing to ask. Chosen
// without a measurement.
const idle = 200 * time.Millisecond

// subscription is what follow remembers from one call of a relay to the next.
type subscription struct {
	lastGood time.Time // when a relay last answered that was settled
	relay    string    // address of the one that is followed; empty for none
}

// follow asks relays for changes until ctx ends, and has the store followed
// while none of them is settled.
func (g *Group) follow(ctx context.Context) {
	select {
	case <-g.replica.known:
	case <-ctx.Done():
		return
	}
	started := time.Now()
	g.starting.Store(true)
	s := subscription{lastGood: started}
	for ctx.Err() == nil {
		if g.starting.Load() && time.Since(started) > g.opts.StartWithin {
			g.starting.Store(false)
		}
		g.followOnce(ctx, &s)
	}
}

// followOnce asks a relay once, or waits a moment where there is nothing to ask.
func (g *Group) followOnce(ctx context.Context, s *subscription) {
	if g.serve(time.Now()) {
		g.replica.waitChange(ctx, idle)
		return
	}
	target, ok := g.choose(time.Now())
	if !ok {
		g.withoutRelay(ctx)
		return
	}
	err := g.ask(ctx, target)
	switch {
	case ctx.Err() != nil:
	case err != nil:
		g.left(target, s, err, time.Now())
	default:
		g.followedRelay(target, s, time.Now())
	}
}

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

// isRelay reports whether this balancer is the one that its zone asks.
func (g *Group) isRelay(now time.Time) bool {
	own, ok := g.replica.relay(g.cfg.Zone)
	if ok {
		return own.Addr == g.cfg.Addr
	}
	registered := g.registered.Load()
	return registered > 0 && now.Sub(g.began)-time.Duration(registered) < g.opts.TTL
}

// choose returns the relay to ask.
func (g *Group) choose(now time.Time) (Relay, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	own := Relay{Addr: g.cfg.Addr, Zone: g.cfg.Zone}
	return nextRelay(g.replica.allRelays(), own, g.penalized, g.turn, now)
}

// withoutRelay has the store followed; but a balancer that has just started
// waits for a relay first, so that not every balancer of a fleet that starts
// follows the store for a moment.
func (g *Group) withoutRelay(ctx context.Context) {
	if !g.starting.Load() {
		g.follower.SetActive(true)
		g.replica.waitChange(ctx, idle)
		return
	}
	g.replica.waitChange(ctx, g.opts.StartPoll)
	if g.starting.Load() && len(g.replica.allRelays()) == 0 {
		g.readRegistrations(ctx)
	}
}

// readRegistrations looks for relays while the store is not followed.
func (g *Group) readRegistrations(ctx context.Context) {
	if err := g.follower.ReadRegistrations(ctx); err != nil && ctx.Err() == nil {
		g.cfg.Log.Warn("relays not read", "error", err)
	}
}

// ask waits for a relay's changes and brings them into force.
func (g *Group) ask(ctx context.Context, r Relay) error {
	ctx, cancel := context.WithTimeout(ctx, g.opts.Wait+g.opts.Slack)
	defer cancel()
	after, _ := g.replica.revision() // 0 while nothing is known, which asks for everything
	var reply ChangesReply
	err := g.client.Call(ctx, r.Addr, methodChanges, ChangesArgs{After: after, Wait: g.opts.Wait}, &reply)
	switch {
	case errors.Is(err, link.ErrSilent):
		g.client.Forget(r.Addr) // a connection that is cut stays silent
		return err
	case err != nil:
		return err
	case !reply.Settled:
		return errUnsettled
	}
	records, err := unpack(reply.Packed)
	if err != nil {
		return err
	}
	if len(records) > 0 || reply.At > after {
		g.follower.Apply(g.cfg.Decoder.Decode(records, reply.At, reply.Whole))
	}
	return nil
}

// followedRelay notes that a relay has answered that is settled. The store is left
// alone then, unless this balancer is a relay itself.
func (g *Group) followedRelay(r Relay, s *subscription, now time.Time) {
	s.lastGood = now
	g.starting.Store(false)
	g.followed.Store(true)
	g.noteFollowed(r.ID, now)
	if s.relay != r.Addr {
		s.relay = r.Addr
		revision, _ := g.replica.revision()
		g.cfg.Log.Info("following a relay", "relay", r.ID, "zone", r.Zone, "revision", revision)
	}
	if !g.isRelay(now) {
		g.follower.SetActive(false)
	}
}

// left notes that a relay failed, and has the store followed where none has
// answered for long.
func (g *Group) left(r Relay, s *subscription, err error, now time.Time) {
	g.penalize(r, now.Add(g.opts.penalty(err)), now)
	level := hclog.Debug
	if s.relay == r.Addr {
		level = hclog.Info
	}
	g.cfg.Log.Log(level, "relay left", "relay", r.ID, "zone", r.Zone, "error", err, "age", now.Sub(s.lastGood))
	s.relay = ""
	g.followed.Store(false)
	g.noteFollowed("", s.lastGood)
	if g.opts.outOfTouch(s.lastGood, now) && !g.starting.Load() {
		g.follower.SetActive(true)
	}
}

// noteFollowed notes for the status whom the balancer follows, and when that one last
// told the store's present state.
func (g *Group) noteFollowed(id string, confirmed time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.relayID, g.confirmed = id, confirmed
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
