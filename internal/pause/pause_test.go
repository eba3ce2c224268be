package pause_test

import (
	"context"
	"testing"
	"time"

	"github.com/lotuswing/lotuswing/internal/pause"
	"gotest.tools/v3/assert"
)

// TestForReturnsWhenContextEnds checks that For returns at once if its context is done,
// however long the duration, or if the duration is negative.
func TestForReturnsWhenContextEnds(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	pause.For(ctx, 24*time.Hour)
	pause.For(context.Background(), -time.Hour)
	pause.For(context.Background(), time.Millisecond)
	assert.ErrorIs(t, ctx.Err(), context.Canceled)
}
