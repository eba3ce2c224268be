package window_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/lotuswing/lotuswing/coord/window"
)

// TestMost checks that a window excludes the moment at which it ends.
func TestMost(t *testing.T) {
	start := time.Unix(1000, 0)
	for name, c := range map[string]struct {
		ms   []int
		want int
	}{
		"none":               {nil, 0},
		"one":                {[]int{0}, 1},
		"at the same moment": {[]int{5, 5, 5}, 3},
		"just within":        {[]int{0, 999}, 2},
		"just outside":       {[]int{0, 1000}, 1},
		"the last ones":      {[]int{0, 1500, 2000, 2400}, 3},
		"in the middle":      {[]int{0, 600, 900, 1100, 1300, 2700}, 4},
	} {
		var events []time.Time
		for _, ms := range c.ms {
			events = append(events, start.Add(time.Duration(ms)*time.Millisecond))
		}
		assert.Equal(t, window.MaxCount(events, time.Second), c.want, name)
	}
}
