// Package pick chooses an endpoint when no home can be asked.
//
// A balancer that is on its own knows only what it has in flight itself. It
// compares two endpoints chosen at random and takes the one with less in
// flight (Mitzenmacher, "The power of two choices in randomized load
// balancing", 1996), leaving out those that are leaving, ejected or already
// tried.
//
// It owns no state; the caller's random numbers decide.
//
// # Usage
//
//	i, ok := pick.TwoChoices(candidates, rng)
package pick

import (
	"math/rand/v2"
)

// Candidate is one endpoint as the balancer sees it.
type Candidate struct {
	Usable   bool // neither leaving, ejected nor tried
	InFlight int  // own requests in flight
	Slowness float64
}

// TwoChoices returns the index of the chosen candidate.
func TwoChoices(list []Candidate, rng *rand.Rand) (int, bool) {
	first, ok := random(list, -1, rng)
	if !ok {
		return 0, false
	}
	second, ok := random(list, first, rng)
	if ok && list[second].load() < list[first].load() {
		return second, true
	}
	return first, true
}

func (c Candidate) load() float64 {
	return float64(c.InFlight+1) * max(c.Slowness, 1)
}

// random returns a usable candidate other than except, each equally likely.
func random(list []Candidate, except int, rng *rand.Rand) (int, bool) {
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
