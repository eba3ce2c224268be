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

// TestEachAnswerIsHeard: what any answer says of its endpoint reaches the chooser before the
// caller has a response, also of an attempt that is made once more elsewhere.
func TestEachAnswerIsHeard(t *testing.T) {
	const head = "HTTP/1.1 %s\r\nRequest-Id: {id}\r\nServer-Leaving: 1\r\nRetry-After: 3\r\n%sContent-Length: 0\r\n\r\n"
	for status, header := range map[string]string{
		"200 OK":                  "Response-Signature: s\r\n",
		"404 Not Found":           "Response-Signature: s\r\n",
		"500 Failed":              "Response-Signature: s\r\n",
		"503 Unavailable":         "Not-Executed: 1\r\n",
		"503 Service Unavailable": "",
	} {
		b := newBenchWith(t, 2, func(c *balancer.Config) { c.Policy.Dialect = platform.Dialect() })
		scripted, err := rawendpoint.NewScripted("Request-Id", rawendpoint.Answer(fmt.Sprintf(head, status, header)))
		assert.NilError(t, err)
		t.Cleanup(scripted.Close)
		b.chooser.endpoints = []placement.Endpoint{{VM: "odd", Addr: scripted.Addr()}, {VM: "other", Addr: scripted.Addr()}}
		b.call(t, "GET", "/read", "k", "", http.Header{"Request-Id": {"r-1"}})
		b.chooser.mu.Lock()
		heard := b.chooser.heard
		b.chooser.mu.Unlock()
		assert.Equal(t, len(heard), len(scripted.Requests()), "%s: each attempt is heard", status)
		assert.Equal(t, heard[0].vm, "odd")
		want := admission.Word{Leaving: true}
		if strings.HasPrefix(status, "503") {
			want.Backoff = 3 * time.Second
		}
		assert.Equal(t, heard[0].report.Word, want, status)
	}
}

// TestWithdrawnRequestGoesElsewhere: an endpoint that wants no more requests by the time there is a
// connection to it costs the request none of its attempts, and gets nothing.
func TestWithdrawnRequestGoesElsewhere(t *testing.T) {
	for _, path := range []string{"/read", "/once"} {
		b := newBenchWith(t, 3, func(c *balancer.Config) { c.Policy.Retries = &retry.WindowLimit{Span: time.Second} })
		b.chooser.unwilling = []string{b.chooser.endpoints[0].VM, b.chooser.endpoints[1].VM}
		got := b.call(t, "POST", path, "k", "body", http.Header{})
		assert.Equal(t, got.status, http.StatusOK)
		assert.Equal(t, b.ran("k"), 1)
		assert.Equal(t, b.chooser.ending(0).Outcome, placement.Unused)
		assert.Equal(t, b.chooser.ending(1).Outcome, placement.Unused)
	}
}

// TestNobodyWantsTheRequest: it is refused as one that has not run.
func TestNobodyWantsTheRequest(t *testing.T) {
	b := newBench(t, 1)
	b.chooser.unwilling = []string{b.chooser.endpoints[0].VM}
	got := b.call(t, "POST", "/once", "k", "body", http.Header{})
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assert.Equal(t, got.verdict, "not-run")
	assert.Equal(t, b.ran("k"), 0)
}

// TestRefusalsOwnTimeIsNotPassedOn: what an endpoint wants of this balancer is nothing to the caller,
// whom others may serve at once.
func TestRefusalsOwnTimeIsNotPassedOn(t *testing.T) {
	b := newBench(t, 1)
	scripted, err := rawendpoint.NewScripted("Lotuswing-Request-Id", rawendpoint.Answer(
		"HTTP/1.1 503 Busy\r\nLotuswing-Verdict: not-run\r\nRetry-After: 3600\r\nContent-Length: 0\r\n\r\n"))
	assert.NilError(t, err)
	t.Cleanup(scripted.Close)
	b.chooser.endpoints = []placement.Endpoint{{VM: "odd", Addr: scripted.Addr()}}
	got := b.call(t, "POST", "/once", "k", "body", http.Header{})
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assert.Equal(t, got.retry, "1")
}
