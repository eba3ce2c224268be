package balancer_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"net/textproto"
	"strings"
	"testing"

	"github.com/lotuswing/lotuswing/coord/placement"
	"gotest.tools/v3/assert"
)

// startProxy starts a balancer in front of a handler, over HTTP/1.1 or HTTP/2 on both sides, and
// returns a client and the balancer's URL.
func startProxy(t *testing.T, http2 bool, h http.HandlerFunc) (*http.Client, string) {
	t.Helper()
	protocols := new(http.Protocols)
	protocols.SetHTTP1(!http2)
	protocols.SetUnencryptedHTTP2(http2)
	endpoint := httptest.NewUnstartedServer(h)
	endpoint.Config.Protocols = protocols
	endpoint.Start()
	t.Cleanup(endpoint.Close)
	b := newHarness(t, 0)
	b.chooser.endpoints = []placement.Endpoint{{VM: "e0", Addr: endpoint.Listener.Addr().String(), Slots: 3}}
	if http2 {
		service := b.chooser.cfg.Services["pool"]
		service.Protocol = "h2c"
		b.chooser.cfg.Services["pool"] = service
	}
	proxy := httptest.NewUnstartedServer(b.server.Config.Handler)
	proxy.Config.Protocols = protocols
	proxy.Start()
	t.Cleanup(proxy.Close)
	return &http.Client{Transport: &http.Transport{Protocols: protocols}}, proxy.URL
}

// forBothProtocols runs a subtest over HTTP/1.1 and one over HTTP/2.
func forBothProtocols(t *testing.T, f func(t *testing.T, http2 bool)) {
	for _, http2 := range []bool{false, true} {
		t.Run(fmt.Sprintf("http2=%v", http2), func(t *testing.T) { f(t, http2) })
	}
}

func newRequest(t *testing.T, method, url string, body io.Reader) *http.Request {
	t.Helper()
	req, err := http.NewRequest(method, url, body)
	assert.NilError(t, err)
	req.Host = "desk"
	return req
}

// TestBidirectionalStreaming: each side reads what the other has written before either has
// finished.
func TestBidirectionalStreaming(t *testing.T) {
	forBothProtocols(t, func(t *testing.T, http2 bool) {
		client, url := startProxy(t, http2, func(w http.ResponseWriter, r *http.Request) {
			_ = http.NewResponseController(w).EnableFullDuplex()
			lines := bufio.NewScanner(r.Body)
			for lines.Scan() {
				_, _ = fmt.Fprintf(w, "got %s\n", lines.Text())
				_ = http.NewResponseController(w).Flush()
			}
		})
		pr, pw := io.Pipe()
		go func() { _, _ = io.WriteString(pw, "one\n") }()
		resp, err := client.Do(newRequest(t, "POST", url+"/once", pr))
		assert.NilError(t, err)
		responses := bufio.NewReader(resp.Body)
		for _, word := range []string{"one", "two", "three"} {
			got, err := responses.ReadString('\n')
			assert.NilError(t, err)
			assert.Equal(t, got, "got "+word+"\n")
			next := map[string]string{"one": "two\n", "two": "three\n"}[word]
			_, _ = io.WriteString(pw, next)
		}
		assert.NilError(t, pw.Close())
		rest, err := io.ReadAll(responses)
		assert.NilError(t, err)
		assert.Equal(t, string(rest), "")
	})
}

// TestTrailersAreForwarded checks the trailers of requests and responses, both announced and
// unannounced.
func TestTrailersAreForwarded(t *testing.T) {
	forBothProtocols(t, func(t *testing.T, http2 bool) {
		client, url := startProxy(t, http2, func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			w.Header().Set("Trailer", "X-Sum")
			_, _ = io.WriteString(w, "body")
			_ = http.NewResponseController(w).Flush()
			w.Header().Set("X-Sum", r.Trailer.Get("X-Caller-Sum"))
			w.Header().Set(http.TrailerPrefix+"X-Late", "late")
		})
		req := newRequest(t, "POST", url+"/read", io.MultiReader(strings.NewReader("stream")))
		req.Trailer = http.Header{"X-Caller-Sum": {"42"}}
		resp, err := client.Do(req)
		assert.NilError(t, err)
		_, err = io.ReadAll(resp.Body)
		assert.NilError(t, err)
		assert.Equal(t, resp.Trailer.Get("X-Sum"), "42")
		assert.Equal(t, resp.Trailer.Get("X-Late"), "late")
	})
}

