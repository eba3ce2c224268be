package direct

import (
	"context"
	"slices"
	"time"

	"github.com/lotuswing/lotuswing/internal/pause"
)

// waiters are the requests of a service that found no good endpoint and wait for their next
// ranking, the longest waiting first. A message on its channel, which has a buffer of one, wakes a
// request.
type waiters []chan struct{}

// pauseUntilWoken waits for d, or until an endpoint of the service ends a request of this process. Its
// response reports its load, as fresh as a probe's, and its free slot is most likely still free for
// a request that is woken at once: balancers do not race each other for it.
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
	return len(c.waiters[service])
}

// wakeNext wakes the request of a service that has waited longest; c.mu must be held.
func (c *Chooser) wakeNext(service string) {
	if w := c.waiters[service]; len(w) > 0 {
		w[0] <- struct{}{}
		c.waiters[service] = w[1:]
	}
}
