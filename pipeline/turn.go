package pipeline

import "time"

// activate notes that net/http has read the header of a request.
func (c *conn) activate() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.active = true
	if c.stopping && c.opaque {
		_ = c.setReadDeadline(c.deadline.at) // fails on a closed connection only
	}
}

// idle notes that net/http has served its request.
func (c *conn) idle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy, c.active = false, false
	c.responded()
	c.advance()
	c.sealIfStopping()
	c.wakeIfStopping()
}

// answered notes that a request served ahead has its response.
func (c *conn) answered(a *ahead) {
	c.mu.Lock()
	defer c.mu.Unlock()
	a.done = true
	c.responded()
	c.advance()
	c.sealIfStopping()
}

// advance lets the next request write its response; c.mu is held.
func (c *conn) advance() {
	before := len(c.served)
	for !c.busy && len(c.served) > 0 && c.served[0].done {
		c.served = c.served[1:]
	}
	if !c.busy && len(c.served) > 0 && c.served[0].broken {
		c.end()
	}
	if before > 0 && len(c.served) == 0 {
		c.drained(time.Now())
	}
	c.changed.Broadcast()
}

// drained puts the connection's deadline in force when the last request served ahead
// has its response, and lets a read look at what is left to read; c.mu is held.
func (c *conn) drained(now time.Time) {
	if c.closing {
		c.end()
		return
	}
	if !c.deadline.at.IsZero() && !c.deadline.aborted {
		c.deadline.at = now.Add(c.deadline.span)
	}
	_ = c.setReadDeadline(longAgo) // fails on a closed connection, whose read returns anyway
}

// isIdle reports whether no request that has been read is without a response. A request whose header
// is incomplete has not been read. Of an opaque connection, net/http may hold a request that is whole; it
// reads no more of the connection before it has begun that one. c.mu must be held.
func (c *conn) isIdle() bool {
	if c.opaque {
		return !c.active
	}
	return len(c.served) == 0 && (!c.busy || c.inHead)
}

// stop lets the connection end when all requests that were read have their responses. A read that
// waits for the next request returns; if it has just read one, that one is served.
func (c *conn) stop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopping = true
	c.wakeIfStopping()
}
