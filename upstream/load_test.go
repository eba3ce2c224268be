package upstream_test

import (
	"testing"

	"github.com/lotuswing/lotuswing/coord/placement"
	"github.com/lotuswing/lotuswing/upstream"
	"gotest.tools/v3/assert"
)

// TestLoadReports checks that a load report survives formatting and parsing, and that one without
// a defined state is not known.
func TestLoadReports(t *testing.T) {
	want := placement.LoadReport{Known: true, InFlight: 2, Slots: 3, State: placement.Draining}
	assert.Equal(t, upstream.ParseLoad("inflight=2, slots=3, state=draining"), want)
	assert.Equal(t, upstream.ParseLoad(upstream.FormatLoad(want)), want)
	assert.Assert(t, !upstream.ParseLoad("").Known)
	assert.Assert(t, !upstream.ParseLoad("inflight=2, state=happy").Known)
}

// FuzzParseLoad checks that a known load report survives formatting and parsing.
func FuzzParseLoad(f *testing.F) {
	f.Add("inflight=2, slots=3, state=cold")
	f.Fuzz(func(t *testing.T, header string) {
		load := upstream.ParseLoad(header)
		if load.Known {
			assert.Equal(t, upstream.ParseLoad(upstream.FormatLoad(load)), load)
		}
	})
}
