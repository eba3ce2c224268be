package pipeline_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/lotuswing/lotuswing/pipeline"
	"gotest.tools/v3/assert"
)

// Times of a planned stop in these tests.
const (
	stopNotice = 3 * time.Second
	stopLimit  = 2580 * time.Millisecond
	serveTime  = 300 * time.Millisecond
)

// pipeliner is a caller that always has the same number of requests without a response.
type pipeliner struct {
	conn     net.Conn
	in       *bufio.Reader
	request  string // with a verb for its number
	read     int    // requests that the server has read whole
	answered int
	closed   bool // a response closed the connection
}

// run sends requests until the connection ends.
func (p *pipeliner) run(outstanding int) {
	room := make(chan struct{}, outstanding)
	for range outstanding {
		room <- struct{}{}
	}
	ended := make(chan struct{})
	written := make(chan struct{})
	go func() {
		defer close(written)
		for n := 0; ; n++ {
			select {
			case <-room:
			case <-ended:
				return
			}
			if _, err := fmt.Fprintf(p.conn, p.request, n); err != nil {
				return
			}
			p.read++
		}
	}()
	for !p.closed {
		response, err := http.ReadResponse(p.in, nil)
		if err != nil {
			break
		}
		if response.StatusCode == http.StatusContinue {
			continue
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			break
		}
		p.answered++
		p.closed = response.Close
		room <- struct{}{}
	}
	close(ended)
	_ = p.conn.Close()
	<-written
}

// stoppable is a server in memory and virtual time, whose handler takes some time for each request and
// refuses those that begin after the notice of a planned stop.
type stoppable struct {
	*pipeline.Server
	listener *pipeListener
	served   chan error
	stopping atomic.Bool
	refusing atomic.Bool
}

func newStoppable() *stoppable {
	s := &stoppable{listener: &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}, served: make(chan error, 1)}
	s.Server = pipeline.New(&http.Server{IdleTimeout: time.Minute, Handler: s})
	go func() { s.served <- s.Serve(s.listener) }()
	return s
}

// ServeHTTP answers in the order of the requests.
func (s *stoppable) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	if s.refusing.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
	} else {
		time.Sleep(serveTime)
	}
	place := pipeline.PlaceOf(r.Context())
	if place.Wait() == nil && s.stopping.Load() && place.Last() {
		w.Header().Set("Connection", "close")
	}
}

// dial connects to the server.
func (s *stoppable) dial() net.Conn {
	mine, theirs := net.Pipe()
	s.listener.conns <- theirs
	return mine
}

// beginStop begins a planned stop.
func (s *stoppable) beginStop() {
	s.BeginStop()
	s.stopping.Store(true)
}

// endNotice ends the notice and shuts the server down within the limit of a stop.
func (s *stoppable) endNotice() error {
	s.refusing.Store(true)
	ctx, cancel := context.WithTimeout(context.Background(), stopLimit)
	defer cancel()
	return s.Shutdown(ctx)
}

// close ends the server.
func (s *stoppable) close(t *testing.T) {
	_ = s.Close() // the test is over
	assert.ErrorIs(t, <-s.served, http.ErrServerClosed)
	time.Sleep(serveTime) // handlers end
}

func TestPipeliningCallerDoesNotHoldStopOpen(t *testing.T) {
	for name, request := range map[string]string{
		"GET":     "GET /%d HTTP/1.1\r\nHost: a\r\n\r\n",
		"POST":    "POST /%d HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nbody",
		"chunked": "POST /%d HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n4;e\r\nbody\r\n0\r\nA: b\r\n\r\n",
		"Expect":  "POST /%d HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\nbody",
	} {
		for _, outstanding := range []int{1, 2, 16, 100} {
			t.Run(fmt.Sprintf("%s, %d outstanding", name, outstanding), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					s := newStoppable()
					conn := s.dial()
					p := &pipeliner{conn: conn, in: bufio.NewReader(conn), request: request}
					ended := make(chan struct{})
					go func() { p.run(outstanding); close(ended) }()
					time.Sleep(time.Second)
					s.beginStop()
					time.Sleep(stopNotice)
					began := time.Now()
					err := s.endNotice()
					took := time.Since(began)
					s.close(t)
					<-ended
					assert.Equal(t, took, time.Duration(0), "all had been answered")
					assert.NilError(t, err)
					assert.Assert(t, p.closed, "no response closed the connection")
					assert.Equal(t, p.answered, p.read)
				})
			})
		}
	}
}

func TestChunkedBodyDoesNotKeepConnectionOutOfStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStoppable()
		conn, busy := s.dial(), s.dial()
		_, err := io.WriteString(conn, "POST /chunked HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n")
		assert.NilError(t, err)
		_, err = http.ReadResponse(bufio.NewReader(conn), nil)
		assert.NilError(t, err)
		_, err = io.WriteString(busy, "GET /busy HTTP/1.1\r\nHost: a\r\n\r\n")
		assert.NilError(t, err)
		synctest.Wait()
		s.beginStop()
		stopped := make(chan error, 1)
		go func() { stopped <- s.endNotice() }()
		synctest.Wait()
		_, late := io.WriteString(conn, "GET /late HTTP/1.1\r\nHost: a\r\n\r\n")
		_, err = http.ReadResponse(bufio.NewReader(busy), nil)
		assert.NilError(t, err)
		err = <-stopped
		s.close(t)
		assert.NilError(t, err)
		assert.ErrorIs(t, late, io.ErrClosedPipe)
	})
}

func TestNothingIsReadBehindAResponseThatBeganBeforeTheStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gate := make(chan struct{})
		s := &stoppable{listener: &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}, served: make(chan error, 1)}
		s.Server = pipeline.New(&http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if s.stopping.Load() && pipeline.PlaceOf(r.Context()).Last() {
				w.Header().Set("Connection", "close")
			}
			_, _ = io.WriteString(w, "begun ")
			_ = http.NewResponseController(w).Flush()
			<-gate
			_, _ = io.WriteString(w, "ended")
		})})
		go func() { s.served <- s.Serve(s.listener) }()
		conn := s.dial()
		_, err := io.WriteString(conn, "GET /stream HTTP/1.1\r\nHost: a\r\n\r\n")
		assert.NilError(t, err)
		in := bufio.NewReader(conn)
		response, err := http.ReadResponse(in, nil)
		assert.NilError(t, err)
		s.beginStop()
		behind := make(chan error, 1)
		go func() {
			_, err := io.WriteString(conn, "GET /behind HTTP/1.1\r\nHost: a\r\n\r\n")
			behind <- err
		}()
		synctest.Wait()
		assert.Equal(t, len(behind), 0)
		close(gate)
		body, err := io.ReadAll(response.Body)
		assert.NilError(t, err)
		assert.Equal(t, string(body), "begun ended")
		response, err = http.ReadResponse(in, nil)
		assert.NilError(t, err)
		assert.Assert(t, response.Close)
		assert.NilError(t, <-behind)
		s.close(t)
	})
}
