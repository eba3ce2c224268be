package pipeline_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"regexp"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/lotuswing/lotuswing/pipeline"
	"gotest.tools/v3/assert"
)

// limit ends a test that hangs. Nothing is asserted on it.
const limit = 20 * time.Second

// serve serves a handler and returns the server and its address.
func serve(t testing.TB, h http.HandlerFunc) (*pipeline.Server, string) {
	t.Helper()
	s := pipeline.New(&http.Server{Handler: h, ReadHeaderTimeout: limit})
	return s, listen(t, s)
}

// servePlain serves a handler by net/http alone and returns its address.
func servePlain(t testing.TB, h http.HandlerFunc) string {
	t.Helper()
	return listen(t, &http.Server{Handler: h, ReadHeaderTimeout: limit})
}

// listen lets a server serve until the test ends and returns its address. Its end must
// be one that the test asked for.
func listen(t testing.TB, s interface {
	Serve(l net.Listener) error
	Close() error
},
) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	served := make(chan error, 1)
	go func() { served <- s.Serve(l) }()
	t.Cleanup(func() {
		_ = s.Close() // the test is over
		assert.ErrorIs(t, <-served, http.ErrServerClosed)
	})
	return l.Addr().String()
}

// caller is a caller's connection.
type caller struct {
	net.Conn
	in *bufio.Reader
}

// newCaller returns a caller with a connection.
func newCaller(c net.Conn) *caller { return &caller{Conn: c, in: bufio.NewReader(c)} }

func dial(t testing.TB, addr string) *caller {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	assert.NilError(t, err)
	assert.NilError(t, c.SetDeadline(time.Now().Add(limit)))
	t.Cleanup(func() { _ = c.Close() })
	return newCaller(c)
}

// get sends requests for paths at once.
func (c *caller) get(t testing.TB, paths ...string) {
	t.Helper()
	var b strings.Builder
	for _, p := range paths {
		fmt.Fprintf(&b, "GET %s HTTP/1.1\r\nHost: a\r\n\r\n", p)
	}
	_, err := io.WriteString(c, b.String())
	assert.NilError(t, err)
}

// answer reads a response and returns its body.
func (c *caller) answer(t testing.TB) string {
	t.Helper()
	r, err := http.ReadResponse(c.in, nil)
	assert.NilError(t, err)
	body, err := io.ReadAll(r.Body)
	assert.NilError(t, err)
	return string(body)
}

// gates let handlers of a path pass.
type gates struct {
	entered chan string
	pass    map[string]chan struct{}
}

func newGates(paths ...string) *gates {
	g := &gates{entered: make(chan string, 100), pass: map[string]chan struct{}{}}
	for _, p := range paths {
		g.pass[p] = make(chan struct{})
	}
	return g
}

// ServeHTTP answers with the path once it may.
func (g *gates) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.entered <- r.URL.Path
	if pass, ok := g.pass[r.URL.Path]; ok {
		select {
		case <-pass:
		case <-r.Context().Done():
			g.entered <- "left " + r.URL.Path
		}
	}
	_, _ = io.WriteString(w, r.URL.Path) // the test reads it or has gone
}

func (g *gates) wait(t testing.TB, n int) map[string]bool {
	t.Helper()
	seen := map[string]bool{}
	for range n {
		select {
		case p := <-g.entered:
			seen[p] = true
		case <-time.After(limit):
			t.Fatalf("only %v entered", seen)
		}
	}
	return seen
}

// TestServedAtOnceAnsweredInOrder whatever order they end in.
func TestServedAtOnceAnsweredInOrder(t *testing.T) {
	g := newGates("/a", "/b")
	_, addr := serve(t, g.ServeHTTP)
	c := dial(t, addr)
	c.get(t, "/a", "/b", "/c")
	g.wait(t, 3) // net/http alone would wait for the response to /a
	close(g.pass["/b"])
	close(g.pass["/a"])
	for _, want := range []string{"/a", "/b", "/c"} {
		assert.Equal(t, c.answer(t), want)
	}
	c.get(t, "/d")
	assert.Equal(t, c.answer(t), "/d", "the connection goes on")
}

// TestUnsafeWaitsForItsTurn: a handler that waits for its place begins when all before
// it are answered.
func TestUnsafeWaitsForItsTurn(t *testing.T) {
	g := newGates("/a")
	var began atomic.Bool
	_, addr := serve(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/unsafe" {
			g.entered <- "waits"
			if err := pipeline.PlaceOf(r.Context()).Wait(); err != nil {
				return
			}
			began.Store(true)
		}
		g.ServeHTTP(w, r)
	})
	c := dial(t, addr)
	c.get(t, "/a", "/unsafe")
	assert.DeepEqual(t, g.wait(t, 2), map[string]bool{"/a": true, "waits": true})
	assert.Assert(t, !began.Load())
	close(g.pass["/a"])
	assert.Equal(t, c.answer(t), "/a")
	assert.Equal(t, c.answer(t), "/unsafe")
}

