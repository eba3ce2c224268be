package selection

import (
	"math"
	"time"

	"github.com/lotuswing/lotuswing/coord/placement"
)

// serviceTimeShareOfTarget is the assumed service time of a request kind without completions, as a
// share of its latency target: operators set targets to a multiple of the service time.
const serviceTimeShareOfTarget = 1.0 / 3

const (
	defaultServiceTime = 100 * time.Millisecond // assumed for a kind without a target and without completions
	minSampleWeight    = 0.05                   // lowest weight of a new sample in an average
	minSamples         = 20                     // number of samples from which an average is relied on
)

// ServiceTime is the usual service time of a request kind: the moving average over its
// completions. Each sample is divided by the endpoint's pace when it was chosen, because
// that pace determines the whole service time, and by the crowding factor. It is an
// immutable value; the zero value has no samples.
type ServiceTime struct {
	mean     float64 // nanoseconds
	samples  int
	refusals int // requests refused before the first completion
}

// Expected returns the usual service time of the kind. Without completions it is derived from
// target, the latency target of the request; 0 means that there is none.
func (s ServiceTime) Expected(target time.Duration) time.Duration {
	switch {
	case s.samples > 0:
		return time.Duration(s.mean)
	case target > 0:
		return time.Duration(serviceTimeShareOfTarget * float64(target) * math.Pow(0.5, float64(s.refusals)))
	}
	return defaultServiceTime
}

// WithRefusal returns the ServiceTime after a request was refused. Until the first completion
// the usual service time is a guess, which halves with each refusal. Otherwise a guess that
// is too high would keep all requests of the kind from being sent.
func (s ServiceTime) WithRefusal() ServiceTime {
	if s.samples == 0 {
		s.refusals++
	}
	return s
}

// Ratio returns the time of a completion relative to the usual service time; 1 with fewer
// than minSamples samples.
func (s ServiceTime) Ratio(took time.Duration) float64 {
	if s.samples < minSamples || s.mean <= 0 {
		return 1
	}
	return float64(took) / s.mean
}

// withSample returns the ServiceTime after a sample, in nanoseconds.
func (s ServiceTime) withSample(sample float64) ServiceTime {
	s.samples++
	s.mean += max(minSampleWeight, 1/float64(s.samples)) * (sample - s.mean)
	return s
}

// WithCompletion returns the ServiceTime of a request kind and the crowding of its service after a
// completion. took is the request's time and slots the number of the endpoint's slots. The
// sample of the ServiceTime is that time divided by the pace and by the crowding factor at the time
// of the choice, since these determine the whole service time. The crowding is updated only once
// the ServiceTime has minSamples samples. A completion is ignored if the endpoint was chosen
// without a load report, was warming up, or had no free slot.
func WithCompletion(s ServiceTime, c Crowding, choice placement.Choice, took time.Duration, slots int) (ServiceTime, Crowding) {
	if choice.Cold || choice.Pace <= 0 || choice.Busy > slots {
		return s, c
	}
	sample := float64(took) / choice.Pace
	if s.samples >= minSamples {
		c = c.withSample(choice.Busy, slots, sample/s.mean)
	}
	return s.withSample(sample / c.CrowdingFactor(choice.Busy, slots)), c
}
