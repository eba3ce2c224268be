package relay

import (
	"context"
	"errors"
	"slices"
	"time"

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
	g.journal.waitAfter(context.Background(), args.After, min(args.Wait, maxWait))
	d := g.journal.since(args.After)
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
		if _, known := g.journal.revision(); known {
			break
		}
		g.journal.waitChange(ctx, idle)
	}
	lastGood := time.Now()
	followed := ""
	for ctx.Err() == nil {
		serving := g.isRelay()
		g.follower.SetServing(serving)
		if serving {
			g.follower.SetActive(true)
			if g.follower.Settled(time.Now()) {
				g.journal.waitChange(ctx, idle)
				continue
			}
		}
		target, ok := g.choose(time.Now())
		if !ok {
			g.follower.SetActive(true)
			g.journal.waitChange(ctx, idle)
			continue
		}
		err := g.ask(ctx, target)
		switch {
		case ctx.Err() != nil:
			return
		case err != nil:
			g.penalize(target, time.Now())
			g.cfg.Log.Info("relay left", "relay", target.ID, "zone", target.Zone, "error", err, "age", time.Since(lastGood))
			followed = ""
			g.followed.Store(false)
			if time.Since(lastGood) > g.opts.Wait+g.opts.Slack {
				g.follower.SetActive(true)
			}
			continue
		}
		lastGood = time.Now()
		g.followed.Store(true)
		if followed != target.Addr {
			followed = target.Addr
			revision, _ := g.journal.revision()
			g.cfg.Log.Info("following a relay", "relay", target.ID, "zone", target.Zone, "revision", revision)
		}
		if !g.isRelay() {
			g.follower.SetActive(false)
		}
	}
}

// isRelay reports whether this balancer is the one that its zone asks.
func (g *Group) isRelay() bool {
	own, ok := g.journal.relay(g.cfg.Zone)
	return ok && own.Addr == g.cfg.Addr
}

// choose returns the relay to ask: that of the own zone first, then others in an
// order of this balancer's own.
func (g *Group) choose(now time.Time) (Relay, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	candidates := slices.DeleteFunc(g.journal.allRelays(), func(r Relay) bool {
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

// penalize leaves a relay alone for a while.
func (g *Group) penalize(r Relay, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for addr, until := range g.penalized {
		if now.After(until) {
			delete(g.penalized, addr)
		}
	}
	g.penalized[r.Addr] = now.Add(g.opts.Penalty)
}

// ask waits for a relay's changes and brings them into force.
func (g *Group) ask(ctx context.Context, r Relay) error {
	ctx, cancel := context.WithTimeout(ctx, g.opts.Wait+g.opts.Slack)
	defer cancel()
	after, _ := g.journal.revision()
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
