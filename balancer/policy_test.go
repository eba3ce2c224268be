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
	signed   = "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Signature: s\r\nContent-Length: 5\r\n\r\nwhole"
	failed   = "HTTP/1.1 500 Error\r\nRequest-Id: {id}\r\nResponse-Signature: f\r\nContent-Length: 0\r\n\r\n"
	declined = "HTTP/1.1 503 Busy\r\nRequest-Id: {id}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
	bare     = "HTTP/1.1 503 Busy\r\nRequest-Id: {id}\r\nContent-Length: 0\r\n\r\n"
)

// prefixChooser routes /safe/ and /unsafe/ with two attempts each, and grants
// endpoints in turn.
type prefixChooser struct {
	*fakeChooser
	table *tenant.PrefixTable
}

func (f *prefixChooser) Route(host, _, path string) (tenant.Route, reason.Code) {
	return f.table.Route(host, path, 0)
}

func (f *prefixChooser) Service(string, string) (tenant.Service, int) { return tenant.Service{}, 0 }

func newPrefixChooser() *prefixChooser {
	route := func(name, prefix string, repeatable bool) tenant.PrefixRoute {
		return tenant.PrefixRoute{
			Name: name, Host: "desk", Prefix: prefix, Repeatable: repeatable, Timeout: 2 * time.Second,
			Target: 400 * time.Millisecond, MaxAttempts: 2, MaxBody: 1000, Split: []tenant.Share{{Service: "s", Weight: 1}},
		}
	}
	return &prefixChooser{
		fakeChooser: &fakeChooser{},
		table:       tenant.NewPrefixTable("t", []tenant.PrefixRoute{route("read", "/safe/", true), route("file", "/unsafe/", false)}),
	}
}

// answer is what a caller got on the platform's terms.
type answer struct {
	status    int
	body      string
	signature string
	retry     string
}

// platformBench is a balancer with the platform's policy in front of two
// endpoints that answer as told.
type platformBench struct {
	endpoints [2]*rawendpoint.Scripted
	server    *httptest.Server
	log       bytes.Buffer
}

func newPlatformBench(t *testing.T, first, second rawendpoint.Step, retries *retry.WindowLimit) *platformBench {
	t.Helper()
	return newLoggedBench(t, first, second, retries, 1000)
}

// newLoggedBench writes at most rate lines a second.
func newLoggedBench(t *testing.T, first, second rawendpoint.Step, retries *retry.WindowLimit, rate int) *platformBench {
	t.Helper()
	b := &platformBench{}
	chooser := newPrefixChooser()
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
		Metrics: metrics.NewRegistry(), Tracing: tracing, Requests: telemetry.NewRequestLogger(&b.log, rate),
		Policy: policy,
	})
	b.server = httptest.NewServer(h)
	t.Cleanup(b.server.Close)
	return b
}

func (b *platformBench) call(t *testing.T, method, path, body string) answer {
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
	return answer{resp.StatusCode, string(raw), resp.Header.Get("Response-Signature"), resp.Header.Get("Retry-After")}
}

func (b *platformBench) runs() [2]int {
	return [2]int{len(b.endpoints[0].Requests()), len(b.endpoints[1].Requests())}
}

