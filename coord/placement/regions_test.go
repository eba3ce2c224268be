package placement_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/lotuswing/lotuswing/coord/placement"
)

// TestRegionsOfRouteAndTeam: both bind, and none binds nothing.
func TestRegionsOfRouteAndTeam(t *testing.T) {
	west, both, east := placement.Within([]string{"west"}), placement.Within([]string{"west", "east"}), placement.Within([]string{"east"})
	for name, c := range map[string]struct {
		regions    placement.Regions
		west, none bool
	}{
		"none":            {placement.Regions{}, true, true},
		"no names":        {placement.Within(nil), true, true},
		"one":             {west, true, false},
		"another":         {east, false, false},
		"both":            {both.With(west), true, false},
		"the other way":   {west.With(both), true, false},
		"nothing in both": {west.With(east), false, false},
		"only of one":     {placement.Regions{}.With(west), true, false},
		"only of another": {west.With(placement.Regions{}), true, false},
	} {
		assert.Equal(t, c.regions.Allow("west"), c.west, name)
		assert.Equal(t, c.regions.Allow(""), c.none, name)
	}
}
