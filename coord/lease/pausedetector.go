package lease

import "time"

// PauseDetector notices that its process did not run for a while, from a call
// on each tick of a timer. The times are of a clock that goes on while the VM is
// suspended, which the steady clock does not, and that nobody sets, as operators
// set the time of day.
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
	return now.Sub(last) > d.limit
}
