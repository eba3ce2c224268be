package admission

import "time"

// Word is what one answer of an endpoint says about accepting further requests.
type Word struct {
	Leaving bool          // the endpoint is about to stop and wants no new requests from any balancer
	Backoff time.Duration // for how long it wants no requests from this balancer; 0 if it does not say
}

// Silent reports whether the answer says nothing about accepting requests.
func (w Word) Silent() bool { return w == Word{} }
