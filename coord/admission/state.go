package admission

import (
	"math"
	"time"
)

const (
	// minSlowStart and maxSlowStart bound the duration of the slow start, which is otherwise that
	// of the backoff before it.
	minSlowStart = 250 * time.Millisecond
	maxSlowStart = 2 * time.Second
	// trialTimeout is how long a trial request may take before another one is sent.
	trialTimeout = time.Second
)

// State is what one incarnation of an endpoint has said about accepting requests, and the outcome
// of requests sent since. It is an immutable value; the zero value says that the endpoint has said
// nothing.
type State struct {
	leaving   bool
	own       backoff   // the backoff that ends last of those that it has asked this balancer for
	recovered bool      // it has run a request that was sent after the end of own
	trialSent time.Time // when the last trial request was sent in the slow start; zero for none
	hinted    backoff   // the backoff that ends last of those that it has asked other balancers for
}

// backoff is a time without requests and the slow start after it.
type backoff struct {
	until     time.Time     // end of the backoff
	slowStart time.Duration // duration of the slow start
}

func newBackoff(d time.Duration, from time.Time) backoff {
	return backoff{until: from.Add(d), slowStart: min(max(d, minSlowStart), maxSlowStart)}
}

// isEmpty reports whether the endpoint has said nothing, which is the usual case.
func (s *State) isEmpty() bool {
	return !s.leaving && s.own.until.IsZero() && s.hinted.until.IsZero()
}

// With returns the state after an answer that arrived at heard. Nothing revokes what an answer
// said, since answers may arrive out of order: an endpoint that is leaving does not return, and a
// backoff lasts until the latest end that was asked for.
func (s State) With(signal Signal, heard time.Time) State {
	s.leaving = s.leaving || signal.Leaving
	if b := newBackoff(signal.Backoff, heard); signal.Backoff > 0 && b.until.After(s.own.until) {
		s.own, s.recovered, s.trialSent = b, false, time.Time{}
	}
	return s
}

// WithHint returns the state after a hint that the endpoint asked another balancer for a backoff
// of d. The hint does not forbid requests, but the endpoint is likely to refuse this balancer as
// well.
func (s State) WithHint(d time.Duration, heard time.Time) State {
	if b := newBackoff(d, heard); d > 0 && b.until.After(s.hinted.until) {
		s.hinted = b
	}
	return s
}

// WithSent returns the state after a request was sent to the endpoint at now.
func (s State) WithSent(now time.Time) State {
	if s.OnTrial(now) {
		s.trialSent = now
	}
	return s
}

// WithRun returns the state after the endpoint ran a request that was sent at the given time.
func (s State) WithRun(sent time.Time) State {
	if !s.own.until.IsZero() && !sent.Before(s.own.until) {
		s.recovered = true
	}
	return s
}

// WithSuspension returns the state after the VM was suspended for the given time, during which its
// clock stood still.
func (s State) WithSuspension(suspended time.Duration) State {
	for _, at := range []*time.Time{&s.own.until, &s.hinted.until, &s.trialSent} {
		if !at.IsZero() {
			*at = at.Add(-suspended)
		}
	}
	return s
}

// Leaving reports whether the endpoint has said that it is leaving.
func (s State) Leaving() bool { return s.leaving }

// BackoffUntil returns when the endpoint's backoff ends; zero if it has never asked for one.
func (s State) BackoffUntil() time.Time { return s.own.until }

// BackingOff reports whether the endpoint wants no requests from this balancer at now.
func (s State) BackingOff(now time.Time) bool { return now.Before(s.own.until) }

// OnTrial reports whether a request sent at now is a trial: the endpoint is in its slow start and
// has not run a request since its backoff.
func (s State) OnTrial(now time.Time) bool { return !s.recovered && s.SlowStart(now) }

// SlowStart reports whether the endpoint is in the slow start after a backoff.
func (s State) SlowStart(now time.Time) bool {
	return !s.own.until.IsZero() && !now.Before(s.own.until) && now.Before(s.own.until.Add(s.own.slowStart))
}

// admitsAt returns when a request may be sent to the endpoint as far as the backoff is concerned;
// zero if there was none. During the slow start the share of requests that may be sent grows to
// all of them. random, a random number in [0,1) for the request and the endpoint, is the position
// of the request among them. Each balancer applies the share to its own requests, so it need not
// know how many balancers there are. More urgent requests, which have lower priority numbers, are
// admitted earlier.
func (b backoff) admitsAt(random float64, priority int) time.Time {
	if b.until.IsZero() {
		return time.Time{}
	}
	exponent := 1 / float64(1+max(0, priority))
	return b.until.Add(time.Duration(float64(b.slowStart) * math.Pow(random, exponent)))
}

// HintedUntil returns when the hinted backoff ends; zero if there was no hint.
func (s State) HintedUntil() time.Time { return s.hinted.until }

// Hinted reports whether a hinted backoff is in force at now.
func (s State) Hinted(now time.Time) bool { return now.Before(s.hinted.until) }

// trialDeadline returns until when the outcome of a trial request is awaited; zero if none was
// sent, or no trial is needed at now.
func (s State) trialDeadline(now time.Time) time.Time {
	if s.trialSent.IsZero() || !s.OnTrial(now) {
		return time.Time{}
	}
	return s.trialSent.Add(trialTimeout)
}

// Snapshot is the part of a State that is written to a trace of all requests to an endpoint. It
// contains neither hints, since the trace covers all balancers, nor whether the endpoint is
// leaving, which the trace records separately.
type Snapshot struct {
	Until     time.Time     `json:"until"`
	SlowStart time.Duration `json:"slow_start"`
	Recovered bool          `json:"proved"`
	TrialSent time.Time     `json:"trial"`
}

// Snapshot returns the state in a form that can be stored.
func (s State) Snapshot() Snapshot {
	return Snapshot{Until: s.own.until, SlowStart: s.own.slowStart, Recovered: s.recovered, TrialSent: s.trialSent}
}

// Restore returns the state from which a snapshot was taken.
func Restore(s Snapshot) State {
	return State{own: backoff{until: s.Until, slowStart: s.SlowStart}, recovered: s.Recovered, trialSent: s.TrialSent}
}
