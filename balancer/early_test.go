package balancer_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/lotuswing/lotuswing/coord/placement"
	"github.com/lotuswing/lotuswing/coord/reason"
	"github.com/lotuswing/lotuswing/tenant"
	"github.com/lotuswing/lotuswing/upstream"
	"gotest.tools/v3/assert"
)

// answerEarly is an endpoint that answers paths that end in these words before it has read the body.
func answerEarly(w http.ResponseWriter, r *http.Request) {
	control := http.NewResponseController(w)
	_ = control.EnableFullDuplex()
	w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
	w.Header().Set("Response-Signature", "s")
	switch {
	case strings.HasSuffix(r.URL.Path, "reject"):
		w.Header().Set("Not-Executed", "1")
		w.Header().Set("Content-Length", "0")
		w.WriteHeader(http.StatusServiceUnavailable)
	case strings.HasSuffix(r.URL.Path, "stream"):
		_, _ = io.WriteString(w, strings.Repeat("x", 1<<20)) // more than is buffered
		return
	case strings.HasSuffix(r.URL.Path, "upgrade"):
		w.Header().Set("Connection", "Upgrade")
		w.Header().Set("Upgrade", "echo")
		w.WriteHeader(http.StatusSwitchingProtocols)
	}
	_ = control.Flush()
	_, _ = io.Copy(io.Discard, r.Body)
	_, _ = io.WriteString(w, r.URL.Path)
}

