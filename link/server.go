package link

import (
	"bufio"
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
	streams  StreamHandler // nil to accept calls only

	calls sync.WaitGroup // connections that are no streams

	mu     sync.Mutex
	conns  map[net.Conn]bool // open connections; true for streams
	closed bool              // Close or Shutdown has begun
}

// Serve starts a server that handles calls on the listener with the methods of
// receiver, which must have the signatures that net/rpc requires. A nil config
// means plain TCP.
func Serve(l net.Listener, config *tls.Config, receiver any) (*Server, error) {
	return ServeStreams(l, config, receiver, nil)
}

// StreamHandler serves a stream that a peer opened with Client.OpenStream, until it returns. r reads
// from conn and may hold bytes already.
type StreamHandler func(conn net.Conn, r *bufio.Reader)

// streamMark is the first byte of a stream. No call begins with it: package gob sends no empty message.
const streamMark = 0

// ServeStreams is Serve for a server that also accepts streams.
func ServeStreams(l net.Listener, config *tls.Config, receiver any, streams StreamHandler) (*Server, error) {
	s := &Server{rpc: rpc.NewServer(), listener: l, streams: streams, conns: map[net.Conn]bool{}}
	if err := s.rpc.RegisterName(Service, receiver); err != nil {
		return nil, fmt.Errorf("link: %w", err)
	}
	if config != nil {
		s.listener = tls.NewListener(l, config)
	}
	go s.acceptLoop()
	return s, nil
}

// Close closes the listener and all connections at once, with the calls under way on them.
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

// track registers an accepted connection for Close and Shutdown. If the server is already
// closed, it closes the connection and returns false.
func (s *Server) track(c net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		_ = c.Close() // the connection is no longer used; a close error does not matter
		return false
	}
	s.conns[c] = false
	s.calls.Add(1)
	return true
}

// untrack forgets a connection that has ended.
func (s *Server) untrack(c net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.conns[c] {
		s.calls.Done()
	}
	delete(s.conns, c)
}

// trackStream records that a connection is a stream. It returns false if the server is already closed.
func (s *Server) trackStream(c net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.conns[c] = true
	s.calls.Done()
	return true
}

// serveConn serves calls on a connection until it is closed.
func (s *Server) serveConn(c net.Conn) {
	defer s.untrack(c)
	// The handshake rejects a peer without a valid certificate before any call is read.
	if t, ok := c.(*tls.Conn); ok && t.Handshake() != nil {
		_ = c.Close() // the connection is no longer used; a close error does not matter
		return
	}
	if s.streams == nil {
		s.rpc.ServeConn(&boundedConn{Conn: callConn{Conn: c, server: s}})
		return
	}
	r := bufio.NewReader(c)
	switch first, err := r.Peek(1); {
	case err != nil:
		_ = c.Close() // the connection is no longer used; a close error does not matter
	case first[0] == streamMark && !s.trackStream(c):
		_ = c.Close() // the connection is no longer used; a close error does not matter
	case first[0] == streamMark:
		_, _ = r.Discard(1) // buffered
		s.streams(c, r)
	default:
		s.rpc.ServeConn(&boundedConn{Conn: bufferedConn{Conn: callConn{Conn: c, server: s}, reader: r}})
	}
}

// bufferedConn is a connection of which a part was read into a buffer already.
type bufferedConn struct {
	net.Conn
	reader *bufio.Reader
}

// Read reads from the buffer and then from the connection.
func (c bufferedConn) Read(p []byte) (int, error) { return c.reader.Read(p) }
