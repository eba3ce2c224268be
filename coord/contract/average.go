package contract

import (
	"math"
	"time"
)

// Chosen without a measurement.
const (
	// baseAlpha is the weight of one completion in the usual service time.
	baseAlpha = 0.02
	// drainAlpha is the weight of one grant in the interval between grants.
	drainAlpha = 0.1
	// drainSamples are needed before the interval is believed.
	drainSamples = 5
)

// usual is a moving average of service times.
type usual struct {
	log     float64 // of nanoseconds
	samples int
}

func (u *usual) add(took time.Duration) {
	sample := math.Log(float64(max(took, 1)))
	u.samples++
	weight := max(baseAlpha, 1/float64(u.samples))
	u.log += weight * (sample - u.log)
}

// typical returns the geometric mean, 0 while nothing is known.
func (u *usual) typical() time.Duration {
	if u.samples == 0 {
		return 0
	}
	return time.Duration(math.Exp(u.log))
}

// drain is how fast a class that waits is granted slots.
type drain struct {
	last     time.Time
	interval time.Duration
	samples  int
}

// granted notes a grant to a request that had waited since the given time.
func (d *drain) granted(now, since time.Time) {
	if since.Before(d.last) { // the queue was not empty in between
		d.interval += time.Duration(drainAlpha * float64(now.Sub(d.last)-d.interval))
		d.samples++
	} else {
		d.samples = 0
		d.interval = 0
	}
	d.last = now
}

// wait returns how long n grants take, as they have come lately.
func (d *drain) wait(n int) time.Duration {
	if d.samples < drainSamples {
		return 0
	}
	return time.Duration(n) * d.interval
}
