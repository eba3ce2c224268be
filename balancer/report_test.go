package balancer_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/lotuswing/lotuswing/balancer"
	"github.com/lotuswing/lotuswing/coord/admission"
	"github.com/lotuswing/lotuswing/coord/placement"
	"github.com/lotuswing/lotuswing/coord/retry"
	"github.com/lotuswing/lotuswing/internal/rawendpoint"
	"github.com/lotuswing/lotuswing/platform"
	"gotest.tools/v3/assert"
)

// TestEveryResponseIsReportedToChooser: the report in each response reaches the chooser before the
// caller has a response, also if the request is retried elsewhere.
func TestEveryResponseIsReportedToChooser(t *testing.T) {
	const head = "HTTP/1.1 %s\r\nRequest-Id: {id}\r\nServer-Leaving: 1\r\nRetry-After: 3\r\n%sContent-Length: 0\r\n\r\n"
	for status, header := range map[string]string{
		"200 OK":                  "Response-Signature: s\r\n",
		"404 Not Found":           "Response-Signature: s\r\n",
		"500 Failed":              "Response-Signature: s\r\n",
		"503 Unavailable":         "Not-Executed: 1\r\n",
		"503 Service Unavailable": "",
	} {
		b := newHarnessWith(t, 2, func(c *balancer.Config) { c.Policy.Dialect = platform.Dialect() })
		scripted, err := rawendpoint.NewScripted("Request-Id", rawendpoint.Answer(fmt.Sprintf(head, status, header)))
		assert.NilError(t, err)
		t.Cleanup(scripted.Close)
		b.chooser.endpoints = []placement.Endpoint{{VM: "odd", Addr: scripted.Addr()}, {VM: "other", Addr: scripted.Addr()}}
		b.call(t, "GET", "/read", "k", "", http.Header{"Request-Id": {"r-1"}})
		b.chooser.mu.Lock()
		reports := b.chooser.reports
		b.chooser.mu.Unlock()
		assert.Equal(t, len(reports), len(scripted.Requests()), "%s: number of reports", status)
		assert.Equal(t, reports[0].vm, "odd")
		want := admission.Signal{Leaving: true}
		if strings.HasPrefix(status, "503") {
			want.Backoff = 3 * time.Second
		}
		assert.Equal(t, reports[0].report.Admission, want, status)
	}
}

// TestWithdrawnRequestIsSentElsewhere: an endpoint that stops accepting requests before there is a
// connection to it gets nothing, and does not use up an attempt of the request.
func TestWithdrawnRequestIsSentElsewhere(t *testing.T) {
	for _, path := range []string{"/read", "/once"} {
		b := newHarnessWith(t, 3, func(c *balancer.Config) { c.Policy.Retries = &retry.WindowLimit{Span: time.Second} })
		b.chooser.withdrawn = []string{b.chooser.endpoints[0].VM, b.chooser.endpoints[1].VM}
		got := b.call(t, "POST", path, "k", "body", http.Header{})
		assert.Equal(t, got.status, http.StatusOK)
		assert.Equal(t, b.ran("k"), 1)
		assert.Equal(t, b.chooser.awaitResult(0).Outcome, placement.Unused)
		assert.Equal(t, b.chooser.awaitResult(1).Outcome, placement.Unused)
	}
}

// TestAllEndpointsStopAccepting: the request is refused with the verdict not-run.
func TestAllEndpointsStopAccepting(t *testing.T) {
	b := newHarness(t, 1)
	b.chooser.withdrawn = []string{b.chooser.endpoints[0].VM}
	got := b.call(t, "POST", "/once", "k", "body", http.Header{})
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assert.Equal(t, got.verdict, "not-run")
	assert.Equal(t, b.ran("k"), 0)
}

// TestEndpointRetryAfterIsNotForwarded: the Retry-After in an endpoint's refusal applies to this
// balancer, not to the caller, whom other endpoints may serve at once.
func TestEndpointRetryAfterIsNotForwarded(t *testing.T) {
	b := newHarness(t, 1)
	scripted, err := rawendpoint.NewScripted("Lotuswing-Request-Id", rawendpoint.Answer(
		"HTTP/1.1 503 Busy\r\nLotuswing-Verdict: not-run\r\nRetry-After: 3600\r\nContent-Length: 0\r\n\r\n"))
	assert.NilError(t, err)
	t.Cleanup(scripted.Close)
	b.chooser.endpoints = []placement.Endpoint{{VM: "odd", Addr: scripted.Addr()}}
	got := b.call(t, "POST", "/once", "k", "body", http.Header{})
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assert.Equal(t, got.retryAfter, "1")
}
