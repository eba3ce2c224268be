package pipeline

import (
	"errors"
	"io"
	"net"
	"os"
	"slices"
	"sync"
	"time"
)

// conn is a caller's connection. Towards net/http it carries the requests that are
// not served ahead, one at a time. The request that net/http has of it stands before
// all that are served ahead, because it gets another one only when all before that are
// answered.
type conn struct {
	net.Conn
	queue      *queue
	http2      *http2Server // nil for none
	conns      *connSet[*conn]
	writeLimit time.Duration
	reader     reader // used by Read alone, of which net/http has one at a time

	mu         sync.Mutex
	changed    sync.Cond
	busy       bool     // net/http serves a request of this connection itself
	served     []*ahead // those served ahead, in order
	ending     bool     // no other one begins ahead
	closing    bool     // it ends when the last one served ahead has its response
	dead       bool     // it has ended
	stopping   bool     // it ends when all requests that were read have their responses
	inHead     bool     // the request that net/http is reading has no whole header yet
	sealed     bool     // nothing more is read of requests that have not begun
	reading    reading
	responding bool // a part of a response was written whose end was not
	halted     bool // nothing is read behind that response
	opaque     bool // net/http reads the rest of the connection alone
	active     bool // net/http has read a header, and has not ended that request
	deadline   deadline
	requests   int     // that were read
	current    Arrival // of the request that net/http has

	moved    bool // another server has it
	hijacked bool // a handler has it
	lingers  bool // its sending direction is closed, and what still comes is dropped

	readEnded    bool // nothing more comes from the caller
	writeLimited bool // a response written ahead has set a deadline for writing
}

// errAgain is returned by a read of the caller's connection that ended because the
// state of the connection changed.
var errAgain = errors.New("pipeline: connection changed during a read")

// newConn returns a caller's connection of a server.
func newConn(c net.Conn, s *Server) *conn {
	own := &conn{Conn: c, queue: s.ahead, http2: s.http2, conns: s.conns, writeLimit: s.writeLimit()}
	own.changed.L = &own.mu
	s.conns.add(own)
	return own
}

// hijack notes that a handler has the connection.
func (c *conn) hijack() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hijacked = true
}

// Read reads what net/http is to read of the connection: requests, when all before
// them are answered. Those that can be served ahead are handed to the queue instead.
func (c *conn) Read(p []byte) (int, error) {
	c.setReading(working)
	defer c.setReading(resting)
	for {
		n, err := c.reader.read(c, p)
		c.noteRead(c.reader.inHead)
		if errors.Is(err, errAgain) {
			continue
		}
		return n, err
	}
}

// Write writes a part of a response.
func (c *conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	c.responding = true
	c.mu.Unlock()
	return c.Conn.Write(p)
}

// receive reads from the caller. Of a request that has not begun, it reads nothing once the connection
// is sealed, and returns errAgain.
func (c *conn) receive(p []byte, from reading) (int, error) {
	if !c.mayReceive(from) {
		return 0, c.refused()
	}
	n, err := c.Conn.Read(p)
	switch {
	case c.hasRead():
		return 0, net.ErrClosed
	case n > 0:
		return n, nil // an error comes again with the next read
	case errors.Is(err, os.ErrDeadlineExceeded):
		return 0, c.timedOut(time.Now())
	case err != nil:
		c.ended(errors.Is(err, io.EOF))
	}
	return n, err
}

// ended notes that nothing more comes from the caller. One that has only ended its own
// direction still gets its responses.
func (c *conn) ended(halfClosed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readEnded = true
	c.changed.Broadcast()
	if !halfClosed {
		c.end()
	}
}

// isFree reports whether net/http can be given a request.
func (c *conn) isFree() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.busy && len(c.served) == 0
}

// isBusy reports whether net/http serves a request itself.
func (c *conn) isBusy() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.busy
}

// leftInBody ends the connection: net/http has ended a request whose body it has not read to its end, and
// would take the rest for the next request.
func (c *conn) leftInBody() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.end()
	return net.ErrClosed
}

// begin notes that net/http is given a request; behind says whether it was read while another one was
// served.
func (c *conn) begin(behind bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy = true
	c.requests++
	c.current = Arrival{Number: c.requests, Behind: behind}
	c.ending = c.closing
	if c.stopping || c.sealed {
		_ = c.setReadDeadline(c.deadline.at) // fails on a closed connection only
	}
	if c.writeLimited {
		c.writeLimited = false
		_ = c.Conn.SetWriteDeadline(time.Time{}) // fails on a closed connection only
	}
}

// hold waits until net/http can be given a request, another one can be served ahead,
// or the read is to return.
func (c *conn) hold() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = resting // the reader stays as it is
	defer func() { c.reading = working }()
	c.changed.Broadcast()
	before := len(c.served)
	for {
		switch {
		case c.dead:
			return net.ErrClosed
		case c.deadline.aborted:
			return os.ErrDeadlineExceeded
		case !c.busy && len(c.served) == 0, len(c.served) < before:
			return nil
		}
		c.changed.Wait()
	}
}

// serveAhead lets a request be served ahead. It returns false if there are too many or no other one may
// begin.
func (c *conn) serveAhead(request []byte) bool {
	a := &ahead{conn: c, request: slices.Clone(request)}
	c.mu.Lock()
	if c.ending || c.dead || len(c.served) >= maxAhead {
		c.mu.Unlock()
		return false
	}
	c.served = append(c.served, a)
	c.requests++
	a.came = Arrival{Number: c.requests, Behind: true}
	c.mu.Unlock()
	if c.queue.push(a) {
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ending = true // the server stops; the request stays unread
	c.served = slices.DeleteFunc(c.served, func(o *ahead) bool { return o == a })
	c.requests--
	return false
}

// unsplit notes that net/http reads the rest of the connection alone.
func (c *conn) unsplit() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.opaque, c.current = true, Arrival{}
}

// noteRead records how far the caller's requests have been read.
func (c *conn) noteRead(inHead bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stopping && c.inHead && !inHead {
		_ = c.setReadDeadline(c.deadline.at) // fails on a closed connection only
	}
	c.inHead = inHead
	c.wakeIfStopping()
}

// wait returns at once: nothing stands before net/http's request.
func (c *conn) wait() error { return nil }

// arrival returns how net/http's request came.
func (c *conn) arrival() Arrival {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.current
}
