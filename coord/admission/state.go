package admission

import "time"

// State is what one start of an endpoint has said of whether it wants requests. It is an
// immutable value; the zero value has heard nothing.
type State struct {
	leaving bool
	until   time.Time // end of its backoff
}

// With returns the state after an answer that came at a time. Nothing takes a word back: an
// endpoint that leaves does so for good, and a backoff lasts as long as the longest one asked for,
// since answers cross on their way.
func (s State) With(w Word, heard time.Time) State {
	s.leaving = s.leaving || w.Leaving
	if until := heard.Add(w.Backoff); w.Backoff > 0 && until.After(s.until) {
		s.until = until
	}
	return s
}

// WithSuspension returns the state after the VM was suspended for a while, in which its clock
// stood still.
func (s State) WithSuspension(slept time.Duration) State {
	if !s.until.IsZero() {
		s.until = s.until.Add(-slept)
	}
	return s
}

// Leaving reports whether the endpoint has said that it leaves.
func (s State) Leaving() bool { return s.leaving }

// Until returns when the endpoint's backoff ends; zero where it has never asked for one.
func (s State) Until() time.Time { return s.until }

// BackingOff reports whether the endpoint wants no request at now.
func (s State) BackingOff(now time.Time) bool { return now.Before(s.until) }
