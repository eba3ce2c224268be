package lease

import "time"

// PauseDetector detects that its process did not run for a while, from a call to Tick
// on each tick of a timer. The times must come from a clock that goes on while the VM is
// suspended, unlike the monotonic clock, and that nobody sets, unlike the time of day.
type PauseDetector struct {
	limit time.Duration
	last  time.Time
}

// NewPauseDetector returns a detector that reports gaps longer than limit.
func NewPauseDetector(limit time.Duration) *PauseDetector {
	return &PauseDetector{limit: limit}
}

// Tick reports whether the gap since the previous tick is longer than the limit. The first tick
// reports false.
func (d *PauseDetector) Tick(now time.Time) bool {
	last := d.last
	d.last = now
	if last.IsZero() {
		return false
	}
	return now.Sub(last) > d.limit
}
