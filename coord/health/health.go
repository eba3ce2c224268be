// Package health judges an endpoint by its own completions, compared with its
// peers in the same service.
//
// A shed or failed answer is evidence against an endpoint and never a low
// latency. Completions enter as the ratio of their latency to what the service
// usually takes for that class of request, so that a long export and a short
// look-up can be compared. The average is taken of the logarithm: one request
// from a heavy tail does not make an endpoint look slow.
//
// The package owns no state: a State is an immutable value.
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

// Options of the rules. Zero fields take the defaults.
type Options struct {
	EjectAfter  int           // failures in a row before an endpoint is ejected; default 3
	EjectFor    time.Duration // first ejection, doubled each time; default 500 ms
	EjectMost   time.Duration // longest ejection; default 8 s
	SlowFactor  float64       // times the peers' median that count as slow; default 3
	SlowSamples int           // completions needed before the comparison; default 3
}

const (
	alpha       = 0.2 // weight of a new sample in the moving average
	mostDoubled = 10  // doublings of an ejection, which EjectMost bounds anyway
)

func (o Options) withDefaults() Options {
	o.EjectAfter = cmp.Or(o.EjectAfter, 3)
	o.EjectFor = cmp.Or(o.EjectFor, 500*time.Millisecond)
	o.EjectMost = cmp.Or(o.EjectMost, 8*time.Second)
	o.SlowFactor = cmp.Or(o.SlowFactor, 3)
	o.SlowSamples = cmp.Or(o.SlowSamples, 3)
	return o
}

// State is what is known of one endpoint. It is an immutable value.
type State struct {
	opts     Options
	log      float64 // moving average of the logarithm of the ratio
	slowness float64 // its exponential, kept because it is read far more often
	samples  int
	failures int // in a row
	ejected  int // times in a row
	until    time.Time
}

// New returns the state of an endpoint of which nothing is known.
func New(opts Options) State { return State{opts: opts.withDefaults(), slowness: 1} }

// Slowness returns how many times longer the endpoint takes than usual; 1
// while nothing is known.
func (s State) Slowness() float64 { return s.slowness }

// Known reports whether a request has completed.
func (s State) Known() bool { return s.samples > 0 }

// Ejected reports whether the endpoint gets no requests at now.
func (s State) Ejected(now time.Time) bool { return now.Before(s.until) }

// EjectedUntil returns the end of the last ejection.
func (s State) EjectedUntil() time.Time { return s.until }

// OnTrial reports whether an ejection has ended and no completion has come
// since: such an endpoint gets one request at a time.
func (s State) OnTrial(now time.Time) bool { return s.ejected > 0 && !s.Ejected(now) }

// WithCompletion returns the state after a request that ran to its end in
// ratio times what is usual.
func (s State) WithCompletion(ratio float64) State {
	sample := math.Log(max(ratio, math.SmallestNonzeroFloat32))
	if s.samples == 0 {
		s.log = sample * alpha
	} else {
		s.log += alpha * (sample - s.log)
	}
	s.slowness = math.Exp(s.log)
	s.samples++
	s.failures = 0
	s.ejected = 0
	return s
}

// WithFailure returns the state after an answer or connection that failed.
func (s State) WithFailure(now time.Time) State {
	s.failures++
	if s.failures >= s.opts.EjectAfter || s.OnTrial(now) {
		s = s.eject(now)
	}
	return s
}

// WithoutEjection returns the state with its ejection ended, for an endpoint
// that cannot be spared.
func (s State) WithoutEjection() State {
	s.until = time.Time{}
	s.ejected = 0
	return s
}

func (s State) eject(now time.Time) State {
	d := s.opts.EjectFor << min(s.ejected, mostDoubled)
	s.until = now.Add(min(d, s.opts.EjectMost))
	s.ejected++
	s.failures = 0
	return s
}

// Slow reports whether the endpoint is slow against the median slowness of its
// peers.
func (s State) Slow(median float64) bool {
	return s.samples >= s.opts.SlowSamples && s.Slowness() > s.opts.SlowFactor*median
}

// Median returns the median slowness of the states, 1 where there is none.
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
	return Snapshot{Log: s.log, Samples: s.samples, Failures: s.failures, Ejected: s.ejected, Until: s.until}
}

// Restore returns the state that a snapshot was taken of.
func Restore(opts Options, s Snapshot) State {
	return State{opts: opts.withDefaults(), log: s.Log, slowness: math.Exp(s.Log), samples: s.Samples, failures: s.Failures, ejected: s.Ejected, until: s.Until}
}
