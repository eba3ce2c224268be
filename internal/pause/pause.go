// Package pause waits for a time or for the end of a context, whichever comes
// first, and is the clock of code that is given one.
//
// # Usage
//
//	pause.For(ctx, 10*time.Millisecond)
//	pause.Until(ctx, changed, time.Second)
package pause

import (
	"context"
	"time"
)

// For waits for d, or until ctx ends. A d of 0 or less does not wait.
func For(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	Until(ctx, nil, d)
}

// Until waits until something comes on a channel, or it is closed, at most as long as d
// or until ctx ends.
func Until(ctx context.Context, c <-chan struct{}, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-c:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// Clock is the machine's clock.
type Clock struct{}

// Now returns the present time.
func (Clock) Now() time.Time { return time.Now() }

// Pause waits for d, or until ctx ends.
func (Clock) Pause(ctx context.Context, d time.Duration) { For(ctx, d) }

// Over reports whether a channel on which nothing is sent is closed.
func Over(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}
