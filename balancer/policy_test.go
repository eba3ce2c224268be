package balancer_test

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/lotuswing/lotuswing/balancer"
	"github.com/lotuswing/lotuswing/coord/placement"
	"github.com/lotuswing/lotuswing/coord/reason"
	"github.com/lotuswing/lotuswing/coord/retry"
	"github.com/lotuswing/lotuswing/internal/rawendpoint"
	"github.com/lotuswing/lotuswing/platform"
	"github.com/lotuswing/lotuswing/settings"
	"github.com/lotuswing/lotuswing/telemetry"
	"github.com/lotuswing/lotuswing/tenant"
	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"
)

const (
	signed200   = "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Signature: s\r\nContent-Length: 5\r\n\r\nwhole"
	failed500   = "HTTP/1.1 500 Error\r\nRequest-Id: {id}\r\nResponse-Signature: f\r\nContent-Length: 0\r\n\r\n"
	declined503 = "HTTP/1.1 503 Busy\r\nRequest-Id: {id}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
	bare503     = "HTTP/1.1 503 Busy\r\nRequest-Id: {id}\r\nContent-Length: 0\r\n\r\n"
)

// prefixChooser routes /safe/ (repeatable) and /unsafe/ (non-repeatable) with two attempts each.
type prefixChooser struct {
	*fakeChooser
	table *tenant.PrefixTable
}

func (f *prefixChooser) Route(host, _, path string) (tenant.Route, reason.Code) {
	return f.table.Route(host, path, 0)
}

func (f *prefixChooser) Service(string, string) (tenant.Service, int) { return tenant.Service{}, 0 }

func newPrefixChooser() *prefixChooser { return newPrefixChooserWithin(2 * time.Second) }

// newPrefixChooserWithin is newPrefixChooser with a timeout of the routes.
func newPrefixChooserWithin(timeout time.Duration) *prefixChooser {
	route := func(name, prefix string, repeatable bool) tenant.PrefixRoute {
		return tenant.PrefixRoute{
			Name: name, Host: "desk", Prefix: prefix, Repeatable: repeatable, Timeout: timeout,
			Target: 400 * time.Millisecond, MaxAttempts: 2, MaxBody: 1000, Split: []tenant.Share{{Service: "s", Weight: 1}},
		}
	}
	return &prefixChooser{
		fakeChooser: &fakeChooser{},
		table:       tenant.NewPrefixTable("t", []tenant.PrefixRoute{route("read", "/safe/", true), route("file", "/unsafe/", false)}),
	}
}

// platformResponse is the response that a caller got under the platform's policy.
type platformResponse struct {
	status     int
	body       string
	signature  string
	retryAfter string
}

// platformHarness is a balancer with the platform's policy in front of two scripted endpoints.
type platformHarness struct {
	chooser   *prefixChooser
	endpoints [2]*rawendpoint.Scripted
	server    *httptest.Server
	log       bytes.Buffer
}

func newPlatformHarness(t *testing.T, first, second rawendpoint.Step, retries *retry.WindowLimit) *platformHarness {
	t.Helper()
	return newPlatformHarnessWithLogRate(t, first, second, retries, 1000)
}

// newPlatformHarnessWithLogRate logs at most rate lines per second.
func newPlatformHarnessWithLogRate(t *testing.T, first, second rawendpoint.Step, retries *retry.WindowLimit, rate int) *platformHarness {
	t.Helper()
	chooser := newPrefixChooser()
	b := &platformHarness{chooser: chooser}
	for i, step := range []rawendpoint.Step{first, second} {
		e, err := rawendpoint.NewScripted(platform.Dialect().RequestID, step)
		assert.NilError(t, err)
		t.Cleanup(e.Close)
		b.endpoints[i] = e
		chooser.endpoints = append(chooser.endpoints, placement.Endpoint{VM: []string{"e0", "e1"}[i], Addr: e.Addr()})
	}
	tracing, err := telemetry.NewTracing("none", io.Discard)
	assert.NilError(t, err)
	policy := platform.Policy(settings.Retries{})
	policy.Retries = retries
	h := balancer.New(balancer.Config{
		Chooser: chooser, Limits: settings.Limits{BodyBytes: 1 << 20, ReplayBytes: 1 << 14}, Log: hclog.NewNullLogger(),
		Metrics: metrics.NewRegistry(), Tracing: tracing, RequestLog: telemetry.NewRequestLogger(&b.log, rate),
		Policy: policy,
	})
	b.server = httptest.NewServer(h)
	t.Cleanup(b.server.Close)
	return b
}

