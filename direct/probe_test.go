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

// idleProber answers that an endpoint is idle.
type idleProber struct{}

func (idleProber) Probe(context.Context, string, string, time.Duration) (upstream.Report, error) {
	return upstream.Report{Load: placement.LoadReport{Known: true, Slots: 3, Pace: 1}}, nil
}

// TestLateProbeBringsNothingBack: an endpoint that was forgotten while its probe was
// under way stays forgotten.
func TestLateProbeBringsNothingBack(t *testing.T) {
	c := New(Config{
		Directory: directory.New(), Client: idleProber{}, Log: hclog.NewNullLogger(),
		Metrics: metrics.NewRegistry(), ForgetEvery: time.Nanosecond,
	})
	listed := directory.Endpoint{Endpoint: placement.Endpoint{VM: "e0", Addr: "e0"}}
	late := target{listed: listed, known: c.known(&listed)}
	c.forget(time.Now())
	assert.Equal(t, c.Remembered(), 0)
	c.ask(context.Background(), late, "/health")
	assert.Equal(t, c.Remembered(), 0)
}