// TestClosingAnswerCutsThoseBehind: they get nothing, and one that waits for its turn
// never begins.
func TestClosingAnswerCutsThoseBehind(t *testing.T) {
	g := newGates("/a")
	ended := make(chan error, 1)
	_, addr := serve(t, func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/a":
			w.Header().Set("Connection", "close")
		case "/b":
			g.entered <- "waits"
			ended <- pipeline.PlaceOf(r.Context()).Wait()
			return
		}
		g.ServeHTTP(w, r)
	})
	c := dial(t, addr)
	c.get(t, "/a", "/b")
	g.wait(t, 2)
	close(g.pass["/a"])
	assert.Equal(t, c.answer(t), "/a")
	_, err := c.in.ReadByte()
	assert.Assert(t, err != nil)
	assert.ErrorIs(t, <-ended, pipeline.ErrGone)
}

// TestCallerThatLeavesEndsAll requests of its connection.
func TestCallerThatLeavesEndsAll(t *testing.T) {
	g := newGates("/a", "/b")
	_, addr := serve(t, g.ServeHTTP)
	c := dial(t, addr)
	c.get(t, "/a", "/b")
	g.wait(t, 2)
	assert.NilError(t, c.Close())
	assert.DeepEqual(t, g.wait(t, 2), map[string]bool{"left /a": true, "left /b": true})
}

// TestShutdownWaitsForAll that were read, and accepts no other connection meanwhile.
func TestShutdownWaitsForAll(t *testing.T) {
	g := newGates("/b", "/c")
	s, addr := serve(t, g.ServeHTTP)
	c := dial(t, addr)
	c.get(t, "/a", "/b", "/c")
	g.wait(t, 3)
	assert.Equal(t, c.answer(t), "/a")
	stopped := make(chan error, 1)
	go func() { stopped <- s.Shutdown(context.Background()) }()
	waitUntilRefused(t, addr)
	close(g.pass["/c"])
	close(g.pass["/b"])
	assert.Equal(t, c.answer(t), "/b")
	assert.Equal(t, c.answer(t), "/c")
	assert.NilError(t, <-stopped)
	_, err := c.in.ReadByte()
	assert.ErrorIs(t, err, io.EOF)
}

// waitUntilRefused waits until no connection is accepted at an address, and sees that many
// times: whoever closed the listener has gone on to its next step meanwhile.
func waitUntilRefused(t *testing.T, addr string) {
	t.Helper()
	const sure = 50
	hangs := time.Now().Add(limit)
	for refused := 0; refused < sure; {
		assert.Assert(t, time.Now().Before(hangs), "connections are still accepted")
		c, err := net.Dial("tcp", addr)
		if err != nil {
			refused++
			continue
		}
		_ = c.Close() // it was only to see
	}
}

// TestLastClosesBehindNothing: a place is the last one only while nothing behind it is
// served, and stays so.
func TestLastClosesBehindNothing(t *testing.T) {
	g := newGates("/a", "/b")
	last := make(chan string, 2)
	_, addr := serve(t, func(w http.ResponseWriter, r *http.Request) {
		g.ServeHTTP(w, r)
		last <- fmt.Sprintf("%s %t", r.URL.Path, pipeline.PlaceOf(r.Context()).Last())
	})
	c := dial(t, addr)
	c.get(t, "/a", "/b")
	g.wait(t, 2)
	close(g.pass["/a"])
	assert.Equal(t, <-last, "/a false")
	close(g.pass["/b"])
	assert.Equal(t, <-last, "/b true")
}

func TestRestOfBodyIsNotServed(t *testing.T) {
	served := make(chan string, 2)
	_, addr := serve(t, func(w http.ResponseWriter, r *http.Request) {
		served <- r.URL.Path
		control := http.NewResponseController(w)
		_ = control.EnableFullDuplex()
		_ = control.SetReadDeadline(time.Unix(1, 0))
		_, _ = io.Copy(io.Discard, r.Body) // fails, which net/http does not notice
	})
	c := dial(t, addr)
	const quoted = "GET /quoted HTTP/1.1\r\nHost: a\r\n\r\n"
	_, err := fmt.Fprintf(c, "POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\ntext", 4+len(quoted))
	assert.NilError(t, err)
	assert.Equal(t, c.answer(t), "")
	_, _ = io.WriteString(c, quoted+"\r\n0\r\n\r\n") // fails on a closed connection
	more, _ := io.ReadAll(c.in)                      // may end with a reset
	assert.Equal(t, string(more), "")
	assert.Equal(t, <-served, "/a")
	assert.Equal(t, len(served), 0)
}

