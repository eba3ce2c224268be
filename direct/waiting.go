package direct

import (
	"context"
	"slices"
	"time"

	"github.com/lotuswing/lotuswing/internal/pause"
)

// waiters are the requests of a service that found no good endpoint and will look
// again, the one that looked longest ago first. Each has a channel of one place, which
// wakes it.
type waiters []chan struct{}

// await waits for d, or until an endpoint of the service has ended a request of this
// process. Its response tells its load, as fresh as a probe's, and the slot that has
// become free is most likely still there for who is told at once: the balancers do not
// race each other for it.
func (c *Chooser) await(ctx context.Context, service string, d time.Duration) {
	woken := make(chan struct{}, 1)
	c.mu.Lock()
	c.waiters[service] = append(c.waiters[service], woken)
	c.mu.Unlock()
	pause.Until(ctx, woken, d)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiters[service] = slices.DeleteFunc(c.waiters[service], func(o chan struct{}) bool { return o == woken })
}

// Waiting returns how many requests of a service wait to look again.
func (c *Chooser) Waiting(service string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.waiters[service])
}

// wake lets the request look again that looked longest ago; c.mu is held.
func (c *Chooser) wake(service string) {
	if w := c.waiters[service]; len(w) > 0 {
		w[0] <- struct{}{}
		c.waiters[service] = w[1:]
	}
}
