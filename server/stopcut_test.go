package server_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/lotuswing/lotuswing/platform/platformtest"
	"github.com/lotuswing/lotuswing/server"
	"github.com/lotuswing/lotuswing/settings"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// stopWithRequest stops a balancer at whose endpoint a request hangs until the test ends.
func stopWithRequest(ctx context.Context, t *testing.T, times settings.Stop) (cut int64, err error) {
	t.Helper()
	r := newPlatformRig(t)
	begun, release := make(chan struct{}, 10), make(chan struct{})
	hanging := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, q *http.Request) {
		if q.URL.Path != "/health" {
			begun <- struct{}{}
			<-release
		}
	}))
	t.Cleanup(hanging.Close)
	t.Cleanup(func() { close(release) })
	r.store.PutServer("i-1", platformtest.Server{Address: hanging.Listener.Addr().String(), Service: "s", Zone: "medina", Slots: 3})
	b := r.start(t, "a")
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		resp, err := http.Get("http://" + b.admin + "/readyz")
		if err != nil {
			return poll.Continue("%v", err)
		}
		_ = resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			return poll.Continue("%s", resp.Status)
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(time.Millisecond))
	go func() {
		req, _ := http.NewRequest(http.MethodGet, "http://"+b.front+"/x/1", nil)
		req.Host = "a.example"
		if resp, err := http.DefaultClient.Do(req); err == nil {
			_ = resp.Body.Close()
		}
	}()
	<-begun
	b.server.SetStop(times)
	return b.server.Stop(ctx, time.Now())
}

// TestStopCutsWhatIsLeft at the end of its plan, and at a second signal.
func TestStopCutsWhatIsLeft(t *testing.T) {
	cut, err := stopWithRequest(t.Context(), t, settings.Stop{Notice: 100 * time.Millisecond, Limit: time.Hour, Grace: time.Second})
	assert.ErrorIs(t, err, server.ErrCut)
	assert.Equal(t, cut, int64(1))
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	cut, err = stopWithRequest(ctx, t, settings.Stop{Notice: time.Hour, Limit: time.Hour})
	assert.ErrorIs(t, err, server.ErrCut)
	assert.Equal(t, cut, int64(1))
}
