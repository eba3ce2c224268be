package bootstrap

import (
	"context"
	"sync"
	"time"

	"github.com/lotuswing/lotuswing/internal/pause"
)

// CopyArgs requests a copy from another balancer. Package gob sends the names of the fields.
type CopyArgs struct {
	Addr string        // address of the requester, to which other balancers may be redirected
	Wait time.Duration // how long the request may wait for the peer's own first copy
	Part bool          // a part is enough
}

// CopyReply answers a CopyArgs with a copy, with the addresses of balancers to ask instead, or with
// neither if the balancer that answers has no copy yet.
type CopyReply struct {
	At      uint64   // revision up to which all changes are known; 0 for a part
	Packed  []byte   // see Copy
	Instead []string // addresses of balancers to ask instead
	Part    bool     // Packed is a part, or the balancers in Instead were sent one
}

const (
	// maxWait bounds how long a request waits, whatever CopyArgs.Wait says.
	maxWait = 2 * time.Second
	// copyTTL is how long a packed copy is sent to others before a new one is packed. A copy that is
	// one second old is no worse than a stale read.
	copyTTL = time.Second
)

// Server sends this balancer's copy to others. It is safe for concurrent use.
type Server struct {
	state State
	rate  float64 // rate of the link, in bytes per second; 0 if unknown

	received     chan struct{} // closed once a complete copy has been received
	partReceived chan struct{} // closed once a part has been received
	mu           sync.Mutex
	complete     cachedCopy
	partial      cachedCopy
}

// cachedCopy is a packed copy, and the balancers that were recently sent it or an earlier one.
type cachedCopy struct {
	recipients Recipients
	copy       Copy      // most recently packed or received; zero for none
	at         time.Time // when copy was packed or received
}

// NewServer returns a Server for the content of state. rate is the rate of the balancer's link, in
// bytes per second; 0 if unknown.
func NewServer(state State, rate float64) *Server {
	return &Server{state: state, rate: rate, received: make(chan struct{}), partReceived: make(chan struct{})}
}

// Keep stores a complete copy that was received at now, to be sent to others without repacking.
func (g *Server) Keep(c Copy, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.complete.copy, g.complete.at = c, now
	if !pause.Over(g.received) {
		close(g.received)
	}
}

// KeepPart stores a part that was received at now, to be sent to others without repacking.
func (g *Server) KeepPart(c Copy, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.partial.copy, g.partial.at = c, now
	if !pause.Over(g.partReceived) {
		close(g.partReceived)
	}
}

// Answer answers a request for a complete copy or a part. If this balancer does not have what is
// requested, Answer waits for it for args.Wait, but at most for maxWait, and then returns an empty
// reply. It returns an error if ctx ends first or packing fails.
func (g *Server) Answer(ctx context.Context, args CopyArgs) (CopyReply, error) {
	received, known := g.received, g.state.Complete()
	if args.Part {
		received, known = g.partReceived, g.state.Servable()
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

// answer returns a complete copy or a part, or redirects the requester to earlier recipients. A
// request for a part gets a complete copy if that is about as small.
func (g *Server) answer(args CopyArgs, now time.Time) (reply CopyReply, err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	c := &g.complete
	if args.Part && !g.state.PartIsComplete() {
		c, reply.Part = &g.partial, true
	}
	if now.Sub(c.at) >= copyTTL {
		if err := g.pack(c, reply.Part, now); err != nil {
			return CopyReply{}, err
		}
	}
	limit := fanOut(len(c.copy.Packed), g.rate)
	if c.recipients, reply.Instead = c.recipients.WithRequest(args.Addr, limit, now); len(reply.Instead) > 0 {
		return reply, nil
	}
	reply.At, reply.Packed = c.copy.At, c.copy.Packed
	return reply, nil
}

// pack packs a new copy or part if the state has one, and leaves c as it is otherwise. The caller
// holds g.mu.
func (g *Server) pack(c *cachedCopy, part bool, now time.Time) (err error) {
	switch {
	case part && pause.Over(g.state.Servable()):
		c.copy, err = Pack(g.state.Part(), 0)
	case !part && pause.Over(g.state.Complete()):
		c.copy, err = Pack(g.state.Records())
	default:
		return nil // keep the copy that was received last
	}
	c.at = now
	return err
}
