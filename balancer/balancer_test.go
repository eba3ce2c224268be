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

// fakeChooser grants the endpoints in turn, leaving out those to be avoided.
type fakeChooser struct {
	cfg       *tenant.Config
	endpoints []placement.Endpoint
	sequence  atomic.Uint64
	refuse    *placement.Refusal
	// refuseAfter, where above 0, is how many grants there are.
	refuseAfter int

	// during, where set, is called by each Acquire with how many there were before.
	during func(acquired int)
	// waiting and left, where set, make Acquire wait until the caller leaves.
	waiting, left chan struct{}

	mu      sync.Mutex
	endings []placement.Result
	granted int
	heard   []heard
	// unwilling endpoints have come to want no requests since they were granted.
	unwilling []string
}

func (f *fakeChooser) NextID() string { return fmt.Sprintf("id-%d", f.sequence.Add(1)) }

func (f *fakeChooser) Route(host, method, path string) (tenant.Route, reason.Code) {
	return f.cfg.Route(host, method, path)
}

func (f *fakeChooser) Service(_, service string) (tenant.Service, int) {
	return f.cfg.Services[service], 1
}

func (f *fakeChooser) Ready() (bool, string) { return true, "" }

func (f *fakeChooser) Acquire(ctx context.Context, a placement.Request) (placement.Grant, *placement.Refusal) {
	if f.refuse != nil {
		return placement.Grant{}, f.refuse
	}
	if f.waiting != nil {
		close(f.waiting)
		<-ctx.Done()
		close(f.left)
	}
	if ctx.Err() != nil {
		return placement.Grant{}, &placement.Refusal{Reason: reason.CallerLeft}
	}
	if f.during != nil {
		f.mu.Lock()
		before := f.granted
		f.mu.Unlock()
		f.during(before)
	}
	if !time.Now().Before(a.Deadline) {
		return placement.Grant{}, &placement.Refusal{Reason: reason.Expired}
	}
	f.mu.Lock()
	f.granted++
	over := f.refuseAfter > 0 && f.granted > f.refuseAfter
	f.mu.Unlock()
	if over {
		return placement.Grant{}, &placement.Refusal{Reason: reason.TooLate}
	}
	for _, e := range f.endpoints {
		if !strings.Contains(strings.Join(a.Avoid, " "), e.VM) {
			return placement.Grant{ID: a.ID, Service: a.Service, Endpoint: e}, nil
		}
	}
	return placement.Grant{ID: a.ID, Service: a.Service, Endpoint: f.endpoints[0]}, nil
}

func (f *fakeChooser) Admits(g placement.Grant, _ time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !slices.Contains(f.unwilling, g.Endpoint.VM)
}

func (f *fakeChooser) Hear(g placement.Grant, r upstream.Report) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.heard = append(f.heard, heard{g.Endpoint.VM, r})
}

// heard is what an endpoint said.
type heard struct {
	vm     string
	report upstream.Report
}

func (f *fakeChooser) Complete(_ placement.Grant, e placement.Result) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.endings = append(f.endings, e)
}

// ending waits for the report of an attempt, which comes after the caller has
// its answer.
func (f *fakeChooser) ending(i int) placement.Result {
	for {
		f.mu.Lock()
		if len(f.endings) > i {
			defer f.mu.Unlock()
			return f.endings[i]
		}
		f.mu.Unlock()
		time.Sleep(time.Millisecond)
	}
}

// bench is a balancer in front of faulty endpoints.
type bench struct {
	chooser   *fakeChooser
	endpoints []*rawendpoint.Faulty
	server    *httptest.Server
}

type cleaner interface {
	assert.TestingT
	Cleanup(func())
}

func newBench(t cleaner, endpoints int) *bench {
	return newBenchWith(t, endpoints, func(*balancer.Config) {})
}

