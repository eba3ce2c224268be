// Package subset draws the endpoints among which one balancer chooses where a service has
// more of them than a choice should look at.
//
// Each balancer draws for itself and asks nobody: whether an endpoint is in its subset is
// decided by a hash of both names. So every endpoint is in about as many subsets as any
// other one of its availability zone, and one that joins or leaves changes nothing for the
// others but by the little that it moves the odds.
//
// The package owns no state and relies on nothing.
//
// # Usage
//
//	in := subset.Draw("vm-1", endpoints, subset.Size)
package subset

import (
	"math"

	"github.com/cespare/xxhash/v2"
)

const (
	// Size is how many endpoints a subset has, about. A choice looks at all of them after each
	// probe. 984 balancers have each of 5,772 endpoints in some 33 subsets.
	Size = 192
	// nearShare is the part of a subset that is of the balancer's own availability zone, as
	// far as there are so many: requests leave the zone only where it has no room.
	nearShare = 0.75
	// trialShare is the part that endpoints of a version have that comes in, which get a
	// part of the requests however few they are.
	trialShare = 0.25
)

// Member is an endpoint to draw from.
type Member struct {
	ID    string
	Near  bool // of the balancer's own availability zone
	Trial bool // runs a version that comes in
	Out   bool // must not be drawn
}

// Draw returns the indices of the members that are in a balancer's subset: all that may be,
// where they are no more than size.
func Draw(balancer string, members []Member, size int) []int {
	var near, far, trial int
	for i := range members {
		switch m := &members[i]; {
		case m.Out:
		case m.Trial:
			trial++
		case m.Near:
			near++
		default:
			far++
		}
	}
	wanted := float64(size)
	if near+far+trial <= size {
		return all(members)
	}
	trialOdds := oddsOf(max(trialShare*wanted, wanted-float64(near+far)), trial)
	wanted -= trialOdds * float64(trial)
	nearOdds := oddsOf(max(nearShare*wanted, wanted-float64(far)), near)
	wanted -= nearOdds * float64(near)
	farOdds := oddsOf(wanted, far)
	self := xxhash.Sum64String(balancer)
	var drawn []int
	for i := range members {
		odds := farOdds
		switch m := &members[i]; {
		case m.Out:
			continue
		case m.Trial:
			odds = trialOdds
		case m.Near:
			odds = nearOdds
		}
		if odds >= 1 || lot(self, members[i].ID) < odds {
			drawn = append(drawn, i)
		}
	}
	return drawn
}

// all returns the indices of all members that may be drawn.
func all(members []Member) []int {
	drawn := make([]int, 0, len(members))
	for i := range members {
		if !members[i].Out {
			drawn = append(drawn, i)
		}
	}
	return drawn
}

// oddsOf returns the odds with which each of some members is drawn for so many to be.
func oddsOf(wanted float64, members int) float64 {
	if members == 0 {
		return 0
	}
	return max(0, wanted/float64(members))
}

// lot returns a number from 0 to 1 that two names decide.
func lot(self uint64, id string) float64 {
	return float64(mix(self^xxhash.Sum64String(id))) / math.MaxUint64
}

// mix spreads the bits of a number (the finalizer of splitmix64).
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
