package relay

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/lotuswing/lotuswing/coord/position"
	"github.com/lotuswing/lotuswing/directory"
	"github.com/lotuswing/lotuswing/link"
)

// idlePause is the longest pause between two steps of followRelays that call no relay.
const idlePause = 200 * time.Millisecond

// subscription is the state that followRelays keeps between its steps.
type subscription struct {
	lastSettledAnswer time.Time // when a settled relay last answered
	relayAddr         string    // address of the relay that is followed; empty for none
	outage            outage    // what relays report about the store
	alternative       string    // address of a balancer that an unsettled peer named; empty for none
	lastRelay         Relay     // the registered relay that was followed last

	askOtherAt time.Time // when another relay is asked next while this balancer waits at one without the store
	asked      int       // number of such questions

	probedFor time.Time // when the store's content was confirmed last, at the latest question to the store during an outage

	endNotesPoll context.CancelFunc // cancels the last call of pollNotes; nil before the first one
}

// followRelays fetches changes from relays until ctx ends, and switches the follower to the store
// while no relay is settled. It begins when the first copy is complete.
func (g *Group) followRelays(ctx context.Context) {
	select {
	case <-g.replica.complete:
	case <-ctx.Done():
		return
	}
	started := time.Now()
	g.starting.Store(true)
	s := subscription{lastSettledAnswer: started}
	for ctx.Err() == nil {
		if g.starting.Load() && time.Since(started) > g.opts.StartWithin {
			g.starting.Store(false)
		}
		g.followOnce(ctx, &s)
	}
}

// followOnce runs one step of followRelays: it calls a relay once, or waits for a moment if there
// is none to call or this balancer is a settled relay itself.
func (g *Group) followOnce(ctx context.Context, s *subscription) {
	g.cfg.Suspensions.Check()
	if g.serveAsRelay(time.Now()) {
		g.notifyPredecessor(ctx, s)
		g.replica.waitChange(ctx, idlePause)
		return
	}
	now := time.Now()
	inOutage := s.outage.reported(now) && !g.isRelay(now)
	if inOutage && !now.Before(g.probeDue(s)) && !g.follower.UpToDate(now) {
		g.probeStore(ctx, s)
	}
	target, ok := g.chooseTarget(s, now)
	switch {
	case ok:
		if s.endNotesPoll != nil {
			s.endNotesPoll()
		}
		g.fetchFrom(ctx, target, s)
	case inOutage:
		g.waitAtUnsettledRelay(ctx, s)
	default:
		g.handleNoRelay(ctx, s)
	}
}

// fetchFrom fetches changes from a relay, or from a balancer that a relay named, and records the
// outcome.
func (g *Group) fetchFrom(ctx context.Context, target Relay, s *subscription) {
	err := g.fetchChanges(ctx, target, 0)
	switch {
	case ctx.Err() != nil:
	case err != nil:
		s.recordReport(target, err, time.Now())
		g.recordFailure(target, s, err, time.Now())
	default:
		g.recordAnswer(target, s, time.Now())
	}
}

// recordReport records what a balancer that returned no changes reported about the store and about
// other balancers to ask.
func (s *subscription) recordReport(from Relay, err error, now time.Time) {
	var unsettled unsettledError
	if !errors.As(err, &unsettled) {
		unsettled = unsettledError{} // it reported nothing
	}
	s.alternative = unsettled.alternative
	if unsettled.lost {
		s.outage = s.outage.withReport(from.Addr, unsettled.askers, rand.Float64(), now)
		return
	}
	s.outage = s.outage.withoutReport(from.Addr)
}

// handleNoRelay handles the case that no relay may be asked for changes: it activates the follower, so
// that this balancer watches the store, and calls a penalized relay, if there is one, for notes. A
// balancer that has just started, or to which a settled relay answered within Wait and Slack, waits for
// a relay first. Otherwise every balancer of a fleet would briefly watch the store whenever there is no
// relay.
func (g *Group) handleNoRelay(ctx context.Context, s *subscription) {
	if !g.starting.Load() {
		if g.opts.mustWatchStore(s.lastSettledAnswer, time.Now()) {
			g.follower.SetActive(true)
		}
		g.pollNotes(ctx, s, time.Now())
		g.replica.waitChange(ctx, idlePause)
		return
	}
	g.replica.waitChange(ctx, g.opts.StartPoll)
	if g.starting.Load() && len(g.replica.allRelays()) == 0 {
		g.findRelays(ctx, s)
	}
}

