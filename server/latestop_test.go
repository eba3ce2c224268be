package server_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/lotuswing/lotuswing/platform/platformtest"
	"github.com/lotuswing/lotuswing/settings"
	"github.com/lotuswing/lotuswing/tenant"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// startHeld starts a balancer with an endpoint that holds all requests until its caller leaves. Requests for
// /x/ may be repeated, those for /once/ not. ran has the identities of those that have run.
func startHeld(t *testing.T) (b platformBalancer, ran *sync.Map) {
	t.Helper()
	r, ran := newPlatformRig(t), new(sync.Map)
	held := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, q *http.Request) {
		if q.URL.Path != "/health" {
			ran.Store(q.Header.Get("Request-Id"), true)
			_, _ = io.Copy(io.Discard, q.Body) // else it does not notice that the balancer leaves
			<-q.Context().Done()
		}
	}))
	t.Cleanup(held.Close)
	r.store.PutServer("i-1", platformtest.Server{Address: held.Listener.Addr().String(), Service: "s", Zone: "medina", Slots: 50})
	var routes []tenant.PrefixRoute
	for _, prefix := range []string{"/x/", "/once/"} {
		routes = append(routes, tenant.PrefixRoute{
			Name: prefix, Host: "a.example", Prefix: prefix, Repeatable: prefix == "/x/", Timeout: 10 * time.Second, Target: time.Second,
			MaxAttempts: 2, Split: []tenant.Share{{Service: "s", Weight: 1}},
		})
	}
	r.store.Publish(2, routes, map[string]tenant.Service{"s": {Connections: 100, ProbePath: "/health"}})
	b = r.start(t, "a")
	b.waitReady(t)
	return b, ran
}

func TestRequestLateInStopIsNotPassedOnAndCut(t *testing.T) {
	const (
		get     = "GET %s%s HTTP/1.1\r\nHost: a.example\r\nRequest-Id: %[2]s\r\n\r\n"
		post    = "POST %s%s HTTP/1.1\r\nHost: a.example\r\nRequest-Id: %[2]s\r\nContent-Length: 4\r\n\r\n"
		heldOn  = "LW3012"
		refused = "LW2006"
	)
	b, ran := startHeld(t)
	tests := map[string]struct {
		before, late string   // what is sent before the stop and after its notice
		reasons      []string // of the responses
	}{
		"idle":                    {},
		"safe-behind":             {fmt.Sprintf(get, "/x/", "first-1"), fmt.Sprintf(get, "/x/", "late-1"), []string{heldOn, refused}},
		"unsafe-behind":           {fmt.Sprintf(get, "/x/", "first-2"), fmt.Sprintf(post, "/once/", "late-2") + "body", []string{heldOn, refused}},
		"once-behind":             {fmt.Sprintf(get, "/x/", "first-3"), fmt.Sprintf(get, "/once/", "late-3"), []string{heldOn, refused}},
		"once-behind-in-notice":   {fmt.Sprintf(get, "/x/", "first-4") + fmt.Sprintf(get, "/once/", "late-4"), "", []string{heldOn, refused}},
		"safe-whose-body-is-late": {fmt.Sprintf(post, "/x/", "late-5") + "bo", "dy", []string{refused}},
		"once-whose-body-is-late": {fmt.Sprintf(post, "/once/", "late-6") + "bo", "dy", []string{refused}},
	}
	conns := map[string]net.Conn{}
	for name, test := range tests {
		c, err := net.Dial("tcp", b.front)
		assert.NilError(t, err)
		t.Cleanup(func() { _ = c.Close() })
		assert.NilError(t, c.SetDeadline(time.Now().Add(20*time.Second)))
		_, err = io.WriteString(c, test.before)
		assert.NilError(t, err)
		conns[name] = c
	}
	waitFor(t, "all requests in flight", func() bool { return b.status(t).InFlight == 7 && count(ran) == 4 })
	b.server.SetStop(settings.Stop{Notice: 300 * time.Millisecond, Limit: time.Hour, Grace: 4 * time.Second})
	stopped := make(chan int64, 1)
	go func() {
		cut, _ := b.server.Stop(t.Context(), time.Now()) // it cuts those that came first
		stopped <- cut
	}()
	waitFor(t, "end of the notice", func() bool {
		c, err := net.Dial("tcp", b.front)
		if err == nil {
			_ = c.Close()
		}
		return err != nil
	})
	for name, c := range conns {
		_, _ = io.WriteString(c, tests[name].late) // fails on the idle one
	}
	for name, c := range conns {
		in := bufio.NewReader(c)
		for i, want := range tests[name].reasons {
			response, err := http.ReadResponse(in, nil)
			assert.NilError(t, err, "%s, response %d", name, i)
			_, err = io.Copy(io.Discard, response.Body)
			assert.NilError(t, err, name)
			assert.Equal(t, response.Header.Get("Lotuswing-Reason"), want, "%s, response %d", name, i)
			if want == refused {
				assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable, name)
				assert.Equal(t, response.Header.Get("Lotuswing-Verdict"), "not-run", name)
				assert.Assert(t, response.Header.Get("Retry-After") != "", name)
			}
		}
	}
	<-stopped
	assert.Equal(t, count(ran), 4, "late requests were passed on")
}

func count(m *sync.Map) (n int) {
	m.Range(func(any, any) bool { n++; return true })
	return n
}

func waitFor(t *testing.T, what string, is func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if is() {
			return poll.Success()
		}
		return poll.Continue("no %s", what)
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(time.Millisecond))
}
