package upstream

import (
	"net/http/httptrace"
	"sync"
	"time"
)

// connTracker records which connection an attempt got, and seals it if the request must not be
// sent on it.
type connTracker struct {
	mostIdle time.Duration // 0 for any
	admitted func() bool   // nil for always
	settle   time.Duration // how long a new connection must stay open before it is used

	informational informational

	mu            sync.Mutex
	gotConnection bool      // the transport picked a connection
	conn          *conn     // that connection; nil if this package's dialer did not open it
	writesBefore  int64     // writes on the connection before this attempt
	idleTooLong   bool      // the connection had been idle for longer than mostIdle and is sealed
	withdrawn     bool      // admitted returned false, and the connection is sealed
	broken        bool      // the endpoint closed the new connection within settle, and it is sealed
	draining      bool      // the connection is draining and is sealed
	pickedAt      time.Time // when the request was about to be written; zero while nothing may be written
}

// gotConn records the connection that the transport picked for the attempt, and seals it if the
// request must not be sent on it. It is the GotConn hook of httptrace.
func (t *connTracker) gotConn(info httptrace.GotConnInfo) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.gotConnection, t.pickedAt = true, time.Time{}
	t.conn, _ = info.Conn.(*conn)
	if t.conn != nil {
		t.writesBefore = t.conn.writes.Load()
	}
	if t.conn == nil {
		t.pickedAt = time.Now()
		return
	}
	t.draining = t.conn.take()
	if t.draining {
		return
	}
	t.broken = t.settle > 0 && !info.Reused && t.conn.breaksWithin(t.settle) && t.conn.sealIfNoWriteSince(t.writesBefore)
	if t.broken {
		return
	}
	t.withdrawn = t.admitted != nil && !t.admitted() && t.conn.sealIfNoWriteSince(t.writesBefore)
	t.idleTooLong = !t.withdrawn && t.mostIdle > 0 && info.Reused && info.IdleTime > t.mostIdle && t.conn.sealIfNoWriteSince(t.writesBefore)
	if !t.withdrawn && !t.idleTooLong {
		t.pickedAt = time.Now()
	}
}

// writtenAt returns when the request was about to be written to a connection; zero if it never was.
func (t *connTracker) writtenAt() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.pickedAt
}

// putIdleConn records that the transport keeps the connection for other requests, unless err is set. It
// is the PutIdleConn hook of httptrace.
func (t *connTracker) putIdleConn(err error) {
	if c := t.connection(); c != nil && err == nil {
		c.put()
	}
}

// isDraining reports whether nothing was sent because the connection is draining.
func (t *connTracker) isDraining() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.draining
}

// connection returns the connection that the transport picked last; nil for none.
func (t *connTracker) connection() *conn {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.conn
}

// connected reports whether the transport picked a connection.
func (t *connTracker) connected() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.gotConnection
}

// via returns the carrier and the tunnel of the connection; empty for a direct one.
func (t *connTracker) via() (carrier, tunnel string) {
	c := t.connection()
	if c == nil {
		return "", ""
	}
	if detoured, ok := c.Conn.(interface {
		Via() (carrier, tunnel string)
	}); ok {
		return detoured.Via()
	}
	return "", ""
}

// trace returns the hooks for net/http that call gotConn and the callbacks of r.
func (t *connTracker) trace(r Request) *httptrace.ClientTrace {
	hooks := &httptrace.ClientTrace{GotConn: t.gotConn, PutIdleConn: t.putIdleConn, GotFirstResponseByte: r.OnResponseBegun}
	if r.OnInformational != nil {
		t.informational.forward = r.OnInformational
		hooks.Got1xxResponse = t.informational.pass
	}
	return hooks
}
