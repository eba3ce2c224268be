package upstream

import (
	"errors"
	"net"
	"sync/atomic"
)

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
}

// Write counts the write and passes it on. On a sealed connection it fails with errSealed.
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
// connection if the underlying one has no CloseWrite.
func (c *conn) CloseWrite() error {
	if writeCloser, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return writeCloser.CloseWrite()
	}
	return c.Close()
}
