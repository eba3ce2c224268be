package relay

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/lotuswing/lotuswing/link"
)

// ChangesArgs asks a relay for what changed after a revision. It answers after
// Wait at the latest.
type ChangesArgs struct {
	After uint64
	Wait  time.Duration
}

// ChangesReply tells it.
type ChangesReply struct {
	Settled bool   // the relay follows the store and is up to date
	Whole   bool   // the records are all there are
	At      uint64 // revision up to which the relay knows all changes
	Packed  []byte // records of the store; empty for none
}

// methodChanges is the name under which net/rpc knows receiver.Changes.
const methodChanges = link.Service + ".Changes"

// receiver answers other balancers, in the form that net/rpc asks for.
type receiver struct{ group *Group }

// Changes waits for changes and tells them.
func (r *receiver) Changes(args ChangesArgs, reply *ChangesReply) error {
	g := r.group
	if !g.follower.Settled(time.Now()) {
		return nil
	}
	g.replica.waitAfter(context.Background(), args.After, min(args.Wait, maxWait))
	d := g.replica.since(args.After)
	packed, err := g.packer.pack(d)
	if err != nil {
		return err
	}
	*reply = ChangesReply{Settled: g.follower.Settled(time.Now()), Whole: d.whole, At: d.at, Packed: packed}
	return nil
}

// maxWait bounds how long a question waits, whatever it asks for.
const maxWait = 30 * time.Second

// errUnsettled says that a relay is not up to date itself.
var errUnsettled = errors.New("relay: not settled")

// idle is the pause between two looks while there is nothing to ask.
const idle = 200 * time.Millisecond

// follow asks relays for changes until ctx ends, and has the store followed
// while none of them is settled.
func (g *Group) follow(ctx context.Context) {
	for ctx.Err() == nil {
		if _, known := g.replica.revision(); known {
			break
		}
		g.replica.waitChange(ctx, idle)
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

// subscription is what follow remembers from one question to the next.
type subscription struct {
	lastGood time.Time // when a relay last answered that was settled
	relay    string    // address of the one that is followed; empty for none
}

// followOnce asks a relay once, or waits a moment where there is nothing to ask.
func (g *Group) followOnce(ctx context.Context, s *subscription) {
	serving := g.isRelay(time.Now())
	g.follower.SetServing(serving)
	if serving {
		g.starting.Store(false)
		g.follower.SetActive(true)
		if g.follower.Settled(time.Now()) {
			g.replica.waitChange(ctx, idle)
			return
		}
	}
	target, ok := g.choose(time.Now())
	if !ok {
		g.withoutRelay(ctx)
		return
	}
	if err := g.ask(ctx, target); err != nil {
		if ctx.Err() == nil {
			g.leave(target, s, err)
		}
		return
	}
	s.lastGood = time.Now()
	g.starting.Store(false)
	g.followed.Store(true)
	if s.relay != target.Addr {
		s.relay = target.Addr
		revision, _ := g.replica.revision()
		g.cfg.Log.Info("following a relay", "relay", target.ID, "zone", target.Zone, "revision", revision)
	}
	if !g.isRelay(time.Now()) {
		g.follower.SetActive(false)
	}
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
		g.follower.Refresh(ctx)
	}
}

// leave notes that a relay failed. Where it took so long that others may fail
// the same way, the store is followed meanwhile.
func (g *Group) leave(r Relay, s *subscription, err error) {
	g.penalize(r, time.Now(), err)
	level := hclog.Debug
	if s.relay == r.Addr {
		level = hclog.Info
	}
	g.cfg.Log.Log(level, "relay left", "relay", r.ID, "zone", r.Zone, "error", err, "age", time.Since(s.lastGood))
	s.relay = ""
	g.followed.Store(false)
	if time.Since(s.lastGood) > g.opts.Wait+g.opts.Slack && !g.starting.Load() {
		g.follower.SetActive(true)
	}
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

// choose returns the relay to ask: that of the own zone first, then others in an
// order of this balancer's own.
func (g *Group) choose(now time.Time) (Relay, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	candidates := slices.DeleteFunc(g.replica.allRelays(), func(r Relay) bool {
		return r.Addr == g.cfg.Addr || now.Before(g.penalized[r.Addr])
	})
	if len(candidates) == 0 {
		return Relay{}, false
	}
	for _, r := range candidates {
		if r.Zone == g.cfg.Zone {
			return r, true
		}
	}
	return candidates[g.turn%len(candidates)], true
}

// unsettledShare is the part of the penalty that a relay gets which answers but
// is not settled: asking it again costs little.
const unsettledShare = 4

// penalize leaves a relay alone for a while.
func (g *Group) penalize(r Relay, now time.Time, err error) {
	penalty := g.opts.Penalty
	if errors.Is(err, errUnsettled) {
		penalty /= unsettledShare
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for addr, until := range g.penalized {
		if now.After(until) {
			delete(g.penalized, addr)
		}
	}
	g.penalized[r.Addr] = now.Add(penalty)
}

// ask waits for a relay's changes and brings them into force.
func (g *Group) ask(ctx context.Context, r Relay) error {
	ctx, cancel := context.WithTimeout(ctx, g.opts.Wait+g.opts.Slack)
	defer cancel()
	after, _ := g.replica.revision()
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
