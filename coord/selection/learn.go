package selection

import (
	"time"

	"github.com/lotuswing/lotuswing/coord/placement"
)

// Chosen without a measurement, but for the factor of the last slot, of which a
// day's log showed 1.6 (commit 30b0cfc): it is learnt for each service.
const (
	firstWork     = 100 * time.Millisecond // of a kind that has not completed yet
	firstLastSlot = 1.2                    // of a service whose last slots have not been used
	sampleWeight  = 0.05                   // of a new sample in an average
	sureSamples   = 20                     // from which an average is relied on
)

// Workload is the usual service time of a request kind: the average of its
// completions, each divided by the endpoint's pace when it was chosen, which
// decides the whole work. It is an immutable value; the zero value has seen
// nothing.
type Workload struct {
	usual   float64 // nanoseconds
	samples int
}

// Usual returns the usual service time.
func (w Workload) Usual() time.Duration {
	if w.samples == 0 {
		return firstWork
	}
	return time.Duration(w.usual)
}

// Ratio compares the time of a completion with the usual one; 1 while that is not
// sure.
func (w Workload) Ratio(took time.Duration) float64 {
	if w.samples < sureSamples || w.usual <= 0 {
		return 1
	}
	return float64(took) / w.usual
}

func (w Workload) with(sample float64) Workload {
	w.samples++
	w.usual += max(sampleWeight, 1/float64(w.samples)) * (sample - w.usual)
	return w
}

// LastSlot is how much longer work takes on the last free slot of a service's
// endpoints than on others. It is an immutable value; the zero value has seen
// nothing.
type LastSlot struct {
	factor  float64
	samples int
}

// Factor returns the factor, 1 where the last slot makes no difference.
func (l LastSlot) Factor() float64 {
	if l.samples == 0 {
		return firstLastSlot
	}
	return l.factor
}

func (l LastSlot) with(sample float64) LastSlot {
	l.factor = l.Factor()
	l.samples++
	l.factor += sampleWeight * (sample - l.factor)
	return l
}

// Learn returns what a completion teaches of its kind and service. It teaches of
// the kind if the endpoint had a slot to spare, and of the last slot if it had
// none and the kind is known well. Without a report when it was chosen, its time
// says nothing.
func Learn(w Workload, l LastSlot, c placement.Choice, took time.Duration, slots int) (Workload, LastSlot) {
	if c.Pace <= 0 {
		return w, l
	}
	sample := float64(took) / c.Pace
	switch {
	case c.Busy < slots:
		w = w.with(sample)
	case c.Busy == slots && w.samples >= sureSamples:
		l = l.with(sample / w.usual)
	}
	return w, l
}
