package link

import (
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/rpc"
	"sync"
)

// Server answers peers.
type Server struct {
	rpc      *rpc.Server
	listener net.Listener

	mu    sync.Mutex
	conns map[net.Conn]struct{}
	done  bool
}

// Serve answers calls on the listener with the methods of receiver, which has
// the form that net/rpc asks for. A nil config means plain TCP.
func Serve(l net.Listener, config *tls.Config, receiver any) (*Server, error) {
	s := &Server{rpc: rpc.NewServer(), listener: l, conns: map[net.Conn]struct{}{}}
	if err := s.rpc.RegisterName(Service, receiver); err != nil {
		return nil, fmt.Errorf("link: %w", err)
	}
	if config != nil {
		s.listener = tls.NewListener(l, config)
	}
	go s.accept()
	return s, nil
}

// Close closes the listener and all connections.
func (s *Server) Close() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.done = true
	for c := range s.conns {
		_ = c.Close() // given up, whatever it says
	}
	return s.listener.Close()
}

func (s *Server) accept() {
	for {
		c, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // of one connection, as when file descriptors run out for a moment
		}
		if s.add(c) {
			go s.serve(c)
		}
	}
}

func (s *Server) add(c net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.done {
		_ = c.Close() // given up, whatever it says
		return false
	}
	s.conns[c] = struct{}{}
	return true
}

func (s *Server) serve(c net.Conn) {
	defer func() {
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}()
	// A peer with no valid certificate gets no further than the handshake.
	if t, ok := c.(*tls.Conn); ok && t.Handshake() != nil {
		_ = c.Close() // given up, whatever it says
		return
	}
	s.rpc.ServeConn(c)
}
