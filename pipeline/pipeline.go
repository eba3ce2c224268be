// Package pipeline serves the requests that a caller sends on one connection before
// the first has its response (HTTP/1.1 pipelining) at the same time, and passes their
// responses on in the order of the requests.
//
// Package net/http reads a connection's next request when the last one has its
// response, so that a request behind a slow one waits for it. Here each connection is
// read ahead: while a request is served, the ones behind it that are simple (a GET or
// HEAD without a body; see frame.go) are served at once, each by the same http.Server
// as if it had come on a connection of its own (ahead.go). What is not simple waits
// until all before it are answered and is then read by net/http as ever. Its body is
// followed to its end (chunks.go). From a request on whose end is not known exactly,
// such as an upgrade or one of HTTP/1.0, net/http reads the connection alone: it is
// opaque. A connection of HTTP/2 goes to an http.Server of its own (http2.go).
//
// The package owns the callers' connections, their read-ahead and the order of their
// responses. It decides nothing about requests: a handler whose request must not
// begin before those in front of it have ended asks for its Place and waits there.
//
// A connection ends for all its requests at once: when the caller is gone, the
// contexts of all are cancelled, and when a response closes the connection, those
// behind it are cut off and count as not read.
//
// A planned stop has two steps. BeginStop is the first: connections and requests are
// still accepted, but once a response begins on a connection, the connection is sealed
// (seal.go): no other request is read from it, those that were read whole are answered,
// and the last of them closes it. What was read of another request in part is dropped.
// Shutdown is the second: idle connections end, and each other one behind the requests
// that were read from it.
//
// # Usage
//
//	server := pipeline.New(&http.Server{Handler: h})
//	err := server.Serve(listener)
//
// and in the handler:
//
//	place := pipeline.PlaceOf(r.Context())
//	if err := place.Wait(); err != nil { return } // the caller is gone
//	if stopping && place.Last() { w.Header().Set("Connection", "close") }
//
// and in a planned stop, with the handler's stopping set at the first step:
//
//	server.BeginStop()
//	// wait until no caller is sent here any more
//	err := server.Shutdown(ctx)
package pipeline

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// maxAhead is how many requests of a connection are served beside the first; more wait
	// unread.
	maxAhead = 16
	// maxHead is how long, in bytes, a request may be that is served ahead, and how
	// much of a connection is read ahead. One that is longer waits for its turn. It is
	// net/http's own read buffer.
	maxHead = 4 << 10
)

// Server is an http.Server that reads ahead.
type Server struct {
	*http.Server
	http2 *http2Server // nil for none
	ahead *queue
	conns *connSet[*conn]

	mu        sync.Mutex
	listeners []*listener
}

// New makes a server read ahead. It takes over the hooks ConnState and ConnContext,
// which must not be set, and HTTP/2 without TLS, which it serves by another http.Server with the same
// handler and limits.
func New(s *http.Server) *Server {
	s.ConnState = connState
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		if p, ok := c.(place); ok {
			return context.WithValue(ctx, placeKey{}, p)
		}
		return ctx
	}
	return &Server{Server: s, http2: takeHTTP2(s), ahead: newQueue(), conns: newConnSet[*conn]()}
}

// Serve serves a listener until the server is shut down or closed.
func (s *Server) Serve(l net.Listener) error {
	var inside sync.WaitGroup
	defer inside.Wait()
	inside.Go(func() { _ = s.Server.Serve(s.ahead) }) // it ends with the queue
	defer s.ahead.Close()
	if s.http2 != nil {
		inside.Go(func() { _ = s.http2.Serve(s.http2.queue) }) // as above
		defer s.http2.queue.Close()
	}
	return s.Server.Serve(s.listen(l))
}

// Close ends the server and cuts all connections.
func (s *Server) Close() error {
	s.conns.cut()
	var err error
	if s.http2 != nil {
		err = s.http2.Close()
	}
	return errors.Join(err, s.Server.Close())
}

// BeginStop is the first step of a planned stop. Connections are still accepted, and requests are still
// served ahead. A connection on which a response begins is sealed (Place.Last): nothing more is read of
// requests that have not begun, and the last one that was read whole closes it.
func (s *Server) BeginStop() { s.conns.beginStop() }

// Shutdown accepts no other connection and ends the server when all requests that were
// read have their responses, or when ctx ends, with its error. The shutdown of net/http begins after that,
// when it has nothing left to end.
func (s *Server) Shutdown(ctx context.Context) error {
	s.ahead.stop()
	s.stopAccepting()
	ended := make(chan error, 1)
	go func() { ended <- s.shutdownHTTP2(ctx) }()
	return errors.Join(s.conns.stop(ctx), <-ended, s.Server.Shutdown(ctx))
}

// shutdownHTTP2 is the part of Shutdown that ends connections of HTTP/2.
func (s *Server) shutdownHTTP2(ctx context.Context) error {
	if s.http2 == nil {
		return nil
	}
	return s.http2.shutdown(ctx)
}

// connState tells connections when net/http has ended a request, has closed the connection or has
// handed it to a handler.
func connState(c net.Conn, state http.ConnState) {
	switch c := c.(type) {
	case *conn:
		switch state {
		case http.StateActive:
			c.activate()
		case http.StateIdle:
			c.idle()
		case http.StateHijacked:
			c.hijack()
			c.conns.remove(c)
		case http.StateClosed:
			c.conns.remove(c)
		}
	case *ahead:
		if state == http.StateIdle {
			c.conn.answered(c)
		}
	}
}

// writeLimit bounds a write for a caller that does not read its responses, while
// others wait behind; 0 for none.
func (s *Server) writeLimit() time.Duration { return s.IdleTimeout }
