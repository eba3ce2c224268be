package upstream

import "context"

// Drainer is a connection whose other end may say that it must be used for no further request.
// Connections that Paths opens may implement it.
type Drainer interface {
	// OnDraining calls f once that was said, at once if it was said before. It is called once.
	OnDraining(f func())
}

// drainingKey is the key under which a context says that ObeysDraining holds.
type drainingKey struct{}

// WithDraining returns a context for opening a connection whose user obeys Drainer.
func WithDraining(ctx context.Context) context.Context {
	return context.WithValue(ctx, drainingKey{}, true)
}

// ObeysDraining reports whether the user of a connection that is opened with ctx sends no request on it
// once it is draining, and closes it once none is outstanding.
func ObeysDraining(ctx context.Context) bool { return ctx.Value(drainingKey{}) != nil }

// maxDrainingTries bounds how many connections are tried for one request or probe because others were
// draining. Nothing is sent on those.
const maxDrainingTries = 10

// drain records that the connection must be used for no further request, and closes it if it is idle.
func (c *conn) drain() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.draining = true
	c.closeUnused()
}

// take records that a request has got the connection, of which nothing is written yet. It reports
// whether the connection is draining; it is sealed then.
func (c *conn) take() (isDraining bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.users++
	if c.draining {
		c.writes.Store(sealed)
	}
	return c.draining
}

// put records that a request has left the connection, and closes it if it is draining.
func (c *conn) put() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.users--
	c.closeUnused()
}

// closeUnused closes a draining connection that no request has; c.mu must be held.
func (c *conn) closeUnused() {
	if !c.draining || c.users > 0 {
		return
	}
	c.writes.Store(sealed) // a request that gets it before the transport knows of its end goes elsewhere
	_ = c.Close()          // nothing is outstanding on it
}
