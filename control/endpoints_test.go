package control

import (
	"bytes"
	"testing"

	"github.com/lotuswing/lotuswing/command"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

// TestEndpointsOfLogs in their orders, by service and as many as are asked for.
func TestEndpointsOfLogs(t *testing.T) {
	for _, c := range []struct {
		golden, service, by string
		most                int
	}{
		{"endpoints-all.golden", "", "all", 0},
		{"endpoints-failed.golden", "archives", "failed", 1},
		{"endpoints-unknown.golden", "", "unknown", 2},
	} {
		var out bytes.Buffer
		assert.NilError(t, endpoints(&command.Env{Out: &out, Format: "table"}, c.service, c.by, c.most, []string{"testdata/endpoints.log"}))
		golden.Assert(t, out.String(), c.golden)
	}
	err := endpoints(&command.Env{}, "", "all", 0, []string{"testdata/absent.log"})
	assert.ErrorContains(t, err, "absent.log")
}
