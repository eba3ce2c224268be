package contract

import (
	"math"
	"time"
)

const (
	// serviceTimeAlpha is the weight of one completion in the usual service time.
	serviceTimeAlpha = 0.02
	// drainAlpha is the weight of one grant in the interval between grants.
	drainAlpha = 0.1
	// drainSamples are needed before the interval is believed.
	drainSamples = 5
)

// serviceTime is the usual service time of a class, a moving average.
type serviceTime struct {
	log     float64 // of nanoseconds
	samples int
}

func (t *serviceTime) add(took time.Duration) {
	sample := math.Log(float64(max(took, 1)))
	t.samples++
	weight := max(serviceTimeAlpha, 1/float64(t.samples))
	t.log += weight * (sample - t.log)
}

// typical returns the geometric mean, 0 while nothing is known.
func (t *serviceTime) typical() time.Duration {
	if t.samples == 0 {
		return 0
	}
	return time.Duration(math.Exp(t.log))
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
