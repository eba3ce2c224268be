package server_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/lotuswing/lotuswing/platform"
	"github.com/lotuswing/lotuswing/platform/platformtest"
	"github.com/lotuswing/lotuswing/server"
	"github.com/lotuswing/lotuswing/settings"
	"github.com/lotuswing/lotuswing/tenant"
	"github.com/lotuswing/lotuswing/upstream"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// requests numbers the tests' requests.
var requests atomic.Int64

// platformRig is a store and one endpoint of the platform.
type platformRig struct {
	store     *platformtest.Store
	url       string // of the store
	endpoints []*platformtest.Endpoint
	// suspended tells balancers for how long their VM has been suspended; nil for the
	// kernel's word.
	suspended func() time.Duration
	logs      logBuffer         // of all balancers
	dial      upstream.DialFunc // opens the connections to endpoints of balancers started from now on; nil for the default
}

// platformBalancer is a balancer on the platform, by its addresses.
type platformBalancer struct {
	front, admin, link string
	server             *server.Server
	kill               func() // ends the process
}

func newPlatformRig(t *testing.T) *platformRig {
	t.Helper()
	r := &platformRig{store: platformtest.NewStore()}
	front := httptest.NewServer(r.store)
	t.Cleanup(func() {
		front.CloseClientConnections()
		front.Close()
	})
	r.url = front.URL
	first := platformtest.NewEndpoint("i-1", platformtest.Behavior{ServiceTime: time.Millisecond})
	r.endpoints = append(r.endpoints, first)
	endpoint := httptest.NewServer(first)
	t.Cleanup(endpoint.Close)
	r.store.PutServer("i-1", platformtest.Server{Address: endpoint.Listener.Addr().String(), Service: "s", Zone: "medina", Slots: 3})
	r.store.Publish(1, []tenant.PrefixRoute{{
		Name: "r", Host: "a.example", Prefix: "/x/", Repeatable: true, Timeout: 10 * time.Second, Target: 10 * time.Second, MaxAttempts: 2,
		Split: []tenant.Share{{Service: "s", Weight: 1}},
	}}, map[string]tenant.Service{"s": {Connections: 100, ProbePath: "/health"}})
	return r
}

// freeAddr returns an address on which nobody listens, and from which no connection
// goes out that could take it.
func freeAddr(t *testing.T) string {
	t.Helper()
	for {
		l, err := net.Listen("tcp", "127.0.0.3:0")
		assert.NilError(t, err)
		assert.NilError(t, l.Close())
		// The kernel may give an address again that nobody listens on yet.
		if _, given := givenAddrs.LoadOrStore(l.Addr().String(), true); !given {
			return l.Addr().String()
		}
	}
}

// givenAddrs are the addresses that freeAddr has returned.
var givenAddrs sync.Map

// start starts a balancer that knows others by their link addresses.
func (r *platformRig) start(t *testing.T, name string, peers ...string) platformBalancer {
	t.Helper()
	b := platformBalancer{front: freeAddr(t), admin: freeAddr(t), link: freeAddr(t)}
	list, err := json.Marshal(append([]string{}, peers...))
	assert.NilError(t, err)
	s, err := settings.Parse(name, fmt.Appendf(nil, `{"id": %q, "zone": "medina", "listen": %q, "admin": %q, "link": %q, "peers": %s,
		"discovery": {"kind": "platform", "url": %q}, "link_tls": {"insecure": true}, "link_mbps": 100}`, name, b.front, b.admin, b.link, list, r.url))
	assert.NilError(t, err)
	store := platform.NewStore(s.Discovery.URL)
	policy := platform.Policy(s.Retries)
	if r.dial != nil {
		policy = policy.WithDial(r.dial)
	}
	srv, err := server.Start(server.Config{
		Settings: s, Log: r.failureLog(t, name), Traces: io.Discard, Source: store, Relays: store, Policy: policy,
		Suspended: r.suspended,
	})
	assert.NilError(t, err)
	b.server, b.kill = srv, sync.OnceFunc(srv.Kill)
	t.Cleanup(b.kill)
	return b
}

