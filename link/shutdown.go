package link

import (
	"context"
	"fmt"
	"io"
	"net"
	"time"
)

// lingerTime is how long a connection is still read from after the last reply of a server that shuts
// down. Calls that arrive unread would reset the connection, and the reply with it.
const lingerTime = 50 * time.Millisecond

// Shutdown ends the server without cutting calls: it closes the listener, reads no further calls, and
// closes each connection once the calls under way on it have been answered. When ctx ends first, it
// closes those that are left and returns an error with the cause. It does not wait for streams and
// leaves them open, so that Close must follow once they have ended.
func (s *Server) Shutdown(ctx context.Context) error {
	s.mu.Lock()
	s.closed = true
	for c, stream := range s.conns {
		if !stream {
			_ = c.SetReadDeadline(time.Unix(1, 0)) // a connection that has failed ends by itself
		}
	}
	s.mu.Unlock()
	_ = s.listener.Close() // it may be closed already
	answered := make(chan struct{})
	go func() {
		defer close(answered)
		s.calls.Wait()
	}()
	select {
	case <-answered:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("link: %d connections closed with calls under way: %w", s.closeCalls(), ctx.Err())
	}
}

// closeCalls closes the connections that are no streams and returns their number.
func (s *Server) closeCalls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for c, stream := range s.conns {
		if !stream {
			_ = c.Close() // the connection is no longer used; a close error does not matter
			n++
		}
	}
	return n
}

// isClosed reports whether Close or Shutdown has begun.
func (s *Server) isClosed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closed
}

// callConn is a connection of calls, which net/rpc closes after the last reply.
type callConn struct {
	net.Conn
	server *Server
}

// Close closes the connection. If the server shuts down, the peer gets the last reply before.
func (c callConn) Close() error {
	if c.server.isClosed() {
		linger(c.Conn)
	}
	return c.Conn.Close()
}

// linger closes the sending direction and discards what arrives for lingerTime.
func linger(c net.Conn) {
	w, ok := c.(interface{ CloseWrite() error })
	if !ok || w.CloseWrite() != nil {
		return
	}
	if secured, ok := c.(interface{ NetConn() net.Conn }); ok {
		c = secured.NetConn()
	}
	_ = c.SetReadDeadline(time.Now().Add(lingerTime)) // without it the read fails at once
	_, _ = io.Copy(io.Discard, c)                     // nothing is done with further calls
}
