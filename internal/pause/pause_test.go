package pause_test

import (
	"context"
	"testing"
	"time"

	"github.com/lotuswing/lotuswing/internal/pause"
	"gotest.tools/v3/assert"
)

// TestEndedContextEndsThePause, however long it was to be.
func TestEndedContextEndsThePause(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	pause.For(ctx, 24*time.Hour)
	pause.For(context.Background(), -time.Hour)
	pause.For(context.Background(), time.Millisecond)
	assert.ErrorIs(t, ctx.Err(), context.Canceled)
}
