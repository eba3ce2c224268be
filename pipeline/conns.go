package pipeline

import (
	"context"
	"net"
	"sync"
	"time"
)

// connSet holds callers' connections that end by themselves once it is stopped: each as soon as every
// request that was read from it has its response.
//
// http.Server.Shutdown cannot end those of HTTP/1. It closes a connection whose request has been read but
// has not reached net/http yet, and drops a request that net/http reads after Shutdown has begun.
type connSet[C interface {
	comparable
	beginStop()
	stop()
}] struct {
	mu        sync.Mutex
	conns     map[C]bool
	lingering map[net.Conn]bool
	stopped   bool
	closed    bool          // connections are cut
	ended     chan struct{} // closed when stopped and no connection is left
}

func newConnSet[C interface {
	comparable
	beginStop()
	stop()
}]() *connSet[C] {
	return &connSet[C]{conns: map[C]bool{}, lingering: map[net.Conn]bool{}, ended: make(chan struct{})}
}

// add adds a connection that was accepted. If the set is stopped, it stops the connection.
func (s *connSet[C]) add(c C) {
	s.mu.Lock()
	s.conns[c] = true
	stopped := s.stopped
	s.mu.Unlock()
	if stopped {
		c.stop()
	}
}

// remove removes a connection that has ended, or that a handler ends.
func (s *connSet[C]) remove(c C) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
	s.signal()
}

// list returns the connections.
func (s *connSet[C]) list() []C {
	s.mu.Lock()
	defer s.mu.Unlock()
	conns := make([]C, 0, len(s.conns))
	for c := range s.conns {
		conns = append(conns, c)
	}
	return conns
}

// signal closes ended when stopped and no connection is left; s.mu must be held.
func (s *connSet[C]) signal() {
	if !s.stopped || len(s.conns)+len(s.lingering) > 0 {
		return
	}
	select {
	case <-s.ended:
	default:
		close(s.ended)
	}
}

// beginStop notes that a planned stop has begun.
func (s *connSet[C]) beginStop() {
	for _, c := range s.list() {
		c.beginStop()
	}
}

// stop stops all connections and waits until they have ended, or ctx ends.
func (s *connSet[C]) stop(ctx context.Context) error {
	s.mu.Lock()
	s.stopped = true
	s.signal()
	s.mu.Unlock()
	for _, c := range s.list() {
		c.stop()
	}
	select {
	case <-s.ended:
		return nil
	case <-ctx.Done():
		s.cut()
		return ctx.Err()
	}
}

// linger closes a connection whose caller may still send: its sending direction first and the whole of
// it when the caller has taken what was sent. It returns false if it is to be closed at once.
func (s *connSet[C]) linger(c net.Conn, limit time.Duration) bool {
	h, ok := c.(halfCloser)
	if !ok || !s.addLingering(c) {
		return false
	}
	if h.CloseWrite() != nil {
		s.endLinger(c)
		return true
	}
	go func() {
		linger(c, limit, time.Now()).wait()
		s.endLinger(c)
	}()
	return true
}

// addLingering notes that a connection lingers. It returns false if none does any more.
func (s *connSet[C]) addLingering(c net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.lingering[c] = true
	return true
}

// endLinger closes a connection that lingers.
func (s *connSet[C]) endLinger(c net.Conn) {
	_ = c.Close() // whatever it says, it is not used any more
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.lingering, c)
	s.signal()
}

// cut closes all connections that linger, and lets no other one do so.
func (s *connSet[C]) cut() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for c := range s.lingering {
		_ = c.Close() // whatever it says, it is not used any more
	}
	clear(s.lingering)
	s.signal()
}
