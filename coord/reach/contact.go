package reach

import (
	"slices"
	"time"
)

// Contact holds the checks that missed endpoints of a service since one of its endpoints last
// responded. The zero value is that of a service whose endpoints respond.
type Contact struct {
	missedAt time.Time // first check that reached no endpoint
	checks   int       // such checks
	missed   []string  // addresses of their endpoints, each once
	triedAt  time.Time // when a request was last let through although none is reached
}

// WithMissed returns the contact after a check that did not reach the endpoint at addr.
func (c Contact) WithMissed(addr string, o Options, now time.Time) Contact {
	if c.missedAt.IsZero() {
		c.missedAt = now
	}
	c.checks++
	if len(c.missed) < o.RefuseEndpoints && !slices.Contains(c.missed, addr) {
		c.missed = append(slices.Clone(c.missed), addr)
	}
	return c
}

// NoneReached reports whether checks show that this balancer reaches no endpoint of the service,
// neither directly nor through carriers. usable is the number of usable endpoints of the service. A few
// endpoints that are down show nothing of the others.
func (c Contact) NoneReached(o Options, usable int, now time.Time) bool {
	return c.checks >= o.LostAfter && len(c.missed) >= min(o.RefuseEndpoints, usable) && now.Sub(c.missedAt) >= o.RefuseAfter
}

// Refuses reports whether a request should be refused at once, because no endpoint is reached. One
// request in each pause is let through, to find out whether that has changed.
func (c Contact) Refuses(o Options, usable int, now time.Time) (Contact, bool) {
	if !c.NoneReached(o, usable, now) {
		return c, false
	}
	if now.Sub(c.triedAt) >= o.RefusePause {
		c.triedAt = now
		return c, false
	}
	return c, true
}

// RetryAfter returns when a caller should come back whose request was refused because no endpoint is
// reached. It is spread, so that callers do not return together. random is in [0, 1).
func RetryAfter(o Options, random float64) time.Duration {
	return time.Duration((1 + random) * float64(o.RefuseAfter))
}
