package bootclock_test

import (
	"testing"
	"time"

	"github.com/lotuswing/lotuswing/internal/bootclock"
	"gotest.tools/v3/assert"
)

// TestNow checks that the clock never goes back and that no suspension is reported
// when there was none.
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
