package server_test

import (
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/lotuswing/lotuswing/platform/platformtest"
	"github.com/lotuswing/lotuswing/tenant"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// TestSuspendedVM: after a suspension no request goes out on a connection that rested
// meanwhile, the store is asked on a new one, and the copy counts as old until it answers.
func TestSuspendedVM(t *testing.T) {
	r := newPlatformRig(t)
	var slept, opened atomic.Int64
	endpoint := httptest.NewUnstartedServer(platformtest.NewEndpoint("i-2", platformtest.Behavior{ServiceTime: time.Millisecond}))
	endpoint.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			opened.Add(1)
		}
	}
	endpoint.Start()
	t.Cleanup(endpoint.Close)
	r.store.PutServer("i-2", platformtest.Server{Address: endpoint.Listener.Addr().String(), Service: "once"})
	r.store.Publish(2, []tenant.PrefixRoute{{
		Name: "once", Host: "a.example", Prefix: "/x/", Repeatable: true, Timeout: 10 * time.Second, Target: 10 * time.Second, MaxAttempts: 2,
		Split: []tenant.Share{{Service: "once", Weight: 1}},
	}}, map[string]tenant.Service{"once": {Connections: 100, ProbePath: "/health"}})
	r.suspended = func() time.Duration { return time.Duration(slept.Load()) }
	b := r.start(t, "vm-1")
	b.waitReady(t)
	for range 3 {
		assert.Equal(t, b.call(t), http.StatusOK)
	}
	before := opened.Load()
	assert.Equal(t, b.call(t), http.StatusOK)
	assert.Equal(t, opened.Load(), before, "it rests for a moment only")
	slept.Add(int64(time.Minute))
	assert.Equal(t, b.call(t), http.StatusOK)
	assert.Assert(t, opened.Load() > before)
	r.store.PutServer("i-9", platformtest.Server{Service: "once"})
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if len(b.status(t).Endpoints) == 3 {
			return poll.Success()
		}
		return poll.Continue("it follows the store no more")
	}, poll.WithTimeout(20*time.Second))
}
