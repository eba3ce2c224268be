package upstream_test

import (
	"testing"
	"time"

	"github.com/lotuswing/lotuswing/internal/rawendpoint"
	"github.com/lotuswing/lotuswing/upstream"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// TestProbeWithoutEndIsCut guards against a probe that reads bytes without end: it reads its bound and closes
// the connection.
func TestProbeWithoutEndIsCut(t *testing.T) {
	for _, f := range rawendpoint.EndlessFaults {
		t.Run(string(f), func(t *testing.T) {
			e := faultyEndpoint(t)
			e.Set(f)
			c := upstream.NewClient(upstream.Options{})
			_, err := c.Probe(t.Context(), e.Addr(), "/health", 10*time.Second)
			hasBody := f == rawendpoint.EndlessBody || f == rawendpoint.EndlessChunks
			assert.Equal(t, err == nil, hasBody, "%v", err)
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				if writing, _ := e.Endless(); writing == 0 {
					return poll.Success()
				}
				return poll.Continue("the endpoint still writes")
			}, poll.WithTimeout(20*time.Second), poll.WithDelay(time.Millisecond))
			_, sent := e.Endless()
			assert.Assert(t, sent <= 16<<20, "%d bytes", sent)
		})
	}
}
