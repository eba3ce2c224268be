package relay

import (
	"context"
	"time"

	"github.com/lotuswing/lotuswing/internal/pause"
)

// waitAfter waits for changes beyond a revision or for other news, at most as long as
// limit. Who has other news wakes those that wait.
func (rep *replica) waitAfter(ctx context.Context, after uint64, limit time.Duration, other func() bool) {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	for {
		rep.mu.Lock()
		changed, news := rep.changed, rep.at > after
		rep.mu.Unlock()
		if news || other() {
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

// wake lets those look again that wait for a change.
func (rep *replica) wake() {
	rep.mu.Lock()
	defer rep.mu.Unlock()
	rep.noteChange()
}

// noteChange tells those that wait of a change; rep.mu is held.
func (rep *replica) noteChange() {
	close(rep.changed)
	rep.changed = make(chan struct{})
}

// waitChange waits until any change is noted, at most as long as limit.
func (rep *replica) waitChange(ctx context.Context, limit time.Duration) {
	rep.mu.Lock()
	changed := rep.changed
	rep.mu.Unlock()
	pause.Until(ctx, changed, limit)
}

// waitRegistration waits until a zone has a relay, at most as long as limit, and
// reports whether it has one.
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
