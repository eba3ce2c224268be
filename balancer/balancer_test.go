package balancer_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/lotuswing/lotuswing/balancer"
	"github.com/lotuswing/lotuswing/coord/placement"
	"github.com/lotuswing/lotuswing/coord/reason"
	"github.com/lotuswing/lotuswing/coord/verdict"
	"github.com/lotuswing/lotuswing/internal/fixedseed"
	"github.com/lotuswing/lotuswing/internal/rawendpoint"
	"github.com/lotuswing/lotuswing/settings"
	"github.com/lotuswing/lotuswing/telemetry"
	"github.com/lotuswing/lotuswing/tenant"
	"github.com/lotuswing/lotuswing/upstream"
	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) { fixedseed.Run(m) }

// fakeChooser grants the first endpoint that is not to be avoided.
type fakeChooser struct {
	requested placement.Request // last argument of Acquire
	cfg       *tenant.Config
	endpoints []placement.Endpoint
	sequence  atomic.Uint64
	refusal   *placement.Refusal
	// maxGrants, if above 0, is the maximum number of grants.
	maxGrants int

	// onAcquire, if set, is called by each Acquire with the number of grants before it.
	onAcquire func(granted int)
	// acquireStarted and callerLeft, if set, make Acquire wait until the caller disconnects.
	acquireStarted, callerLeft chan struct{}

	mu      sync.Mutex
	results []placement.Result
	granted int
	reports []endpointReport
	// withdrawn endpoints stop accepting requests after they were granted.
	withdrawn []string
	// beforeAccepts is called with a VM before StillAccepts decides; may be nil.
	beforeAccepts func(vm string)
	// completed holds the VMs of the completed grants.
	completed []string
}

func (f *fakeChooser) NextID() string { return fmt.Sprintf("id-%d", f.sequence.Add(1)) }

func (f *fakeChooser) Route(host, method, path string) (tenant.Route, reason.Code) {
	return f.cfg.Route(host, method, path)
}

func (f *fakeChooser) Service(_, service string) (tenant.Service, int) {
	return f.cfg.Services[service], 1
}

func (f *fakeChooser) Ready() (bool, string) { return true, "" }

func (f *fakeChooser) Acquire(ctx context.Context, r placement.Request) (placement.Grant, *placement.Refusal) {
	f.mu.Lock()
	f.requested = r
	f.mu.Unlock()
	if f.refusal != nil {
		return placement.Grant{}, f.refusal
	}
	if f.acquireStarted != nil {
		close(f.acquireStarted)
		<-ctx.Done()
		close(f.callerLeft)
	}
	if ctx.Err() != nil {
		return placement.Grant{}, &placement.Refusal{Reason: reason.CallerLeft}
	}
	if f.onAcquire != nil {
		f.mu.Lock()
		before := f.granted
		f.mu.Unlock()
		f.onAcquire(before)
	}
	if !time.Now().Before(r.Deadline) {
		return placement.Grant{}, &placement.Refusal{Reason: reason.Expired}
	}
	f.mu.Lock()
	f.granted++
	over := f.maxGrants > 0 && f.granted > f.maxGrants
	f.mu.Unlock()
	if over {
		return placement.Grant{}, &placement.Refusal{Reason: reason.TooLate}
	}
	for _, e := range f.endpoints {
		if !strings.Contains(strings.Join(r.Avoid, " "), e.VM) {
			return placement.Grant{ID: r.ID, Service: r.Service, Endpoint: e}, nil
		}
	}
	return placement.Grant{ID: r.ID, Service: r.Service, Endpoint: f.endpoints[0]}, nil
}

func (f *fakeChooser) StillAccepts(g placement.Grant, _ time.Time) bool {
	if f.beforeAccepts != nil {
		f.beforeAccepts(g.Endpoint.VM)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return !slices.Contains(f.withdrawn, g.Endpoint.VM)
}

func (f *fakeChooser) ObserveResponse(g placement.Grant, r upstream.Report) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reports = append(f.reports, endpointReport{g.Endpoint.VM, r})
}

// endpointReport is one call of ObserveResponse.
type endpointReport struct {
	vm     string
	report upstream.Report
}

func (f *fakeChooser) Complete(g placement.Grant, r placement.Result) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.completed = append(f.completed, g.Endpoint.VM)
	f.results = append(f.results, r)
}

// awaitResult waits for the result of attempt i, which is reported after the caller has the
// response.
func (f *fakeChooser) awaitResult(i int) placement.Result {
	for {
		f.mu.Lock()
		if len(f.results) > i {
			defer f.mu.Unlock()
			return f.results[i]
		}
		f.mu.Unlock()
		time.Sleep(time.Millisecond)
	}
}