// TestRestOfBodyIsNotTakenForRequest covers each way to answer a request whose body has not been read to its end.
func TestRestOfBodyIsNotTakenForRequest(t *testing.T) {
	const chunked, quoted = "Transfer-Encoding: chunked\r\n", "POST /unsafe/quoted HTTP/1.1\r\nHost: desk\r\nRequest-Id: quoted\r\nContent-Length: 0\r\n\r\n"
	chunk := fmt.Sprintf("%x\r\n", 4+len(quoted))
	long := fmt.Sprintf("Content-Length: %d\r\n", 1<<15+len(quoted))
	expired := &placement.Refusal{Reason: reason.TooLate}
	for name, c := range map[string]struct {
		path, header string
		first, rest  string // parts of the body before and after the response
		refusal      *placement.Refusal
		kept         bool // the connection is used further
	}{
		"rejected, chunked":                 {path: "/unsafe/reject", header: chunked, first: chunk + "text", rest: quoted + "\r\n0\r\n\r\n"},
		"rejected, between chunks":          {path: "/unsafe/reject", header: chunked, first: "4\r\ntext\r\n", rest: chunk + "text" + quoted + "\r\n0\r\n\r\n"},
		"rejected, with length":             {path: "/long/reject", header: long, first: strings.Repeat("x", 1<<15), rest: quoted},
		"streamed":                          {path: "/long/stream", header: chunked, first: chunk + "text", rest: quoted + "\r\n0\r\n\r\n"},
		"upgraded":                          {path: "/unsafe/upgrade", header: chunked + "Connection: Upgrade\r\nUpgrade: echo\r\n", first: chunk + "text", rest: quoted + "\r\n0\r\n\r\n"},
		"malformed":                         {path: "/unsafe/1", header: chunked, first: "zz\r\n" + quoted},
		"above the limit":                   {path: "/unsafe/1", header: chunked, first: "3e9\r\n" + strings.Repeat("x", 1001), rest: "\r\n" + quoted},
		"no endpoint":                       {path: "/unsafe/1", header: chunked, first: chunk + "text", rest: quoted + "\r\n0\r\n\r\n", refusal: expired},
		"no endpoint, body there":           {path: "/unsafe/1", header: chunked, first: chunk + "text" + quoted + "\r\n0\r\n\r\n", refusal: expired, kept: true},
		"no endpoint, body not asked for":   {path: "/unsafe/1", header: chunked + "Expect: 100-continue\r\n", rest: chunk + "text" + quoted + "\r\n0\r\n\r\n", refusal: expired},
		"no endpoint, with length":          {path: "/long/1", header: long, first: strings.Repeat("x", 1<<15), rest: quoted, refusal: expired},
		"no route":                          {path: "/none/1", header: chunked, first: chunk + "text", rest: quoted + "\r\n0\r\n\r\n"},
		"no route, body there":              {path: "/none/1", header: chunked, first: chunk + "text" + quoted + "\r\n0\r\n\r\n", kept: true},
		"length above the limit":            {path: "/unsafe/1", header: long, first: "text", rest: quoted},
		"answered at the end, chunked":      {path: "/unsafe/1", header: chunked, first: chunk + "text" + quoted + "\r\n0\r\n\r\n", kept: true},
		"answered at the end, with length":  {path: "/long/1", header: long, first: strings.Repeat("x", 1<<15) + quoted, kept: true},
		"answered at the end, with trailer": {path: "/unsafe/1", header: chunked, first: chunk + "text" + quoted + "\r\n0\r\nX-Sum: 1\r\n\r\n", kept: true},
	} {
		t.Run(name, func(t *testing.T) {
			b := newPipelinedHarness(t)
			var reached sync.Map
			endpoint := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				reached.Store(r.URL.Path, true)
				answerEarly(w, r)
			}))
			t.Cleanup(func() {
				_ = b.conn.Close()
				_ = b.server.Close()
				endpoint.CloseClientConnections()
				endpoint.Close()
			})
			b.chooser.endpoints[0].Addr = endpoint.Listener.Addr().String()
			b.chooser.refusal = c.refusal
			b.chooser.table = tenant.NewPrefixTable("t", []tenant.PrefixRoute{
				{Name: "file", Host: "desk", Prefix: "/unsafe/", Timeout: time.Minute, MaxAttempts: 1, MaxBody: 1000, Split: []tenant.Share{{Service: "s", Weight: 1}}},
				{Name: "long", Host: "desk", Prefix: "/long/", Timeout: time.Minute, MaxAttempts: 1, Split: []tenant.Share{{Service: "s", Weight: 1}}},
			})
			_ = b.conn.SetReadDeadline(time.Now().Add(20 * time.Second)) // ends a test that hangs
			_, err := fmt.Fprintf(b.conn, "POST %s HTTP/1.1\r\nHost: desk\r\nRequest-Id: q\r\n%s\r\n%s", c.path, c.header, c.first)
			assert.NilError(t, err)
			_, closes := b.readResponse(t)
			_, _ = io.WriteString(b.conn, c.rest+"POST /unsafe/next HTTP/1.1\r\nHost: desk\r\nRequest-Id: n\r\nContent-Length: 0\r\n\r\n") // fails on a closed connection
			if closes {
				more, _ := io.ReadAll(b.responses) // may end with a reset
				assert.Equal(t, string(more), "")
			} else {
				next, err := http.ReadResponse(b.responses, nil)
				assert.NilError(t, err)
				assert.Equal(t, next.StatusCode, map[bool]int{true: http.StatusOK, false: http.StatusServiceUnavailable}[c.refusal == nil])
			}
			_, smuggled := reached.Load("/unsafe/quoted")
			assert.Assert(t, !smuggled)
			assert.Equal(t, closes, !c.kept)
			_, served := reached.Load("/unsafe/next")
			assert.Equal(t, served, c.kept && c.refusal == nil)
		})
	}
}

func TestCutBodyLeavesHTTP2ConnectionOpen(t *testing.T) {
	client, url := startProxy(t, true, func(_ http.ResponseWriter, r *http.Request) { _, _ = io.Copy(io.Discard, r.Body) })
	reused := false
	for range 2 {
		pr, pw := io.Pipe() // nothing is written
		req := newRequest(t, "POST", url+"/once", pr)
		req.Header.Set(upstream.TimeoutHeader, "100ms")
		trace := httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) { reused = i.Reused }}
		resp, err := client.Do(req.WithContext(httptrace.WithClientTrace(context.Background(), &trace)))
		assert.NilError(t, err)
		assert.Equal(t, resp.StatusCode, http.StatusGatewayTimeout)
		_, _ = io.Copy(io.Discard, resp.Body) // the stream ends with it
		_ = pw.Close()
	}
	assert.Assert(t, reused)
}
