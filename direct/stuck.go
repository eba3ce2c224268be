package direct

import "time"

const (
	// stuckAfter is how long the state of a Chooser may be locked whenever Stuck looks before it counts as stuck.
	stuckAfter = 2 * time.Second
	// lockTries is how often Stuck tries the lock, and lockPause the time between two tries.
	lockTries = 10
	lockPause = time.Millisecond
)

// Stuck reports whether this balancer chooses no endpoint any more: its state was locked at each look for at
// least 2 s. Regular calls, such as those of a readiness check, are the looks.
func (c *Chooser) Stuck() bool {
	for range lockTries {
		if c.mu.TryLock() {
			c.mu.Unlock()
			c.lockedSince.Store(0)
			return false
		}
		time.Sleep(lockPause)
	}
	now := int64(time.Since(c.startedAt)) + 1
	if c.lockedSince.CompareAndSwap(0, now) {
		return false
	}
	return time.Duration(now-c.lockedSince.Load()) >= stuckAfter
}
