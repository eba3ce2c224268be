// Package pause waits for a time or for the end of a context, whichever comes
// first.
//
// # Usage
//
//	pause.For(ctx, 10*time.Millisecond)
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
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
