package pipeline_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/lotuswing/lotuswing/pipeline"
	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"
)

// halfConn is a connection in memory that notes when its directions are closed.
type halfConn struct {
	net.Conn
	halfClosed, closed atomic.Int64 // virtual times
	dropped            atomic.Bool  // it was read after its sending direction was closed
}

func (c *halfConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && c.halfClosed.Load() > 0 {
		c.dropped.Store(true)
	}
	return n, err
}

func (c *halfConn) CloseWrite() error {
	c.halfClosed.CompareAndSwap(0, time.Now().UnixNano())
	return nil
}

func (c *halfConn) Close() error {
	c.closed.CompareAndSwap(0, time.Now().UnixNano())
	return c.Conn.Close()
}

// TestResponseIsNotResetByUnreadBytes: the sending direction is closed first, and what comes then
// is dropped unserved until the caller closes or the shutdown ends.
func TestResponseIsNotResetByUnreadBytes(t *testing.T) {
	const late = 400 * time.Millisecond // when the caller closes
	for name, test := range map[string]struct {
		stops  bool
		limit  time.Duration
		wanted time.Duration
		err    error
	}{
		"no stop":             {limit: time.Minute, wanted: late},
		"stop":                {stops: true, limit: time.Minute, wanted: late},
		"end of the shutdown": {stops: true, limit: late / 2, wanted: late / 2, err: context.DeadlineExceeded},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				served := 0
				s := pipeline.New(&http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					served++
					w.Header().Set("Connection", "close")
					pipeline.PlaceOf(r.Context()).Last()
				})})
				l := &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
				ended := make(chan error, 1)
				go func() { ended <- s.Serve(l) }()
				mine, theirs := net.Pipe()
				c := &halfConn{Conn: theirs}
				l.conns <- c
				if test.stops {
					s.BeginStop()
				}
				caller := newCaller(mine)
				caller.get(t, "/")
				assert.Equal(t, caller.answer(t), "")
				_, err := mine.Write([]byte(behindGET))
				assert.NilError(t, err)
				time.AfterFunc(late, func() { _ = mine.Close() })
				if test.stops {
					ctx, cancel := context.WithTimeout(context.Background(), test.limit)
					defer cancel()
					assert.ErrorIs(t, s.Shutdown(ctx), test.err)
				} else {
					time.Sleep(test.limit)
				}
				assert.Equal(t, time.Duration(c.closed.Load()-c.halfClosed.Load()), test.wanted)
				assert.Assert(t, c.dropped.Load())
				assert.Equal(t, served, 1)
				_ = s.Close() // the test is over
				assert.ErrorIs(t, <-ended, http.ErrServerClosed)
			})
		})
	}
}

// slowCaller connects with a window of some KiB.
func slowCaller(t *testing.T, addr string) *caller {
	t.Helper()
	d := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		var err error
		return errors.Join(raw.Control(func(fd uintptr) { err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, 8<<10) }), err)
	}}
	c, err := d.Dial("tcp", addr)
	assert.NilError(t, err)
	assert.NilError(t, c.SetDeadline(time.Now().Add(limit)))
	t.Cleanup(func() { _ = c.Close() })
	return newCaller(c)
}

func TestSlowCallerThatPipelinesGetsItsResponses(t *testing.T) {
	large := strings.Repeat("x", 160<<10)
	for name, test := range map[string]struct {
		stops         bool
		behind        string        // what is read whole behind two requests, and closes the connection
		idle          time.Duration // limit of the server
		reads, closes bool
	}{
		"stop, caller closes":       {stops: true, reads: true, closes: true},
		"stop, caller never closes": {stops: true, reads: true},
		"stop, caller never reads":  {stops: true, idle: 500 * time.Millisecond},
		"malformed request behind":  {behind: "GET / HTTP/1.1\r\nHost\r\n\r\n", reads: true},
		"aborted response behind":   {behind: "GET /abort HTTP/1.1\r\nHost: a\r\n\r\n", reads: true},
		"closing response behind":   {behind: "GET /close HTTP/1.1\r\nHost: a\r\n\r\n", reads: true},
	} {
		t.Run(name, func(t *testing.T) {
			var served atomic.Int64
			answered := make(chan struct{}, 10)
			s := pipeline.New(&http.Server{IdleTimeout: test.idle, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				place := pipeline.PlaceOf(r.Context())
				_ = place.Wait() // the caller stays
				switch {
				case r.URL.Path == "/abort":
					panic(http.ErrAbortHandler)
				case r.URL.Path == "/close", test.stops && place.Last():
					w.Header().Set("Connection", "close")
				}
				served.Add(1)
				w.Header().Set("Content-Length", strconv.Itoa(len(large)))
				_, _ = io.WriteString(w, large) // checked by the caller
				answered <- struct{}{}
			})})
			c := slowCaller(t, listen(t, s))
			if test.stops {
				s.BeginStop()
			}
			_, err := io.WriteString(c, "GET /1 HTTP/1.1\r\nHost: a\r\n\r\nGET /2 HTTP/1.1\r\nHost: a\r\n\r\n"+test.behind)
			assert.NilError(t, err)
			<-answered
			<-answered
			time.Sleep(50 * time.Millisecond)
			c.get(t, "/behind")
			stopped := make(chan error, 1)
			if test.stops {
				go func() { stopped <- s.Shutdown(t.Context()) }()
			}
			time.Sleep(300 * time.Millisecond)
			if test.reads {
				assert.Equal(t, c.answer(t), large)
				assert.Equal(t, c.answer(t), large)
				_, err := io.Copy(io.Discard, c.in)
				assert.NilError(t, err)
			}
			if test.closes {
				assert.NilError(t, c.Close())
			}
			if test.stops {
				assert.NilError(t, <-stopped)
				assert.Equal(t, served.Load(), int64(2))
			}
		})
	}
}
