package upstream_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/lotuswing/lotuswing/coord/verdict"
	"github.com/lotuswing/lotuswing/upstream"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// drainingConn is a connection that the test lets drain.
type drainingConn struct {
	net.Conn
	drain  func()
	closed atomic.Bool
}

func (c *drainingConn) OnDraining(f func()) { c.drain = f }

func (c *drainingConn) Close() error {
	c.closed.Store(true)
	return c.Conn.Close()
}

// drainingPaths detours everything over connections that it records.
type drainingPaths struct {
	fakePaths
	early int // so many of the first ones drain before they are used

	mu    sync.Mutex
	conns []*drainingConn
}

func (p *drainingPaths) Detoured(string) bool { return true }

func (p *drainingPaths) DialDetour(ctx context.Context, network, addr string) (net.Conn, error) {
	if !upstream.ObeysDraining(ctx) {
		return nil, upstream.ErrNoCarrier
	}
	inner, err := (&net.Dialer{}).DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	c := &drainingConn{Conn: inner}
	p.conns = append(p.conns, c)
	if len(p.conns) > p.early {
		return c, nil
	}
	return earlyConn{c}, nil
}

// earlyConn is draining from the start.
type earlyConn struct{ *drainingConn }

func (earlyConn) OnDraining(f func()) { f() }

// last returns the connection that was opened last.
func (p *drainingPaths) last() *drainingConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.conns[len(p.conns)-1]
}

// newDrainingClient returns a client of an endpoint that calls what onRequest holds, if anything.
func newDrainingClient(t *testing.T, paths *drainingPaths, onRequest *atomic.Pointer[func()]) (c *upstream.Client, addr string) {
	e := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		if f := onRequest.Load(); f != nil {
			(*f)()
		}
	}))
	t.Cleanup(e.Close)
	c = upstream.NewClient(upstream.Options{Paths: paths})
	t.Cleanup(c.CloseIdle)
	return c, e.Listener.Addr().String()
}

// TestDrainingConnectionGetsNoRequest: requests and probes go to another connection in the same attempt,
// as long as there is one.
func TestDrainingConnectionGetsNoRequest(t *testing.T) {
	paths := &drainingPaths{early: 3}
	c, addr := newDrainingClient(t, paths, &atomic.Pointer[func()]{})
	_, err := c.Probe(t.Context(), addr, "/health", 10*time.Second)
	assert.NilError(t, err)
	assert.Equal(t, len(paths.conns), 4)
	for _, step := range []struct {
		early, opened int
		want          verdict.Verdict
	}{{6, 7, verdict.Ran}, {1000, 17, verdict.NotRun}} {
		assert.Assert(t, !paths.last().closed.Load())
		paths.last().drain()
		assert.Assert(t, paths.last().closed.Load()) // idle
		paths.early = step.early
		res := sendRequest(t, c, addr, false)
		res.Close()
		assert.Equal(t, res.Verdict, step.want)
		assert.Equal(t, len(paths.conns), step.opened)
	}
}

// TestDrainingConnectionInUseIsClosedAfterResponse, and not before.
func TestDrainingConnectionInUseIsClosedAfterResponse(t *testing.T) {
	paths := &drainingPaths{}
	var onRequest atomic.Pointer[func()]
	c, addr := newDrainingClient(t, paths, &onRequest)
	drain := func() {
		paths.last().drain()
		assert.Check(t, !paths.last().closed.Load())
	}
	onRequest.Store(&drain)
	res := sendRequest(t, c, addr, false)
	assert.Equal(t, res.Verdict, verdict.Ran)
	res.Close()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if !paths.last().closed.Load() {
			return poll.Continue("not closed")
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(time.Millisecond))
	onRequest.Store(nil)
	res = sendRequest(t, c, addr, false)
	assert.Equal(t, res.Verdict, verdict.Ran)
	res.Close()
	assert.Equal(t, len(paths.conns), 2)
}
