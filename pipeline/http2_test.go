package pipeline_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/lotuswing/lotuswing/pipeline"
	"gotest.tools/v3/assert"
)

// serveBoth serves HTTP/1.1 and HTTP/2.
func serveBoth(t *testing.T, h http.Handler) (*pipeline.Server, string) {
	t.Helper()
	both := new(http.Protocols)
	both.SetHTTP1(true)
	both.SetUnencryptedHTTP2(true)
	s := pipeline.New(&http.Server{Handler: h, Protocols: both, ReadHeaderTimeout: limit})
	return s, listen(t, s)
}

// closing is a connection that tells when its caller closes it.
type closing struct {
	net.Conn
	closed chan<- struct{}
}

func (c closing) Close() error {
	select {
	case c.closed <- struct{}{}:
	default:
	}
	return c.Conn.Close()
}

// client2 returns a client that speaks HTTP/2, and a channel that tells when it closes a connection.
func client2(t *testing.T) (*http.Client, <-chan struct{}) {
	t.Helper()
	closed := make(chan struct{}, 1)
	two := new(http.Protocols)
	two.SetUnencryptedHTTP2(true)
	transport := &http.Transport{Protocols: two, DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := new(net.Dialer).DialContext(ctx, network, addr)
		return closing{Conn: c, closed: closed}, err
	}}
	t.Cleanup(transport.CloseIdleConnections)
	return &http.Client{Transport: transport, Timeout: limit}, closed
}

// fetch gets a path and returns the body.
func fetch(t *testing.T, c *http.Client, url string) string {
	t.Helper()
	response, err := c.Get(url)
	assert.NilError(t, err)
	defer response.Body.Close()
	assert.Equal(t, response.ProtoMajor, 2)
	body, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	return string(body)
}

// await waits for an event.
func await(t *testing.T, event <-chan struct{}, what string) {
	t.Helper()
	select {
	case <-event:
	case <-time.After(limit):
		t.Fatal("no " + what)
	}
}

// TestHTTP2EndsBesideLongRequestInStop: callers of HTTP/2 are told at once to begin no other stream, and those
// that have begun are served.
func TestHTTP2EndsBesideLongRequestInStop(t *testing.T) {
	g := newGates("/long", "/stream")
	s, addr := serveBoth(t, g)
	idle, idleClosed := client2(t)
	assert.Equal(t, fetch(t, idle, "http://"+addr+"/idle"), "/idle")
	long := dial(t, addr)
	long.get(t, "/long")
	busy, busyClosed := client2(t)
	body := make(chan string, 1)
	go func() { body <- fetch(t, busy, "http://"+addr+"/stream") }()
	g.wait(t, 3)
	assert.DeepEqual(t, s.Counts(), pipeline.Counts{InService: 1, HTTP2: 2})
	s.BeginStop()
	stopped := make(chan error, 1)
	go func() { stopped <- s.Shutdown(context.Background()) }()
	await(t, idleClosed, "end of the idle connection")
	close(g.pass["/stream"])
	assert.Equal(t, <-body, "/stream")
	await(t, busyClosed, "end of the connection with a stream")
	close(g.pass["/long"])
	assert.Equal(t, long.answer(t), "/long")
	assert.NilError(t, <-stopped)
}

// TestHTTP2ResponseClosesConnectionInStop: net/http tells the caller.
func TestHTTP2ResponseClosesConnectionInStop(t *testing.T) {
	s, addr := serveBoth(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if pipeline.PlaceOf(r.Context()).Last() {
			w.Header().Set("Connection", "close")
		}
	}))
	s.BeginStop()
	client, closed := client2(t)
	fetch(t, client, "http://"+addr+"/")
	await(t, closed, "end of the connection")
}

// TestPrefaceMayComeInParts, and what only begins like one is HTTP/1.1.
func TestPrefaceMayComeInParts(t *testing.T) {
	g := newGates()
	s, addr := serveBoth(t, g)
	two, one := dial(t, addr), dial(t, addr)
	for _, part := range []string{"P", "RI * HTTP/2.0\r\n", "\r\nSM\r\n\r\n", "\x00\x00\x00\x04\x00\x00\x00\x00\x00"} {
		_, err := io.WriteString(two, part)
		assert.NilError(t, err)
		_, err = io.WriteString(one, part[:1])
		assert.NilError(t, err)
		if part == "P" {
			_, err = io.WriteString(one, "UT / HTTP/1.1\r\nHost: a\r\n\r\n")
			assert.NilError(t, err)
			assert.Equal(t, one.answer(t), "/")
		}
	}
	frame := make([]byte, 9)
	_, err := io.ReadFull(two.in, frame)
	assert.NilError(t, err)
	assert.Equal(t, frame[3], byte(4), "the server's settings")
	assert.Equal(t, s.Counts().HTTP2, 1)
	assert.NilError(t, s.Close())
	_, _ = io.Copy(io.Discard, two.in) // until the end or a reset
	assert.Equal(t, s.Counts().HTTP2, 0)
}
