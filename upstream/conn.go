package upstream

import (
	"errors"
	"net"
	"sync/atomic"
)

// errSealed is returned by a write on a connection that has been sealed.
var errSealed = errors.New("upstream: connection sealed before anything was sent")

// sealed is the value of conn.writes after which no write begins.
const sealed = -1

// conn counts the writes that have begun on a connection, to prove that nothing of a request
// was sent: once the connection is sealed at a count, no write has begun since that count was
// read, and none will.
type conn struct {
	net.Conn
	writes atomic.Int64
}

// Write begins a write unless the connection is sealed.
func (c *conn) Write(p []byte) (int, error) {
	for {
		n := c.writes.Load()
		if n == sealed {
			return 0, errSealed
		}
		if c.writes.CompareAndSwap(n, n+1) {
			return c.Conn.Write(p)
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
// connection if it has no CloseWrite.
func (c *conn) CloseWrite() error {
	if h, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return h.CloseWrite()
	}
	return c.Close()
}
