package pipeline

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

// preface begins each connection of a caller that knows that the server speaks HTTP/2.
var preface = []byte("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n")

// http2Server serves the connections of HTTP/2. It is apart from the server of the others so that its
// shutdown, which tells callers to begin no other stream, does not wait for theirs.
type http2Server struct {
	*http.Server
	queue *queue
	conns *connSet[*http2Conn]
}

// takeHTTP2 returns a server of HTTP/2 like s, and has s speak HTTP/1 alone; nil if s does not speak HTTP/2
// without TLS.
func takeHTTP2(s *http.Server) *http2Server {
	if s.Protocols == nil || !s.Protocols.UnencryptedHTTP2() {
		return nil
	}
	both := s.Protocols
	s.Protocols = new(http.Protocols)
	s.Protocols.SetHTTP1(both.HTTP1())
	return &http2Server{queue: newQueue(), conns: newConnSet[*http2Conn](), Server: &http.Server{
		Handler: s.Handler, Protocols: both, HTTP2: s.HTTP2, MaxHeaderBytes: s.MaxHeaderBytes,
		ReadTimeout: s.ReadTimeout, ReadHeaderTimeout: s.ReadHeaderTimeout, WriteTimeout: s.WriteTimeout,
		IdleTimeout: s.IdleTimeout, ErrorLog: s.ErrorLog, BaseContext: s.BaseContext,
		DisableGeneralOptionsHandler: s.DisableGeneralOptionsHandler,
	}}
}

// take takes a connection of which head has been read. If it can't, it closes the connection.
func (s *http2Server) take(c net.Conn, head []byte) {
	own := &http2Conn{Conn: c, head: slices.Clone(head)}
	own.close = sync.OnceValue(func() error {
		defer s.conns.remove(own)
		if s.conns.linger(c, s.IdleTimeout) {
			return nil
		}
		return c.Close()
	})
	s.conns.add(own)
	if !s.queue.push(own) {
		_ = own.close() // whatever it says, it is not used any more
	}
}

// shutdown tells all callers to begin no other stream, and returns when all connections have ended. The
// wait of http.Server.Shutdown would be longer, because it polls.
func (s *http2Server) shutdown(ctx context.Context) error {
	polling, cancel := context.WithCancel(ctx)
	polled := make(chan struct{})
	go func() {
		defer close(polled)
		for polling.Err() == nil {
			s.tellAll(polling)
		}
	}()
	err := s.conns.stop(ctx)
	cancel()
	<-polled
	return err
}

// tellPeriod is the pause between two times that all callers are told to begin no other stream.
const tellPeriod = 50 * time.Millisecond

// tellAll tells all callers to begin no other stream, and returns after tellPeriod. net/http tells those
// alone whose connection it has begun to serve when the call begins.
func (s *http2Server) tellAll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, tellPeriod)
	defer cancel()
	_ = s.Shutdown(ctx) // what is left over is seen by conns
	<-ctx.Done()
}

// http2Conn is a caller's connection of HTTP/2.
type http2Conn struct {
	net.Conn
	head  []byte // read already
	close func() error
}

// Read reads what was read already, then from the caller.
func (c *http2Conn) Read(p []byte) (int, error) {
	if len(c.head) == 0 {
		return c.Conn.Read(p)
	}
	n := copy(p, c.head)
	c.head = c.head[n:]
	return n, nil
}

// Close closes the connection.
func (c *http2Conn) Close() error { return c.close() }

// beginStop does nothing: responses tell the caller.
func (c *http2Conn) beginStop() {}

// stop does nothing: the shutdown of net/http tells the caller.
func (c *http2Conn) stop() {}

// sniff looks at the start of a connection, and hands one of HTTP/2 over. It returns errAgain until it is
// known what the connection is.
func (r *reader) sniff(c *conn) error {
	if c.http2 == nil || c.isSealed() {
		r.sniffed = true
		return errAgain
	}
	err := r.fill(c, readingNext)
	switch {
	case len(r.unread) == 0:
		return err
	case bytes.HasPrefix(r.unread, preface):
		c.move()
		c.http2.take(c.Conn, r.unread)
		r.drop(len(r.unread))
		return io.EOF
	case r.ended, !bytes.HasPrefix(preface, r.unread):
		r.sniffed = true
	}
	return errAgain
}

// move notes that the connection is another server's.
func (c *conn) move() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.moved, c.dead = true, true
	c.changed.Broadcast()
}
