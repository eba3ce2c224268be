package relay

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/lotuswing/lotuswing/link"
)

// idle is the pause between two looks while there is nothing to ask.
const idle = 200 * time.Millisecond

// subscription is what follow remembers from one call of a relay to the next.
type subscription struct {
	lastGood time.Time // when a relay last answered that was settled
	relay    string    // address of the one that is followed; empty for none
	outage   outage    // what relays say of the store
	instead  string    // address of a balancer that one that was not settled named; empty for none
	last     Relay     // the registered relay that was followed last
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
	g.cfg.Suspensions.Check()
	if g.serve(time.Now()) {
		g.tellPredecessor(ctx, s)
		g.replica.waitChange(ctx, idle)
		return
	}
	now := time.Now()
	inOutage := s.outage.believed(now) && !g.isRelay(now)
	if inOutage && !now.Before(s.outage.probeAt) && !g.follower.Settled(now) {
		g.probeStore(ctx, s)
	}
	target, ok := g.choose(s, now)
	switch {
	case ok:
		g.askOnce(ctx, target, s)
	case inOutage:
		g.sitOut(ctx, s)
	default:
		g.withoutRelay(ctx, s)
	}
}

// askOnce asks a relay, or a balancer that one named, and notes how that ended.
func (g *Group) askOnce(ctx context.Context, target Relay, s *subscription) {
	err := g.ask(ctx, target, false)
	switch {
	case ctx.Err() != nil:
	case err != nil:
		s.noteWord(target, err, time.Now())
		g.left(target, s, err, time.Now())
	default:
		g.followedRelay(target, s, time.Now())
	}
}

// noteWord notes what a balancer that gave no changes said of the store and of others.
func (s *subscription) noteWord(from Relay, err error, now time.Time) {
	var unsettled unsettledError
	if !errors.As(err, &unsettled) {
		unsettled = unsettledError{} // it said nothing
	}
	s.instead = unsettled.instead
	if unsettled.lost {
		s.outage = s.outage.withWord(from.Addr, unsettled.askers, rand.Float64(), now)
		return
	}
	s.outage = s.outage.without(from.Addr)
}

// withoutRelay has the store followed; but a balancer that heard of a settled relay a
// moment ago, or has just started, waits for a relay first, so that not every balancer
// of a fleet follows the store for a moment.
func (g *Group) withoutRelay(ctx context.Context, s *subscription) {
	if !g.starting.Load() {
		if g.opts.outOfTouch(s.lastGood, time.Now()) {
			g.follower.SetActive(true)
		}
		g.replica.waitChange(ctx, idle)
		return
	}
	g.replica.waitChange(ctx, g.opts.StartPoll)
	if g.starting.Load() && len(g.replica.allRelays()) == 0 {
		g.findRelays(ctx, s)
	}
}

// findRelays looks for relays that have registered since the first copy was packed: the balancer
// that handed it on has had it for longer and may know one by now. Otherwise the store is asked,
// which each balancer of a fleet that starts for the first time did.
func (g *Group) findRelays(ctx context.Context, s *subscription) {
	if giver, ok := g.copyGiver(); ok {
		err := g.ask(ctx, giver, false)
		s.noteWord(giver, err, time.Now())
		if s.instead != "" || len(g.replica.allRelays()) > 0 {
			return
		}
	}
	g.readRegistrations(ctx)
}

// readRegistrations looks for relays while the store is not followed.
func (g *Group) readRegistrations(ctx context.Context) {
	if err := g.follower.ReadRegistrations(ctx); err != nil && ctx.Err() == nil {
		g.cfg.Log.Warn("relays not read", "error", err)
	}
}

// ask waits for a relay's changes and brings them into force.
// patient waits at one that is not settled.
func (g *Group) ask(ctx context.Context, r Relay, patient bool) error {
	ctx, cancel := context.WithTimeout(ctx, g.opts.Wait+g.opts.Slack)
	defer cancel()
	after, _ := g.replica.revision() // 0 while nothing is known, which asks for everything
	heard := g.heardFrom(r.Addr)
	var reply ChangesReply
	err := g.client.Call(ctx, r.Addr, methodChanges, ChangesArgs{
		After: after, Wait: g.opts.Wait, From: g.cfg.Addr, Patient: patient, InTouch: g.follower.Settled(time.Now()),
		TakesNotes: true, NotesLife: heard.life, NotesAfter: heard.at,
	}, &reply)
	if err == nil {
		g.hearFrom(r.Addr, reply)
	}
	switch {
	case errors.Is(err, link.ErrSilent):
		g.client.Forget(r.Addr) // a connection that is cut stays silent
		return err
	case err != nil:
		return err
	case !reply.Settled:
		return unsettledError{lost: reply.StoreLost, askers: reply.Askers, instead: reply.Instead}
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

// heardFrom returns the place up to which the notes of a balancer are known.
func (g *Group) heardFrom(addr string) place {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.heard[addr]
}

// hearFrom takes the notes that a balancer handed on.
func (g *Group) hearFrom(addr string, reply ChangesReply) {
	if reply.NotesLife == 0 {
		return // it is of a version that has none
	}
	g.hear(reply.Notes)
	g.mu.Lock()
	if len(g.heard) >= mostHeard {
		clear(g.heard) // what is told twice does no harm
	}
	g.heard[addr] = place{life: reply.NotesLife, at: reply.NotesAt}
	other := g.asked != addr
	g.asked = addr
	g.mu.Unlock()
	if other {
		g.tellRelays()
	}
}

// mostHeard bounds of how many balancers it is remembered which notes they know or told.
const mostHeard = 64

// followedRelay notes that a relay has answered that is settled. The store is left
// alone then, unless this balancer is a relay itself.
func (g *Group) followedRelay(r Relay, s *subscription, now time.Time) {
	s.lastGood = now
	s.outage = outage{}
	if r.revision > 0 { // as the store has it, not one that another balancer named
		s.last = r
	}
	if g.replica.isRelay(s.instead) { // the relay of the own zone goes first again
		s.instead = ""
	}
	g.starting.Store(false)
	g.followed.Store(true)
	g.forgive(r)
	g.noteFollowed(r, now)
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
	if r.revision == 0 { // it was named while the relays had lost the store; they may have it again
		g.forgiveRelays(s)
	}
	level := hclog.Debug
	if s.relay == r.Addr {
		level = hclog.Info
	}
	g.cfg.Log.Log(level, "relay left", "relay", r.ID, "zone", r.Zone, "error", err, "age", now.Sub(s.lastGood))
	s.relay = ""
	g.followed.Store(false)
	g.noteFollowed(Relay{}, s.lastGood)
	switch {
	case s.outage.believed(now) && !g.isRelay(now):
		if !g.follower.Settled(now) {
			g.follower.SetActive(false)
		}
	case g.opts.outOfTouch(s.lastGood, now) && !g.starting.Load():
		g.follower.SetActive(true)
	}
}

// noteFollowed notes whom the balancer follows, for the status and for those that ask
// it, and when that one last told the store's present state.
func (g *Group) noteFollowed(r Relay, confirmed time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.relayed, g.confirmed = r, confirmed
}
