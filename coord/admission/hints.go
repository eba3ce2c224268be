package admission

import (
	"slices"
	"time"
)

const (
	// mostHints is how many backoffs all balancers together tell one another of in hintsWithin,
	// as far as each has heard: where many endpoints want no requests there is nowhere else to go,
	// and each hint goes to every balancer.
	mostHints = 20
	// mostOwnHints is how many of these one balancer tells, which bounds what they all tell before
	// they hear of one another.
	mostOwnHints = 2
	hintsWithin  = time.Second
)

// Hints counts the backoffs that balancers tell one another of. It is an immutable value; the zero
// value has heard of none.
type Hints struct {
	heard, own []time.Time // lately
}

// Told returns the count after this balancer told of a backoff at now.
func (h Hints) Told(now time.Time) Hints {
	h.own = append(recent(h.own, now), now)
	return h.Heard(now)
}

// Heard returns the count after another balancer told of one at now.
func (h Hints) Heard(now time.Time) Hints {
	h.heard = append(recent(h.heard, now), now)
	return h
}

// Allow reports whether this balancer may tell of a backoff of an endpoint in a state: nobody else
// has, and there is room.
func (h Hints) Allow(s State, now time.Time) bool {
	return !s.Hinted(now) && len(recent(h.heard, now)) < mostHints && len(recent(h.own, now)) < mostOwnHints
}

// recent returns a copy of the times of the last window.
func recent(times []time.Time, now time.Time) []time.Time {
	i, _ := slices.BinarySearchFunc(times, now.Add(-hintsWithin), func(at, from time.Time) int {
		if at.After(from) {
			return 1
		}
		return -1
	})
	return slices.Clone(times[i:])
}