// newBenchWith changes the configuration first.
func newBenchWith(t cleaner, endpoints int, change func(*balancer.Config)) *bench {
	cfg, err := tenant.Load("testdata/tenant.jsonc")
	assert.NilError(t, err)
	b := &bench{chooser: &fakeChooser{cfg: cfg}}
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

func (b *bench) ran(key string) int {
	n := 0
	for _, e := range b.endpoints {
		n += e.Ran(key)
	}
	return n
}

// told is what a caller was told.
type told struct {
	status  int
	verdict string
	reason  string
	retry   string
	body    string
	whole   bool
}

func (b *bench) call(t assert.TestingT, method, path, key, body string, header http.Header) told {
	req, err := http.NewRequest(method, b.server.URL+path, strings.NewReader(body))
	assert.NilError(t, err)
	req.Host = "desk"
	req.Header = header.Clone()
	req.Header.Set(rawendpoint.KeyHeader, key)
	req.GetBody = nil
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return told{}
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	return told{
		status: resp.StatusCode, verdict: resp.Header.Get(verdict.Header), reason: resp.Header.Get(verdict.ReasonHeader),
		retry: resp.Header.Get("Retry-After"), body: string(raw), whole: err == nil,
	}
}

// TestCallersAreToldTheTruth puts faults at any point of the exchange with two
// endpoints and compares what callers are told with what ran.
func TestCallersAreToldTheTruth(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := newBench(t, 2)
		for i := range rapid.IntRange(1, 5).Draw(t, "requests") {
			for _, e := range b.endpoints {
				e.Set(rapid.SampledFrom(rawendpoint.AllFaults).Draw(t, "fault"))
			}
			key := fmt.Sprintf("request-%d", i)
			once := rapid.Bool().Draw(t, "once")
			path := "/read"
			if once {
				path = "/once"
			}
			header := http.Header{"Lotuswing-Timeout": {"60ms"}}
			if rapid.Bool().Draw(t, "idempotency-key") {
				header.Set("Idempotency-Key", "k")
			}
			body := rapid.SampledFrom([]string{"", "x", strings.Repeat("x", 3000)}).Draw(t, "body")
			got := b.call(t, rapid.SampledFrom([]string{"GET", "POST", "PUT"}).Draw(t, "method"), path, key, body, header)
			ran := b.ran(key)
			assert.Assert(t, !once || ran <= 1, "%s ran %d times", key, ran)
			switch got.verdict {
			case "not-run":
				assert.Equal(t, ran, 0, "told not-run by %s", got.reason)
			case "ran":
				assert.Assert(t, ran >= 1)
			}
			if got.whole && got.status == http.StatusOK {
				assert.Equal(t, got.body, "answer to "+key)
			}
			if got.status == http.StatusServiceUnavailable && got.verdict == "not-run" {
				assert.Assert(t, got.retry != "", "a refusal says when to come back")
			}
		}
	})
}

// TestRefusedRequestIsRepeatedElsewhere: a request that an endpoint did not
// run goes to another, body included.
func TestRefusedRequestIsRepeatedElsewhere(t *testing.T) {
	b := newBench(t, 2)
	b.endpoints[0].Set(rawendpoint.AnswerNotRun)
	got := b.call(t, "POST", "/once", "petition", "stamped", http.Header{})
	assert.Equal(t, got.status, http.StatusOK)
	assert.Equal(t, b.endpoints[1].Ran("petition"), 1)
	assert.Equal(t, b.chooser.ending(0).Outcome, placement.Shed)
}

// TestBareRejectionIsRepeatedForReadsOnly: an endpoint that rejects everything
// does not fail reads while others serve; a filing is never sent again.
func TestBareRejectionIsRepeatedForReadsOnly(t *testing.T) {
	b := newBench(t, 2)
	b.endpoints[0].Set(rawendpoint.Bare503)
	got := b.call(t, "GET", "/read", "read", "", http.Header{})
	assert.Equal(t, got.status, http.StatusOK)
	assert.Equal(t, b.chooser.ending(0).Outcome, placement.Failed)
	got = b.call(t, "POST", "/once", "filing", "x", http.Header{})
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assert.Equal(t, got.verdict, "ran")
	assert.Equal(t, b.ran("filing"), 1)
}

// TestUnknownAnswerOfFilingIsNotRepeated: the filing may have run, so the
// caller is told so and nothing is sent again.
func TestUnknownAnswerOfFilingIsNotRepeated(t *testing.T) {
	b := newBench(t, 2)
	b.endpoints[0].Set(rawendpoint.CloseAfterRead)
	got := b.call(t, "POST", "/once", "petition", "stamped", http.Header{})
	assert.Equal(t, got.status, http.StatusBadGateway)
	assert.Equal(t, got.verdict, "may-have-run")
	assert.Equal(t, got.reason, "LW3004")
	assert.Equal(t, b.ran("petition"), 1)
}

// TestEarlierAttemptDecidesVerdict: a repeatable request whose first attempt
// may have run is never told not-run because a later attempt did not.
func TestEarlierAttemptDecidesVerdict(t *testing.T) {
	b := newBench(t, 4)
	b.endpoints[0].Set(rawendpoint.CloseAfterRead)
	for _, e := range b.endpoints[1:] {
		e.Set(rawendpoint.AnswerNotRun)
	}
	got := b.call(t, "POST", "/read", "k", "x", http.Header{})
	assert.Equal(t, b.ran("k"), 1)
	assert.Equal(t, got.verdict, "may-have-run")
}

// TestRefusalAfterAttemptIsNotTold: no grant for a second attempt does not
// make the first one not run.
func TestRefusalAfterAttemptIsNotTold(t *testing.T) {
	b := newBench(t, 1)
	b.endpoints[0].Set(rawendpoint.CloseAfterRead)
	b.chooser.refuseAfter = 1
	got := b.call(t, "POST", "/read", "k", "x", http.Header{})
	assert.Equal(t, b.ran("k"), 1)
	assert.Equal(t, got.verdict, "may-have-run")
	assert.Equal(t, got.status, http.StatusBadGateway)
}

