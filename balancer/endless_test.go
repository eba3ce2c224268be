package balancer_test

import (
	"io"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/lotuswing/lotuswing/internal/rawendpoint"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// TestResponseWithoutEndIsCut guards against an endpoint whose bytes without end hold a request or memory: a
// head is cut at its bound, a body when the caller leaves.
func TestResponseWithoutEndIsCut(t *testing.T) {
	for _, f := range rawendpoint.EndlessFaults {
		t.Run(string(f), func(t *testing.T) {
			b := newHarness(t, 1)
			b.endpoints[0].Set(f)
			r, err := http.NewRequest(http.MethodGet, b.server.URL+"/read", nil)
			assert.NilError(t, err)
			r.Host = "desk"
			r.Header.Set(rawendpoint.KeyHeader, "k")
			response, err := http.DefaultClient.Do(r)
			assert.NilError(t, err)
			hasBody := slices.Contains([]rawendpoint.Fault{rawendpoint.EndlessBody, rawendpoint.EndlessChunks}, f)
			assert.Equal(t, response.StatusCode == http.StatusOK, hasBody, "%d", response.StatusCode)
			if hasBody {
				_, err = io.CopyN(io.Discard, response.Body, 1<<16)
				assert.NilError(t, err)
			} else {
				assert.Equal(t, response.Header.Get("Lotuswing-Verdict"), "may-have-run")
			}
			_ = response.Body.Close()
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				if writing, _ := b.endpoints[0].Endless(); writing == 0 {
					return poll.Success()
				}
				return poll.Continue("the endpoint still writes")
			}, poll.WithTimeout(20*time.Second), poll.WithDelay(time.Millisecond))
			_, sent := b.endpoints[0].Endless()
			assert.Assert(t, sent <= 32<<20, "%d bytes", sent)
		})
	}
}
