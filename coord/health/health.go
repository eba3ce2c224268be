// Package health judges an endpoint by the results of its own requests, compared with its
// peers in the same service.
//
// A shed or failed response is evidence against an endpoint; its latency, which may be low, is not
// counted. A completion is recorded as the ratio of its latency to the usual latency of the
// service for that class of request, so that a long export and a short look-up can be
// compared. The moving average is taken of the logarithm of the ratio: one request
// from a heavy tail does not make an endpoint look slow.
//
// The package keeps no state: a State is an immutable value.
//
// # Usage
//
//	s := health.New(health.Options{})
//	s = s.WithCompletion(1.2)
//	s = s.WithFailure(now)
//	if s.Ejected(now) { ... }
package health

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Options of the health rules. Zero fields take the defaults.
type Options struct {
	EjectAfter  int           // consecutive failures after which an endpoint is ejected; default 3
	EjectFor    time.Duration // duration of the first ejection, doubled each time; default 500 ms
	EjectMost   time.Duration // longest ejection; default 8 s
	SlowFactor  float64       // multiple of the peers' median slowness above which an endpoint is slow; default 3
	SlowSamples int           // completions needed before the comparison; default 3
}

const (
	alpha        = 0.2 // weight of a new sample in the moving average
	maxDoublings = 10  // keeps the doubled ejection from overflowing before EjectMost limits it
)

// withDefaults returns the options with defaults in place of zero fields.
func (o Options) withDefaults() Options {
	o.EjectAfter = cmp.Or(o.EjectAfter, 3)
	o.EjectFor = cmp.Or(o.EjectFor, 500*time.Millisecond)
	o.EjectMost = cmp.Or(o.EjectMost, 8*time.Second)
	o.SlowFactor = cmp.Or(o.SlowFactor, 3)
	o.SlowSamples = cmp.Or(o.SlowSamples, 3)
	return o
}

// State is the health of one endpoint. It is an immutable value.
type State struct {
	opts         Options
	logSlowness  float64 // moving average of the logarithm of latency / usual latency
	slowness     float64 // exp(logSlowness), cached because it is read far more often than it changes
	samples      int     // completed requests
	failures     int     // consecutive
	ejections    int     // consecutive ejections, since the last completed request or WithoutEjection
	ejectedUntil time.Time
}

// New returns the state of an endpoint that has not completed a request yet.
func New(opts Options) State { return State{opts: opts.withDefaults(), slowness: 1} }

// Slowness returns the ratio of the endpoint's latency to the usual latency, as a moving average;
// 1 before the first completion.
func (s State) Slowness() float64 { return s.slowness }

// Known reports whether a request has completed.
func (s State) Known() bool { return s.samples > 0 }

// Ejected reports whether the endpoint is ejected at now, so that it gets no requests.
func (s State) Ejected(now time.Time) bool { return now.Before(s.ejectedUntil) }

// EjectedUntil returns the end of the last ejection.
func (s State) EjectedUntil() time.Time { return s.ejectedUntil }

// OnTrial reports whether an ejection has ended and no request has completed
// since: such an endpoint gets one request at a time.
func (s State) OnTrial(now time.Time) bool { return s.ejections > 0 && !s.Ejected(now) }

// WithCompletion returns the state after a completed request whose latency was
// ratio times the usual one.
func (s State) WithCompletion(ratio float64) State {
	sample := math.Log(max(ratio, math.SmallestNonzeroFloat32))
	if s.samples == 0 {
		s.logSlowness = sample * alpha
	} else {
		s.logSlowness += alpha * (sample - s.logSlowness)
	}
	s.slowness = math.Exp(s.logSlowness)
	s.samples++
	s.failures = 0
	s.ejections = 0
	return s
}

// WithUnfinished returns the state after a request that was canceled before its response, when it had
// taken ratio times the usual latency. The endpoint would have taken at least that long, so it can
// only look slower afterwards. Failures and ejections remain, because it has not responded.
func (s State) WithUnfinished(ratio float64) State {
	sample := math.Log(max(ratio, math.SmallestNonzeroFloat32))
	if sample > s.logSlowness {
		s.logSlowness += alpha * (sample - s.logSlowness)
		s.slowness = math.Exp(s.logSlowness)
	}
	return s
}

// WithFailure returns the state after a failed response or connection.
func (s State) WithFailure(now time.Time) State {
	s.failures++
	if s.failures >= s.opts.EjectAfter || s.OnTrial(now) {
		s = s.eject(now)
	}
	return s
}

// WithoutEjection returns the state with its ejection ended, for an endpoint
// without which too few would be left.
func (s State) WithoutEjection() State {
	s.ejectedUntil = time.Time{}
	s.ejections = 0
	return s
}

// eject returns the state after an ejection that begins at now.
func (s State) eject(now time.Time) State {
	d := s.opts.EjectFor << min(s.ejections, maxDoublings)
	s.ejectedUntil = now.Add(min(d, s.opts.EjectMost))
	s.ejections++
	s.failures = 0
	return s
}

// Slow reports whether the endpoint is slow compared with the median slowness of its
// peers.
func (s State) Slow(median float64) bool {
	return s.samples >= s.opts.SlowSamples && s.Slowness() > s.opts.SlowFactor*median
}

// Median returns the lower median of the slowness of the states that have completed a request, 1
// if there is none.
func Median(states []State) float64 {
	known := make([]float64, 0, len(states))
	for _, s := range states {
		if s.Known() {
			known = append(known, s.Slowness())
		}
	}
	if len(known) == 0 {
		return 1
	}
	slices.Sort(known)
	return known[(len(known)-1)/2]
}

// Snapshot is a State as it is written to a trace.
type Snapshot struct {
	Log      float64   `json:"log"`
	Samples  int       `json:"samples"`
	Failures int       `json:"failures"`
	Ejected  int       `json:"ejected"`
	Until    time.Time `json:"until"`
}

// Snapshot returns the state in a form that can be stored.
func (s State) Snapshot() Snapshot {
	return Snapshot{Log: s.logSlowness, Samples: s.samples, Failures: s.failures, Ejected: s.ejections, Until: s.ejectedUntil}
}

// Restore returns the state from which a snapshot was taken.
func Restore(opts Options, s Snapshot) State {
	return State{opts: opts.withDefaults(), logSlowness: s.Log, slowness: math.Exp(s.Log), samples: s.Samples, failures: s.Failures, ejections: s.Ejected, ejectedUntil: s.Until}
}
