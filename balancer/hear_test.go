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
