package balancer_test

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/lotuswing/lotuswing/internal/rawendpoint"
	"gotest.tools/v3/assert"
)

// oddHead returns signed200 with another status line or further fields.
func oddHead(statusLine, fields string) string {
	_, rest, _ := strings.Cut(signed200, "\r\n")
	return statusLine + "\r\n" + fields + rest
}

// lengthless is signed200 without a length.
var lengthless = strings.Replace(signed200, "Content-Length: 5\r\n", "", 1)

// keptCaller is a caller that sends its requests on one connection.
type keptCaller struct {
	conn net.Conn
	r    *bufio.Reader
}

func newKeptCaller(t *testing.T, b *platformHarness) *keptCaller {
	t.Helper()
	conn, err := net.Dial("tcp", b.server.Listener.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	assert.NilError(t, conn.SetDeadline(time.Now().Add(20*time.Second)))
	return &keptCaller{conn, bufio.NewReader(conn)}
}

// call sends a request with further header fields and returns the response with its body.
func (c *keptCaller) call(t *testing.T, path, fields string) (response *http.Response, body string) {
	t.Helper()
	_, err := fmt.Fprintf(c.conn, "GET %s HTTP/1.1\r\nHost: desk\r\nRequest-Id: r1\r\nDeadline-Ms: 1500\r\n%s\r\n", path, fields)
	assert.NilError(t, err)
	response, err = http.ReadResponse(c.r, nil)
	assert.NilError(t, err)
	raw, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	return response, string(raw)
}

// TestInvalidHeadsReachNoCaller guards against responses with an invalid status, protocol or field name, or a change
// of protocols that nobody asked for. The caller's next request must be answered.
func TestInvalidHeadsReachNoCaller(t *testing.T) {
	for name, text := range map[string]string{
		"status 000":                      oddHead("HTTP/1.1 000 OK", ""),
		"status 099":                      oddHead("HTTP/1.1 099 OK", ""),
		"status +20":                      oddHead("HTTP/1.1 +20 OK", ""),
		"status 600":                      oddHead("HTTP/1.1 600 OK", ""),
		"status 999":                      oddHead("HTTP/1.1 999 OK", ""),
		"another protocol":                oddHead("HTTP/2.0 200 OK", ""),
		"blank before the colon":          oddHead("HTTP/1.1 200 OK", "X-Text : x\r\n"),
		"blank in a name":                 oddHead("HTTP/1.1 200 OK", "X Text: x\r\n"),
		"control byte in a name":          oddHead("HTTP/1.1 200 OK", "X\x01Text: x\r\n"),
		"NUL in a value":                  oddHead("HTTP/1.1 200 OK", "X-Text: x\x00y\r\n"),
		"no name":                         oddHead("HTTP/1.1 200 OK", ": x\r\n"),
		"length with a blank":             strings.Replace(signed200, "Content-Length:", "Content-Length :", 1),
		"length in two words":             strings.Replace(signed200, "Content-Length:", "Content Length:", 1),
		"chunks with a blank":             strings.Replace(lengthless, "\r\n\r\nwhole", "\r\nTransfer-Encoding : chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n", 1),
		"blank in a trailer":              strings.Replace(lengthless, "\r\n\r\nwhole", "\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\nX Sum: y\r\n\r\n", 1),
		"blank in an announced trailer":   strings.Replace(lengthless, "\r\n\r\nwhole", "\r\nTransfer-Encoding: chunked\r\nTrailer: X Sum\r\n\r\n5\r\nwhole\r\n0\r\n\r\n", 1),
		"blank in a 103":                  "HTTP/1.1 103 Early Hints\r\nX Link: y\r\n\r\n" + signed200,
		"switch that nobody asked for":    "HTTP/1.1 101 Switching Protocols\r\nRequest-Id: {id}\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n",
		"switch without a protocol":       "HTTP/1.1 101 Switching Protocols\r\nRequest-Id: {id}\r\n\r\n",
		"signed switch with its own body": "HTTP/1.1 101 Switching Protocols\r\nRequest-Id: {id}\r\nResponse-Signature: s\r\nContent-Length: 5\r\nUpgrade: x\r\n\r\nwhole",
	} {
		t.Run(name, func(t *testing.T) {
			b := newPlatformHarness(t, rawendpoint.Cut(text), rawendpoint.Answer(signed200), nil)
			caller := newKeptCaller(t, b)
			got, body := caller.call(t, "/unsafe/x", "")
			assert.Equal(t, got.StatusCode, http.StatusBadGateway, "%q", body)
			assert.Equal(t, got.Header.Get("Response-Signature"), "")
			got, body = caller.call(t, "/safe/x", "")
			assert.Equal(t, got.StatusCode, http.StatusOK, "another endpoint is tried")
			assert.Equal(t, body, "whole")
		})
	}
}

// TestSwitchToAnotherProtocolIsRefused guards against a switch to a protocol that the caller did not offer.
func TestSwitchToAnotherProtocolIsRefused(t *testing.T) {
	const text = "HTTP/1.1 101 Switching Protocols\r\nRequest-Id: {id}\r\nConnection: Upgrade\r\nUpgrade: %s\r\n\r\n"
	for _, c := range []struct {
		asked, got string
		status     int
	}{
		{"websocket", "WebSocket", http.StatusSwitchingProtocols},
		{"a, b", "b", http.StatusSwitchingProtocols},
		{"websocket", "h2c", http.StatusBadGateway},
		{"websocket", "websocket, h2c", http.StatusBadGateway},
	} {
		b := newPlatformHarness(t, rawendpoint.Answer(fmt.Sprintf(text, c.got)), rawendpoint.Answer(signed200), nil)
		caller := newKeptCaller(t, b)
		_, err := fmt.Fprintf(caller.conn, "GET /unsafe/x HTTP/1.1\r\nHost: desk\r\nRequest-Id: r1\r\nConnection: Upgrade\r\nUpgrade: %s\r\n\r\n", c.asked)
		assert.NilError(t, err)
		got, err := http.ReadResponse(caller.r, nil)
		assert.NilError(t, err)
		assert.Equal(t, got.StatusCode, c.status, "%s for %s", c.got, c.asked)
		_ = caller.conn.Close()
	}
}

// TestHeadCutAnywhereIsNoAnswer checks that a head that ends at any of its bytes reaches no caller.
func TestHeadCutAnywhereIsNoAnswer(t *testing.T) {
	for _, whole := range []string{signed200, lengthless} {
		head, _, _ := strings.Cut(whole, "whole")
		for n := range len(head) {
			b := newPlatformHarness(t, rawendpoint.Cut(head[:n]), rawendpoint.Answer(signed200), nil)
			got := b.call(t, http.MethodPost, "/unsafe/x", "body")
			assert.Equal(t, got.status, http.StatusBadGateway, "%q", head[:n])
			b.server.Close()
		}
	}
}

// TestDrawnHeadsPanicNothing guards against heads of any bytes that end a handler: each request gets the answer of a
// sound endpoint or 502, on a connection that stays usable.
func TestDrawnHeadsPanicNothing(t *testing.T) {
	rng := rand.New(rand.NewPCG(77, 6))
	pieces := []string{
		"HTTP/1.1", "HTTP/1.0", "HTTP/9.9", " ", "  ", "200", "204", "304", "101", "100", "000", "-01", "+20", "999", "OK", "\r\n", "\n", "\r", ":", "\t", "\x00", "\x7f", "é",
		"Request-Id: {id}\r\n", "Response-Signature: s\r\n", "Content-Length: 5\r\n", "Content-Length: -5\r\n", "Content-Length : 5\r\n", "Transfer-Encoding: chunked\r\n",
		"Transfer-Encoding: gzip\r\n", "Upgrade: x\r\n", "Connection: close\r\n", "Trailer: A B\r\n", "whole", "5\r\nwhole\r\n", "0\r\n\r\n",
	}
	for range 300 {
		text := "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Signature: s\r\n"
		if rng.IntN(2) == 0 {
			text = ""
		}
		for range rng.IntN(12) {
			text += pieces[rng.IntN(len(pieces))]
		}
		b := newPlatformHarness(t, rawendpoint.Cut(text), rawendpoint.Answer(signed200), nil)
		caller := newKeptCaller(t, b)
		for range 2 {
			got, _ := caller.call(t, "/unsafe/x", "")
			assert.Assert(t, got.StatusCode >= 200 && got.StatusCode <= 599, "%d for %q", got.StatusCode, text)
			if got.Close {
				caller = newKeptCaller(t, b)
			}
		}
		b.server.Close()
	}
}
