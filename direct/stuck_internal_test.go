package direct

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/lotuswing/lotuswing/directory"
	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"
)

// TestLockedChooserIsStuck guards against a balancer that says that it is ready while it chooses no endpoint.
func TestLockedChooserIsStuck(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := New(Config{ID: "vm-1", Directory: directory.New(), Log: hclog.NewNullLogger(), Metrics: metrics.NewRegistry()})
		assert.Assert(t, !c.Stuck())
		c.mu.Lock()
		assert.Assert(t, !c.Stuck(), "it may be busy for a moment")
		time.Sleep(time.Second)
		assert.Assert(t, !c.Stuck())
		time.Sleep(stuckAfter)
		assert.Assert(t, c.Stuck())
		c.mu.Unlock()
		assert.Assert(t, !c.Stuck())
		time.Sleep(time.Hour)
		c.mu.Lock()
		assert.Assert(t, !c.Stuck(), "each time counts from its own beginning")
		c.mu.Unlock()
	})
}
