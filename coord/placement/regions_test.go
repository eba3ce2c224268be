package placement_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/lotuswing/lotuswing/coord/placement"
)

// TestRegionsOfRouteAndTeam checks that the regions of a route and of a team both restrict a request,
// and that without names all regions are allowed.
func TestRegionsOfRouteAndTeam(t *testing.T) {
	west, both, east := placement.NewRegions([]string{"west"}), placement.NewRegions([]string{"west", "east"}), placement.NewRegions([]string{"east"})
	for name, c := range map[string]struct {
		regions       placement.Regions
		west, unknown bool
	}{
		"zero value":               {placement.Regions{}, true, true},
		"no names":                 {placement.NewRegions(nil), true, true},
		"west":                     {west, true, false},
		"east":                     {east, false, false},
		"west and east, with west": {both.Intersect(west), true, false},
		"west, with west and east": {west.Intersect(both), true, false},
		"west, with east":          {west.Intersect(east), false, false},
		"all, with west":           {placement.Regions{}.Intersect(west), true, false},
		"west, with all":           {west.Intersect(placement.Regions{}), true, false},
	} {
		assert.Equal(t, c.regions.Allows("west"), c.west, name)
		assert.Equal(t, c.regions.Allows(""), c.unknown, name)
	}
}
