package subset_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/lotuswing/lotuswing/coord/subset"
	"gotest.tools/v3/assert"
)

const zones = 6

// members returns the endpoints of a service as a balancer in zone 0 sees them.
func members(n int) []subset.Member {
	list := make([]subset.Member, n)
	for i := range list {
		list[i] = subset.Member{ID: fmt.Sprintf("i-%08x", i*2654435761), SameZone: i%zones == 0}
	}
	return list
}

// TestSmallServiceIsDrawnWhole checks that the subset has all endpoints if there are no more than
// its size.
func TestSmallServiceIsDrawnWhole(t *testing.T) {
	for _, n := range []int{0, 1, 30, subset.Size} {
		list := members(n)
		for i := range list {
			list[i].NewVersion = i%10 == 1
		}
		assert.Equal(t, len(subset.Draw("vm", list, subset.Size)), n)
	}
}

// TestEveryEndpointIsInEnoughSubsets checks for several sizes of services and fleets that no
// endpoint is in far fewer or far more subsets than the others in its availability zone.
func TestEveryEndpointIsInEnoughSubsets(t *testing.T) {
	for _, c := range []struct{ balancers, endpoints int }{{300, 1000}, {984, 1488}, {984, 5772}, {1968, 11544}} {
		list := members(c.endpoints)
		subsetCounts := make([]int, c.endpoints)
		balancersInZone := c.balancers / zones
		smallest, largest := c.endpoints, 0
		for b := range balancersInZone { // balancers in zone 0
			drawn := subset.Draw(fmt.Sprintf("vm-%d", b), list, subset.Size)
			smallest, largest = min(smallest, len(drawn)), max(largest, len(drawn))
			for _, i := range drawn {
				subsetCounts[i]++
			}
		}
		totalCount := 0
		least, most := balancersInZone, 0
		for i := range list {
			if list[i].SameZone {
				totalCount += subsetCounts[i]
				least, most = min(least, subsetCounts[i]), max(most, subsetCounts[i])
			}
		}
		t.Logf("%d balancers, %d endpoints: subsets of %d to %d; an endpoint is in %d to %d of %d of its zone", c.balancers, c.endpoints, smallest, largest, least, most, balancersInZone)
		assert.Assert(t, smallest > subset.Size*3/4 && largest < subset.Size*5/4)
		mean := totalCount / (c.endpoints/zones + 1)
		assert.Assert(t, least >= mean/4, "an endpoint is in %d subsets, %d on average", least, mean)
		assert.Assert(t, most <= 3*mean)
	}
}

// TestMembershipChangeMovesFewEndpoints checks that if one endpoint of a service is removed, at
// most two others join or leave a subset.
func TestMembershipChangeMovesFewEndpoints(t *testing.T) {
	list := members(5000)
	drawn := func(l []subset.Member) map[string]bool {
		ids := map[string]bool{}
		for _, i := range subset.Draw("vm", l, subset.Size) {
			ids[l[i].ID] = true
		}
		return ids
	}
	before := drawn(list)
	for _, gone := range []int{0, 1, 2500, 4999} {
		after := drawn(slices.Delete(slices.Clone(list), gone, gone+1))
		moved := 0
		for id := range before {
			if !after[id] && id != list[gone].ID {
				moved++
			}
		}
		for id := range after {
			if !before[id] {
				moved++
			}
		}
		assert.Assert(t, moved <= 2, "%d endpoints moved", moved)
	}
}

// TestNewVersionIsInEverySubset checks that each balancer has endpoints of the new version in its
// subset during a rollout, however few they are, so that it can send them their share of the
// requests.
func TestNewVersionIsInEverySubset(t *testing.T) {
	list := members(3000)
	for i := range list {
		list[i].NewVersion = i >= 1500 && i < 1575
		list[i].Excluded = i >= 1575
	}
	for b := range 100 {
		drawnNew := 0
		for _, i := range subset.Draw(fmt.Sprint(b), list, subset.Size) {
			assert.Assert(t, !list[i].Excluded)
			if list[i].NewVersion {
				drawnNew++
			}
		}
		assert.Assert(t, drawnNew >= 20, "%d endpoints of the new version", drawnNew)
	}
}

// BenchmarkDraw measures one draw, which happens once for each change of a service's endpoints. It
// took 0.3 ms with 5,772 endpoints.
func BenchmarkDraw(b *testing.B) {
	list := members(5772)
	for b.Loop() {
		subset.Draw("vm", list, subset.Size)
	}
}
