package bootstrap

import (
	"context"
	"errors"
	"math/rand/v2"
	"runtime"
	"slices"
	"time"
)

// errNoCopy says that a balancer that was asked has no copy yet.
var errNoCopy = errors.New("bootstrap: no copy there yet")

// progress is the search for a first copy. Its fields belong to the goroutine of
// Starter.Run; calls run in goroutines of their own, which send events.
type progress struct {
	*Starter
	order    Order
	random   float64 // decides when this balancer reads the store, among all that start
	lookAt   time.Time
	looking  bool
	lookedUp bool // the registrations were read at least once
	readAt   time.Time
	reading  bool
	askAt    time.Time
	asking   int  // questions that are not answered
	asked    int  // questions so far
	partly   bool // a part is in force, and the search is for a copy of everything
	source   string
	events   chan event
}

// event is the end of a call.
type event interface {
	apply(p *progress, now time.Time)
}

// looked is the end of a reading of the registrations, read that of a reading of
// everything, answered that of a question to another balancer.
type (
	looked   struct{ err error }
	read     struct{ err error }
	answered struct {
		peer  Peer
		reply CopyReply
		err   error
	}
)

// mostQuestions bounds the questions that wait at once.
const mostQuestions = 4

// begin makes the calls that are due at now.
func (p *progress) begin(ctx context.Context, now time.Time) {
	if !p.looking && !now.Before(p.lookAt) {
		p.looking = true
		go func() { p.send(ctx, looked{p.cfg.Store.ReadRegistrations(ctx)}) }()
	}
	if p.lookedUp && !p.reading && !now.Before(p.readAt) {
		p.reading = true
		go func() { p.send(ctx, read{p.cfg.Store.Read(ctx)}) }()
	}
	if p.asking < p.mostQuestions() && !now.Before(p.askAt) {
		p.ask(ctx, now)
	}
}

// ask asks the next balancer for its copy.
func (p *progress) ask(ctx context.Context, now time.Time) {
	peer, order, ok := p.order.WithNext(now)
	hurry := p.hurry()
	p.askAt = now.Add(hurry.nextAfter)
	if !ok {
		return
	}
	p.order = order
	p.asking++
	p.asked++
	args := CopyArgs{Addr: p.cfg.Self.Addr, Wait: hurry.wait, Part: !p.partly}
	go func() {
		ctx, cancel := context.WithTimeout(ctx, hurry.limit)
		defer cancel()
		reply, err := p.cfg.Peers.Copy(ctx, peer.Addr, args)
		p.send(ctx, answered{peer: peer, reply: reply, err: err})
	}()
}

// hurry is how long questions wait, and the next balancer with them.
type hurry struct{ nextAfter, wait, limit time.Duration }

// hurry returns how much of it there is. Who serves with a part asks for everything without any:
// one after the other, the relay of the own zone first. With the same hurry for both, relays of
// other zones were asked beside the own one, which was reading the store, and each sent a copy.
func (p *progress) hurry() hurry {
	if p.partly {
		return hurry{nextAfter: p.opts.ReadAfterPart / 2, wait: p.opts.ReadAfterPart / 2, limit: p.opts.ReadAfterPart}
	}
	return hurry{nextAfter: p.opts.AskNextAfter, wait: p.opts.WaitAtPeer, limit: p.opts.AskLimit}
}

// mostQuestions returns how many questions wait at once at the most.
func (p *progress) mostQuestions() int {
	if p.partly {
		return 2
	}
	return mostQuestions
}

// send tells the loop of an event, unless the search is over.
func (p *progress) send(ctx context.Context, e event) {
	select {
	case p.events <- e:
	case <-ctx.Done():
	}
}

// await waits for an event, or until a call is due.
func (p *progress) await(ctx context.Context, now time.Time) {
	timer := time.NewTimer(p.due(now))
	defer timer.Stop()
	select {
	case e := <-p.events:
		e.apply(p, time.Now())
	case <-timer.C:
	case <-ctx.Done():
	}
}

// due returns how long to wait for the next call.
func (p *progress) due(now time.Time) time.Duration {
	next := p.askAt
	if !p.looking && p.lookAt.Before(next) {
		next = p.lookAt
	}
	if p.lookedUp && !p.reading && p.readAt.Before(next) {
		next = p.readAt
	}
	return max(next.Sub(now), time.Millisecond)
}

