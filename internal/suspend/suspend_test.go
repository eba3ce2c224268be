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
	var slept, hooked atomic.Int64
	slept.Store(int64(time.Hour)) // before the start of the process
	d := suspend.New(func() time.Duration { return time.Duration(slept.Load()) })
	d.OnResume(func(s time.Duration) {
		time.Sleep(time.Millisecond)
		hooked.Add(int64(s))
	})
	assert.Equal(t, d.Check(), time.Duration(0))
	slept.Add(int64(time.Millisecond))
	assert.Equal(t, d.Check(), time.Duration(0), "a difference that preemption between two clock reads can cause")
	for round := range 3 {
		slept.Add(int64(10 * time.Second))
		var all sync.WaitGroup
		for range 8 {
			all.Go(func() {
				total := d.Check()
				if total < time.Duration(round+1)*10*time.Second || hooked.Load() < int64(total) {
					t.Errorf("round %d: Check returned %v, hooks were called with a total of %v", round, total, time.Duration(hooked.Load()))
				}
			})
		}
		all.Wait()
	}
	assert.Equal(t, time.Duration(hooked.Load()), 30*time.Second+time.Millisecond)
	var none *suspend.Detector
	assert.Equal(t, none.Check(), time.Duration(0))
}
