package direct_test

import (
	"context"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/lotuswing/lotuswing/coord/placement"
	"github.com/lotuswing/lotuswing/coord/selection"
	"github.com/lotuswing/lotuswing/direct"
	"github.com/lotuswing/lotuswing/directory"
	"github.com/lotuswing/lotuswing/tenant"
	"github.com/lotuswing/lotuswing/upstream"
	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"
)

// TestSplitKeepsItsWeights checks that a traffic split keeps its weights while one of its services
// is full: requests for that service are refused and not moved to the other one. The shares of the
// requests may differ from those of the weights by 0.1.
func TestSplitKeepsItsWeights(t *testing.T) {
	const requests, tolerance = 2000, 0.1
	prober := &fakeProber{answers: map[string]upstream.Report{}, probeCount: map[string]int{}}
	prober.set("full", 3, 1)
	prober.set("idle", 0, 1)
	entry := func(service, id string) directory.Entry {
		return directory.Entry{Revision: 1, Endpoint: directory.Endpoint{
			Service: service, Endpoint: placement.Endpoint{VM: id, Addr: id, Zone: "near", Slots: 3},
		}}
	}
	routes := tenant.NewPrefixTable("t", []tenant.PrefixRoute{{
		Name: "r", Host: "a.example", Prefix: "/", Timeout: time.Second, Target: time.Second, MaxAttempts: 2,
		Split: []tenant.Share{{Service: "short", Weight: 3}, {Service: "roomy", Weight: 1}},
	}})
	d := directory.New()
	services := map[string]tenant.Service{"short": {ProbePath: "/health"}, "roomy": {ProbePath: "/health"}}
	d.Apply(directory.Changes{
		Config:  &directory.Config{Version: 1, Routes: routes, Services: services},
		Entries: []directory.Entry{entry("short", "full"), entry("roomy", "idle")},
	}, time.Now())
	c := direct.New(direct.Config{
		ID: "vm-1", Zone: "near", Directory: d, Client: prober, Log: hclog.NewNullLogger(), Metrics: metrics.NewRegistry(),
		Options: selection.Options{SearchShare: 1e-12, ProbeRate: 1e9, ProbeBurst: 1e9},
	})
	refused := 0
	for range requests {
		route, code := c.Route("a.example", "GET", "/x")
		assert.Equal(t, string(code), "")
		r := newRequest()
		r.Service, r.Kind = route.ServiceKey(), route.Kind.Name
		g, refusal := c.Acquire(context.Background(), r)
		if refusal != nil {
			assert.Equal(t, r.Service, "t/short")
			refused++
			continue
		}
		assert.Equal(t, g.Endpoint.VM, "idle")
		c.Complete(g, placement.Result{Outcome: placement.Completed, Took: time.Millisecond})
	}
	share := float64(refused) / requests
	assert.Assert(t, share > 0.75-tolerance && share < 0.75+tolerance, "%v", share)
}