// logBuffer keeps what is logged. It is safe for concurrent use.
type logBuffer struct {
	mu  sync.Mutex
	out bytes.Buffer
}

func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.out.Write(p)
}

func (b *logBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.out.String()
}

// failureLog returns a log that is kept, and printed if the test fails.
func (r *platformRig) failureLog(t *testing.T, name string) hclog.Logger {
	t.Helper()
	var out logBuffer
	t.Cleanup(func() {
		if t.Failed() {
			t.Log("\n" + out.String())
		}
	})
	return hclog.New(&hclog.LoggerOptions{Name: name, Output: io.MultiWriter(&out, &r.logs), Level: hclog.Info})
}

// isReady reports whether a balancer says that it is ready.
func (b platformBalancer) isReady() bool {
	resp, err := http.Get("http://" + b.admin + "/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close() // only the status counts
	return resp.StatusCode == http.StatusOK
}

// waitReady waits until a balancer says that it is ready.
func (b platformBalancer) waitReady(t *testing.T) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if b.isReady() {
			return poll.Success()
		}
		return poll.Continue("not ready")
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(time.Millisecond))
}

// call calls a balancer on a connection of its own and returns the status.
func (b platformBalancer) call(t *testing.T) int {
	t.Helper()
	return b.callFor(t, "/x/1")
}

// callFor is call for a path.
func (b platformBalancer) callFor(t *testing.T, path string) int {
	t.Helper()
	return b.callAs(t, path, nil)
}

// callAs is callFor with headers.
func (b platformBalancer) callAs(t *testing.T, path string, header http.Header) int {
	t.Helper()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 20 * time.Second}
	r, err := http.NewRequest(http.MethodGet, "http://"+b.front+path, nil)
	assert.NilError(t, err)
	r.Host = "a.example"
	maps.Copy(r.Header, header)
	if r.Header.Get("Request-Id") == "" {
		r.Header.Set("Request-Id", fmt.Sprintf("r-%d", requests.Add(1)))
	}
	resp, err := client.Do(r)
	assert.NilError(t, err)
	_ = resp.Body.Close() // only the status counts
	return resp.StatusCode
}

// status returns what a balancer tells of itself.
func (b platformBalancer) status(t *testing.T) (st server.DirectStatus) {
	t.Helper()
	resp, err := http.Get("http://" + b.admin + "/status")
	assert.NilError(t, err)
	defer func() { _ = resp.Body.Close() }() // read to its end
	assert.NilError(t, json.NewDecoder(resp.Body).Decode(&st))
	return st
}

// firstFrom returns from whom a balancer has its first copy. It serves as soon as the copy is in
// force, and tells of it a moment later.
func (b platformBalancer) firstFrom(t *testing.T) (from string) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if from = b.status(t).Copy.FirstFrom; from == "" {
			return poll.Continue("not told")
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(time.Millisecond))
	return from
}

// TestReadyMeansThatCallersAreServed: a balancer that says it is ready takes new
// connections and serves each of them.
func TestReadyMeansThatCallersAreServed(t *testing.T) {
	b := newPlatformRig(t).start(t, "vm-1")
	b.waitReady(t)
	for range 8 {
		assert.Equal(t, b.call(t), http.StatusOK)
	}
	assert.Equal(t, b.firstFrom(t), "store")
}

// TestStartWhileTheStoreIsDown: a balancer that starts while the store answers nothing
// serves with the copy of one that it knows by its settings.
func TestStartWhileTheStoreIsDown(t *testing.T) {
	for name, fault := range map[string]platformtest.Faults{"refuses": {Refuse: true}, "silent": {Silent: true}} {
		t.Run(name, func(t *testing.T) {
			r := newPlatformRig(t)
			first := r.start(t, "vm-1")
			first.waitReady(t)
			r.store.SetFaults(fault)
			second := r.start(t, "vm-2", freeAddr(t), first.link)
			second.waitReady(t)
			assert.Equal(t, second.call(t), http.StatusOK)
			assert.Equal(t, second.firstFrom(t), first.link)
		})
	}
}