func (b *platformHarness) call(t *testing.T, method, path, body string) platformResponse {
	t.Helper()
	req, err := http.NewRequest(method, b.server.URL+path, strings.NewReader(body))
	assert.NilError(t, err)
	req.Host = "desk"
	req.Header.Set("Request-Id", "r1")
	req.Header.Set("Deadline-Ms", "1500")
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	assert.NilError(t, err)
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	return platformResponse{resp.StatusCode, string(raw), resp.Header.Get("Response-Signature"), resp.Header.Get("Retry-After")}
}

// requestCounts returns the number of requests that each endpoint got.
func (b *platformHarness) requestCounts() [2]int {
	return [2]int{len(b.endpoints[0].Requests()), len(b.endpoints[1].Requests())}
}

// TestPlatformResponses checks the caller's response, and how many requests each endpoint got, for
// pairs of responses of the endpoints.
func TestPlatformResponses(t *testing.T) {
	cutShort := rawendpoint.Cut(signed200[:len(signed200)-2])
	cases := []struct {
		name          string
		path          string
		first, second rawendpoint.Step
		status        int
		signature     string
		runs          [2]int
	}{
		{"forwarded", "/safe/x", rawendpoint.Answer(signed200), rawendpoint.Answer(signed200), 200, "s", [2]int{1, 0}},
		{"truncated, then complete", "/safe/x", cutShort, rawendpoint.Answer(signed200), 200, "s", [2]int{1, 1}},
		{"truncated, non-repeatable", "/unsafe/x", cutShort, rawendpoint.Answer(signed200), 502, "", [2]int{1, 0}},
		{"reset, then complete", "/safe/x", rawendpoint.Reset(), rawendpoint.Answer(signed200), 200, "s", [2]int{1, 1}},
		{"reset, non-repeatable", "/unsafe/x", rawendpoint.Reset(), rawendpoint.Answer(signed200), 502, "", [2]int{1, 0}},
		{"declined, then complete", "/unsafe/x", rawendpoint.Answer(declined503), rawendpoint.Answer(signed200), 200, "s", [2]int{1, 1}},
		{"declined twice", "/unsafe/x", rawendpoint.Answer(declined503), rawendpoint.Answer(declined503), 503, "", [2]int{1, 1}},
		{"503 without Not-Executed becomes 502", "/unsafe/x", rawendpoint.Answer(bare503), rawendpoint.Answer(signed200), 502, "", [2]int{1, 0}},
		{"500, then complete", "/safe/x", rawendpoint.Answer(failed500), rawendpoint.Answer(signed200), 200, "s", [2]int{1, 1}},
		{"500 of a non-repeatable request is forwarded", "/unsafe/x", rawendpoint.Answer(failed500), rawendpoint.Answer(signed200), 500, "f", [2]int{1, 0}},
		{"500 twice", "/safe/x", rawendpoint.Answer(failed500), rawendpoint.Answer(failed500), 500, "f", [2]int{1, 1}},
		{"may have run, then declined", "/safe/x", rawendpoint.Reset(), rawendpoint.Answer(declined503), 502, "", [2]int{1, 1}},
		{"dot segments are forwarded", "/safe/%2e/../x", rawendpoint.Answer(signed200), rawendpoint.Answer(signed200), 200, "s", [2]int{1, 0}},
	}
	for _, c := range cases {
		b := newPlatformHarness(t, c.first, c.second, nil)
		got := b.call(t, http.MethodPost, c.path, "body")
		assert.Equal(t, got.status, c.status, c.name)
		assert.Equal(t, got.signature, c.signature, c.name)
		assert.Equal(t, b.requestCounts(), c.runs, c.name)
		if got.status == http.StatusServiceUnavailable {
			assert.Equal(t, got.retryAfter, "0.050", "%s: an eighth of the target", c.name)
		}
		if got.status == http.StatusOK {
			assert.Equal(t, got.body, "whole", c.name)
		}
	}
}

// TestRetriesStayWithinWindow: a second request is not retried once the window's only retry is
// used.
func TestRetriesStayWithinWindow(t *testing.T) {
	b := newPlatformHarness(t, rawendpoint.Reset(), rawendpoint.Answer(signed200), &retry.WindowLimit{Span: time.Hour, Allowance: 1})
	assert.Equal(t, b.call(t, http.MethodGet, "/safe/x", "").status, 200)
	assert.Equal(t, b.call(t, http.MethodGet, "/safe/x", "").status, 502)
	assert.Equal(t, b.requestCounts(), [2]int{2, 1})
}

