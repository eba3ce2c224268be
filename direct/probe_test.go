package direct

import (
	"context"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/lotuswing/lotuswing/coord/placement"
	"github.com/lotuswing/lotuswing/directory"
	"github.com/lotuswing/lotuswing/upstream"
	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"
)

// idleProber responds for every endpoint that it is idle.
type idleProber struct{}

func (idleProber) Probe(context.Context, string, string, time.Duration) (upstream.Report, error) {
	return upstream.Report{Load: placement.LoadReport{Known: true, Slots: 3, Pace: 1}}, nil
}

// TestLateProbeRestoresNoState checks that the response to a probe does not restore the state of an
// endpoint that was dropped during the probe.
func TestLateProbeRestoresNoState(t *testing.T) {
	c := New(Config{
		Directory: directory.New(), Client: idleProber{}, Log: hclog.NewNullLogger(),
		Metrics: metrics.NewRegistry(), ForgetInterval: time.Nanosecond,
	})
	listed := directory.Endpoint{Endpoint: placement.Endpoint{VM: "e0", Addr: "e0"}}
	late := probeTarget{listed: listed, state: c.state(&listed)}
	c.forgetUnlisted(time.Now())
	assert.Equal(t, c.EndpointStateCount(), 0)
	c.probeEndpoint(context.Background(), late, "/health")
	assert.Equal(t, c.EndpointStateCount(), 0)
}
