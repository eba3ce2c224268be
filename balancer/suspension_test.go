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

// fakeSuspensionClock holds the total suspension of a fake VM.
type fakeSuspensionClock struct{ suspended atomic.Int64 }

func (s *fakeSuspensionClock) read() time.Duration { return time.Duration(s.suspended.Load()) }

// newSuspendedHarness returns a harness whose VM is suspended for d during the first Acquire.
func newSuspendedHarness(t *testing.T, d time.Duration) *harness {
	t.Helper()
	var s fakeSuspensionClock
	b := newHarnessWith(t, 1, func(c *balancer.Config) { c.Suspensions = suspend.New(s.read) })
	b.chooser.onAcquire = func(before int) {
		if before == 0 {
			s.suspended.Store(int64(d))
		}
	}
	return b
}

// TestSuspensionReducesRemainingTime: the caller's time runs on while the VM is suspended. An
// endpoint that was chosen before the suspension is not used, and the next one gets the remaining
// time.
func TestSuspensionReducesRemainingTime(t *testing.T) {
	b := newSuspendedHarness(t, 6*time.Second)
	got := b.call(t, "GET", "/once", "k", "", http.Header{"Lotuswing-Timeout": {"10s"}})
	assert.Equal(t, got.status, http.StatusOK)
	assert.Equal(t, b.chooser.awaitResult(0).Outcome, placement.Unused)
	left, err := time.ParseDuration(b.endpoints[0].Header("k").Get("Lotuswing-Timeout"))
	assert.NilError(t, err)
	assert.Assert(t, left > 0 && left <= 4*time.Second, "%v", left)
}

// TestSuspensionBeyondTheDeadline: a request whose deadline passed during a suspension is not
// sent.
func TestSuspensionBeyondTheDeadline(t *testing.T) {
	b := newSuspendedHarness(t, 20*time.Second)
	got := b.call(t, "GET", "/once", "k", "", http.Header{"Lotuswing-Timeout": {"10s"}})
	assert.Equal(t, got.status, http.StatusGatewayTimeout)
	assert.Equal(t, got.verdict, "not-run")
	assert.Equal(t, b.ran("k"), 0)
}

// TestSuspensionEndsTrial: after a suspension another balancer may be running the trial, so the
// quarantine is asked again.
func TestSuspensionEndsTrial(t *testing.T) {
	var s fakeSuspensionClock
	q := &fakeQuarantine{admissions: []quarantine.Admission{{Trial: true}}}
	b := newHarnessWith(t, 1, func(c *balancer.Config) { c.Quarantine, c.Suspensions = q, suspend.New(s.read) })
	b.chooser.onAcquire = func(int) { s.suspended.Add(int64(5 * time.Second)) }
	got := b.call(t, "GET", "/once", "k", "", http.Header{"Lotuswing-Timeout": {"60s"}})
	assert.Equal(t, got.reason, "LW2010")
	assert.Equal(t, b.ran("k"), 0)
}
