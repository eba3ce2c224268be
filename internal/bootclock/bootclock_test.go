package bootclock_test

import (
	"testing"
	"time"

	"github.com/lotuswing/lotuswing/internal/bootclock"
	"gotest.tools/v3/assert"
)

// TestNow: the clock does not go back, and no suspension is seen where none was.
func TestNow(t *testing.T) {
	suspended := bootclock.Suspended()
	last := bootclock.Now()
	for range 1000 {
		now := bootclock.Now()
		assert.Assert(t, !now.Before(last))
		last = now
	}
	assert.Assert(t, (bootclock.Suspended()-suspended).Abs() < time.Minute)
}

func BenchmarkSuspended(b *testing.B) {
	for b.Loop() {
		bootclock.Suspended()
	}
}
