package direct

import (
	"context"
	"slices"
	"time"

	"github.com/lotuswing/lotuswing/internal/pause"
)

// waiters has a channel for each request of a service that found no good endpoint and waits for its
// next ranking, in the order in which they began to wait. A value sent to the channel, which has a
// buffer of one, wakes the request.
type waiters []chan struct{}

// pauseUntilWoken waits for d, or until wakeNext wakes the request. That happens when a request of
// this process to the same service has completed. The response reports the endpoint's load, as
// fresh as a response to a probe, and the slot that has become free is most likely still free for a
// request that is woken at once: balancers do not race each other for it.
func (c *Chooser) pauseUntilWoken(ctx context.Context, service string, d time.Duration) {
	woken := make(chan struct{}, 1)
	c.mu.Lock()
	c.waiters[service] = append(c.waiters[service], woken)
	c.mu.Unlock()
	pause.Until(ctx, woken, d)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiters[service] = slices.DeleteFunc(c.waiters[service], func(o chan struct{}) bool { return o == woken })
}

// Waiting returns the number of requests of a service that wait for their next ranking.
func (c *Chooser) Waiting(service string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := len(c.waiters[service])
	if q, ok := c.queues[service]; ok {
		n += q.Len()
	}
	return n
}

// wakeNext wakes the request that has waited longest for an endpoint of a service, and the first one
// in its queue; c.mu must be held.
func (c *Chooser) wakeNext(service string) {
	if q, ok := c.queues[service]; ok {
		c.capacityFreed(q, time.Now())
	}
	if w := c.waiters[service]; len(w) > 0 {
		w[0] <- struct{}{}
		c.waiters[service] = w[1:]
	}
}
