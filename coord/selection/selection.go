// Package selection chooses an endpoint from reports of load, for a balancer
// that decides without asking another one.
//
// A report says what an endpoint is doing and how long work takes there at the
// moment (its pace: 1 as usual, 5 for five times as long). Both change within
// milliseconds, so a report loses its weight with age: the pace drifts back to
// the mean of what has been seen, and requests sent since the report are added
// to its queue.
//
// The package decides; it has no clock, does no input or output and starts no
// goroutine.
//
// # Usage
//
//	state = state.WithReport(selection.Report{Running: 1, Slots: 3, Pace: 1, At: now})
//	state = state.WithSent(now)
//	estimate := state.Estimate(work, options, now)
package selection

import (
	"cmp"
	"math"
	"time"
)

// Options of the estimate. Zero fields take the defaults.
type Options struct {
	PaceMemory time.Duration // time constant with which a reported pace loses its weight; default 150 ms
	MeanPace   float64       // pace of an endpoint of which nothing fresh is known; default 1.8
	BusyMemory time.Duration // age from which a report says nothing of other callers' requests; default 400 ms
	ColdPace   float64       // factor of the work while an endpoint warms up; default 2
}

// WithDefaults returns the options with zero fields filled in.
func (o Options) WithDefaults() Options {
	o.PaceMemory = cmp.Or(o.PaceMemory, 150*time.Millisecond)
	o.MeanPace = cmp.Or(o.MeanPace, 1.8)
	o.BusyMemory = cmp.Or(o.BusyMemory, 400*time.Millisecond)
	o.ColdPace = cmp.Or(o.ColdPace, 2)
	return o
}

// Report is an endpoint's word about its load.
type Report struct {
	Running int
	Waiting int
	Slots   int
	Pace    float64 // how long work takes now, 1 as usual
	At      time.Time
}

// State is what is known of the load of one endpoint. It is an immutable
// value; the zero value knows nothing.
type State struct {
	report   Report
	inFlight int // own requests
	since    int // own requests sent since the report
	ended    int // own requests ended since the report
}

// WithReport returns the state after a report. An older report than the one
// known changes nothing.
func (s State) WithReport(r Report) State {
	if r.At.Before(s.report.At) {
		return s
	}
	s.report = r
	s.since, s.ended = 0, 0
	return s
}

// WithSent returns the state after a request was sent.
func (s State) WithSent() State {
	s.inFlight++
	s.since++
	return s
}

// WithEnded returns the state after a request ended.
func (s State) WithEnded() State {
	s.inFlight = max(0, s.inFlight-1)
	s.ended++
	return s
}

// InFlight returns the number of own requests.
func (s State) InFlight() int { return s.inFlight }

// Report returns the last report.
func (s State) Report() Report { return s.report }

// Age returns how old the last report is; very old when there is none.
func (s State) Age(now time.Time) time.Duration {
	if s.report.At.IsZero() {
		return math.MaxInt64
	}
	return now.Sub(s.report.At)
}

// Busy returns how many requests the endpoint is thought to hold at now. What an
// old report said of other callers' requests is over: an endpoint that was full
// then is as good as one that was never heard of.
func (s State) Busy(o Options, now time.Time) int {
	if s.Age(now) > o.BusyMemory {
		return s.inFlight
	}
	return max(s.inFlight, s.report.Running+s.report.Waiting+s.since-s.ended)
}

// Pace returns the pace expected at now.
func (s State) Pace(o Options, now time.Time) float64 {
	if s.report.At.IsZero() || s.report.Pace <= 0 {
		return o.MeanPace
	}
	weight := math.Exp(-float64(now.Sub(s.report.At)) / float64(o.PaceMemory))
	return o.MeanPace + (s.report.Pace-o.MeanPace)*weight
}

// Endpoint is what an estimate needs to know beside the load.
type Endpoint struct {
	Slots    int
	Warm     bool    // no longer starting
	Slowness float64 // of its completions against its peers, 1 as usual
	Crowded  float64 // factor of the work on the last free slot, 1 where it makes no difference
}

// Estimate returns how long a request would take if it were sent at now, given
// how long its work takes as usual.
func (s State) Estimate(e Endpoint, work time.Duration, o Options, now time.Time) time.Duration {
	slots := s.Slots(e.Slots)
	pace := s.Pace(o, now) * max(1, e.Slowness)
	if !e.Warm {
		pace *= o.ColdPace
	}
	busy := s.Busy(o, now)
	if busy+1 >= slots {
		pace *= max(1, e.Crowded)
	}
	served := float64(work) * pace
	if waiting := busy - slots + 1; waiting > 0 {
		served += float64(work) * pace * float64(waiting) / float64(slots)
	}
	return time.Duration(served)
}

// Slots returns how many requests the endpoint works on at once: its own word
// or, without one, what its entry says.
func (s State) Slots(listed int) int {
	if s.report.Slots > 0 {
		return s.report.Slots
	}
	return max(1, listed)
}

// Room returns how many requests an endpoint should hold at most. One whose
// last slot slows all work by more than the slot adds is better off without it.
func (s State) Room(e Endpoint) int {
	slots := s.Slots(e.Slots)
	if slots > 1 && e.Crowded > float64(slots)/float64(slots-1) {
		return slots - 1
	}
	return slots
}
