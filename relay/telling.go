package relay

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/lotuswing/lotuswing/internal/bootclock"
	"github.com/lotuswing/lotuswing/internal/pause"
	"github.com/lotuswing/lotuswing/link"
)

// What one balancer sees and all should know goes by notes. Whoever has one tells it to the
// relays of all zones, and these to those that wait at them, with the changes of the store.
// The store is not asked for it. A relay that is gone keeps nobody: each balancer tells a
// relay that registers all that it has told itself in the last minutes, and a relay that
// lost the store hands notes on like any other. With R relays and N balancers a note costs
// R calls of the one that tells it and N answers to questions that wait anyway, of some 200
// bytes each.

const (
	// gatherNotes is how long a relay waits for further notes before it wakes those that wait at
	// it, so that what many see at once is not handed on one by one.
	gatherNotes = 5 * time.Millisecond
	// tellPause and tellMost are the pauses after a relay did not take notes: the first one,
	// which is doubled, and the longest.
	tellPause = 250 * time.Millisecond
	tellMost  = 4 * time.Second
)

// TellArgs tells a relay notes of a balancer. Package gob sends the names of the fields.
type TellArgs struct {
	Notes []Note
}

// TellReply says which start of the relay has taken them.
type TellReply struct {
	Life uint64
}

// methodTell is the name under which net/rpc knows receiver.Tell.
const methodTell = link.Service + ".Tell"

// Tell takes notes of another balancer.
func (r *receiver) Tell(args TellArgs, reply *TellReply) error {
	r.group.hear(args.Notes)
	reply.Life = r.group.notes.life
	return nil
}

// Publish tells something to all balancers of the deployment, as far as they can be
// reached within the next minutes.
func (g *Group) Publish(topic string, data []byte) error {
	if len(data) > mostNoteBytes {
		return ErrNoteTooLong
	}
	g.notes.add([]Note{{
		Origin: g.cfg.Addr, Life: g.notes.life, Number: g.published.Add(1), Topic: topic, Data: slices.Clone(data),
	}}, bootclock.Now())
	g.wakeForNotes()
	g.tellRelays()
	return nil
}

// hear notes what other balancers tell and passes on what is news.
func (g *Group) hear(notes []Note) {
	news := g.notes.add(notes, bootclock.Now())
	if len(news) == 0 {
		return
	}
	g.wakeForNotes()
	for _, n := range news {
		if g.cfg.OnNote != nil && n.Origin != g.cfg.Addr {
			g.cfg.OnNote(n)
		}
	}
}

// wakeForNotes wakes those that wait here, once what comes at the same time has come.
func (g *Group) wakeForNotes() {
	if g.waking.CompareAndSwap(false, true) {
		time.AfterFunc(gatherNotes, func() {
			g.waking.Store(false)
			g.replica.wake()
		})
	}
}

// tellRelays has the own notes told to each relay that has not taken them yet, and to the
// balancer that was last asked for changes, which need not be one while a fleet starts or
// the store is lost.
func (g *Group) tellRelays() {
	relays := g.replica.allRelays()
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, r := range append(relays, Relay{Addr: g.asked}) {
		if r.Addr != "" && r.Addr != g.cfg.Addr {
			g.beginTelling(r.Addr)
		}
	}
}

// beginTelling begins to tell a balancer the own notes, unless that is under way; g.mu is
// held.
func (g *Group) beginTelling(addr string) {
	if g.live == nil || g.telling[addr] {
		return
	}
	g.telling[addr] = true
	ctx := g.live
	g.done.Go(func() { g.tell(ctx, addr) })
}

// tell tells a balancer the own notes until it has taken all of them or hands on nothing any
// more.
func (g *Group) tell(ctx context.Context, addr string) {
	wait := tellPause
	for {
		notes, at, ok := g.untold(ctx, addr)
		if !ok {
			return
		}
		if err := g.tellOnce(ctx, addr, notes, at); err != nil {
			g.cfg.Log.Debug("notes not told", "relay", addr, "error", err)
			pause.For(ctx, wait)
			wait = min(2*wait, tellMost)
			continue
		}
		wait = tellPause
	}
}

// untold returns the own notes that a balancer has not taken yet, and their last place. Where
// there is nothing to tell it, or nobody, the telling is over: a note that comes from then on
// begins it anew.
func (g *Group) untold(ctx context.Context, addr string) ([]Note, uint64, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	notes, last := g.notes.since(place{life: g.notes.life, at: g.told[addr].at}, g.cfg.Addr, bootclock.Now())
	if ctx.Err() != nil || len(notes) == 0 || addr != g.asked && !g.replica.isRelay(addr) {
		delete(g.telling, addr)
		return nil, 0, false
	}
	return notes, last.at, true
}

// tellOnce tells a balancer notes, of which the last one has a place in the own log.
func (g *Group) tellOnce(ctx context.Context, addr string, notes []Note, last uint64) error {
	ctx, cancel := context.WithTimeout(ctx, g.opts.Wait+g.opts.Slack)
	defer cancel()
	var reply TellReply
	if err := g.client.Call(ctx, addr, methodTell, TellArgs{Notes: notes}, &reply); err != nil {
		if errors.Is(err, link.ErrSilent) {
			g.client.Forget(addr) // a connection that is cut stays silent
		}
		return err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if before := g.told[addr].life; before != 0 && before != reply.Life {
		last = 0 // it has started again: what its last start took is told once more
	}
	if len(g.told) >= mostHeard {
		clear(g.told) // what is told twice does no harm
	}
	g.told[addr] = place{life: reply.Life, at: last}
	return nil
}
