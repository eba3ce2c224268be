package bootstrap

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestFanOut tests that the copies sent take up to a tenth of a second of link time, and that their
// number is between 2 and 64, or 8 if the link rate or the size is unknown.
func TestFanOut(t *testing.T) {
	const mbit = 1e6 / 8 // bytes per second of a link of 1 Mbit/s
	for _, c := range []struct {
		size int
		rate float64
		want int
	}{
		{37 << 10, 20 * mbit, 6},
		{37 << 10, 200 * mbit, 64},
		{100 << 10, 200 * mbit, 24},
		{1 << 20, 20 * mbit, 2},
		{37 << 10, 0, 8},
		{0, 20 * mbit, 8},
	} {
		assert.Equal(t, fanOut(c.size, c.rate), c.want, "%d bytes at %v", c.size, c.rate)
	}
}
