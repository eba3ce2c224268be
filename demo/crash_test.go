package demo

import (
	"testing"
	"time"

	"github.com/lotuswing/lotuswing/platform/platformtest"
	"gotest.tools/v3/assert"
)

// TestLateEnds: what ends with the third endpoint, under copies of the request that several
// balancers had sent before anybody knew, is not late; what reaches one when the fleet must know is.
func TestLateEnds(t *testing.T) {
	start := time.Unix(1000, 0)
	for name, c := range map[string]struct {
		ms   []int
		want int
	}{
		"none":                                  {nil, 0},
		"two":                                   {[]int{0, 5000}, 0},
		"two copies at once, then three trials": {[]int{0, 0, 221, 264, 4000, 4100, 4200}, 3},
		"one after the other for ever":          {[]int{0, 100, 200, 300, 4000, 4100, 4200, 4300}, 4},
		"in any order":                          {[]int{4100, 0, 300, 200, 100, 4000}, 2},
		"all at once":                           {[]int{0, 1, 2, 3, 4, 5, 6, 7}, 0},
	} {
		var ends []platformtest.End
		for _, ms := range c.ms {
			at := start.Add(time.Duration(ms) * time.Millisecond)
			ends = append(ends, platformtest.End{Began: at.Add(-20 * time.Millisecond), At: at})
		}
		assert.Equal(t, lateEnds(ends, func(from, to time.Time) time.Duration { return to.Sub(from) }), c.want, name)
	}
}