// pollNotes calls a penalized relay for changes and notes, unless such a call is under way. While all
// relays are penalized, this balancer watches the store for changes, but only relays deliver notes. A
// successful call does not end the penalty. Otherwise a relay that is sometimes late would make this
// balancer stop and restart its watch of the store with each late answer.
func (g *Group) pollNotes(ctx context.Context, s *subscription, now time.Time) {
	r, ok := nextRelay(g.replica.allRelays(), Relay{Zone: g.cfg.Zone, Addr: g.cfg.Addr}, nil, g.relayOffset, now)
	if !ok || !g.pollingNotes.CompareAndSwap(false, true) {
		return
	}
	ctx, end := context.WithCancel(ctx)
	s.endNotesPoll = end
	g.done.Go(func() {
		defer g.pollingNotes.Store(false)
		defer end()
		if err := g.fetchChanges(ctx, r, 0); err != nil && ctx.Err() == nil {
			g.cfg.Log.Debug("could not get notes from a penalized relay", "relay", r.ID, "zone", r.Zone, "error", err)
		}
	})
}

// findRelays looks for relays that registered after the first copy was packed. It asks the balancer
// that provided the copy, which has had it for longer and may know a relay by now. It reads the
// registrations from the store only if that fails, because otherwise each balancer of a fleet that
// starts for the first time would read them.
func (g *Group) findRelays(ctx context.Context, s *subscription) {
	if source, ok := g.bootstrapSource(); ok {
		err := g.fetchChanges(ctx, source, 0)
		s.recordReport(source, err, time.Now())
		if s.alternative != "" || len(g.replica.allRelays()) > 0 {
			return
		}
	}
	g.readRegistrations(ctx)
}

// readRegistrations reads the registrations from the store while the store is not watched.
func (g *Group) readRegistrations(ctx context.Context) {
	if err := g.follower.ReadRegistrations(ctx); err != nil && ctx.Err() == nil {
		g.cfg.Log.Warn("could not read relay registrations", "error", err)
	}
}

// fetchChanges calls a balancer for changes and notes and applies them. It returns an
// unsettledError if that balancer is not settled. If patience is positive, an unsettled balancer delays
// its answer by at most that time, until it is settled or knows another one to ask.
func (g *Group) fetchChanges(ctx context.Context, r Relay, patience time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, g.opts.Wait+g.opts.Slack)
	defer cancel()
	after, _ := g.replica.revision() // 0 while this balancer has no complete copy, which requests everything
	heard := g.receivedPosition(r.Addr)
	var reply ChangesReply
	wait := g.opts.Wait
	if patience > 0 {
		wait = min(wait, patience)
	}
	err := g.client.Call(ctx, r.Addr, methodChanges, ChangesArgs{
		After: after, Wait: wait, From: g.cfg.Addr, Patient: patience > 0, InTouch: g.follower.UpToDate(time.Now()), PathsLost: g.pathsLost(),
		TakesNotes: true, NotesLife: heard.life, NotesAfter: heard.index,
	}, &reply)
	if err == nil {
		g.receiveReplyNotes(r.Addr, reply)
	}
	switch {
	case errors.Is(err, link.ErrSilent) && !errors.Is(err, context.Canceled):
		g.client.Forget(r.Addr) // an interrupted connection does not recover
		return err
	case err != nil:
		return err
	}
	if err := g.applyReply(reply, after); err != nil {
		return err
	}
	switch {
	case !reply.Settled:
		return unsettledError{lost: reply.StoreLost, askers: reply.Askers, alternative: reply.Instead}
	case position.Restored(reply.At, after):
		return unsettledError{} // it has not heard that the store was restored
	}
	return nil
}

