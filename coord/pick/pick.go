// Package pick chooses an endpoint for a balancer that can reach no coordinator, and so knows only
// its own requests in flight.
//
// It compares two endpoints chosen at random and takes the one with the lower load (Mitzenmacher,
// "The power of two choices in randomized load balancing", 1996). Endpoints that are leaving,
// ejected or already tried are left out.
//
// The package owns no state; the caller passes the source of random numbers.
//
// # Usage
//
//	i, ok := pick.TwoChoices(candidates, rng)
package pick

import (
	"math/rand/v2"
)

// Candidate is what the balancer knows of one endpoint.
type Candidate struct {
	Usable   bool    // neither leaving, ejected nor already tried
	InFlight int     // requests that this balancer has in flight at the endpoint
	Slowness float64 // service time of the endpoint's requests as a multiple of the usual one; below 1 counts as 1
}

// TwoChoices returns the index of the less loaded of two usable candidates chosen at random, and
// whether there is a usable one.
func TwoChoices(list []Candidate, rng *rand.Rand) (int, bool) {
	first, ok := randomUsable(list, -1, rng)
	if !ok {
		return 0, false
	}
	second, ok := randomUsable(list, first, rng)
	if ok && list[second].load() < list[first].load() {
		return second, true
	}
	return first, true
}

// load returns the requests in flight including the next one, weighted by the slowness if that is
// above 1.
func (c Candidate) load() float64 {
	return float64(c.InFlight+1) * max(c.Slowness, 1)
}

// randomUsable returns the index of a usable candidate other than except, each equally likely, and
// whether there is one. It uses reservoir sampling.
func randomUsable(list []Candidate, except int, rng *rand.Rand) (int, bool) {
	chosen, seen := 0, 0
	for i, c := range list {
		if !c.Usable || i == except {
			continue
		}
		seen++
		if rng.IntN(seen) == 0 {
			chosen = i
		}
	}
	return chosen, seen > 0
}
