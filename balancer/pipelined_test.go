package balancer_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/lotuswing/lotuswing/balancer"
	"github.com/lotuswing/lotuswing/coord/placement"
	"github.com/lotuswing/lotuswing/pipeline"
	"github.com/lotuswing/lotuswing/platform"
	"github.com/lotuswing/lotuswing/settings"
	"github.com/lotuswing/lotuswing/telemetry"
	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"
)

// lockedBuffer is a buffer for concurrent writers.
type lockedBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// Write appends to the buffer.
func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

// String returns the contents.
func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

// pipelinedHarness is a balancer that serves pipelined requests concurrently, in front of an
// endpoint that blocks on some paths until the test releases them.
type pipelinedHarness struct {
	balancer  *balancer.Balancer
	chooser   *prefixChooser
	server    *pipeline.Server
	log       lockedBuffer
	reached   chan string
	release   map[string]chan struct{}
	conn      net.Conn
	responses *bufio.Reader
}

// newPipelinedHarness starts the harness. The endpoint blocks on the held paths.
func newPipelinedHarness(t *testing.T, held ...string) *pipelinedHarness {
	t.Helper()
	b := &pipelinedHarness{reached: make(chan string, 10), release: map[string]chan struct{}{}}
	for _, p := range held {
		b.release[p] = make(chan struct{})
	}
	endpoint := httptest.NewServer(http.HandlerFunc(b.serveEndpoint))
	t.Cleanup(endpoint.Close)
	chooser := newPrefixChooser()
	b.chooser = chooser
	chooser.endpoints = []placement.Endpoint{{VM: "e0", Addr: endpoint.Listener.Addr().String()}}
	tracing, err := telemetry.NewTracing("none", io.Discard)
	assert.NilError(t, err)
	b.balancer = balancer.New(balancer.Config{
		Chooser: chooser, Limits: settings.Limits{BodyBytes: 1 << 20, ReplayBytes: 1 << 14}, Log: hclog.NewNullLogger(),
		Metrics: metrics.NewRegistry(), Tracing: tracing, RequestLog: telemetry.NewRequestLogger(&b.log, 1000),
		Policy: platform.Policy(settings.Retries{}),
	})
	b.server = pipeline.New(&http.Server{Handler: b.balancer})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	go func() { _ = b.server.Serve(l) }() // ends with the test
	t.Cleanup(func() { _ = b.server.Close() })
	b.conn, err = net.Dial("tcp", l.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = b.conn.Close() })
	b.responses = bufio.NewReader(b.conn)
	return b
}

// serveEndpoint is the endpoint's handler. It blocks on held paths until they are released.
func (b *pipelinedHarness) serveEndpoint(w http.ResponseWriter, r *http.Request) {
	b.reached <- r.URL.Path
	if held, ok := b.release[r.URL.Path]; ok {
		select {
		case <-held:
		case <-r.Context().Done(): // the test has ended
		}
	}
	w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
	w.Header().Set("Response-Signature", "s")
	_, _ = io.WriteString(w, r.URL.Path) // the client is the balancer, which reads it
}

// sendGets writes one pipelined GET request per path.
func (b *pipelinedHarness) sendGets(t *testing.T, paths ...string) {
	t.Helper()
	var all strings.Builder
	for _, p := range paths {
		fmt.Fprintf(&all, "GET %s HTTP/1.1\r\nHost: desk\r\nRequest-Id: %s\r\n\r\n", p, p)
	}
	_, err := io.WriteString(b.conn, all.String())
	assert.NilError(t, err)
}

// readResponse reads the next response and reports whether it closes the connection.
func (b *pipelinedHarness) readResponse(t *testing.T) (body string, closes bool) {
	t.Helper()
	r, err := http.ReadResponse(b.responses, nil)
	assert.NilError(t, err)
	raw, err := io.ReadAll(r.Body)
	assert.NilError(t, err)
	return string(raw), r.Close
}

// TestPipelinedRequestsRunConcurrently: pipelined requests reach endpoints before the earlier ones
// have responses. The log records how long a response waited for its turn.
func TestPipelinedRequestsRunConcurrently(t *testing.T) {
	b := newPipelinedHarness(t, "/safe/1")
	b.sendGets(t, "/safe/1", "/safe/2")
	<-b.reached
	<-b.reached // net/http alone would wait for the first response
	close(b.release["/safe/1"])
	for _, want := range []string{"/safe/1", "/safe/2"} {
		body, closes := b.readResponse(t)
		assert.Equal(t, body, want)
		assert.Assert(t, !closes)
	}
	assert.NilError(t, b.server.Shutdown(context.Background()))
	assert.Assert(t, strings.Contains(b.log.String(), "behind_ms="))
}

// TestPipelinedNonRepeatableWaitsForTurn: no part of a non-repeatable request is sent before the
// earlier requests have their responses. The test sends several, so that one that does not wait
// would be among the first to reach the endpoint.
func TestPipelinedNonRepeatableWaitsForTurn(t *testing.T) {
	nonRepeatable := []string{"/unsafe/1", "/unsafe/2", "/unsafe/3", "/unsafe/4", "/unsafe/5", "/unsafe/6", "/unsafe/7", "/unsafe/8"}
	b := newPipelinedHarness(t, "/safe/1", "/safe/2")
	b.sendGets(t, slices.Concat([]string{"/safe/1"}, nonRepeatable, []string{"/safe/2"})...)
	first := map[string]bool{<-b.reached: true, <-b.reached: true}
	assert.DeepEqual(t, first, map[string]bool{"/safe/1": true, "/safe/2": true})
	close(b.release["/safe/1"])
	for _, want := range nonRepeatable {
		assert.Equal(t, <-b.reached, want)
	}
	close(b.release["/safe/2"])
	for _, want := range slices.Concat([]string{"/safe/1"}, nonRepeatable, []string{"/safe/2"}) {
		body, _ := b.readResponse(t)
		assert.Equal(t, body, want)
	}
}

// TestPlannedStopFinishesPipelinedRequests: in a planned stop, the connection is closed by the last
// response, not by an earlier one while later requests are still at endpoints.
func TestPlannedStopFinishesPipelinedRequests(t *testing.T) {
	b := newPipelinedHarness(t, "/safe/1", "/safe/2")
	b.sendGets(t, "/safe/1", "/safe/2")
	<-b.reached
	<-b.reached
	b.server.BeginStop()
	b.balancer.Stop(stopPlan(time.Now()))
	close(b.release["/safe/1"])
	body, closes := b.readResponse(t)
	assert.Equal(t, body, "/safe/1")
	assert.Assert(t, !closes)
	close(b.release["/safe/2"])
	body, closes = b.readResponse(t)
	assert.Equal(t, body, "/safe/2")
	assert.Assert(t, closes)
}

// TestRequestsDuringStopAreLogged: the log shows how each request came that a stopping balancer accepts.
func TestRequestsDuringStopAreLogged(t *testing.T) {
	b := newPipelinedHarness(t, "/safe/1")
	b.sendGets(t, "/safe/1")
	<-b.reached
	b.balancer.Stop(stopPlan(time.Now()))
	b.sendGets(t, "/safe/2")
	<-b.reached
	close(b.release["/safe/1"])
	for range 2 {
		b.readResponse(t)
	}
	assert.Assert(t, !strings.Contains(b.log.String(), "accepted during a planned stop: request=/safe/1"))
	assert.Assert(t, strings.Contains(b.log.String(), "accepted during a planned stop: request=/safe/2"))
	assert.Assert(t, strings.Contains(b.log.String(), "number=2 behind=true protocol=HTTP/1.1"))
}
