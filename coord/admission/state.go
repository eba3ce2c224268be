package admission

import (
	"math"
	"time"
)

const (
	// shortestSlowStart and longestSlowStart bound the slow start after a backoff, which otherwise
	// takes as long as the backoff.
	shortestSlowStart = 250 * time.Millisecond
	longestSlowStart  = 2 * time.Second
	// trialFor is for how long one request is waited for before another one is tried.
	trialFor = time.Second
)

// State is what one start of an endpoint has said of whether it wants requests, and what became of
// requests sent there since. It is an immutable value; the zero value has heard nothing.
type State struct {
	leaving bool
	until   time.Time     // end of its backoff
	slow    time.Duration // of the slow start after it
	proved  bool          // it has run a request since
	trial   time.Time     // when a request was last sent there while that was not so
}

// With returns the state after an answer that came at a time. Nothing takes a word back: an
// endpoint that leaves does so for good, and a backoff lasts as long as the longest one asked for,
// since answers cross on their way.
func (s State) With(w Word, heard time.Time) State {
	s.leaving = s.leaving || w.Leaving
	until := heard.Add(w.Backoff)
	if w.Backoff > 0 && until.After(s.until) {
		s.until, s.proved, s.trial = until, false, time.Time{}
		s.slow = min(max(w.Backoff, shortestSlowStart), longestSlowStart)
	}
	return s
}

// WithSent returns the state after a request was sent to the endpoint.
func (s State) WithSent(now time.Time) State {
	if s.OnTrial(now) {
		s.trial = now
	}
	return s
}

// WithRun returns the state after the endpoint ran a request that was sent at a time.
func (s State) WithRun(sent time.Time) State {
	if !s.until.IsZero() && !sent.Before(s.until) {
		s.proved = true
	}
	return s
}

// WithSuspension returns the state after the VM was suspended for a while, in which its clock
// stood still.
func (s State) WithSuspension(slept time.Duration) State {
	for _, at := range []*time.Time{&s.until, &s.trial} {
		if !at.IsZero() {
			*at = at.Add(-slept)
		}
	}
	return s
}

// Leaving reports whether the endpoint has said that it leaves.
func (s State) Leaving() bool { return s.leaving }

// Until returns when the endpoint's backoff ends; zero where it has never asked for one.
func (s State) Until() time.Time { return s.until }

// BackingOff reports whether the endpoint wants no request at now.
func (s State) BackingOff(now time.Time) bool { return now.Before(s.until) }

// OnTrial reports whether a request that is sent at now tries whether the endpoint runs requests
// again.
func (s State) OnTrial(now time.Time) bool { return !s.proved && s.slowStart(now) }

// slowStart reports whether the endpoint gets requests again little by little.
func (s State) slowStart(now time.Time) bool {
	return !s.until.IsZero() && !now.Before(s.until) && now.Before(s.until.Add(s.slow))
}

// opens returns when a request may go to the endpoint, as far as its backoff decides. From the
// end of the backoff the share of the requests that may grows to all of them: lot, a random number
// in [0,1) of the request and the endpoint, is its place among them. A share of the usual requests
// is right however many balancers there are. The more urgent ones, of lower priority numbers, come
// first.
func (s State) opens(lot float64, priority int) time.Time {
	if s.until.IsZero() {
		return time.Time{}
	}
	rank := 1 / float64(1+max(0, priority))
	return s.until.Add(time.Duration(float64(s.slow) * math.Pow(lot, rank)))
}

// tried returns until when a request is waited for that tries whether the endpoint runs requests
// again; zero where none is.
func (s State) tried(now time.Time) time.Time {
	if s.trial.IsZero() || !s.OnTrial(now) {
		return time.Time{}
	}
	return s.trial.Add(trialFor)
}
