package control

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestStandinLetsRequestsInFlightEnd when it is told to stop, and cuts those that take too long.
func TestStandinLetsRequestsInFlightEnd(t *testing.T) {
	for _, c := range []struct {
		wait time.Duration
		want string
	}{{time.Hour, "answer"}, {0, ""}} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		ctx, stop := context.WithCancel(t.Context())
		begun, release := make(chan struct{}), make(chan struct{})
		served := make(chan error, 1)
		go func() {
			served <- serveUntil(ctx, l, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				close(begun)
				<-release
				_, _ = io.WriteString(w, "answer")
			}), c.wait)
		}()
		got := make(chan string, 1)
		go func() { got <- bodyOf("http://" + l.Addr().String()) }()
		<-begun
		stop()
		for err == nil { // until the listener is closed
			var conn net.Conn
			if conn, err = net.Dial("tcp", l.Addr().String()); err == nil {
				_ = conn.Close()
			}
		}
		if c.wait == 0 {
			assert.NilError(t, <-served)
		}
		close(release)
		assert.Equal(t, <-got, c.want)
		if c.wait > 0 {
			assert.NilError(t, <-served)
		}
	}
}

// bodyOf returns the body of a response, empty if there is none.
func bodyOf(url string) string {
	resp, err := http.Get(url)
	if err != nil {
		return ""
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return ""
	}
	return string(body)
}
