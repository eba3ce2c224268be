package balancer_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/lotuswing/lotuswing/coord/placement"
	"github.com/lotuswing/lotuswing/internal/rawendpoint"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// testTimeout is how long a test waits for what must happen sooner or later.
const testTimeout = 20 * time.Second

// dialWithDeadline sends a GET request with a deadline of 300 ms on a new connection.
func (b *harness) dialWithDeadline(t *testing.T, protocol string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", b.server.Listener.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	assert.NilError(t, c.SetDeadline(time.Now().Add(testTimeout)))
	_, err = fmt.Fprintf(c, "GET /read %s\r\nHost: desk\r\nLotuswing-Timeout: 300ms\r\n\r\n", protocol)
	assert.NilError(t, err)
	return c
}

// TestResponseIsCutAtDeadline guards against a response without end, and against one that is cut and looks
// complete.
func TestResponseIsCutAtDeadline(t *testing.T) {
	for _, f := range slices.Concat(rawendpoint.SilentFaults, []rawendpoint.Fault{rawendpoint.EndlessBody, rawendpoint.EndlessChunks}) {
		for _, protocol := range []string{"HTTP/1.0", "HTTP/1.1"} {
			t.Run(fmt.Sprintf("%s/%s", f, protocol), func(t *testing.T) {
				b := newHarness(t, 1)
				b.endpoints[0].Set(f)
				c := b.dialWithDeadline(t, protocol)
				response, err := http.ReadResponse(bufio.NewReader(c), nil)
				if err == nil {
					assert.Equal(t, response.StatusCode, http.StatusOK)
					_, err = io.Copy(io.Discard, response.Body)
				}
				assert.Assert(t, err != nil, "the response looks complete")
				assert.Assert(t, !errors.Is(err, os.ErrDeadlineExceeded), "the response has no end")
				if slices.Contains(rawendpoint.SilentFaults, f) {
					assert.Equal(t, b.chooser.awaitResult(0).Outcome, placement.Failed)
				}
			})
		}
	}
}

// TestStreamIsCutAtDeadline is TestResponseIsCutAtDeadline over HTTP/2, too.
func TestStreamIsCutAtDeadline(t *testing.T) {
	forBothProtocols(t, func(t *testing.T, http2 bool) {
		ended := make(chan struct{})
		client, url := startProxy(t, http2, func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.WriteString(w, "part")
			_ = http.NewResponseController(w).Flush()
			<-r.Context().Done()
			close(ended)
		})
		client.Timeout = testTimeout
		r := newRequest(t, "GET", url+"/read", nil)
		r.Header.Set("Lotuswing-Timeout", "300ms")
		response, err := client.Do(r)
		assert.NilError(t, err)
		_, err = io.Copy(io.Discard, response.Body)
		assert.Assert(t, err != nil && !os.IsTimeout(err), "%v", err)
		<-ended
	})
}

// TestSlowCallerIsCutAtDeadline guards against a caller that holds an endpoint by reading nothing or little,
// and against an endpoint that counts as failed for it.
func TestSlowCallerIsCutAtDeadline(t *testing.T) {
	for _, f := range []rawendpoint.Fault{rawendpoint.EndlessBody, rawendpoint.EndlessChunks} {
		for _, reads := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s/reads=%v", f, reads), func(t *testing.T) {
				b := newHarness(t, 1)
				b.endpoints[0].Set(f)
				c := b.dialWithDeadline(t, "HTTP/1.1")
				if reads {
					assert.NilError(t, c.(*net.TCPConn).SetReadBuffer(64<<10))
					go func() {
						for p := make([]byte, 16<<10); ; time.Sleep(2 * time.Millisecond) {
							if _, err := c.Read(p); err != nil {
								return
							}
						}
					}()
				}
				assert.Equal(t, b.chooser.awaitResult(0).Outcome, placement.Unused)
				poll.WaitOn(t, func(poll.LogT) poll.Result {
					if writing, _ := b.endpoints[0].Endless(); writing == 0 {
						return poll.Success()
					}
					return poll.Continue("the endpoint still writes")
				}, poll.WithTimeout(testTimeout), poll.WithDelay(time.Millisecond))
			})
		}
	}
}
