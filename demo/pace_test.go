package demo

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestPaceLeavesOutWhatTheProcessDidNotGet: beats that come late count as little as two, those in
// time, or nearly, count whole.
func TestPaceLeavesOutWhatTheProcessDidNotGet(t *testing.T) {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	var p pace
	for _, ms := range []int{0, 10, 20, 31, 42, 542, 552, 560, 570} {
		p.note(at(ms))
	}
	for _, c := range []struct{ from, to, want int }{
		{0, 42, 42},
		{5, 25, 20},
		{42, 542, 20},
		{0, 570, 90},
		{100, 500, 20},
		{552, 565, 13},
		{570, 580, 10},
		{570, 900, 20},
		{20, 20, 0},
	} {
		assert.Equal(t, p.used(at(c.from), at(c.to)), time.Duration(c.want)*time.Millisecond, "%+v", c)
	}
}
