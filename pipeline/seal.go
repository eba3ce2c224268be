package pipeline

import "net"

// reading says what a connection's reader does. What it has read may be looked at while it rests.
type reading uint8

const (
	resting     reading = iota // no read is under way, or it waits for its turn
	working                    // it hands on what has been read
	readingBody                // it waits for more of the request that net/http has; nothing is unread
	readingNext                // it waits for a request that has not begun
)

// setReading notes what the reader does.
func (c *conn) setReading(r reading) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = r
	c.changed.Broadcast()
}

// hasRead notes that a read of the caller's connection has returned, and reports whether the connection
// has ended: what was read is dropped.
func (c *conn) hasRead() (ended bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = working
	c.changed.Broadcast()
	return c.dead
}

// mayReceive notes that the reader waits for the caller, and reports whether it may.
func (c *conn) mayReceive(from reading) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.dead || (c.sealed || c.halted) && from == readingNext {
		return false
	}
	c.reading = from
	c.changed.Broadcast()
	return true
}

// refused returns the error for a read that may not wait for the caller.
func (c *conn) refused() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.dead {
		return net.ErrClosed
	}
	return errAgain
}

// isHalted reports whether nothing is read now of requests that have not begun.
func (c *conn) isHalted() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sealed || c.halted
}

// isSealed reports whether nothing more is read of requests that have not begun.
func (c *conn) isSealed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sealed
}

// seal ends the reading of requests that have not begun, and reports whether one that has not begun was
// read whole; c.mu must be held. What was read of a request in part is dropped.
func (c *conn) seal() (behind bool) {
	c.sealed = true
	for !c.dead && c.reading != resting && c.reading != readingBody {
		if c.reading == readingNext {
			_ = c.setReadDeadline(longAgo) // fails on a closed connection, whose read returns anyway
		}
		c.changed.Wait()
	}
	return c.reading == resting && !c.dead && c.reader.seal()
}

// sealIfStopping seals the connection behind a response whose handler did not, without waiting for a read
// that is under way; c.mu must be held.
func (c *conn) sealIfStopping() {
	if c.stopping {
		c.sealed = true
		c.wakeNext()
	}
}

// wakeNext ends a read that waits for a request that has not begun; c.mu must be held.
func (c *conn) wakeNext() {
	if c.reading == readingNext {
		_ = c.setReadDeadline(longAgo) // fails on a closed connection only
	}
}

// beginStop lets nothing be read behind a response that has begun, which can no longer say that it closes
// the connection, until that response has ended.
func (c *conn) beginStop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.responding && (c.busy || len(c.served) > 0) {
		c.halted = true
		c.wakeNext()
	}
}

// responded notes that a response has ended; c.mu must be held.
func (c *conn) responded() { c.responding, c.halted = false, false }

// last reports whether no request behind net/http's has been read, and sees to it that it stays so.
func (c *conn) last() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.seal() || len(c.served) > 0 {
		return false
	}
	c.ending = true
	return true
}

// last reports whether no request behind this one has been read, and sees to it that it stays so.
func (a *ahead) last() bool {
	c := a.conn
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.seal() || len(c.served) > 0 && c.served[len(c.served)-1] != a {
		return false
	}
	c.ending = true
	return true
}

// seal keeps of what is unread the request that net/http has and those behind it that are there whole,
// and reports whether there are any of the latter.
func (r *reader) seal() (behind bool) {
	if r.inHead || r.rest == forever {
		return false
	}
	now := *r
	own, ok := now.own(r.unread)
	if !ok || now.inBody() {
		return false
	}
	end := own + wholeRequests(r.unread[own:])
	if r.unread = r.unread[:end]; end == 0 {
		r.drop(0)
	}
	return end > own
}

// wholeRequests returns the length of the requests that are whole at the start of p. One whose end is
// not known ends with p.
func wholeRequests(p []byte) (n int) {
	for n < len(p) {
		f := frameOf(p[n:])
		if f.form == opaque {
			return len(p)
		}
		next := reader{rest: f.length, chunks: f.body()}
		own, ok := next.own(p[n:])
		switch {
		case !ok:
			return len(p)
		case f.form == partial, next.inBody():
			return n
		}
		n += own
	}
	return n
}
