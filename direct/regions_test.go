package direct_test

import (
	"context"
	"testing"

	"github.com/lotuswing/lotuswing/coord/placement"
	"github.com/lotuswing/lotuswing/coord/reason"
	"github.com/lotuswing/lotuswing/coord/selection"
	"gotest.tools/v3/assert"
)

// TestRequestsStayInTheirRegions checks that endpoints outside the regions of a request are neither
// chosen nor probed, however good they are. Endpoints with even numbers are in the region
// "west", those with odd numbers in "east".
func TestRequestsStayInTheirRegions(t *testing.T) {
	for name, c := range map[string]struct {
		regions []string
		chosen  string
		reason  reason.Code
	}{
		"own region":           {regions: []string{"west"}, chosen: "e0"},
		"another one":          {regions: []string{"east"}, chosen: "e1"},
		"one that is not here": {regions: []string{"north"}, reason: reason.OutOfRegion},
		"none is named":        {chosen: "e0"},
	} {
		t.Run(name, func(t *testing.T) {
			r := newFixture(2, selection.Options{})
			request := newRequest()
			request.Regions = placement.NewRegions(c.regions)
			g, refused := r.Acquire(context.Background(), request)
			if c.reason != "" {
				assert.Assert(t, refused != nil)
				assert.Equal(t, refused.Reason, c.reason)
				assert.Equal(t, r.prober.probesTo("e0", "e1"), 0)
				return
			}
			assert.Assert(t, refused == nil)
			assert.Equal(t, g.Endpoint.VM, c.chosen)
			assert.Equal(t, r.prober.probesTo("e0", "e1"), r.prober.probesTo(c.chosen))
		})
	}
}
