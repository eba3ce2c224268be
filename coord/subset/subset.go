// Package subset draws the subset of a service's endpoints among which one balancer chooses, if
// the service has more endpoints than each choice should consider.
//
// Each balancer draws its subset without coordination: a hash of the IDs of balancer and endpoint
// decides whether the endpoint is in it. So each endpoint is in about as many subsets as any other
// in its availability zone, and when an endpoint joins or leaves, the probability of each other one
// to be drawn changes only slightly.
//
// The package owns no state and relies on no other package of this module.
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
	// Size is the approximate number of endpoints in a subset. A choice ranks all of them again
	// after each probe. With 984 balancers, each of 5,772 endpoints is in some 33 subsets.
	Size = 192
	// sameZoneShare is the least share of endpoints in the balancer's own availability zone among
	// those in a subset that do not run the new version, provided that the zone has that many. It
	// is high since requests leave the zone only if it has no room.
	sameZoneShare = 0.75
	// newVersionShare is the least share of endpoints of the new version in a subset during a
	// rollout, provided that there are that many. Each balancer needs some of them, since the new
	// version gets its fraction of the requests however few endpoints it has.
	newVersionShare = 0.25
)

// Member is an endpoint to draw from.
type Member struct {
	ID         string
	SameZone   bool // in the balancer's own availability zone
	NewVersion bool // runs the new version during a rollout
	Excluded   bool // must not be drawn
}

// Draw returns the indices of the members in a balancer's subset. These are all members that are
// not excluded if there are no more than size, and about size of them otherwise.
func Draw(balancer string, members []Member, size int) []int {
	var sameZone, otherZone, newVersion int
	for i := range members {
		switch m := &members[i]; {
		case m.Excluded:
		case m.NewVersion:
			newVersion++
		case m.SameZone:
			sameZone++
		default:
			otherZone++
		}
	}
	wanted := float64(size)
	if sameZone+otherZone+newVersion <= size {
		return eligible(members)
	}
	newVersionProbability := drawProbability(max(newVersionShare*wanted, wanted-float64(sameZone+otherZone)), newVersion)
	wanted -= newVersionProbability * float64(newVersion)
	sameZoneProbability := drawProbability(max(sameZoneShare*wanted, wanted-float64(otherZone)), sameZone)
	wanted -= sameZoneProbability * float64(sameZone)
	otherZoneProbability := drawProbability(wanted, otherZone)
	balancerHash := xxhash.Sum64String(balancer)
	var drawn []int
	for i := range members {
		probability := otherZoneProbability
		switch m := &members[i]; {
		case m.Excluded:
			continue
		case m.NewVersion:
			probability = newVersionProbability
		case m.SameZone:
			probability = sameZoneProbability
		}
		if probability >= 1 || hashFraction(balancerHash, members[i].ID) < probability {
			drawn = append(drawn, i)
		}
	}
	return drawn
}

// eligible returns the indices of all members that are not excluded.
func eligible(members []Member) []int {
	drawn := make([]int, 0, len(members))
	for i := range members {
		if !members[i].Excluded {
			drawn = append(drawn, i)
		}
	}
	return drawn
}

// drawProbability returns the probability of drawing each of a number of members with which wanted
// of them are drawn on average. It exceeds 1 if more are wanted than there are.
func drawProbability(wanted float64, members int) float64 {
	if members == 0 {
		return 0
	}
	return max(0, wanted/float64(members))
}

// hashFraction returns a number from 0 to 1 that depends only on a balancer's hash and an
// endpoint's ID.
func hashFraction(balancerHash uint64, id string) float64 {
	return float64(mix(balancerHash^xxhash.Sum64String(id))) / math.MaxUint64
}

// mix spreads the bits of a number. It is the finalizer of splitmix64.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
