package pipeline

import (
	"net"
	"os"
	"time"
)

// deadline is what net/http has set for reading. While requests are served ahead, the
// connection is not idle and its deadline is not in force.
type deadline struct {
	at      time.Time
	span    time.Duration // from when it was set
	aborted bool          // it was past when it was set: a read is to return
}

// longAgo is a deadline that ends a read at once.
var longAgo = time.Unix(1, 0)

// isPast reports whether a deadline has passed. net/http sets one far in the past to
// end a read.
func isPast(t, now time.Time) bool { return !t.IsZero() && !t.After(now) }

// timedOut returns the error for a read whose deadline passed: errAgain where that was
// not the deadline that net/http has set, or does not hold now.
func (c *conn) timedOut(now time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.dead:
		return net.ErrClosed
	case c.deadline.aborted:
		return os.ErrDeadlineExceeded
	case c.stopping && c.isIdle():
		c.end() // before net/http answers the part of a request that it has
		return net.ErrClosed
	case len(c.served) > 0:
		return c.arm(time.Time{})
	case isPast(c.deadline.at, now):
		return os.ErrDeadlineExceeded
	}
	return c.arm(c.deadline.at)
}

// arm sets the connection's own deadline, for another read; c.mu is held.
func (c *conn) arm(t time.Time) error {
	if err := c.setReadDeadline(t); err != nil {
		return err
	}
	return errAgain
}

// SetReadDeadline sets the deadline of reads.
func (c *conn) SetReadDeadline(t time.Time) error {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = deadline{at: t, span: t.Sub(now), aborted: isPast(t, now)}
	c.changed.Broadcast()
	if c.stopping && c.isIdle() {
		t = longAgo
	}
	return c.setReadDeadline(t)
}

// setReadDeadline sets the deadline of the caller's connection, unless that lingers; c.mu is held.
func (c *conn) setReadDeadline(t time.Time) error {
	if c.lingers {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// wakeIfStopping ends a read that waits for the next request of a connection that is stopping; c.mu
// must be held.
func (c *conn) wakeIfStopping() {
	if c.stopping && c.isIdle() {
		_ = c.setReadDeadline(longAgo) // fails on a closed connection only
	}
}

// writeAhead writes a part of the response of a request served ahead.
func (c *conn) writeAhead(a *ahead, p []byte) (int, error) {
	if err := c.limitWrite(a, time.Now()); err != nil {
		return 0, err
	}
	n, err := c.Write(p)
	if err != nil {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.end()
	}
	return n, err
}

// limitWrite bounds the next write of a response by the server's limit and the deadline of the request.
func (c *conn) limitWrite(a *ahead, now time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	by := a.writeBy
	if limit := now.Add(c.writeLimit); c.writeLimit > 0 && (by.IsZero() || limit.Before(by)) {
		by = limit
	}
	if by.IsZero() && !c.writeLimited {
		return nil
	}
	c.writeLimited = !by.IsZero()
	return c.Conn.SetWriteDeadline(by)
}