// TestBodiesBetween: requests with bodies keep their place and their bytes.
func TestBodiesBetween(t *testing.T) {
	_, addr := serve(t, echo)
	c := dial(t, addr)
	_, err := io.WriteString(c, "GET /a HTTP/1.1\r\nHost: a\r\n\r\n"+
		"POST /b HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nhello"+
		"GET /c HTTP/1.1\r\nHost: a\r\n\r\nGET /d HTTP/1.1\r\nHost: a\r\n\r\n"+
		"POST /e HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"+
		"GET /f HTTP/1.1\r\nHost: a\r\n\r\n")
	assert.NilError(t, err)
	for _, want := range []string{"GET /a ", "POST /b hello", "GET /c ", "GET /d ", "POST /e abc", "GET /f "} {
		assert.Equal(t, c.answer(t), want)
	}
}

// echo answers with the request, without a date.
func echo(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	w.Header()["Date"] = nil
	if r.URL.Path == "/close" {
		w.Header().Set("Connection", "close")
	}
	if r.URL.Path == "/abort" {
		panic(http.ErrAbortHandler)
	}
	_, _ = fmt.Fprintf(w, "%s %s %s", r.Method, r.URL.Path, body) // the test reads it
}

// conversation sends bytes in two parts, ends its direction and returns all that the
// server says.
func conversation(t *testing.T, addr string, p []byte, cut int) string {
	t.Helper()
	c := dial(t, addr)
	for _, part := range [][]byte{p[:cut], p[cut:]} {
		if _, err := c.Write(part); err != nil {
			break // the server has closed the connection already
		}
	}
	_ = c.Conn.(*net.TCPConn).CloseWrite() // as above
	said, _ := io.ReadAll(c)               // a reset ends it as well as an end
	return date.ReplaceAllString(string(said), "Date: now")
}

// date is the field of responses that net/http writes itself.
var date = regexp.MustCompile(`Date: \w{3}, \d{2} \w{3} \d{4} \d{2}:\d{2}:\d{2} GMT`)

// FuzzAgainstNetHTTP: the same bytes get the same answers as from net/http alone.
func FuzzAgainstNetHTTP(f *testing.F) {
	get := "GET /a HTTP/1.1\r\nHost: a\r\n\r\n"
	f.Add([]byte(get+get), 5)
	f.Add([]byte("GET /close HTTP/1.1\r\nHost: a\r\n\r\n"+get), 40)
	f.Add([]byte(get+"GET /abort HTTP/1.1\r\nHost: a\r\n\r\n"+get), 30)
	f.Add([]byte(get+"POST /b HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nhello"+get), 70)
	f.Add([]byte(get+"POST /b HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nhello!"+get), 70)
	f.Add([]byte(get+"POST /b HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n"+get), 70)
	chunked := "POST /b HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
	f.Add([]byte(get+chunked+"5;e=f\r\nhello\r\n00A\r\n0123456789\r\n0\r\nT: u\r\n\r\n"+get+get), 110)
	f.Add([]byte(chunked+"5\r\nhello\r\n0\r\n\r\n"+chunked+"5\nhello\r\n0\r\n\r\n"+get), 66)
	f.Add([]byte(chunked+"5\r\nhello!\r\n0\r\n\r\n"+get), 70)
	f.Add([]byte(chunked+"0\r\n folded\r\n\r\n"+get), 59)
	f.Add([]byte("POST /b HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n"+get), 90)
	f.Add([]byte(get+"GET /b HTTP/1.0\r\nHost: a\r\n\r\n"+get), 70)
	f.Add([]byte(get+"GET /b HTTP/1.1\r\n\r\n"+get), 70)
	f.Add([]byte(get+"GET /b HTTP/1.1\nHost: a\n\n"+get), 70)
	f.Add([]byte(get+"GET /b HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\nab"+get), 70)
	f.Add([]byte(get+"junk\r\n\r\n"+get), 1)
	plain := servePlain(f, echo)
	_, addr := serve(f, echo)
	f.Fuzz(func(t *testing.T, p []byte, cut int) {
		if len(p) > 1<<16 || strings.Contains(strings.ToLower(string(p)), "upgrade") {
			return
		}
		cut = min(max(cut, 0), len(p))
		want := conversation(t, plain, p, cut)
		assert.Equal(t, conversation(t, addr, p, cut), want, "%q", p)
	})
}

// BenchmarkLone is a request with nothing behind it, with and without this package.
func BenchmarkLone(b *testing.B) {
	_, ahead := serve(b, echo)
	for name, addr := range map[string]string{"net-http": servePlain(b, echo), "pipeline": ahead} {
		b.Run(name, func(b *testing.B) {
			c := dial(b, addr)
			assert.NilError(b, c.SetDeadline(time.Time{}))
			b.ReportAllocs()
			for b.Loop() {
				c.get(b, "/a")
				c.answer(b)
			}
		})
	}
}
