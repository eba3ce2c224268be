package pipeline

import (
	"context"
	"sync"
)

// connSet holds the callers' connections that end by themselves once it is stopped: each as soon as
// every request that was read from it has its response.
//
// http.Server.Shutdown cannot end them. It closes a connection whose request has been read but has not
// reached net/http yet, and drops a request that net/http reads after Shutdown has begun.
type connSet struct {
	mu       sync.Mutex
	conns    map[*conn]bool
	stopping bool // a planned stop has begun
	stopped  bool
	ended    chan struct{} // closed when stopped and no connection is left
}

func newConnSet() *connSet {
	return &connSet{conns: map[*conn]bool{}, ended: make(chan struct{})}
}

// add adds a connection that was accepted. If the set is stopped, it stops the connection.
func (s *connSet) add(c *conn) {
	s.mu.Lock()
	s.conns[c] = true
	stopped := s.stopped
	s.mu.Unlock()
	if stopped {
		c.stop()
	}
}

// remove removes a connection that net/http no longer tracks, or that net/http or a handler ends. Those
// that net/http still tracks its Shutdown waits for, by polling.
func (s *connSet) remove(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
	s.signal()
}

// len returns the number of connections.
func (s *connSet) len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// signal closes ended when stopped and no connection is left; s.mu must be held.
func (s *connSet) signal() {
	if !s.stopped || len(s.conns) > 0 {
		return
	}
	select {
	case <-s.ended:
	default:
		close(s.ended)
	}
}

// beginStop notes that a planned stop has begun.
func (s *connSet) beginStop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopping = true
}

// stop stops all connections and waits until they have ended, or ctx ends.
func (s *connSet) stop(ctx context.Context) error {
	s.mu.Lock()
	s.stopped = true
	s.signal()
	conns := make([]*conn, 0, len(s.conns))
	for c := range s.conns {
		conns = append(conns, c)
	}
	s.mu.Unlock()
	for _, c := range conns {
		c.stop()
	}
	select {
	case <-s.ended:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