// TestCutAnswerReachesCallerAsCut over both framings.
func TestCutAnswerReachesCallerAsCut(t *testing.T) {
	for _, f := range []rawendpoint.Fault{rawendpoint.CutBody, rawendpoint.CutChunked} {
		b := newBench(t, 1)
		b.endpoints[0].Set(f)
		got := b.call(t, "GET", "/read", "k", "", http.Header{})
		assert.Assert(t, !got.whole, "%s: %+v", f, got)
	}
}

// TestRefusalIsAnsweredAtOnce: what the chooser refuses is told to the caller
// with the time to come back.
func TestRefusalIsAnsweredAtOnce(t *testing.T) {
	b := newBench(t, 1)
	b.chooser.refuse = &placement.Refusal{Reason: reason.TooLate, RetryAfter: 1500 * time.Millisecond}
	got := b.call(t, "GET", "/read", "k", "", http.Header{})
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assert.Equal(t, got.verdict, "not-run")
	assert.Equal(t, got.retry, "2")
	assert.Assert(t, strings.Contains(got.body, `"retry_after_ms":1500`), got.body)
	assert.Equal(t, b.ran("k"), 0)
}

// TestCallerThatLeavesCancelsUpstream: the grant is given back.
func TestCallerThatLeavesCancelsUpstream(t *testing.T) {
	b := newBench(t, 1)
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
	assert.Equal(t, b.chooser.ending(0).Outcome, placement.Unused)
	assert.Equal(t, b.ran("k"), 1)
}

// TestCallerThatLeavesWhileWaiting gives its place back, though its body was
// not asked for yet.
func TestCallerThatLeavesWhileWaiting(t *testing.T) {
	b := newBench(t, 1)
	b.chooser.waiting = make(chan struct{})
	b.chooser.left = make(chan struct{})
	ctx, cancel := context.WithCancel(context.Background())
	req, err := http.NewRequestWithContext(ctx, "POST", b.server.URL+"/once", strings.NewReader("stamped"))
	assert.NilError(t, err)
	req.Host = "desk"
	go func() {
		<-b.chooser.waiting
		cancel()
	}()
	_, err = http.DefaultClient.Do(req)
	assert.Assert(t, err != nil)
	<-b.chooser.left
	assert.Equal(t, b.ran(""), 0)
}

// TestSlowUploadHoldsNoSlot: a small body that stops arriving is given up at
// the deadline, before anything is asked of the chooser.
func TestSlowUploadHoldsNoSlot(t *testing.T) {
	b := newBench(t, 1)
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

// TestMalformedRequestsReachNoEndpoint sends raw bytes.
func TestMalformedRequestsReachNoEndpoint(t *testing.T) {
	b := newBench(t, 1)
	cases := map[string]string{
		"two lengths":        "POST /once HTTP/1.1\r\nHost: desk\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nxx",
		"bad length":         "POST /once HTTP/1.1\r\nHost: desk\r\nContent-Length: -1\r\n\r\n",
		"unknown coding":     "POST /once HTTP/1.1\r\nHost: desk\r\nTransfer-Encoding: xchunked\r\n\r\n",
		"no host":            "GET /read HTTP/1.1\r\n\r\n",
		"dot segment":        "GET /read/../once HTTP/1.1\r\nHost: desk\r\n\r\n",
		"coded dot segment":  "GET /read/%2e%2E/once HTTP/1.1\r\nHost: desk\r\n\r\n",
		"bad method":         "GE(T /read HTTP/1.1\r\nHost: desk\r\n\r\n",
		"absurd timeout":     "GET /read HTTP/1.1\r\nHost: desk\r\nLotuswing-Timeout: 9999h\r\n\r\n",
		"negative timeout":   "GET /read HTTP/1.1\r\nHost: desk\r\nLotuswing-Timeout: -1s\r\n\r\n",
		"unknown team":       "GET /read HTTP/1.1\r\nHost: nobody\r\n\r\n",
		"space in a header":  "GET /read HTTP/1.1\r\nHost: desk\r\nX y: 1\r\n\r\n",
		"line ends in value": "GET /read HTTP/1.1\r\nHost: desk\r\nX: a\x00b\r\n\r\n",
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
			// RFC 9112, section 6.1, wants 501 for an unknown coding.
			wantStatus := resp.StatusCode >= 400 && resp.StatusCode < 500 || resp.StatusCode == http.StatusNotImplemented
			assert.Assert(t, wantStatus, resp.Status)
			assert.Equal(t, b.ran(""), 0)
		})
	}
}
