package logread_test

import (
	"strings"
	"testing"

	"github.com/lotuswing/lotuswing/logread"
	"gotest.tools/v3/assert"
)

// TestCarriedRequestIsFoundAtBothBalancers, the carrier before the balancer that got the request.
func TestCarriedRequestIsFoundAtBothBalancers(t *testing.T) {
	const at = "2026-05-01T00:00:01.000Z [INFO]  lotuswing."
	carrier := at + "detour: carrying a connection: tunnel=vm-1-7 from=vm-1 endpoint=10.0.0.1:80\n" +
		at + "detour: carrying a connection: tunnel=vm-1-8 from=vm-1 endpoint=10.0.0.1:80\n"
	own := at + "request: attempt ended: request=r-1 attempt=1 endpoint=e-1 verdict=ran carrier=10.0.0.9:71 tunnel=vm-1-7\n"
	parts, err := logread.Find("r-1", []logread.Source{
		{Name: "carrier.log", Log: strings.NewReader(carrier)}, {Name: "own.log", Log: strings.NewReader(own)},
	}, logread.Options{})
	assert.NilError(t, err)
	assert.Equal(t, len(parts), 2)
	assert.Equal(t, parts[0].Source, "carrier.log")
	assert.Assert(t, parts[0].Lines[0].Request)
	assert.Assert(t, !parts[0].Lines[1].Request)
	assert.Equal(t, parts[1].Source, "own.log")
}
