package bootstrap

import (
	"context"
	"sync"
	"time"

	"github.com/lotuswing/lotuswing/internal/pause"
)

// CopyArgs asks a balancer for its copy. Package gob sends the names of the fields.
type CopyArgs struct {
	Addr string        // of the balancer that asks, at which others may ask it in turn
	Wait time.Duration // how long the question may wait for the first copy of the one that is asked
	Part bool          // a part is enough
}

// CopyReply is the answer: a copy, or who is to be asked instead, or neither where the
// one that was asked has no copy yet.
type CopyReply struct {
	At      uint64   // revision up to which all is known
	Packed  []byte   // see Copy
	Instead []string // addresses
	Part    bool     // Packed is a part
}

const (
	// maxWait bounds how long a question waits, whatever it asks for.
	maxWait = 2 * time.Second
	// keptFor is how long a packed copy is handed on before a new one is made. A copy of a second
	// ago is no worse than a stale read.
	keptFor = time.Second
)

// Giver hands this balancer's copy to others. It is safe for concurrent use.
type Giver struct {
	state State
	rate  float64 // of the link, in bytes a second; 0 where it is not known

	received chan struct{} // closed when there is a copy to hand on
	partly   chan struct{} // closed when there is a part to hand on
	mu       sync.Mutex
	whole    kept
	part     kept
}

// kept is a copy that is handed on, and to whom.
type kept struct {
	recipients Recipients
	copy       Copy      // the last one that was packed or received; zero for none
	at         time.Time // since when
}

// NewGiver returns a giver of what a state holds. rate is that of the balancer's link, in
// bytes a second; 0 where it is not known.
func NewGiver(state State, rate float64) *Giver {
	return &Giver{state: state, rate: rate, received: make(chan struct{}), partly: make(chan struct{})}
}

// Keep takes a copy that was received to be handed on as it is.
func (g *Giver) Keep(c Copy, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.whole.copy, g.whole.at = c, now
	if !pause.Over(g.received) {
		close(g.received)
	}
}

// KeepPart takes a part that was received to be handed on as it is.
func (g *Giver) KeepPart(c Copy, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.part.copy, g.part.at = c, now
	if !pause.Over(g.partly) {
		close(g.partly)
	}
}

// Answer answers a balancer that asks for a copy, or for a part.
func (g *Giver) Answer(ctx context.Context, args CopyArgs) (CopyReply, error) {
	received, known := g.received, g.state.Known()
	if args.Part {
		received, known = g.partly, g.state.Partly()
	}
	timer := time.NewTimer(min(args.Wait, maxWait))
	defer timer.Stop()
	select {
	case <-received:
	case <-known:
	case <-timer.C:
		return CopyReply{}, nil
	case <-ctx.Done():
		return CopyReply{}, ctx.Err()
	}
	return g.answer(args, time.Now())
}

// answer gives a copy or a part, or sends the balancer on, at now. Who asks for a part is
// given everything where that is as little.
func (g *Giver) answer(args CopyArgs, now time.Time) (reply CopyReply, err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	k := &g.whole
	if args.Part && !g.state.Whole() {
		k, reply.Part = &g.part, true
	}
	if now.Sub(k.at) >= keptFor {
		if err := g.pack(k, reply.Part, now); err != nil {
			return CopyReply{}, err
		}
	}
	most := fanOut(len(k.copy.Packed), g.rate)
	if k.recipients, reply.Instead = k.recipients.WithQuestion(args.Addr, most, now); len(reply.Instead) > 0 {
		return reply, nil
	}
	reply.At, reply.Packed = k.copy.At, k.copy.Packed
	return reply, nil
}

// pack packs a copy of what is known now, if anything is; g.mu is held.
func (g *Giver) pack(k *kept, part bool, now time.Time) (err error) {
	switch {
	case part && pause.Over(g.state.Partly()):
		k.copy, err = Pack(g.state.Part(), 0)
	case !part && pause.Over(g.state.Known()):
		k.copy, err = Pack(g.state.Records())
	default:
		return nil // what was received last is handed on
	}
	k.at = now
	return err
}
