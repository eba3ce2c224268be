package pipeline_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/lotuswing/lotuswing/pipeline"
	"gotest.tools/v3/assert"
)

// pipeListener is a listener for connections in memory, with which a server runs in virtual time.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.UnixAddr{Name: "pipe"} }

// delayedConn is a connection whose reads return late, as in a process that gets no processor time.
type delayedConn struct {
	net.Conn
	delay func() time.Duration
}

func (c delayedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		time.Sleep(c.delay())
	}
	return n, err
}

// stopTest is a server in virtual time and a connection of a caller to it.
type stopTest struct {
	*caller
	server   *pipeline.Server
	stopping atomic.Bool   // responses close their connections
	delay    time.Duration // between the arrival of a request and the return of its read
}

// runStopTest runs a test in virtual time. The handler answers with the path, to a request for /first
// when gate is closed. In a planned stop it closes the connection behind the last request.
func runStopTest(t *testing.T, gate chan struct{}, test func(s *stopTest)) {
	t.Helper()
	s := &stopTest{}
	handler := func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/first" {
			<-gate
		}
		if s.stopping.Load() && pipeline.PlaceOf(r.Context()).Last() {
			w.Header().Set("Connection", "close")
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			w.WriteHeader(http.StatusBadRequest)
		}
		_, _ = io.WriteString(w, r.URL.Path)
	}
	s.server = pipeline.New(&http.Server{Handler: http.HandlerFunc(handler), ReadHeaderTimeout: time.Minute, IdleTimeout: time.Minute})
	l := &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
	served := make(chan error, 1)
	go func() { served <- s.server.Serve(l) }()
	mine, theirs := net.Pipe()
	s.caller = &caller{Conn: mine, in: bufio.NewReader(mine)}
	defer func() {
		_ = s.server.Close() // the test is over
		assert.ErrorIs(t, <-served, http.ErrServerClosed)
	}()
	l.conns <- delayedConn{Conn: theirs, delay: func() time.Duration { return s.delay }}
	synctest.Wait()
	test(s)
}

// beginStop begins a planned stop, as before the server's shutdown.
func (s *stopTest) beginStop() {
	s.stopping.Store(true)
	s.server.BeginStop()
}

// shutdown begins the server's shutdown and returns its result later.
func (s *stopTest) shutdown() <-chan error {
	stopped := make(chan error, 1)
	go func() { stopped <- s.server.Shutdown(context.Background()) }()
	return stopped
}

func TestRequestReadBeforeShutdownIsServed(t *testing.T) {
	for name, requests := range map[string]int{"first request of a connection": 1, "kept connection": 2} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				runStopTest(t, nil, func(s *stopTest) {
					for range requests - 1 {
						s.get(t, "/a")
						assert.Equal(t, s.answer(t), "/a")
					}
					s.beginStop()
					s.delay = time.Second
					s.get(t, "/last")
					stopped := s.shutdown()
					assert.Equal(t, s.answer(t), "/last")
					_, err := s.in.ReadByte()
					assert.ErrorIs(t, err, io.EOF)
					assert.NilError(t, <-stopped)
				})
			})
		})
	}
}

func TestRequestReadBehindAnotherIsServedInStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gate := make(chan struct{})
		runStopTest(t, gate, func(s *stopTest) {
			s.get(t, "/first")
			s.beginStop()
			synctest.Wait()
			s.get(t, "/behind")
			synctest.Wait()
			close(gate)
			assert.Equal(t, s.answer(t), "/first")
			assert.Equal(t, s.answer(t), "/behind")
			assert.NilError(t, <-s.shutdown())
		})
	})
}

func TestBodyThatArrivesDuringShutdownIsRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		runStopTest(t, nil, func(s *stopTest) {
			_, err := io.WriteString(s, "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\n")
			assert.NilError(t, err)
			synctest.Wait()
			s.beginStop()
			stopped := s.shutdown()
			synctest.Wait()
			_, err = io.WriteString(s, "body")
			assert.NilError(t, err)
			assert.Equal(t, s.answer(t), "/a")
			assert.NilError(t, <-stopped)
		})
	})
}

func TestShutdownEndsIdleConnection(t *testing.T) {
	for name, sent := range map[string]string{
		"nothing was sent":          "",
		"the header is incomplete":  "GET / HTTP/1.1\r\nHost:",
		"a response was read":       "GET / HTTP/1.1\r\nHost: a\r\n\r\n",
		"incomplete behind another": "GET / HTTP/1.1\r\nHost: a\r\n\r\nGET /a HT",
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				runStopTest(t, nil, func(s *stopTest) {
					go func() { _, _ = io.Copy(io.Discard, s.in) }()
					_, err := io.WriteString(s, sent)
					assert.NilError(t, err)
					synctest.Wait()
					began := time.Now()
					assert.NilError(t, <-s.shutdown())
					assert.Equal(t, time.Since(began), time.Duration(0))
				})
			})
		})
	}
}
