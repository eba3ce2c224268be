package pipeline

import (
	"net"
	"sync"
)

// queue is the listener whose connections are requests served ahead, or connections of HTTP/2.
type queue struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once

	mu      sync.Mutex
	stopped bool // no other one is taken
}

func newQueue() *queue {
	return &queue{conns: make(chan net.Conn), closed: make(chan struct{})}
}

// push hands a connection over. It returns false where none is taken any more.
func (q *queue) push(c net.Conn) bool {
	q.mu.Lock()
	stopped := q.stopped
	q.mu.Unlock()
	if stopped {
		return false
	}
	select {
	case q.conns <- c:
		return true
	case <-q.closed:
		return false
	}
}

// stop takes no other connection.
func (q *queue) stop() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.stopped = true
}

// Accept returns the next connection.
func (q *queue) Accept() (net.Conn, error) {
	select {
	case c := <-q.conns:
		return c, nil
	case <-q.closed:
		return nil, net.ErrClosed
	}
}

// Close ends Accept. It may be called more than once.
func (q *queue) Close() error {
	q.once.Do(func() { close(q.closed) })
	return nil
}

// Addr returns an address that says what the listener is.
func (q *queue) Addr() net.Addr { return queueAddr{} }

type queueAddr struct{}

// Network returns the name of a network that does not exist.
func (queueAddr) Network() string { return "pipeline" }

// String returns the same name.
func (queueAddr) String() string { return "pipeline" }
