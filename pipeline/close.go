package pipeline

import (
	"errors"
)

// end ends the connection for all its requests; c.mu is held.
func (c *conn) end() {
	c.dead = true
	_ = c.closeConn() // whatever it says, nothing is read or written any more
	c.changed.Broadcast()
}

// Close closes the connection. While it is idle towards net/http and requests are
// served ahead, which is when the caller has ended its own direction, it ends after
// them.
func (c *conn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.busy && len(c.served) > 0 && !c.dead {
		c.ending, c.closing = true, true
		return nil
	}
	if c.moved {
		return nil
	}
	c.dead = true
	c.changed.Broadcast()
	return c.closeConn()
}

// errNoHalfClose: the connection cannot end one direction only.
var errNoHalfClose = errors.New("pipeline: connection has no half close")

// CloseWrite ends the sending direction, as upgraded sessions need.
func (c *conn) CloseWrite() error {
	if h, ok := c.Conn.(halfCloser); ok {
		return h.CloseWrite()
	}
	return errNoHalfClose
}

// SetLinger sets what closing the connection does with unsent data, as net.TCPConn.SetLinger does.
func (c *conn) SetLinger(seconds int) error {
	if l, ok := c.Conn.(interface{ SetLinger(int) error }); ok {
		return l.SetLinger(seconds)
	}
	return nil
}

// closeConn closes the connection; c.mu is held. One from which a request was read, and whose caller may
// send more, lingers.
func (c *conn) closeConn() error {
	switch {
	case c.lingers:
		return nil
	case c.hijacked, c.readEnded, c.requests == 0, !c.conns.linger(c.Conn, c.writeLimit):
		return c.Conn.Close()
	}
	c.lingers = true
	return nil
}

// halfCloser is a connection that can end its sending direction.
type halfCloser interface{ CloseWrite() error }
