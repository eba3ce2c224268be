package pipeline

import (
	"context"
	"net"
	"sync"
)

// queue is the listener whose connections are requests served ahead. It counts those
// that are not over.
type queue struct {
	requests chan net.Conn
	closed   chan struct{}
	once     sync.Once

	mu      sync.Mutex
	count   int           // that were handed over and are not over
	stopped bool          // no other one is taken
	drained chan struct{} // closed when stopped and none is left
}

func newQueue() *queue {
	return &queue{requests: make(chan net.Conn), closed: make(chan struct{}), drained: make(chan struct{})}
}

// push hands a request over. It returns false where none is taken any more.
func (q *queue) push(a *ahead) bool {
	q.mu.Lock()
	if q.stopped {
		q.mu.Unlock()
		return false
	}
	q.count++
	q.mu.Unlock()
	select {
	case q.requests <- a:
		return true
	case <-q.closed:
		q.over()
		return false
	}
}

// over notes that a request is over.
func (q *queue) over() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.count--
	q.signal()
}

// stop takes no other request.
func (q *queue) stop() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.stopped = true
	q.signal()
}

// signal lets drain return when nothing is left; q.mu is held.
func (q *queue) signal() {
	if !q.stopped || q.count > 0 {
		return
	}
	select {
	case <-q.drained:
	default:
		close(q.drained)
	}
}

// drain waits until nothing is left, after stop.
func (q *queue) drain(ctx context.Context) error {
	select {
	case <-q.drained:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Accept returns the next request.
func (q *queue) Accept() (net.Conn, error) {
	select {
	case c := <-q.requests:
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