// applyReply applies the changes of a reply, which a balancer that is not settled may know, too.
func (g *Group) applyReply(reply ChangesReply, after uint64) error {
	records, err := unpack(reply.Packed)
	if err != nil {
		return err
	}
	now := time.Now()
	if len(records) > 0 || reply.At > after {
		changes := g.cfg.Decoder.Decode(records, reply.At, reply.Whole)
		changes.Via, changes.Since = directory.ViaRelay, timeOf(reply.ChangesAge, now)
		g.follower.Apply(changes)
	}
	if reply.Settled && reply.ConfirmedAge > 0 {
		g.follower.Confirm(timeOf(reply.ConfirmedAge, now))
	}
	return nil
}

// receivedPosition returns the position in a peer's note log up to which its notes have been
// received.
func (g *Group) receivedPosition(addr string) logPosition {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.received[addr]
}

// receiveReplyNotes handles the notes in a peer's reply and records their position.
func (g *Group) receiveReplyNotes(addr string, reply ChangesReply) {
	if reply.NotesLife == 0 {
		return // the peer runs a version without notes
	}
	g.receiveNotes(reply.Notes)
	g.mu.Lock()
	if len(g.received) >= maxTrackedPeers {
		clear(g.received) // receiving a note twice does no harm
	}
	g.received[addr] = logPosition{life: reply.NotesLife, index: reply.NotesAt}
	newResponder := g.lastResponder != addr
	g.lastResponder = addr
	g.mu.Unlock()
	if newResponder {
		g.deliverToRelays()
	}
}

// maxTrackedPeers bounds for how many peers a Group remembers note positions, in each direction.
const maxTrackedPeers = 64

// recordAnswer records that r, a settled relay, has answered. It deactivates the follower unless
// this balancer is a relay itself.
func (g *Group) recordAnswer(r Relay, s *subscription, now time.Time) {
	s.lastSettledAnswer = now
	s.outage = outage{}
	if r.revision > 0 { // r is a registered relay, not a balancer named by a peer
		s.lastRelay = r
	}
	if g.replica.isRelay(s.alternative) { // it is among the candidates anyway, and the own zone's relay comes first there
		s.alternative = ""
	}
	g.starting.Store(false)
	g.relaySettled.Store(true)
	g.clearPenalty(r)
	g.setCurrentRelay(r, now)
	if s.relayAddr != r.Addr {
		s.relayAddr = r.Addr
		revision, _ := g.replica.revision()
		g.cfg.Log.Info("following a relay", "relay", r.ID, "zone", r.Zone, "revision", position.Text(revision))
	}
	if !g.isRelay(now) {
		g.follower.SetActive(false)
	}
}

// recordFailure records that r failed with err and penalizes it. It activates the follower if no
// relay has answered for too long. While relays report that the store is lost, it deactivates the
// follower instead, unless the follower is settled.
func (g *Group) recordFailure(r Relay, s *subscription, err error, now time.Time) {
	g.penalize(r, now.Add(g.opts.penalty(err)), now)
	if r.revision == 0 { // r is an alternative from an outage; the relays may have the store back
		g.clearPenalties(s)
	}
	level := hclog.Debug
	if s.relayAddr == r.Addr {
		level = hclog.Info
	}
	g.cfg.Log.Log(level, "relay request failed", "relay", r.ID, "zone", r.Zone, "error", err, "age", now.Sub(s.lastSettledAnswer))
	s.relayAddr = ""
	g.relaySettled.Store(false)
	g.setCurrentRelay(Relay{}, s.lastSettledAnswer)
	switch {
	case s.outage.reported(now) && !g.isRelay(now):
		if !g.follower.UpToDate(now) {
			g.follower.SetActive(false)
		}
	case g.opts.mustWatchStore(s.lastSettledAnswer, now) && !g.starting.Load():
		g.follower.SetActive(true)
	}
}

// setCurrentRelay records which relay this balancer follows, for the status and for balancers that
// ask it, and when a settled relay last confirmed the store's current state.
func (g *Group) setCurrentRelay(r Relay, confirmedAt time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.currentRelay, g.confirmedAt = r, confirmedAt
}
