package suspend_test

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/lotuswing/lotuswing/internal/suspend"
	"gotest.tools/v3/assert"
)

// TestCheck checks that the hooks run once for each suspension, and that no concurrent
// call of Check returns before they have run.
func TestCheck(t *testing.T) {
	var suspended, reported atomic.Int64
	suspended.Store(int64(time.Hour)) // the VM was suspended before New
	d := suspend.New(func() time.Duration { return time.Duration(suspended.Load()) })
	d.OnResume(func(s time.Duration) {
		time.Sleep(time.Millisecond)
		reported.Add(int64(s))
	})
	assert.Equal(t, d.Check(), time.Duration(0))
	suspended.Add(int64(time.Millisecond))
	assert.Equal(t, d.Check(), time.Duration(0), "a difference that preemption between two clock reads can cause")
	for round := range 3 {
		suspended.Add(int64(10 * time.Second))
		var wg sync.WaitGroup
		for range 8 {
			wg.Go(func() {
				total := d.Check()
				if total < time.Duration(round+1)*10*time.Second || reported.Load() < int64(total) {
					t.Errorf("round %d: Check returned %v, hooks were called with a total of %v", round, total, time.Duration(reported.Load()))
				}
			})
		}
		wg.Wait()
	}
	assert.Equal(t, time.Duration(reported.Load()), 30*time.Second+time.Millisecond)
	var nilDetector *suspend.Detector
	assert.Equal(t, nilDetector.Check(), time.Duration(0))
}
