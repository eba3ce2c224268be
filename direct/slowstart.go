package direct

import "time"

// If requests are ordered by urgency, a process that is starting chooses among few endpoints of each
// service (coord/selection/start.go).

// poolSize returns the size of pools for a request that arrives at now; c.mu must be held.
func (c *Chooser) poolSize(now time.Time) int {
	if !c.OrdersByUrgency() {
		return c.cfg.PoolSize
	}
	c.start = c.start.WithRequest(now)
	return c.start.PoolSize(c.cfg.PoolSize, now)
}
