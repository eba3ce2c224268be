package upstream_test

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/lotuswing/lotuswing/coord/verdict"
	"github.com/lotuswing/lotuswing/upstream"
	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
	"gotest.tools/v3/assert"
)

// http2Endpoint is an HTTP/2 server that reads and writes single frames. It counts the requests
// that arrived whole and calls respond for each.
type http2Endpoint struct {
	listener net.Listener
	respond  func(fr *http2.Framer, stream uint32) (open bool) // open is false to close the connection

	mu   sync.Mutex
	runs int
}

func newHTTP2Endpoint(t *testing.T, respond func(*http2.Framer, uint32) bool) *http2Endpoint {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	e := &http2Endpoint{listener: l, respond: respond}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go e.serve(c)
		}
	}()
	return e
}

func (e *http2Endpoint) runCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runs
}

func (e *http2Endpoint) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	preface := make([]byte, len(http2.ClientPreface))
	if _, err := io.ReadFull(c, preface); err != nil {
		return
	}
	fr := http2.NewFramer(c, c)
	_ = fr.WriteSettings()
	for {
		f, err := fr.ReadFrame()
		if err != nil {
			return
		}
		if s, ok := f.(*http2.SettingsFrame); ok && !s.IsAck() {
			_ = fr.WriteSettingsAck()
		}
		h := f.Header()
		endOfStream := (h.Type == http2.FrameHeaders || h.Type == http2.FrameData) && h.Flags.Has(http2.FlagDataEndStream)
		if !endOfStream {
			continue
		}
		e.mu.Lock()
		e.runs++
		e.mu.Unlock()
		if !e.respond(fr, h.StreamID) {
			return
		}
	}
}

// TestHTTP2IsNotResent checks that a request is sent once. http.Transport resends some requests
// after HTTP/2 errors, for example after REFUSED_STREAM or GOAWAY.
func TestHTTP2IsNotResent(t *testing.T) {
	failures := map[string]func(*http2.Framer, uint32) bool{
		"protocol error": func(fr *http2.Framer, s uint32) bool { return fr.WriteRSTStream(s, http2.ErrCodeProtocol) == nil },
		"refused stream": func(fr *http2.Framer, s uint32) bool { return fr.WriteRSTStream(s, http2.ErrCodeRefusedStream) == nil },
		"internal error": func(fr *http2.Framer, s uint32) bool { return fr.WriteRSTStream(s, http2.ErrCodeInternal) == nil },
		"going away": func(fr *http2.Framer, _ uint32) bool {
			_ = fr.WriteGoAway(0, http2.ErrCodeNo, nil)
			return false
		},
		"closed": func(*http2.Framer, uint32) bool { return false },
	}
	for name, fail := range failures {
		for _, method := range methods {
			for _, body := range []string{"", "x"} {
				t.Run(fmt.Sprintf("%s/%s/%d bytes", name, method, len(body)), func(t *testing.T) {
					e := newHTTP2Endpoint(t, fail)
					c := upstream.NewClient(upstream.Options{HTTP2: true})
					defer c.CloseIdle()
					header := http.Header{"Idempotency-Key": {"once"}}
					a := send(c, e.listener.Addr().String(), method, "petition", body, header, 5*time.Second)
					assert.Equal(t, a.verdict, verdict.MayHaveRun)
					assert.Equal(t, e.runCount(), 1)
				})
			}
		}
	}
}

// TestHTTP2ReusedConnection checks that the second request on a connection is not resent either,
// and gets verdict MayHaveRun.
func TestHTTP2ReusedConnection(t *testing.T) {
	responded := false
	e := newHTTP2Endpoint(t, func(fr *http2.Framer, s uint32) bool {
		if responded {
			return fr.WriteRSTStream(s, http2.ErrCodeRefusedStream) == nil
		}
		responded = true
		var block bytes.Buffer
		_ = hpack.NewEncoder(&block).WriteField(hpack.HeaderField{Name: ":status", Value: "204"})
		return fr.WriteHeaders(http2.HeadersFrameParam{StreamID: s, BlockFragment: block.Bytes(), EndHeaders: true, EndStream: true}) == nil
	})
	c := upstream.NewClient(upstream.Options{HTTP2: true})
	defer c.CloseIdle()
	addr := e.listener.Addr().String()
	assert.Equal(t, send(c, addr, "GET", "warm", "", http.Header{}, 5*time.Second).verdict, verdict.Ran)
	assert.Equal(t, send(c, addr, "POST", "petition", "", http.Header{}, 5*time.Second).verdict, verdict.MayHaveRun)
	assert.Equal(t, e.runCount(), 2)
}
