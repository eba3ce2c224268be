package balancer_test

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/lotuswing/lotuswing/coord/placement"
	"github.com/lotuswing/lotuswing/internal/rawendpoint"
	"gotest.tools/v3/assert"
)

// TestResetDuringUploadIsNoEnd guards against a body without a length that ends with a reset, of which the write of
// the request has taken notice, counting as whole.
func TestResetDuringUploadIsNoEnd(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = l.Close() }()
	const part = "the beginning of a longer body"
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				r := bufio.NewReader(c)
				request, err := http.ReadRequest(r)
				if err != nil {
					return
				}
				_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Signature: s\r\n\r\n%s", request.Header.Get("Request-Id"), part)
				time.Sleep(time.Duration(rand.IntN(3000)) * time.Microsecond)
				_ = c.(*net.TCPConn).SetLinger(0)
				_ = c.Close()
			}()
		}
	}()
	b := newPlatformHarness(t, rawendpoint.Answer(signed200), rawendpoint.Answer(signed200), nil)
	b.chooser.endpoints = []placement.Endpoint{{VM: "e0", Addr: l.Addr().String()}}
	whole := 0
	for range 300 {
		request, err := http.NewRequest(http.MethodPost, b.server.URL+"/unsafe/x", io.LimitReader(slowZeros{}, 100_000))
		assert.NilError(t, err)
		request.Host = "desk"
		request.Header.Set("Request-Id", "r1")
		request.Header.Set("Deadline-Ms", "1500")
		client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
		response, err := client.Do(request)
		if err != nil {
			continue // the connection was closed while the request was sent
		}
		body, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if err == nil && response.StatusCode == http.StatusOK {
			whole++
			t.Logf("%q came as a whole body", body)
		}
	}
	assert.Equal(t, whole, 0, "of 300 answers that were reset")
}

// slowZeros reads as bytes of 0 without end, few at a time.
type slowZeros struct{}

func (slowZeros) Read(p []byte) (int, error) {
	time.Sleep(20 * time.Microsecond)
	n := min(len(p), 100)
	clear(p[:n])
	return n, nil
}
