package pipeline

import (
	"io"
	"net"
	"os"
	"time"
)

// ahead is a request that is served ahead, as a connection of its own towards
// net/http: it reads the request and nothing more, and what is written to it goes to
// the caller when all before it are answered. Its fields are guarded by conn.mu.
type ahead struct {
	conn    *conn
	request []byte // what is not read of it yet
	came    Arrival
	aborted bool // a read is to return, for net/http
	done    bool // it has its response
	broken  bool // it was closed without one

	writeBy time.Time // deadline of writes; zero for none
}

// Read reads the request. Behind its end it waits, as net/http does to notice that
// the caller leaves.
func (a *ahead) Read(p []byte) (int, error) {
	c := a.conn
	c.mu.Lock()
	defer c.mu.Unlock()
	for {
		switch {
		case len(a.request) > 0:
			n := copy(p, a.request)
			a.request = a.request[n:]
			return n, nil
		case a.done, c.readEnded, c.dead:
			return 0, io.EOF
		case a.aborted:
			return 0, os.ErrDeadlineExceeded
		}
		c.changed.Wait()
	}
}

// Write writes to the caller once it is the request's turn.
func (a *ahead) Write(p []byte) (int, error) {
	if err := a.wait(); err != nil {
		return 0, err
	}
	return a.conn.writeAhead(a, p)
}

// Close ends the request. Without a response, which a handler that was cut off leaves
// behind, the connection ends with it; so it does where the response said so.
func (a *ahead) Close() error {
	c := a.conn
	c.mu.Lock()
	defer c.mu.Unlock()
	if !a.done {
		a.broken = true
		c.advance()
	}
	return nil
}

// wait waits until it is the request's turn.
func (a *ahead) wait() error {
	c := a.conn
	c.mu.Lock()
	defer c.mu.Unlock()
	for !c.dead && (c.busy || c.served[0] != a) {
		c.changed.Wait()
	}
	if c.dead {
		return ErrGone
	}
	return nil
}

// arrival returns how the request came.
func (a *ahead) arrival() Arrival { return a.came }

// SetReadDeadline lets a waiting read return if the time has passed. A later one is
// left out: the request is there whole, so that nothing else is waited for.
func (a *ahead) SetReadDeadline(t time.Time) error {
	c := a.conn
	c.mu.Lock()
	defer c.mu.Unlock()
	a.aborted = isPast(t, time.Now())
	c.changed.Broadcast()
	return nil
}

// SetWriteDeadline sets the deadline of the writes that begin after it.
func (a *ahead) SetWriteDeadline(t time.Time) error {
	a.conn.mu.Lock()
	defer a.conn.mu.Unlock()
	a.writeBy = t
	return nil
}

// SetDeadline is SetReadDeadline.
func (a *ahead) SetDeadline(t time.Time) error { return a.SetReadDeadline(t) }

// LocalAddr returns that of the caller's connection.
func (a *ahead) LocalAddr() net.Addr { return a.conn.LocalAddr() }

// RemoteAddr returns the caller's address.
func (a *ahead) RemoteAddr() net.Addr { return a.conn.RemoteAddr() }
