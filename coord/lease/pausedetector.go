package lease

import "time"

// PauseDetector notices that its process did not run for a while, from a call
// on each tick of a timer. The monotonic clock shows a stopped process; the
// wall clock shows a suspended VM, whose monotonic clock stands still.
type PauseDetector struct {
	limit time.Duration
	last  time.Time
}

// NewPauseDetector returns a detector that reports gaps longer than limit.
func NewPauseDetector(limit time.Duration) *PauseDetector {
	return &PauseDetector{limit: limit}
}

// Tick reports whether the gap since the previous tick shows a pause.
func (d *PauseDetector) Tick(now time.Time) bool {
	last := d.last
	d.last = now
	if last.IsZero() {
		return false
	}
	monotonic := now.Sub(last)
	wall := now.Round(0).Sub(last.Round(0))
	return monotonic > d.limit || wall > d.limit
}
