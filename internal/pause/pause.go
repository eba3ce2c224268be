// Package pause waits for a duration or until a context is done, whichever comes
// first. Its Clock is the system clock for code that takes a clock as a parameter.
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

// For waits for d or until ctx is done. It returns at once if d is 0 or less.
func For(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	Until(ctx, nil, d)
}

// Until waits until c delivers a value or is closed, d has passed, or ctx is done.
func Until(ctx context.Context, c <-chan struct{}, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-c:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// Clock is the system clock.
type Clock struct{}

// Now returns the current time.
func (Clock) Now() time.Time { return time.Now() }

// Pause waits for d or until ctx is done.
func (Clock) Pause(ctx context.Context, d time.Duration) { For(ctx, d) }

// Over reports whether c is closed. Nothing may be sent on c, because Over would receive it.
func Over(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}
