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

// Notes broadcast what one balancer observes and all should know. The publisher sends a note to
// the relays of all zones, and each relay adds it to its answers to the balancers that wait there
// for changes. The store is not involved. The failure of a relay loses no notes: each balancer
// sends its own notes of the last minutes to a relay that registers, and a relay that has lost the
// store passes notes on like any other. With R relays and N balancers a note costs R calls by its
// publisher and N answers to calls that wait anyway, of some 200 bytes each.

const (
	// noteBatchDelay is how long a relay collects notes before it wakes waiting calls, so that
	// notes published by many balancers at once are not passed on one by one.
	noteBatchDelay = 5 * time.Millisecond
	// minDeliveryBackoff is the first pause after a failed delivery of notes. It doubles with each
	// failure, up to maxDeliveryBackoff.
	minDeliveryBackoff = 250 * time.Millisecond
	maxDeliveryBackoff = 4 * time.Second
)

// TellArgs delivers notes to a relay. Package gob sends the names of the fields.
type TellArgs struct {
	Notes []Note
}

// TellReply identifies the process that accepted the notes, by its life; see Note.
type TellReply struct {
	Life uint64
}

// methodTell is the net/rpc name of rpcService.Tell.
const methodTell = link.Service + ".Tell"

// Tell accepts notes of another balancer.
func (r *rpcService) Tell(args TellArgs, reply *TellReply) error {
	r.group.receiveNotes(args.Notes)
	reply.Life = r.group.notes.life
	return nil
}

// Publish broadcasts a note to all balancers of the deployment, as far as they can be reached
// within the next minutes. It returns ErrNoteTooLong if data is too long.
func (g *Group) Publish(topic string, data []byte) error {
	if len(data) > maxNoteBytes {
		return ErrNoteTooLong
	}
	g.notes.add([]Note{{
		Origin: g.cfg.Addr, Life: g.notes.life, Number: g.notesPublished.Add(1), Topic: topic, Data: slices.Clone(data),
	}}, bootclock.Now())
	g.scheduleNoteWake()
	g.deliverToRelays()
	return nil
}

// receiveNotes adds notes that a peer passed on to the log, wakes waiting calls and passes new notes
// of other balancers to OnNote.
func (g *Group) receiveNotes(notes []Note) {
	news := g.notes.add(notes, bootclock.Now())
	if len(news) == 0 {
		return
	}
	g.scheduleNoteWake()
	for _, n := range news {
		if g.cfg.OnNote != nil && n.Origin != g.cfg.Addr {
			g.cfg.OnNote(n)
		}
	}
}

// scheduleNoteWake wakes waiting calls after noteBatchDelay, unless that is already scheduled.
func (g *Group) scheduleNoteWake() {
	if g.wakeScheduled.CompareAndSwap(false, true) {
		time.AfterFunc(noteBatchDelay, func() {
			g.wakeScheduled.Store(false)
			g.replica.wakeWaiters()
		})
	}
}

// deliverToRelays starts delivery of this balancer's notes to all registered relays and to the last
// responder, which may be no relay while a fleet starts or the store is lost.
func (g *Group) deliverToRelays() {
	relays := g.replica.allRelays()
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, r := range append(relays, Relay{Addr: g.lastResponder}) {
		if r.Addr != "" && r.Addr != g.cfg.Addr {
			g.startDelivery(r.Addr)
		}
	}
}

// startDelivery starts a goroutine that delivers this balancer's notes to the balancer at addr,
// unless one runs already; g.mu must be held.
func (g *Group) startDelivery(addr string) {
	if g.runCtx == nil || g.delivering[addr] {
		return
	}
	g.delivering[addr] = true
	ctx := g.runCtx
	g.done.Go(func() { g.deliverNotes(ctx, addr) })
}

// deliverNotes delivers this balancer's notes to the balancer at addr until that one has accepted
// them all or no longer passes notes on.
func (g *Group) deliverNotes(ctx context.Context, addr string) {
	wait := minDeliveryBackoff
	for {
		notes, last, ok := g.undeliveredNotes(ctx, addr)
		if !ok {
			return
		}
		if err := g.deliverOnce(ctx, addr, notes, last); err != nil {
			g.cfg.Log.Debug("could not deliver notes", "relay", addr, "error", err)
			pause.For(ctx, wait)
			wait = min(2*wait, maxDeliveryBackoff)
			continue
		}
		wait = minDeliveryBackoff
	}
}

// undeliveredNotes returns this balancer's notes that the balancer at addr has not accepted yet,
// and the index of the last note in the log. It returns false and ends the delivery if there are none, if that
// balancer no longer passes notes on, or if ctx has ended; a later note starts a new delivery.
func (g *Group) undeliveredNotes(ctx context.Context, addr string) ([]Note, uint64, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	notes, last := g.notes.since(logPosition{life: g.notes.life, index: g.delivered[addr].index}, g.cfg.Addr, bootclock.Now())
	if ctx.Err() != nil || len(notes) == 0 || addr != g.lastResponder && !g.replica.isRelay(addr) {
		delete(g.delivering, addr)
		return nil, 0, false
	}
	return notes, last.index, true
}

// deliverOnce sends notes to the balancer at addr and records their acceptance. last is the index
// in this balancer's log up to which the notes reach.
func (g *Group) deliverOnce(ctx context.Context, addr string, notes []Note, last uint64) error {
	ctx, cancel := context.WithTimeout(ctx, g.opts.Wait+g.opts.Slack)
	defer cancel()
	var reply TellReply
	if err := g.client.Call(ctx, addr, methodTell, TellArgs{Notes: notes}, &reply); err != nil {
		if errors.Is(err, link.ErrSilent) {
			g.client.Forget(addr) // an interrupted connection does not recover
		}
		return err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if previousLife := g.delivered[addr].life; previousLife != 0 && previousLife != reply.Life {
		last = 0 // the peer has restarted: send it again what the previous process accepted
	}
	if len(g.delivered) >= maxTrackedPeers {
		clear(g.delivered) // delivering a note twice does no harm
	}
	g.delivered[addr] = logPosition{life: reply.Life, index: last}
	return nil
}