// TestInformationalResponsesAreForwarded checks that a 103 response precedes the final response.
func TestInformationalResponsesAreForwarded(t *testing.T) {
	forBothProtocols(t, func(t *testing.T, http2 bool) {
		client, url := startProxy(t, http2, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Link", "</style.css>; rel=preload")
			w.WriteHeader(http.StatusEarlyHints)
			w.Header().Set("X-Final", "yes")
			_, _ = io.WriteString(w, "done")
		})
		var hints []string
		trace := &httptrace.ClientTrace{Got1xxResponse: func(code int, h textproto.MIMEHeader) error {
			hints = append(hints, fmt.Sprint(code, " ", h.Get("Link")))
			return nil
		}}
		req := newRequest(t, "GET", url+"/read", nil)
		resp, err := client.Do(req.WithContext(httptrace.WithClientTrace(context.Background(), trace)))
		assert.NilError(t, err)
		assert.DeepEqual(t, hints, []string{"103 </style.css>; rel=preload"})
		assert.Equal(t, resp.Header.Get("X-Final"), "yes")
		assert.Equal(t, resp.Header.Get("Lotuswing-Verdict"), "ran")
	})
}

// TestHopByHopHeadersAreRemoved also checks that the caller's address and the trace context are
// forwarded.
func TestHopByHopHeadersAreRemoved(t *testing.T) {
	seen := make(chan http.Header, 1)
	client, url := startProxy(t, false, func(w http.ResponseWriter, r *http.Request) {
		seen <- r.Header.Clone()
		w.Header().Set("Connection", "X-Secret")
		w.Header().Set("X-Secret", "of this connection")
		w.Header().Set("Keep-Alive", "timeout=5")
	})
	req := newRequest(t, "GET", url+"/read", nil)
	req.Header.Set("Connection", "X-Mine, keep-alive")
	req.Header.Set("X-Mine", "of this connection")
	req.Header.Set("Proxy-Authorization", "Basic x")
	req.Header.Set("X-Forwarded-For", "10.0.0.9")
	req.Header.Set("Traceparent", "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01")
	resp, err := client.Do(req)
	assert.NilError(t, err)
	got := <-seen
	for _, name := range []string{"X-Mine", "Proxy-Authorization", "Keep-Alive"} {
		assert.Equal(t, got.Get(name), "", name)
	}
	assert.Equal(t, got.Get("X-Forwarded-For"), "10.0.0.9, 127.0.0.1")
	assert.Equal(t, got.Get("X-Forwarded-Host"), "desk")
	assert.Equal(t, got.Get("Forwarded"), "for=127.0.0.1;proto=http")
	assert.Equal(t, got.Get("Traceparent"), "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01")
	assert.Equal(t, resp.Header.Get("X-Secret"), "")
	assert.Equal(t, resp.Header.Get("Keep-Alive"), "")
}

// TestUpgradedSession copies bytes both ways and closes one direction at a time.
func TestUpgradedSession(t *testing.T) {
	_, url := startProxy(t, false, func(w http.ResponseWriter, _ *http.Request) {
		conn, buffered, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		_, _ = io.WriteString(conn, "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: count\r\n\r\n")
		all, _ := io.ReadAll(buffered) // until the caller closes its direction
		_, _ = fmt.Fprintf(conn, "%d bytes", len(all))
	})
	conn, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, "GET /read HTTP/1.1\r\nHost: desk\r\nConnection: Upgrade\r\nUpgrade: count\r\n\r\nearly")
	assert.NilError(t, err)
	r := bufio.NewReader(conn)
	resp, err := http.ReadResponse(r, nil)
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusSwitchingProtocols)
	assert.Equal(t, resp.Header.Get("Upgrade"), "count")
	_, err = io.WriteString(conn, strings.Repeat("x", 100000))
	assert.NilError(t, err)
	assert.NilError(t, conn.(*net.TCPConn).CloseWrite())
	rest, err := io.ReadAll(r)
	assert.NilError(t, err)
	assert.Equal(t, string(rest), "100005 bytes")
}

// TestResponseBeforeBodyIsRead: an endpoint may refuse a large upload early.
func TestResponseBeforeBodyIsRead(t *testing.T) {
	forBothProtocols(t, func(t *testing.T, http2 bool) {
		client, url := startProxy(t, http2, func(w http.ResponseWriter, _ *http.Request) {
			http.Error(w, "too large for me", http.StatusRequestEntityTooLarge)
		})
		resp, err := client.Do(newRequest(t, "POST", url+"/once", strings.NewReader(strings.Repeat("x", 900_000))))
		assert.NilError(t, err)
		assert.Equal(t, resp.StatusCode, http.StatusRequestEntityTooLarge)
	})
}

// TestBodyLimit: a body above the balancer's limit is refused, and the endpoint never gets the
// whole of it.
func TestBodyLimit(t *testing.T) {
	gotWholeBody := make(chan bool, 1)
	client, url := startProxy(t, false, func(_ http.ResponseWriter, r *http.Request) {
		_, err := io.Copy(io.Discard, r.Body)
		gotWholeBody <- err == nil
	})
	resp, err := client.Do(newRequest(t, "POST", url+"/once", io.MultiReader(strings.NewReader(strings.Repeat("x", 2<<20)))))
	if err == nil {
		assert.Assert(t, resp.StatusCode >= 400, resp.Status)
	}
	assert.Assert(t, !<-gotWholeBody)
}
