package admission

import (
	"slices"
	"time"
)

const (
	// maxHints is how many hints all balancers together may send within hintWindow, counted by
	// each balancer from those that it has sent and received. The number is bounded because each
	// hint goes to every balancer, and because hints do not help while many endpoints are backing
	// off: there are no others to prefer.
	maxHints = 20
	// maxOwnHints is how many of these one balancer may send. It bounds the total before balancers
	// have received the hints of each other.
	maxOwnHints = 2
	hintWindow  = time.Second
)

// Hints counts the hints that balancers have sent recently. A hint tells other balancers that an
// endpoint asked for a backoff. Hints is an immutable value; the zero value has counted none.
type Hints struct {
	heard, own []time.Time // times of all hints, and of those that this balancer sent, within hintWindow
}

// WithSent returns the count after this balancer sent a hint at now.
func (h Hints) WithSent(now time.Time) Hints {
	h.own = append(recent(h.own, now), now)
	return h.WithReceived(now)
}

// WithReceived returns the count after another balancer sent a hint that arrived at now.
func (h Hints) WithReceived(now time.Time) Hints {
	h.heard = append(recent(h.heard, now), now)
	return h
}

// Allow reports whether this balancer may send a hint about an endpoint with state s: no hint
// about it is in force, and neither maxHints nor maxOwnHints is reached.
func (h Hints) Allow(s State, now time.Time) bool {
	return !s.Hinted(now) && len(recent(h.heard, now)) < maxHints && len(recent(h.own, now)) < maxOwnHints
}

// recent returns a copy of the times after the start of the present hintWindow.
func recent(times []time.Time, now time.Time) []time.Time {
	i, _ := slices.BinarySearchFunc(times, now.Add(-hintWindow), func(at, from time.Time) int {
		if at.After(from) {
			return 1
		}
		return -1
	})
	return slices.Clone(times[i:])
}
