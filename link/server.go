package link

import (
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/rpc"
	"sync"
)

// Server accepts connections from peers and serves their calls.
type Server struct {
	rpc      *rpc.Server
	listener net.Listener

	mu     sync.Mutex
	conns  map[net.Conn]struct{} // open connections
	closed bool
}

// Serve starts a server that handles calls on the listener with the methods of
// receiver, which must have the signatures that net/rpc requires. A nil config
// means plain TCP.
func Serve(l net.Listener, config *tls.Config, receiver any) (*Server, error) {
	s := &Server{rpc: rpc.NewServer(), listener: l, conns: map[net.Conn]struct{}{}}
	if err := s.rpc.RegisterName(Service, receiver); err != nil {
		return nil, fmt.Errorf("link: %w", err)
	}
	if config != nil {
		s.listener = tls.NewListener(l, config)
	}
	go s.acceptLoop()
	return s, nil
}

// Close closes the listener and all connections.
func (s *Server) Close() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for c := range s.conns {
		_ = c.Close() // the connection is no longer used; a close error does not matter
	}
	return s.listener.Close()
}

// acceptLoop accepts connections and serves each in a goroutine until the listener is closed.
func (s *Server) acceptLoop() {
	for {
		c, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // one connection failed, for example because file descriptors ran out; accept the next
		}
		if s.track(c) {
			go s.serveConn(c)
		}
	}
}

// track registers an accepted connection for Close. If the server is already
// closed, it closes the connection and returns false.
func (s *Server) track(c net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		_ = c.Close() // the connection is no longer used; a close error does not matter
		return false
	}
	s.conns[c] = struct{}{}
	return true
}

// serveConn serves calls on a connection until it is closed.
func (s *Server) serveConn(c net.Conn) {
	defer func() {
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}()
	// The handshake rejects a peer without a valid certificate before any call is read.
	if t, ok := c.(*tls.Conn); ok && t.Handshake() != nil {
		_ = c.Close() // the connection is no longer used; a close error does not matter
		return
	}
	s.rpc.ServeConn(c)
}
