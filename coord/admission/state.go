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
	own     pause     // for which it wanted no requests from this balancer
	proved  bool      // it has run a request since
	trial   time.Time // when a request was last sent there while that was not so
	others  pause     // for which it wanted no requests from another balancer
}

// pause is a time without requests and the slow start after it.
type pause struct {
	until time.Time
	slow  time.Duration
}

func newPause(d time.Duration, from time.Time) pause {
	return pause{until: from.Add(d), slow: min(max(d, shortestSlowStart), longestSlowStart)}
}

// silent reports whether nothing was said, as of most endpoints at most times.
func (s *State) silent() bool {
	return !s.leaving && s.own.until.IsZero() && s.others.until.IsZero()
}

// With returns the state after an answer that came at a time. Nothing takes a word back: an
// endpoint that leaves does so for good, and a backoff lasts as long as the longest one asked for,
// since answers cross on their way.
func (s State) With(w Word, heard time.Time) State {
	s.leaving = s.leaving || w.Leaving
	if p := newPause(w.Backoff, heard); w.Backoff > 0 && p.until.After(s.own.until) {
		s.own, s.proved, s.trial = p, false, time.Time{}
	}
	return s
}

// WithHint returns the state after another balancer told that the endpoint wants no requests from
// it for a while. That binds nobody else, but the endpoint is likely to refuse others as well.
func (s State) WithHint(d time.Duration, heard time.Time) State {
	if p := newPause(d, heard); d > 0 && p.until.After(s.others.until) {
		s.others = p
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
	if !s.own.until.IsZero() && !sent.Before(s.own.until) {
		s.proved = true
	}
	return s
}

// WithSuspension returns the state after the VM was suspended for a while, in which its clock
// stood still.
func (s State) WithSuspension(slept time.Duration) State {
	for _, at := range []*time.Time{&s.own.until, &s.others.until, &s.trial} {
		if !at.IsZero() {
			*at = at.Add(-slept)
		}
	}
	return s
}

// Leaving reports whether the endpoint has said that it leaves.
func (s State) Leaving() bool { return s.leaving }

// Until returns when the endpoint's backoff ends; zero where it has never asked for one.
func (s State) Until() time.Time { return s.own.until }

// BackingOff reports whether the endpoint wants no request at now.
func (s State) BackingOff(now time.Time) bool { return now.Before(s.own.until) }

// OnTrial reports whether a request that is sent at now tries whether the endpoint runs requests
// again.
func (s State) OnTrial(now time.Time) bool { return !s.proved && s.SlowStart(now) }

// SlowStart reports whether the endpoint gets requests again little by little.
func (s State) SlowStart(now time.Time) bool {
	return !s.own.until.IsZero() && !now.Before(s.own.until) && now.Before(s.own.until.Add(s.own.slow))
}

// opens returns when a request may go to the endpoint, as far as the pause decides. From its end the
// share of the requests that may grows to all of them: lot, a random number in [0,1) of the request
// and the endpoint, is its place among them. A share of the usual requests is right however many
// balancers there are. The more urgent ones, of lower priority numbers, come first.
func (p pause) opens(lot float64, priority int) time.Time {
	if p.until.IsZero() {
		return time.Time{}
	}
	rank := 1 / float64(1+max(0, priority))
	return p.until.Add(time.Duration(float64(p.slow) * math.Pow(lot, rank)))
}

// HintedUntil returns when the backoff ends that another balancer told of; zero for none.
func (s State) HintedUntil() time.Time { return s.others.until }

// Hinted reports whether another balancer has told that the endpoint wants no requests at now.
func (s State) Hinted(now time.Time) bool { return now.Before(s.others.until) }

// tried returns until when a request is waited for that tries whether the endpoint runs requests
// again; zero where none is.
func (s State) tried(now time.Time) time.Time {
	if s.trial.IsZero() || !s.OnTrial(now) {
		return time.Time{}
	}
	return s.trial.Add(trialFor)
}

// Snapshot is the part of a State that decides for one ledger of all requests, as it is written to a
// trace.
type Snapshot struct {
	Until  time.Time     `json:"until"`
	Slow   time.Duration `json:"slow_start"`
	Proved bool          `json:"proved"`
	Trial  time.Time     `json:"trial"`
}

// Snapshot returns the state in a form that can be stored.
func (s State) Snapshot() Snapshot {
	return Snapshot{Until: s.own.until, Slow: s.own.slow, Proved: s.proved, Trial: s.trial}
}

// Restore returns the state that a snapshot was taken of.
func Restore(s Snapshot) State {
	return State{own: pause{until: s.Until, slow: s.Slow}, proved: s.Proved, trial: s.Trial}
}