// pause returns a random pause after a failed call of the store.
func (p *progress) pause() time.Duration {
	return p.opts.RetryPause/2 + rand.N(p.opts.RetryPause)
}

func (e looked) apply(p *progress, now time.Time) {
	p.looking = false
	if e.err != nil {
		p.lookAt = now.Add(p.pause())
		p.askAt = now
		p.cfg.Log.Warn("relays not read", "error", e.err)
		return
	}
	p.lookAt = now.Add(p.lookEvery())
	relays := p.cfg.State.Relays()
	first := !p.lookedUp
	p.lookedUp = true
	p.order = p.order.WithRelays(relays)
	if first {
		isSeed := slices.Contains(p.cfg.Seeds, p.cfg.Self.Addr)
		p.readAt = now.Add(p.opts.ReadAfter(isRelay(relays, p.cfg.Self), isSeed, len(relays) > 0, p.random, p.cfg.Cores))
		p.askAt = now
	}
}

// lookEvery returns the time between two readings of the registrations. Who serves with a
// part, in which they stand, reads them seldom.
func (p *progress) lookEvery() time.Duration {
	if p.partly {
		return p.opts.ReadAfterPart
	}
	return p.opts.LookEvery
}

// isRelay reports whether a balancer is registered.
func isRelay(relays []Peer, self Peer) bool {
	return slices.ContainsFunc(relays, func(r Peer) bool { return r.Addr == self.Addr })
}

func (e read) apply(p *progress, now time.Time) {
	p.reading = false
	if e.err != nil {
		p.readAt = now.Add(p.pause())
		p.cfg.Log.Warn("store not read", "error", e.err)
		return
	}
	p.source = FromStore
}

func (e answered) apply(p *progress, now time.Time) {
	p.asking--
	err := e.err
	switch {
	case err == nil && len(e.reply.Instead) > 0:
		if !e.reply.Part || !p.partly { // who is named has what is still looked for
			p.order = p.order.WithRedirect(e.reply.Instead)
		}
	case err == nil && e.reply.Part:
		if err = p.takePart(e.reply, now); err == nil {
			p.askAt = now
			return
		}
	case err == nil:
		err = p.take(e.reply, now)
	}
	p.askAt = now // another balancer may be asked at once
	if err != nil {
		p.cfg.Log.Debug("no copy", "peer", e.peer.Addr, "error", err)
		return
	}
	p.source = e.peer.Addr
}

// takePart brings a part into force, after which a copy of everything is asked for, of whom
// ever was asked for the part as well.
func (p *progress) takePart(reply CopyReply, now time.Time) error {
	if len(reply.Packed) == 0 {
		return errNoCopy
	}
	if p.partly {
		return nil // another one came first
	}
	c := Copy{Packed: reply.Packed}
	p.cfg.Giver.KeepPart(c, now)
	runtime.Gosched() // as in take
	records, err := c.Unpack()
	if err != nil {
		return err
	}
	p.cfg.State.ApplyPart(records)
	p.cfg.Log.Info("part of a first copy in force", "records", len(records))
	p.partly = true
	p.lookAt = latest(p.lookAt, now.Add(p.lookEvery()))
	p.readAt = latest(p.readAt, now.Add(p.opts.ReadAfterPart+time.Duration(p.random*float64(p.opts.ReadSpread))))
	p.order = NewOrder(p.cfg.Self, p.cfg.Seeds, rand.Uint64(), p.opts.AskAgainAfter).WithRelays(p.cfg.State.Relays())
	return nil
}

// latest returns the later one of two times.
func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// take brings a copy into force. Others may have it before it is decoded here.
func (p *progress) take(reply CopyReply, now time.Time) error {
	if len(reply.Packed) == 0 {
		return errNoCopy
	}
	c := Copy{At: reply.At, Packed: reply.Packed}
	p.cfg.Giver.Keep(c, now)
	runtime.Gosched() // whoever waits for the copy has it before it is decoded here
	records, err := c.Unpack()
	if err != nil {
		return err
	}
	p.cfg.State.Apply(records, c.At)
	return nil
}
