package admission

import "time"

// Word is what one answer says of whether its endpoint wants requests.
type Word struct {
	Leaving bool          // it will end, and wants no new request from anybody
	Backoff time.Duration // for how long it wants no request from this balancer; 0 where it does not say
}

// Silent reports whether the answer says nothing of it.
func (w Word) Silent() bool { return w == Word{} }