// harness is a balancer in front of faulty endpoints.
type harness struct {
	chooser   *fakeChooser
	endpoints []*rawendpoint.Faulty
	server    *httptest.Server
}

// testingT is the part of testing.T that rapid.T has as well.
type testingT interface {
	assert.TestingT
	Cleanup(func())
}

func newHarness(t testingT, endpoints int) *harness {
	return newHarnessWith(t, endpoints, func(*balancer.Config) {})
}

// newHarnessWith is newHarness with a change to the configuration.
func newHarnessWith(t testingT, endpoints int, change func(*balancer.Config)) *harness {
	cfg, err := tenant.Load("testdata/tenant.jsonc")
	assert.NilError(t, err)
	b := &harness{chooser: &fakeChooser{cfg: cfg}}
	for i := range endpoints {
		e, err := rawendpoint.NewFaulty()
		assert.NilError(t, err)
		t.Cleanup(e.Close)
		b.endpoints = append(b.endpoints, e)
		b.chooser.endpoints = append(b.chooser.endpoints, placement.Endpoint{VM: fmt.Sprintf("e%d", i), Addr: e.Addr(), Slots: 3})
	}
	tracing, err := telemetry.NewTracing("none", io.Discard)
	assert.NilError(t, err)
	config := balancer.Config{
		Chooser: b.chooser,
		Limits:  settings.Limits{BodyBytes: 1 << 20, ReplayBytes: 1 << 10},
		Log:     hclog.NewNullLogger(),
		Metrics: metrics.NewRegistry(),
		Tracing: tracing,
	}
	change(&config)
	h := balancer.New(config)
	b.server = httptest.NewServer(h)
	b.server.Config.ErrorLog = hclog.NewNullLogger().StandardLogger(nil)
	t.Cleanup(b.server.Close)
	return b
}

// ran returns how often the endpoints ran the request with a key.
func (b *harness) ran(key string) int {
	n := 0
	for _, e := range b.endpoints {
		n += e.Ran(key)
	}
	return n
}

// callResult is the response that a caller got; the zero value stands for none.
type callResult struct {
	status     int
	verdict    string
	reason     string
	retryAfter string
	body       string
	complete   bool
}

// call sends one request on a new connection and reads the response.
func (b *harness) call(t assert.TestingT, method, path, key, body string, header http.Header) callResult {
	req, err := http.NewRequest(method, b.server.URL+path, strings.NewReader(body))
	assert.NilError(t, err)
	req.Host = "desk"
	req.Header = header.Clone()
	req.Header.Set(rawendpoint.KeyHeader, key)
	req.GetBody = nil
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return callResult{}
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	return callResult{
		status: resp.StatusCode, verdict: resp.Header.Get(verdict.Header), reason: resp.Header.Get(verdict.ReasonHeader),
		retryAfter: resp.Header.Get("Retry-After"), body: string(raw), complete: err == nil,
	}
}

// TestVerdictMatchesRunsUnderFaults injects faults at any point of the exchange with two endpoints
// and compares the verdict that callers get with the number of runs.
func TestVerdictMatchesRunsUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := newHarness(t, 2)
		for i := range rapid.IntRange(1, 5).Draw(t, "requests") {
			for _, e := range b.endpoints {
				e.Set(rapid.SampledFrom(rawendpoint.AllFaults).Draw(t, "fault"))
			}
			key := fmt.Sprintf("request-%d", i)
			nonRepeatable := rapid.Bool().Draw(t, "once")
			path := "/read"
			if nonRepeatable {
				path = "/once"
			}
			header := http.Header{"Lotuswing-Timeout": {"60ms"}}
			if rapid.Bool().Draw(t, "idempotency-key") {
				header.Set("Idempotency-Key", "k")
			}
			body := rapid.SampledFrom([]string{"", "x", strings.Repeat("x", 3000)}).Draw(t, "body")
			got := b.call(t, rapid.SampledFrom([]string{"GET", "POST", "PUT"}).Draw(t, "method"), path, key, body, header)
			ran := b.ran(key)
			assert.Assert(t, !nonRepeatable || ran <= 1, "%s ran %d times", key, ran)
			switch got.verdict {
			case "not-run":
				assert.Equal(t, ran, 0, "verdict not-run with reason %s", got.reason)
			case "ran":
				assert.Assert(t, ran >= 1)
			}
			if got.complete && got.status == http.StatusOK {
				assert.Equal(t, got.body, "answer to "+key)
			}
			if got.status == http.StatusServiceUnavailable && got.verdict == "not-run" {
				assert.Assert(t, got.retryAfter != "", "a refusal without Retry-After")
			}
		}
	})
}

