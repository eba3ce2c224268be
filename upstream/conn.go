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

// conn counts the writes that have begun on a connection, so that "nothing was
// sent" can be proved instead of assumed: once a seal at a count has succeeded,
// no write has begun since that count and none ever will.
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

// seal reports whether no write began since the count was n, and makes sure
// that none ever does.
func (c *conn) seal(n int64) bool {
	if n == sealed {
		return false
	}
	return c.writes.CompareAndSwap(n, sealed)
}

// CloseWrite ends the sending direction, as upgraded sessions need.
func (c *conn) CloseWrite() error {
	if h, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return h.CloseWrite()
	}
	return c.Close()
}