// TestAnswersOnThePlatform: what a caller is told, and where its request went,
// for each pair of answers of the endpoints.
func TestAnswersOnThePlatform(t *testing.T) {
	cutShort := rawendpoint.Cut(signed[:len(signed)-2])
	cases := []struct {
		name          string
		path          string
		first, second rawendpoint.Step
		status        int
		signature     string
		runs          [2]int
	}{
		{"passed on", "/safe/x", rawendpoint.Answer(signed), rawendpoint.Answer(signed), 200, "s", [2]int{1, 0}},
		{"cut, then whole", "/safe/x", cutShort, rawendpoint.Answer(signed), 200, "s", [2]int{1, 1}},
		{"cut, never repeated", "/unsafe/x", cutShort, rawendpoint.Answer(signed), 502, "", [2]int{1, 0}},
		{"reset, then whole", "/safe/x", rawendpoint.Reset(), rawendpoint.Answer(signed), 200, "s", [2]int{1, 1}},
		{"reset, never repeated", "/unsafe/x", rawendpoint.Reset(), rawendpoint.Answer(signed), 502, "", [2]int{1, 0}},
		{"declined, then whole", "/unsafe/x", rawendpoint.Answer(declined), rawendpoint.Answer(signed), 200, "s", [2]int{1, 1}},
		{"declined twice", "/unsafe/x", rawendpoint.Answer(declined), rawendpoint.Answer(declined), 503, "", [2]int{1, 1}},
		{"a bare 503 is not passed on as a promise", "/unsafe/x", rawendpoint.Answer(bare), rawendpoint.Answer(signed), 502, "", [2]int{1, 0}},
		{"a failure, then whole", "/safe/x", rawendpoint.Answer(failed), rawendpoint.Answer(signed), 200, "s", [2]int{1, 1}},
		{"a failure is passed on with its status", "/unsafe/x", rawendpoint.Answer(failed), rawendpoint.Answer(signed), 500, "f", [2]int{1, 0}},
		{"two failures", "/safe/x", rawendpoint.Answer(failed), rawendpoint.Answer(failed), 500, "f", [2]int{1, 1}},
		{"may have run, then declined", "/safe/x", rawendpoint.Reset(), rawendpoint.Answer(declined), 502, "", [2]int{1, 1}},
		{"dot segments go through", "/safe/%2e/../x", rawendpoint.Answer(signed), rawendpoint.Answer(signed), 200, "s", [2]int{1, 0}},
	}
	for _, c := range cases {
		b := newPlatformBench(t, c.first, c.second, nil)
		got := b.call(t, http.MethodPost, c.path, "body")
		assert.Equal(t, got.status, c.status, c.name)
		assert.Equal(t, got.signature, c.signature, c.name)
		assert.Equal(t, b.runs(), c.runs, c.name)
		if got.status == http.StatusServiceUnavailable {
			assert.Equal(t, got.retry, "0.050", "%s: an eighth of the target", c.name)
		}
		if got.status == http.StatusOK {
			assert.Equal(t, got.body, "whole", c.name)
		}
	}
}

// TestRepeatsKeepTheWindow of the fleet's budget.
func TestRepeatsKeepTheWindow(t *testing.T) {
	b := newPlatformBench(t, rawendpoint.Reset(), rawendpoint.Answer(signed), &retry.WindowLimit{Span: time.Hour, Allowance: 1})
	assert.Equal(t, b.call(t, http.MethodGet, "/safe/x", "").status, 200)
	assert.Equal(t, b.call(t, http.MethodGet, "/safe/x", "").status, 502)
	assert.Equal(t, b.runs(), [2]int{2, 1})
}

// TestStoryOfARequest: each decision has its line, and a request that must not
// run twice is written before it is sent.
func TestStoryOfARequest(t *testing.T) {
	b := newPlatformBench(t, rawendpoint.Answer(declined), rawendpoint.Answer(signed), nil)
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

// TestStoriesHaveDocumentedFields: no line has a field that the table lacks.
func TestStoriesHaveDocumentedFields(t *testing.T) {
	b := newPlatformBench(t, rawendpoint.Reset(), rawendpoint.Answer(declined), nil)
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

// TestFilingIsWrittenBeforeItIsSent: where a request went that must not run
// twice is in the log before it is on its way, above any rate; the rest of its
// lines is not.
func TestFilingIsWrittenBeforeItIsSent(t *testing.T) {
	b := newLoggedBench(t, rawendpoint.Answer(signed), rawendpoint.Answer(signed), nil, 1)
	b.call(t, http.MethodPost, "/unsafe/x", "body")
	b.call(t, http.MethodGet, "/safe/x", "")
	b.server.Close()
	assert.Equal(t, strings.Count(b.log.String(), "chosen: request=r1"), 1, b.log.String())
	assert.Equal(t, strings.Count(b.log.String(), "ended: request=r1"), 0, b.log.String())
}

// TestCallerIsHidden: no header but the platform's is added.
func TestCallerIsHidden(t *testing.T) {
	b := newPlatformBench(t, rawendpoint.Answer(signed), rawendpoint.Answer(signed), nil)
	b.call(t, http.MethodGet, "/safe/x", "")
	for name := range b.endpoints[0].Requests()[0].Header {
		switch name {
		case "Request-Id", "Deadline-Ms", "Expected-Instance", "Accept-Encoding", "User-Agent":
		default:
			t.Errorf("the endpoint got %s", name)
		}
	}
}

// TestBodyAboveTheLimit is refused before anything is sent.
func TestBodyAboveTheLimit(t *testing.T) {
	b := newPlatformBench(t, rawendpoint.Answer(signed), rawendpoint.Answer(signed), nil)
	assert.Equal(t, b.call(t, http.MethodPost, "/unsafe/x", strings.Repeat("x", 1000)).status, http.StatusOK)
	got := b.call(t, http.MethodPost, "/unsafe/x", strings.Repeat("x", 1001))
	assert.Equal(t, got.status, http.StatusRequestEntityTooLarge)
	assert.Equal(t, b.runs(), [2]int{1, 0})
}
