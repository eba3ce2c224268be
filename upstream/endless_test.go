package upstream_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync/atomic"
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

// countedConn counts the bytes that are read from a connection.
type countedConn struct {
	net.Conn
	read *atomic.Int64
}

func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.read.Add(int64(n))
	return n, err
}

// TestBytesWithoutEndAreNotKept guards against an endpoint that fills the memory of its caller: what is read
// of it ends by itself, and so does what an error quotes.
func TestBytesWithoutEndAreNotKept(t *testing.T) {
	const limit = 512 << 10 // a head of 256 KiB, a body of 128 KiB read ahead, buffers
	for _, f := range rawendpoint.AllEndlessFaults {
		for _, kind := range []string{"request", "probe"} {
			t.Run(fmt.Sprintf("%s/%s", kind, f), func(t *testing.T) {
				e := faultyEndpoint(t)
				e.Set(f)
				var read atomic.Int64
				c := upstream.NewClient(upstream.Options{Dial: func(ctx context.Context, network, addr string) (net.Conn, error) {
					conn, err := new(net.Dialer).DialContext(ctx, network, addr)
					return countedConn{conn, &read}, err
				}})
				var err error
				if kind == "probe" {
					_, err = c.Probe(t.Context(), e.Addr(), "/health", time.Minute)
				} else {
					in, _ := http.NewRequest(http.MethodGet, "http://caller/petitions", nil)
					res := c.Send(t.Context(), upstream.Request{
						ID: "id", Addr: e.Addr(), Incoming: in, Body: upstream.NewBody(strings.NewReader(""), 0), Deadline: time.Now().Add(time.Minute),
						BufferBytes: 128 << 10, OnInformational: func(int, http.Header) {},
					})
					err = res.Err
					runtime.GC()
					assert.Assert(t, heapBytes() < 32<<20, "%d bytes", heapBytes())
					res.Close()
				}
				assert.Assert(t, err == nil || len(err.Error()) <= 1<<10, "%d bytes of text", len(fmt.Sprint(err)))
				most := int64(limit)
				if f == rawendpoint.EndlessLong1xx && kind == "request" {
					most += 16 * 256 << 10 // each passed on by itself
				}
				assert.Assert(t, read.Load() <= most, "%d bytes", read.Load())
				awaitEnd(t, e)
			})
		}
	}
}

// heapBytes returns the size of the heap.
func heapBytes() uint64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// awaitEnd waits until an endpoint writes nothing without end any more.
func awaitEnd(t *testing.T, e *rawendpoint.Faulty) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if writing, _ := e.Endless(); writing == 0 {
			return poll.Success()
		}
		return poll.Continue("the endpoint still writes")
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(time.Millisecond))
}

// TestUnreadStreamsKeepLittle guards against streams of HTTP/2 whose callers take nothing while their endpoint
// goes on sending.
func TestUnreadStreamsKeepLittle(t *testing.T) {
	const streams = 16
	var sent atomic.Int64
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(upstream.RequestIDHeader, r.Header.Get(upstream.RequestIDHeader))
		for p := make([]byte, 4<<10); ; {
			n, err := w.Write(p)
			if sent.Add(int64(n)); err != nil {
				return
			}
		}
	}))
	s.Config.Protocols = new(http.Protocols)
	s.Config.Protocols.SetUnencryptedHTTP2(true)
	s.Start()
	t.Cleanup(s.Close)
	c := upstream.NewClient(upstream.Options{HTTP2: true})
	for i := range streams {
		in, _ := http.NewRequest(http.MethodGet, "http://caller/petitions", nil)
		res := c.Send(t.Context(), upstream.Request{
			ID: fmt.Sprint(i), Addr: s.Listener.Addr().String(), Incoming: in, Body: upstream.NewBody(strings.NewReader(""), 0), Deadline: time.Now().Add(time.Minute),
		})
		defer res.Close()
		assert.NilError(t, res.Err)
	}
	for before, same := int64(0), 0; same < 50; same++ {
		time.Sleep(time.Millisecond)
		if now := sent.Load(); now != before {
			before, same = now, 0
		}
	}
	assert.Assert(t, sent.Load() <= streams*320<<10, "%d bytes", sent.Load())
}

// TestErrorsQuoteLittle guards against logs and refusals that repeat what an endpoint has sent.
func TestErrorsQuoteLittle(t *testing.T) {
	long := strings.Repeat("\x01", 200<<10)
	for name, text := range map[string]string{
		"no response":         long + "\r\n\r\n",
		"another request's":   "HTTP/1.1 200 OK\r\nLotuswing-Request-Id: " + strings.Repeat("y", 200<<10) + "\r\nContent-Length: 0\r\n\r\n",
		"malformed field":     "HTTP/1.1 200 OK\r\n" + long + "\r\n\r\n",
		"malformed transfer":  "HTTP/1.1 200 OK\r\nTransfer-Encoding: " + strings.Repeat("z", 200<<10) + "\r\n\r\n",
		"malformed length":    "HTTP/1.1 200 OK\r\nContent-Length: " + strings.Repeat("1", 200<<10) + "\r\n\r\n",
		"malformed status":    "HTTP/1.1 " + strings.Repeat("2", 200<<10) + "\r\n\r\n",
		"malformed version":   "HTTP/" + strings.Repeat("1", 200<<10) + " 200 OK\r\n\r\n",
		"malformed chunk":     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + strings.Repeat("z", 4<<10) + "\r\n",
		"two content lengths": "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: " + strings.Repeat("2", 200<<10) + "\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			e, err := rawendpoint.NewScripted(upstream.RequestIDHeader, rawendpoint.Cut(text))
			assert.NilError(t, err)
			t.Cleanup(e.Close)
			in, _ := http.NewRequest(http.MethodGet, "http://caller/petitions", nil)
			res := upstream.NewClient(upstream.Options{}).Send(t.Context(), upstream.Request{
				ID: "id", Addr: e.Addr(), Incoming: in, Body: upstream.NewBody(strings.NewReader(""), 0), Deadline: time.Now().Add(time.Minute), BufferBytes: 128 << 10,
			})
			defer res.Close()
			assert.Assert(t, res.Err != nil)
			assert.Assert(t, len(res.Err.Error()) <= 1<<10, "%d bytes", len(res.Err.Error()))
		})
	}
}