// TestRequestLogEvents: the log has one line for each decision on a request, each with its request
// ID.
func TestRequestLogEvents(t *testing.T) {
	b := newPlatformHarness(t, rawendpoint.Answer(declined503), rawendpoint.Answer(signed200), nil)
	b.call(t, http.MethodPost, "/unsafe/x", "body")
	b.server.Close()
	var events []string
	for line := range strings.Lines(b.log.String()) {
		_, event, _ := strings.Cut(line, "lotuswing.request: ")
		event, fields, _ := strings.Cut(event, ": ")
		assert.Assert(t, strings.HasPrefix(fields, "request=r1 "), line)
		events = append(events, event)
	}
	assert.DeepEqual(t, events, []string{
		telemetry.EventAdmitted, telemetry.EventChosen, telemetry.EventAttempt, telemetry.EventRetry,
		telemetry.EventChosen, telemetry.EventAttempt, telemetry.EventEnded,
	})
}

// TestRequestLogFieldsAreDocumented: each field of a line is listed in telemetry.Events.
func TestRequestLogFieldsAreDocumented(t *testing.T) {
	b := newPlatformHarness(t, rawendpoint.Reset(), rawendpoint.Answer(declined503), nil)
	b.call(t, http.MethodGet, "/safe/x", "")
	b.call(t, http.MethodGet, "/nowhere", "")
	b.server.Close()
	documented := map[string]map[string]bool{}
	for _, e := range telemetry.Events {
		documented[e.Name] = map[string]bool{"request": true}
		for _, f := range e.Fields {
			documented[e.Name][f.Name] = true
		}
	}
	for line := range strings.Lines(b.log.String()) {
		_, rest, _ := strings.Cut(line, "lotuswing.request: ")
		event, fields, _ := strings.Cut(rest, ": ")
		inQuotes := false
		for word := range strings.FieldsSeq(fields) {
			key, _, isField := strings.Cut(word, "=")
			if isField && !inQuotes {
				assert.Assert(t, documented[event][key], "%s: field %q in %s", event, key, line)
			}
			if strings.Count(word, `"`)%2 == 1 {
				inQuotes = !inQuotes
			}
		}
	}
}

// TestNonRepeatableIsLoggedBeforeSending: the endpoint chosen for a non-repeatable request is
// logged before the request is sent, even above the log's rate limit. Its other lines are subject
// to the limit.
func TestNonRepeatableIsLoggedBeforeSending(t *testing.T) {
	b := newPlatformHarnessWithLogRate(t, rawendpoint.Answer(signed200), rawendpoint.Answer(signed200), nil, 1)
	b.call(t, http.MethodPost, "/unsafe/x", "body")
	b.call(t, http.MethodGet, "/safe/x", "")
	b.server.Close()
	assert.Equal(t, strings.Count(b.log.String(), "chosen: request=r1"), 1, b.log.String())
	assert.Equal(t, strings.Count(b.log.String(), "ended: request=r1"), 0, b.log.String())
}

// TestCallerAddressIsNotForwarded: only the platform's own headers are added.
func TestCallerAddressIsNotForwarded(t *testing.T) {
	b := newPlatformHarness(t, rawendpoint.Answer(signed200), rawendpoint.Answer(signed200), nil)
	b.call(t, http.MethodGet, "/safe/x", "")
	for name := range b.endpoints[0].Requests()[0].Header {
		switch name {
		case "Request-Id", "Deadline-Ms", "Expected-Instance", "Accept-Encoding", "User-Agent":
		default:
			t.Errorf("the endpoint got %s", name)
		}
	}
}

// TestBodyAboveKindLimitIsRefused: a body above the limit of its kind is refused before anything
// is sent.
func TestBodyAboveKindLimitIsRefused(t *testing.T) {
	b := newPlatformHarness(t, rawendpoint.Answer(signed200), rawendpoint.Answer(signed200), nil)
	assert.Equal(t, b.call(t, http.MethodPost, "/unsafe/x", strings.Repeat("x", 1000)).status, http.StatusOK)
	got := b.call(t, http.MethodPost, "/unsafe/x", strings.Repeat("x", 1001))
	assert.Equal(t, got.status, http.StatusRequestEntityTooLarge)
	assert.Equal(t, b.requestCounts(), [2]int{1, 0})
}
