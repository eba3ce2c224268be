package relay

import (
	"context"
	"time"

	"github.com/lotuswing/lotuswing/internal/pause"
)

// waitAfter waits for changes after a revision or until otherNews reports true, for at most limit.
// Whoever makes otherNews true must call wakeWaiters.
func (rep *replica) waitAfter(ctx context.Context, after uint64, limit time.Duration, otherNews func() bool) {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	for {
		rep.mu.Lock()
		changed, news := rep.changed, rep.knownRevision > after
		rep.mu.Unlock()
		if news || otherNews() {
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// wakeWaiters makes all waiting calls check their conditions again.
func (rep *replica) wakeWaiters() {
	rep.mu.Lock()
	defer rep.mu.Unlock()
	rep.notifyChange()
}

// notifyChange wakes all waiters for a change; rep.mu must be held.
func (rep *replica) notifyChange() {
	close(rep.changed)
	rep.changed = make(chan struct{})
}

// waitChange waits for the next change or wake-up, for at most limit.
func (rep *replica) waitChange(ctx context.Context, limit time.Duration) {
	rep.mu.Lock()
	changed := rep.changed
	rep.mu.Unlock()
	pause.Until(ctx, changed, limit)
}

// waitRegistration waits until a zone has a relay, for at most limit, and reports whether it has
// one.
func (rep *replica) waitRegistration(ctx context.Context, zone string, limit time.Duration) bool {
	deadline := time.Now().Add(limit)
	for {
		if _, ok := rep.relay(zone); ok {
			return true
		}
		if ctx.Err() != nil || !time.Now().Before(deadline) {
			return false
		}
		rep.waitChange(ctx, time.Until(deadline))
	}
}
