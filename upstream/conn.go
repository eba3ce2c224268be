package upstream

import (
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/lotuswing/lotuswing/internal/dial"
)

// ErrReset means that the endpoint closed the connection before it sent anything of a response.
var ErrReset = errors.New("upstream: endpoint closed the connection without a response")

// isReset reports whether an attempt that ended without a response and with err did so because the
// endpoint closed its connection; c is that connection, or nil. For some of these cases net/http
// returns an error that cannot be recognized.
func isReset(c *conn, err error) bool {
	return c != nil && (c.isBroken() || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) || errors.Is(err, io.EOF))
}

// errSealed is returned by a write on a sealed connection. It means that nothing of the request
// was sent; earlier requests may have been sent on the connection.
var errSealed = errors.New("upstream: connection sealed before anything was sent")

// sealed is the value of conn.writes of a sealed connection, on which no write can begin.
const sealed = -1

// conn counts the writes that have begun on a connection, to prove that nothing of a request
// was sent: if the count has not changed since before the request, sealIfNoWriteSince seals the
// connection, so that no write can begin later.
type conn struct {
	net.Conn
	writes atomic.Int64 // begun so far, or sealed
	ends   dial.Ends

	broken    chan struct{} // closed once a read has failed because the endpoint closed the connection
	breakOnce sync.Once

	mu       sync.Mutex
	draining bool // it must be used for no further request, see Drainer
	users    int  // requests that have it
}

// newConn returns a conn that records when a read fails.
func newConn(inner net.Conn) *conn {
	c := &conn{Conn: inner, broken: make(chan struct{})}
	if d, ok := inner.(Drainer); ok {
		d.OnDraining(c.drain)
	}
	return c
}

// Read reads, and records that the connection is broken if that fails. http.Transport reads from a
// connection all the time, also before the first request. A reset is never an end: a body without a length would
// be complete.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	err = c.ends.ReadError(err)
	if err != nil && !errors.Is(err, net.ErrClosed) {
		c.breakOnce.Do(func() { close(c.broken) })
	}
	return n, err
}

// isBroken reports whether the endpoint is known to have closed the connection.
func (c *conn) isBroken() bool {
	select {
	case <-c.broken:
		return true
	default:
		return false
	}
}

// breaksWithin waits for d and reports whether the connection has broken by then.
func (c *conn) breaksWithin(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-c.broken:
		return true
	case <-timer.C:
		return false
	}
}

// Write counts the write and passes it on. On a sealed connection it fails with errSealed.
func (c *conn) Write(p []byte) (int, error) {
	for {
		n := c.writes.Load()
		if n == sealed {
			return 0, errSealed
		}
		if c.writes.CompareAndSwap(n, n+1) {
			return c.ends.Write(c.Conn.Write, p)
		}
	}
}

// sealIfNoWriteSince seals the connection if no write has begun since the count was n, and
// reports whether it did. Every later write fails with errSealed.
func (c *conn) sealIfNoWriteSince(n int64) bool {
	if n == sealed {
		return false
	}
	return c.writes.CompareAndSwap(n, sealed)
}

// CloseWrite closes the sending direction, which upgraded connections need, or the whole
// connection if the underlying one has no CloseWrite.
func (c *conn) CloseWrite() error {
	if writeCloser, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return writeCloser.CloseWrite()
	}
	return c.Close()
}
