package dial

import (
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

// ErrResetDuringWrite is returned in place of io.EOF by a read of a connection of which a write has failed.
var ErrResetDuringWrite = fmt.Errorf("dial: connection ended while data was written to it: %w", syscall.ECONNRESET)

// writeEndWait is how long a read that finds the end of a connection waits for a write that is under way. The
// kernel ends a write to a connection that was reset at once; one that goes on shows that the peer has closed only
// its sending direction.
const writeEndWait = 50 * time.Millisecond

// Ends distinguishes the end of what a peer sends from a reset. A socket reports a reset once: if a write gets the
// error, the next read returns io.EOF, and data that is delimited by the end of the connection looks whole. Both
// directions of a connection have to pass through the same Ends. The zero value is ready to use. It is safe for
// concurrent use.
type Ends struct {
	mu      sync.Mutex
	writing int           // writes under way
	idle    chan struct{} // closed when none is under way any more; nil if nobody waits
	failed  bool          // a write has failed
}

// Write calls write and records how it ended.
func (e *Ends) Write(write func([]byte) (int, error), p []byte) (int, error) {
	e.mu.Lock()
	e.writing++
	e.mu.Unlock()
	n, err := write(p)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.writing--
	e.failed = e.failed || err != nil
	if e.idle != nil && (e.writing == 0 || e.failed) {
		close(e.idle)
		e.idle = nil
	}
	return n, err
}

// ReadError returns the error of a read, ErrResetDuringWrite for io.EOF if a write has failed.
func (e *Ends) ReadError(err error) error {
	if !errors.Is(err, io.EOF) {
		return err
	}
	if e.writeFailed() {
		return ErrResetDuringWrite
	}
	return err
}

// writeFailed reports whether a write has failed. It waits for those that are under way, at most for writeEndWait.
func (e *Ends) writeFailed() bool {
	e.mu.Lock()
	if e.writing == 0 || e.failed {
		defer e.mu.Unlock()
		return e.failed
	}
	if e.idle == nil {
		e.idle = make(chan struct{})
	}
	idle := e.idle
	e.mu.Unlock()
	timer := time.NewTimer(writeEndWait)
	defer timer.Stop()
	select {
	case <-idle:
	case <-timer.C:
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.failed
}

// Conn is a connection whose reads return ErrResetDuringWrite in place of io.EOF after a failed write.
type Conn struct {
	net.Conn
	ends Ends
}

// NewConn returns a Conn over c.
func NewConn(c net.Conn) *Conn { return &Conn{Conn: c} }

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	return n, c.ends.ReadError(err)
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) { return c.ends.Write(c.Conn.Write, p) }

// NetConn returns the connection below.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// CloseWrite closes the sending direction, or the whole connection if that below has no CloseWrite.
func (c *Conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return c.Close()
}
