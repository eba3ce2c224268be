package upstream_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/lotuswing/lotuswing/coord/reach"
	"github.com/lotuswing/lotuswing/coord/reason"
	"github.com/lotuswing/lotuswing/coord/verdict"
	"github.com/lotuswing/lotuswing/upstream"
	"gotest.tools/v3/assert"
)

// fakePaths detours nothing until an endpoint fails, and then dials it in place of a carrier.
type fakePaths struct {
	upstream.Paths
	mu       sync.Mutex
	detoured bool
	onLost   func()
	results  []reach.CheckResult
	dialErr  error // of detours
	dialLate bool  // no detour opens in time
	permit   upstream.CheckPermit
}

func (f *fakePaths) Detoured(string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.detoured
}

func (f *fakePaths) DialDetour(ctx context.Context, network, addr string) (net.Conn, error) {
	if f.dialLate {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if f.dialErr != nil {
		return nil, f.dialErr
	}
	return (&net.Dialer{}).DialContext(ctx, network, addr)
}

func (f *fakePaths) BeginCheck(string, reach.Cause) upstream.CheckPermit { return f.permit }

func (f *fakePaths) Silence() time.Duration { return time.Minute }

func (f *fakePaths) EndCheck(_ string, _ reach.Cause, r reach.CheckResult) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.results = append(f.results, r)
	f.detoured = r == reach.Reached
}

func (f *fakePaths) Responded(string, bool) {}

func (f *fakePaths) OnIdle(func(bool)) {}

func (f *fakePaths) OnLost(_ string, lost func()) func() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.onLost = lost
	return func() {}
}

// sendRequest sends a request without a body.
func sendRequest(t *testing.T, c *upstream.Client, addr string, repeatable bool) upstream.Result {
	t.Helper()
	return sendRequestUntil(t, c, addr, repeatable, time.Now().Add(20*time.Second))
}

func sendRequestUntil(t *testing.T, c *upstream.Client, addr string, repeatable bool, deadline time.Time) upstream.Result {
	t.Helper()
	in, err := http.NewRequest(http.MethodGet, "http://caller/x", nil)
	assert.NilError(t, err)
	return c.Send(t.Context(), upstream.Request{
		ID: "r1", Addr: addr, Incoming: in, Body: upstream.NewBody(strings.NewReader(""), 1<<10), Deadline: deadline, Repeatable: repeatable,
	})
}

// TestUnopenedRequestTakesDetour: a request for which no direct connection opens is sent over a detour
// in the same attempt.
func TestUnopenedRequestTakesDetour(t *testing.T) {
	e := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	t.Cleanup(e.Close)
	paths := &fakePaths{}
	refused := func(context.Context, string, string) (net.Conn, error) { return nil, errors.New("no path") }
	c := upstream.NewClient(upstream.Options{Dial: refused, Paths: paths})
	t.Cleanup(c.CloseIdle)
	res := sendRequest(t, c, e.Listener.Addr().String(), false)
	assert.Equal(t, res.Verdict, verdict.Ran)
	res.Close()
	assert.DeepEqual(t, paths.results, []reach.CheckResult{reach.Reached})
	res = sendRequest(t, c, e.Listener.Addr().String(), false)
	assert.Equal(t, res.Verdict, verdict.Ran)
	res.Close()
	assert.DeepEqual(t, paths.results, []reach.CheckResult{reach.Reached})
	res = sendRequest(t, upstream.NewClient(upstream.Options{Dial: refused}), e.Listener.Addr().String(), false)
	assert.Equal(t, res.Reason, reason.DialFailed)
}

// TestCheckResults of endpoints to which no direct connection opens.
func TestCheckResults(t *testing.T) {
	silent := make(chan struct{})
	e := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-silent }))
	t.Cleanup(e.Close)
	t.Cleanup(func() { close(silent) })
	refused := func(context.Context, string, string) (net.Conn, error) { return nil, syscall.ECONNREFUSED }
	for name, c := range map[string]struct {
		dialErr error
		probe   reach.CheckResult
		request reach.CheckResult
	}{
		"silent endpoint": {nil, reach.Unreached, reach.Reached},
		"unreachable":     {fmt.Errorf("carrier: %w", upstream.ErrUnreachable), reach.Unreached, reach.Unreached},
		"not carried":     {errors.New("busy"), reach.NotCarried, reach.NotCarried},
		"no carrier":      {fmt.Errorf("detour: %w", upstream.ErrNoCarrier), reach.NoCarrier, reach.NoCarrier},
	} {
		paths := &fakePaths{dialErr: c.dialErr}
		client := upstream.NewClient(upstream.Options{Dial: refused, Paths: paths})
		t.Cleanup(client.CloseIdle)
		_, err := client.Probe(t.Context(), e.Listener.Addr().String(), "/health", 500*time.Millisecond)
		assert.Assert(t, err != nil, name)
		paths.detoured = false
		res := sendRequestUntil(t, client, e.Listener.Addr().String(), false, time.Now().Add(500*time.Millisecond))
		res.Close()
		assert.DeepEqual(t, paths.results, []reach.CheckResult{c.probe, c.request})
	}
}

// TestRequestOnLostPathIsGivenUp: a repeatable request may have run, and says nothing against its
// endpoint.
func TestRequestOnLostPathIsGivenUp(t *testing.T) {
	arrived, release := make(chan struct{}), make(chan struct{})
	e := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		close(arrived)
		<-release
	}))
	t.Cleanup(e.Close)
	t.Cleanup(func() { close(release) })
	paths := &fakePaths{}
	c := upstream.NewClient(upstream.Options{Paths: paths})
	t.Cleanup(c.CloseIdle)
	go func() {
		<-arrived
		paths.mu.Lock()
		defer paths.mu.Unlock()
		paths.onLost()
	}()
	res := sendRequest(t, c, e.Listener.Addr().String(), true)
	assert.Equal(t, res.Verdict, verdict.MayHaveRun)
	assert.Assert(t, errors.Is(res.Err, upstream.ErrPathLost))
	assert.Assert(t, !res.ConnectionBroken)
	assert.Assert(t, !res.Reset)
}

// TestUncheckedRefusalIsNoSign: a refused connection says that an endpoint has ended only if another
// balancer does not reach it either, or there is none.
func TestUncheckedRefusalIsNoSign(t *testing.T) {
	refused := func(context.Context, string, string) (net.Conn, error) { return nil, syscall.ECONNREFUSED }
	for name, c := range map[string]struct {
		paths *fakePaths
		sign  bool
	}{
		"denied":         {&fakePaths{permit: upstream.CheckDenied}, false},
		"checked before": {&fakePaths{permit: upstream.CheckedBefore}, true},
		"unreachable":    {&fakePaths{dialErr: fmt.Errorf("carrier: %w", upstream.ErrUnreachable)}, true},
		"no carrier":     {&fakePaths{dialErr: fmt.Errorf("detour: %w", upstream.ErrNoCarrier)}, true},
		"not carried":    {&fakePaths{dialErr: errors.New("busy")}, false},
		"late":           {&fakePaths{dialLate: true}, false},
	} {
		client := upstream.NewClient(upstream.Options{Dial: refused, Paths: c.paths})
		_, err := client.Probe(t.Context(), "127.0.0.1:1", "/health", 500*time.Millisecond)
		assert.Assert(t, err != nil)
		assert.Equal(t, errors.Is(err, syscall.ECONNREFUSED), c.sign, name)
	}
}
