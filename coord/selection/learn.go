package selection

import (
	"math"
	"time"

	"github.com/lotuswing/lotuswing/coord/placement"
)

// targetShare is the part of its latency objective that a kind's work is thought to take before
// one has completed: operators set objectives to a multiple of the work.
const targetShare = 1.0 / 3

const (
	firstWork    = 100 * time.Millisecond // of a kind without a target that has not completed yet
	sampleWeight = 0.05                   // of a new sample in an average
	sureSamples  = 20                     // from which an average is relied on
)

// Workload is the usual service time of a request kind: the average of its
// completions, each divided by the endpoint's pace when it was chosen, which
// decides the whole work. It is an immutable value; the zero value has seen
// nothing.
type Workload struct {
	usual   float64 // nanoseconds
	samples int
	refused int // requests for which no endpoint was found before one completed
}

// Usual returns the usual service time of a kind with a latency objective, 0 for none.
func (w Workload) Usual(target time.Duration) time.Duration {
	switch {
	case w.samples > 0:
		return time.Duration(w.usual)
	case target > 0:
		return time.Duration(targetShare * float64(target) * math.Pow(0.5, float64(w.refused)))
	}
	return firstWork
}

// WithRefusal returns the workload after a request was refused. While nothing is known
// of the kind, its usual time is a guess that halves with each refusal, so that a
// wrong one does not keep all requests from being sent.
func (w Workload) WithRefusal() Workload {
	if w.samples == 0 {
		w.refused++
	}
	return w
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

// Learn returns what a completion teaches of its kind and of the crowding at its
// service. Its time is divided by the pace and by what the crowding is thought to have
// made of it, both as at the choice, which decide the whole work. The crowding learns
// once the kind is known well. Without a report when it was chosen, a completion says
// nothing, nor does one that had to wait for a slot, nor one of an endpoint that warmed up.
func Learn(w Workload, c Crowding, choice placement.Choice, took time.Duration, slots int) (Workload, Crowding) {
	if choice.Cold || choice.Pace <= 0 || choice.Busy > slots {
		return w, c
	}
	sample := float64(took) / choice.Pace
	if w.samples >= sureSamples {
		c = c.with(choice.Busy, slots, sample/w.usual)
	}
	return w.with(sample / c.Factor(choice.Busy, slots)), c
}
