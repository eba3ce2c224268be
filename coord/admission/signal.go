package admission

import "time"

// Signal is what one answer of an endpoint says about accepting further requests.
type Signal struct {
	Leaving bool          // the endpoint is about to stop and wants no new requests from any balancer
	Backoff time.Duration // for how long it wants no requests from this balancer; 0 if it does not say
}

// IsEmpty reports whether the answer says nothing about accepting requests.
func (s Signal) IsEmpty() bool { return s == Signal{} }
