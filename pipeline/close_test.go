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

// TestResponseIsNotResetByUnreadBytesInStop: the sending direction is closed first, and what comes then
// is dropped unserved until the caller closes or the shutdown ends.
func TestResponseIsNotResetByUnreadBytesInStop(t *testing.T) {
	const late = 400 * time.Millisecond // when the caller closes
	for name, test := range map[string]struct {
		stops  bool
		limit  time.Duration
		wanted time.Duration
		err    error
	}{
		"no stop":             {limit: time.Minute},
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
				go func() { _, _ = mine.Write([]byte(behindGET)) }() // fails without a stop
				time.AfterFunc(late, func() { _ = mine.Close() })
				synctest.Wait()
				ctx, cancel := context.WithTimeout(context.Background(), test.limit)
				defer cancel()
				assert.ErrorIs(t, s.Shutdown(ctx), test.err)
				assert.Equal(t, c.halfClosed.Load() > 0, test.stops)
				if test.stops {
					assert.Equal(t, time.Duration(c.closed.Load()-c.halfClosed.Load()), test.wanted)
				}
				assert.Equal(t, c.dropped.Load(), test.stops)
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

func TestSlowCallerThatPipelinesGetsItsResponsesInStop(t *testing.T) {
	large := strings.Repeat("x", 160<<10)
	for name, test := range map[string]struct {
		idle          time.Duration // limit of the server
		reads, closes bool
	}{
		"caller closes":       {reads: true, closes: true},
		"caller never closes": {reads: true},
		"caller never reads":  {idle: 500 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			var served atomic.Int64
			answered := make(chan struct{}, 10)
			s := pipeline.New(&http.Server{IdleTimeout: test.idle, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				served.Add(1)
				place := pipeline.PlaceOf(r.Context())
				if place.Wait() == nil && place.Last() {
					w.Header().Set("Connection", "close")
				}
				w.Header().Set("Content-Length", strconv.Itoa(len(large)))
				_, _ = io.WriteString(w, large) // checked by the caller
				answered <- struct{}{}
			})})
			c := slowCaller(t, listen(t, s))
			s.BeginStop()
			c.get(t, "/1", "/2")
			<-answered
			<-answered
			c.get(t, "/behind")
			stopped := make(chan error, 1)
			go func() { stopped <- s.Shutdown(t.Context()) }()
			time.Sleep(300 * time.Millisecond)
			if test.reads {
				assert.Equal(t, c.answer(t), large)
				assert.Equal(t, c.answer(t), large)
				_, err := c.in.ReadByte()
				assert.ErrorIs(t, err, io.EOF)
			}
			if test.closes {
				assert.NilError(t, c.Close())
			}
			assert.NilError(t, <-stopped)
			assert.Equal(t, served.Load(), int64(2))
		})
	}
}