// TestNotRunResponseIsRetriedElsewhere checks that a request which an endpoint did not run is sent
// to another one, including its body.
func TestNotRunResponseIsRetriedElsewhere(t *testing.T) {
	b := newHarness(t, 2)
	b.endpoints[0].Set(rawendpoint.AnswerNotRun)
	got := b.call(t, "POST", "/once", "petition", "stamped", http.Header{})
	assert.Equal(t, got.status, http.StatusOK)
	assert.Equal(t, b.endpoints[1].Ran("petition"), 1)
	assert.Equal(t, b.chooser.awaitResult(0).Outcome, placement.Shed)
}

// TestBare503IsRetriedOnlyIfRepeatable: an endpoint that responds 503 to everything must not fail
// repeatable requests while others serve; a non-repeatable one is never sent again.
func TestBare503IsRetriedOnlyIfRepeatable(t *testing.T) {
	b := newHarness(t, 2)
	b.endpoints[0].Set(rawendpoint.Bare503)
	got := b.call(t, "GET", "/read", "read", "", http.Header{})
	assert.Equal(t, got.status, http.StatusOK)
	assert.Equal(t, b.chooser.awaitResult(0).Outcome, placement.Failed)
	got = b.call(t, "POST", "/once", "filing", "x", http.Header{})
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assert.Equal(t, got.verdict, "ran")
	assert.Equal(t, b.ran("filing"), 1)
}

// TestNonRepeatableIsNotRetriedAfterUnknownOutcome: the request may have run, so the caller gets
// that verdict and the request is not sent again.
func TestNonRepeatableIsNotRetriedAfterUnknownOutcome(t *testing.T) {
	b := newHarness(t, 2)
	b.endpoints[0].Set(rawendpoint.CloseAfterRead)
	got := b.call(t, "POST", "/once", "petition", "stamped", http.Header{})
	assert.Equal(t, got.status, http.StatusBadGateway)
	assert.Equal(t, got.verdict, "may-have-run")
	assert.Equal(t, got.reason, "LW3004")
	assert.Equal(t, b.ran("petition"), 1)
}

// TestEarlierAttemptDecidesVerdict: a repeatable request whose first attempt may have run never
// gets the verdict not-run because a later attempt did not run.
func TestEarlierAttemptDecidesVerdict(t *testing.T) {
	b := newHarness(t, 4)
	b.endpoints[0].Set(rawendpoint.CloseAfterRead)
	for _, e := range b.endpoints[1:] {
		e.Set(rawendpoint.AnswerNotRun)
	}
	got := b.call(t, "POST", "/read", "k", "x", http.Header{})
	assert.Equal(t, b.ran("k"), 1)
	assert.Equal(t, got.verdict, "may-have-run")
}

// TestNoEndpointForRetryReportsMayHaveRun: the lack of an endpoint for a second attempt does not
// change that the first one may have run.
func TestNoEndpointForRetryReportsMayHaveRun(t *testing.T) {
	b := newHarness(t, 1)
	b.endpoints[0].Set(rawendpoint.CloseAfterRead)
	b.chooser.maxGrants = 1
	got := b.call(t, "POST", "/read", "k", "x", http.Header{})
	assert.Equal(t, b.ran("k"), 1)
	assert.Equal(t, got.verdict, "may-have-run")
	assert.Equal(t, got.status, http.StatusBadGateway)
}

// TestTruncatedResponseStaysTruncated checks that the caller sees a truncated response as such,
// with Content-Length and with chunked encoding.
func TestTruncatedResponseStaysTruncated(t *testing.T) {
	for _, f := range []rawendpoint.Fault{rawendpoint.CutBody, rawendpoint.CutChunked} {
		b := newHarness(t, 1)
		b.endpoints[0].Set(f)
		got := b.call(t, "GET", "/read", "k", "", http.Header{})
		assert.Assert(t, !got.complete, "%s: %+v", f, got)
	}
}

// TestChooserRefusalHasRetryAfter checks that a refusal of the chooser reaches the caller with its
// Retry-After.
func TestChooserRefusalHasRetryAfter(t *testing.T) {
	b := newHarness(t, 1)
	b.chooser.refusal = &placement.Refusal{Reason: reason.TooLate, RetryAfter: 1500 * time.Millisecond}
	got := b.call(t, "GET", "/read", "k", "", http.Header{})
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assert.Equal(t, got.verdict, "not-run")
	assert.Equal(t, got.retryAfter, "2")
	assert.Assert(t, strings.Contains(got.body, `"retry_after_ms":1500`), got.body)
	assert.Equal(t, b.ran("k"), 0)
}

