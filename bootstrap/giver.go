package bootstrap

import (
	"context"
	"sync"
	"time"
)

// CopyArgs asks a balancer for its copy. Package gob sends the names of the fields.
type CopyArgs struct {
	Addr string        // of the balancer that asks, at which others may ask it in turn
	Wait time.Duration // how long the question may wait for the first copy of the one that is asked
}

// CopyReply is the answer: a copy, or who is to be asked instead, or neither where the
// one that was asked has no copy yet.
type CopyReply struct {
	At      uint64   // revision up to which all is known
	Packed  []byte   // see Copy
	Instead []string // addresses
}

const (
	// maxWait bounds how long a question waits, whatever it asks for. Chosen without a
	// measurement.
	maxWait = 2 * time.Second
	// keptFor is how long a packed copy is handed on before a new one is made. A copy
	// of a second ago is no worse than a stale read; packing costs 2.4 ms of processor
	// time (BenchmarkPack).
	keptFor = time.Second
)

// Giver hands this balancer's copy to others. It is safe for concurrent use.
type Giver struct {
	state State
	rate  float64 // of the link, in bytes a second; 0 where it is not known

	received   chan struct{} // closed when there is a copy to hand on
	mu         sync.Mutex
	recipients Recipients
	copy       Copy      // the last one that was packed or received; zero for none
	keptAt     time.Time // since when
}

// NewGiver returns a giver of what a state holds. rate is that of the balancer's link, in
// bytes a second; 0 where it is not known.
func NewGiver(state State, rate float64) *Giver {
	return &Giver{state: state, rate: rate, received: make(chan struct{})}
}

// Keep takes a copy that was received to be handed on as it is.
func (g *Giver) Keep(c Copy, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.copy, g.keptAt = c, now
	if !isClosed(g.received) {
		close(g.received)
	}
}

// Answer answers a balancer that asks for a copy.
func (g *Giver) Answer(ctx context.Context, args CopyArgs) (CopyReply, error) {
	timer := time.NewTimer(min(args.Wait, maxWait))
	defer timer.Stop()
	select {
	case <-g.received:
	case <-g.state.Known():
	case <-timer.C:
		return CopyReply{}, nil
	case <-ctx.Done():
		return CopyReply{}, ctx.Err()
	}
	return g.answer(args.Addr, time.Now())
}

// answer gives a copy, or sends the balancer on, at now.
func (g *Giver) answer(addr string, now time.Time) (reply CopyReply, err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if now.Sub(g.keptAt) >= keptFor && isClosed(g.state.Known()) {
		if g.copy, err = Pack(g.state.Records()); err != nil {
			return CopyReply{}, err
		}
		g.keptAt = now
	}
	most := fanOut(len(g.copy.Packed), g.rate)
	if g.recipients, reply.Instead = g.recipients.WithQuestion(addr, most, now); len(reply.Instead) > 0 {
		return reply, nil
	}
	reply.At, reply.Packed = g.copy.At, g.copy.Packed
	return reply, nil
}
