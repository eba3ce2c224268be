package upstream_test

import (
	"testing"
	"time"

	"github.com/lotuswing/lotuswing/internal/rawendpoint"
	"github.com/lotuswing/lotuswing/upstream"
	"gotest.tools/v3/assert"
)

// TestProbeIgnoresUnusableHead guards against load reports of responses with an invalid head.
func TestProbeIgnoresUnusableHead(t *testing.T) {
	const load = "Lotuswing-Load: inflight=0, slots=3, state=live\r\n"
	for _, text := range []string{
		"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n" + load + "\r\n",
		"HTTP/1.1 000 OK\r\nContent-Length: 0\r\n" + load + "\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX Y: z\r\n" + load + "\r\n",
	} {
		e, err := rawendpoint.NewScripted("Lotuswing-Request-Id", rawendpoint.Answer(text))
		assert.NilError(t, err)
		t.Cleanup(e.Close)
		c := upstream.NewClient(upstream.Options{})
		_, err = c.Probe(t.Context(), e.Addr(), "/health", time.Second)
		assert.ErrorContains(t, err, "probe: answer with", text)
	}
}