// TestCallerDisconnectCancelsAttempt: the attempt of a caller that disconnects is canceled and
// reported as unused.
func TestCallerDisconnectCancelsAttempt(t *testing.T) {
	b := newHarness(t, 1)
	b.endpoints[0].Set(rawendpoint.SilentAfterRead)
	ctx, cancel := context.WithCancel(context.Background())
	req, err := http.NewRequestWithContext(ctx, "GET", b.server.URL+"/read", nil)
	assert.NilError(t, err)
	req.Host = "desk"
	req.Header.Set(rawendpoint.KeyHeader, "k")
	go func() {
		for b.ran("k") == 0 {
			time.Sleep(time.Millisecond)
		}
		cancel()
	}()
	_, err = http.DefaultClient.Do(req)
	assert.Assert(t, err != nil)
	assert.Equal(t, b.chooser.awaitResult(0).Outcome, placement.Unused)
	assert.Equal(t, b.ran("k"), 1)
}

// TestCallerDisconnectEndsAcquire checks that Acquire is canceled when the caller disconnects.
// net/http detects this only once the body is read, which the balancer does before Acquire.
func TestCallerDisconnectEndsAcquire(t *testing.T) {
	b := newHarness(t, 1)
	b.chooser.acquireStarted = make(chan struct{})
	b.chooser.callerLeft = make(chan struct{})
	ctx, cancel := context.WithCancel(context.Background())
	req, err := http.NewRequestWithContext(ctx, "POST", b.server.URL+"/once", strings.NewReader("stamped"))
	assert.NilError(t, err)
	req.Host = "desk"
	go func() {
		<-b.chooser.acquireStarted
		cancel()
	}()
	_, err = http.DefaultClient.Do(req)
	assert.Assert(t, err != nil)
	<-b.chooser.callerLeft
	assert.Equal(t, b.ran(""), 0)
}

// TestSlowUploadHoldsNoSlot: a small body that stops arriving is abandoned at the deadline, before
// an endpoint is acquired.
func TestSlowUploadHoldsNoSlot(t *testing.T) {
	b := newHarness(t, 1)
	conn, err := net.Dial("tcp", b.server.Listener.Addr().String())
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, "POST /once HTTP/1.1\r\nHost: desk\r\nLotuswing-Timeout: 50ms\r\nContent-Length: 10\r\n\r\nhalf")
	assert.NilError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	assert.Equal(t, resp.Header.Get(verdict.ReasonHeader), "LW2008")
	assert.Equal(t, resp.Header.Get(verdict.Header), "not-run")
	assert.Equal(t, b.chooser.granted, 0)
}

// TestMalformedRequestsReachNoEndpoint sends malformed requests as raw bytes.
func TestMalformedRequestsReachNoEndpoint(t *testing.T) {
	b := newHarness(t, 1)
	cases := map[string]string{
		"two lengths":             "POST /once HTTP/1.1\r\nHost: desk\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nxx",
		"bad length":              "POST /once HTTP/1.1\r\nHost: desk\r\nContent-Length: -1\r\n\r\n",
		"unknown transfer coding": "POST /once HTTP/1.1\r\nHost: desk\r\nTransfer-Encoding: xchunked\r\n\r\n",
		"no host":                 "GET /read HTTP/1.1\r\n\r\n",
		"dot segment":             "GET /read/../once HTTP/1.1\r\nHost: desk\r\n\r\n",
		"encoded dot segment":     "GET /read/%2e%2E/once HTTP/1.1\r\nHost: desk\r\n\r\n",
		"bad method":              "GE(T /read HTTP/1.1\r\nHost: desk\r\n\r\n",
		"absurd timeout":          "GET /read HTTP/1.1\r\nHost: desk\r\nLotuswing-Timeout: 9999h\r\n\r\n",
		"negative timeout":        "GET /read HTTP/1.1\r\nHost: desk\r\nLotuswing-Timeout: -1s\r\n\r\n",
		"unknown team":            "GET /read HTTP/1.1\r\nHost: nobody\r\n\r\n",
		"space in a header":       "GET /read HTTP/1.1\r\nHost: desk\r\nX y: 1\r\n\r\n",
		"NUL in a header":         "GET /read HTTP/1.1\r\nHost: desk\r\nX: a\x00b\r\n\r\n",
	}
	for name, raw := range cases {
		t.Run(name, func(t *testing.T) {
			conn, err := net.Dial("tcp", b.server.Listener.Addr().String())
			assert.NilError(t, err)
			defer func() { _ = conn.Close() }()
			_, err = io.WriteString(conn, raw)
			assert.NilError(t, err)
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			assert.NilError(t, err)
			// RFC 9112, section 6.1, asks for 501 on an unknown transfer coding.
			wantStatus := resp.StatusCode >= 400 && resp.StatusCode < 500 || resp.StatusCode == http.StatusNotImplemented
			assert.Assert(t, wantStatus, resp.Status)
			assert.Equal(t, b.ran(""), 0)
		})
	}
}
