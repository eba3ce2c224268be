package pipeline_test

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/lotuswing/lotuswing/pipeline"
	"gotest.tools/v3/assert"
)

// halfConn is a connection in memory that notes when its directions are closed.
type halfConn struct {
	net.Conn
	halfClosed, closed atomic.Int64 // virtual times
	late               atomic.Bool  // it was read after its sending direction was closed
}

func (c *halfConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && c.halfClosed.Load() > 0 {
		c.late.Store(true)
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

// TestResponseIsNotResetByUnreadBytesInStop: the sending direction is closed first, and nothing is read
// until the whole connection is.
func TestResponseIsNotResetByUnreadBytesInStop(t *testing.T) {
	const linger = 100 * time.Millisecond
	for name, test := range map[string]struct {
		stops  bool
		limit  time.Duration
		wanted time.Duration
		err    error
	}{
		"no stop":             {limit: time.Minute},
		"stop":                {stops: true, limit: time.Minute, wanted: linger},
		"end of the shutdown": {stops: true, limit: linger / 2, wanted: linger / 2, err: context.DeadlineExceeded},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := pipeline.New(&http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					w.Header().Set("Connection", "close")
					pipeline.PlaceOf(r.Context()).Last()
				})})
				l := &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
				served := make(chan error, 1)
				go func() { served <- s.Serve(l) }()
				mine, theirs := net.Pipe()
				c := &halfConn{Conn: theirs}
				l.conns <- c
				if test.stops {
					s.BeginStop()
				}
				caller := newCaller(mine)
				caller.get(t, "/")
				assert.Equal(t, caller.answer(t), "")
				go func() { _, _ = mine.Write([]byte(behindGET)) }() // nobody reads it
				synctest.Wait()
				ctx, cancel := context.WithTimeout(context.Background(), test.limit)
				defer cancel()
				assert.ErrorIs(t, s.Shutdown(ctx), test.err)
				assert.Equal(t, c.halfClosed.Load() > 0, test.stops)
				if test.stops {
					assert.Equal(t, time.Duration(c.closed.Load()-c.halfClosed.Load()), test.wanted)
				}
				assert.Assert(t, !c.late.Load())
				_ = s.Close() // the test is over
				assert.ErrorIs(t, <-served, http.ErrServerClosed)
			})
		})
	}
}
