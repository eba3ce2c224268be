package selection

import "time"

// When a whole fleet starts, no balancer knows the load of any endpoint, nor how many balancers start
// with it. While it is starting, a balancer therefore chooses among few endpoints, so that it opens few
// connections.

const (
	// startDuration is how long a balancer counts as starting, from its first request. By then a
	// fleet that starts within half a second has reports of all endpoints.
	startDuration = 3 * time.Second
	// startPoolSize is the number of endpoints of a service among which a balancer chooses at first.
	// It doubles each startPoolStep.
	startPoolSize = 16
	startPoolStep = 500 * time.Millisecond
)

// Start is the state of a balancer that is starting. It is an immutable value; the zero value belongs
// to a balancer that has had no request.
type Start struct{ began time.Time }

// WithRequest returns the state when a request arrives.
func (s Start) WithRequest(now time.Time) Start {
	if s.began.IsZero() {
		s.began = now
	}
	return s
}

// Lasts reports whether the balancer is starting at now.
func (s Start) Lasts(now time.Time) bool { return now.Sub(s.began) < startDuration }

// PoolSize returns the number of endpoints of a service among which the balancer chooses; full is the
// number once it has started.
func (s Start) PoolSize(full int, now time.Time) int {
	if !s.Lasts(now) {
		return full
	}
	return min(full, startPoolSize<<(now.Sub(s.began)/startPoolStep))
}
