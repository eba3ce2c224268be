package balancer_test

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/lotuswing/lotuswing/balancer"
	"github.com/lotuswing/lotuswing/coord/placement"
	"github.com/lotuswing/lotuswing/internal/suspend"
	"github.com/lotuswing/lotuswing/quarantine"
	"gotest.tools/v3/assert"
)

// sleeper is a VM that can be suspended.
type sleeper struct{ slept atomic.Int64 }

func (s *sleeper) read() time.Duration { return time.Duration(s.slept.Load()) }

// suspended is a bench whose VM is suspended once, during the first choice of an endpoint.
func suspended(t *testing.T, d time.Duration) *bench {
	t.Helper()
	var s sleeper
	b := newBenchWith(t, 1, func(c *balancer.Config) { c.Suspensions = suspend.New(s.read) })
	b.chooser.during = func(before int) {
		if before == 0 {
			s.slept.Store(int64(d))
		}
	}
	return b
}

// TestSuspensionTakesOfTheTime: the caller's time ran on while the VM was suspended. What was
// chosen before is not used, and the endpoint is told what is left.
func TestSuspensionTakesOfTheTime(t *testing.T) {
	b := suspended(t, 6*time.Second)
	got := b.call(t, "GET", "/once", "k", "", http.Header{"Lotuswing-Timeout": {"10s"}})
	assert.Equal(t, got.status, http.StatusOK)
	assert.Equal(t, b.chooser.ending(0).Outcome, placement.Unused)
	left, err := time.ParseDuration(b.endpoints[0].Header("k").Get("Lotuswing-Timeout"))
	assert.NilError(t, err)
	assert.Assert(t, left > 0 && left <= 4*time.Second, "%v", left)
}

// TestSuspensionBeyondTheDeadline: a request whose time is over is not sent any more.
func TestSuspensionBeyondTheDeadline(t *testing.T) {
	b := suspended(t, 20*time.Second)
	got := b.call(t, "GET", "/once", "k", "", http.Header{"Lotuswing-Timeout": {"10s"}})
	assert.Equal(t, got.status, http.StatusGatewayTimeout)
	assert.Equal(t, got.verdict, "not-run")
	assert.Equal(t, b.ran("k"), 0)
}

// TestSuspensionEndsATrial: after one nobody knows who tries the request now.
func TestSuspensionEndsATrial(t *testing.T) {
	var s sleeper
	q := &fakeQuarantine{passes: []quarantine.Pass{{Trial: true}}}
	b := newBenchWith(t, 1, func(c *balancer.Config) { c.Quarantine, c.Suspensions = q, suspend.New(s.read) })
	b.chooser.during = func(int) { s.slept.Add(int64(5 * time.Second)) }
	got := b.call(t, "GET", "/once", "k", "", http.Header{"Lotuswing-Timeout": {"60s"}})
	assert.Equal(t, got.reason, "LW2010")
	assert.Equal(t, b.ran("k"), 0)
}
