package pipeline

import (
	"net"
	"sync"
)

// listener gives the connections that it accepts their read-ahead. It can be closed to
// callers while net/http, which takes the end of a listener for a failure unless it
// closes it itself, still waits for the next connection.
type listener struct {
	net.Listener
	server   *Server
	close    func() error  // closes it to callers, once
	stopped  chan struct{} // closed before that
	released chan struct{} // closed when net/http has closed it
	stop     func()        // closes stopped, once
	release  func()        // closes released, once
}

// listen returns a listener of the server's over l.
func (s *Server) listen(l net.Listener) *listener {
	own := &listener{
		Listener: l, server: s, close: sync.OnceValue(l.Close),
		stopped: make(chan struct{}), released: make(chan struct{}),
	}
	own.stop = sync.OnceFunc(func() { close(own.stopped) })
	own.release = sync.OnceFunc(func() { close(own.released) })
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listeners = append(s.listeners, own)
	return own
}

// stopAccepting closes all listeners to callers.
func (s *Server) stopAccepting() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.listeners {
		l.stop()
		_ = l.close() // Close returns it
	}
}

// Accept accepts a connection.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		return newConn(c, l.server), nil
	}
	select {
	case <-l.stopped:
		<-l.released
	default:
	}
	return nil, err
}

// Close closes the listener. It may be called more than once.
func (l *listener) Close() error {
	l.release()
	return l.close()
}
