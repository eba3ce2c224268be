package pipeline_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/lotuswing/lotuswing/pipeline"
	"gotest.tools/v3/assert"
)

// pipes is a listener whose connections live in memory, so that time can be virtual.
type pipes chan net.Conn

// Accept returns the next connection.
func (p pipes) Accept() (net.Conn, error) {
	if c, ok := <-p; ok {
		return c, nil
	}
	return nil, net.ErrClosed
}

// Close ends Accept.
func (p pipes) Close() error {
	close(p)
	return nil
}

// Addr returns some address.
func (p pipes) Addr() net.Addr { return &net.TCPAddr{} }

// inMemory serves a handler in virtual time and plays a caller.
func inMemory(t *testing.T, h http.HandlerFunc, play func(c *caller)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := pipeline.New(&http.Server{Handler: h, IdleTimeout: time.Minute, ReadHeaderTimeout: time.Second})
		l := make(pipes)
		served := make(chan error)
		go func() { served <- s.Serve(l) }()
		here, there := net.Pipe()
		l <- there
		play(&caller{Conn: here, in: bufio.NewReader(here)})
		assert.NilError(t, here.Close())
		assert.NilError(t, s.Close())
		assert.ErrorIs(t, <-served, http.ErrServerClosed)
	})
}

// slowly answers /slow after five minutes, longer than any limit of an idle
// connection.
func slowly(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/slow" {
		time.Sleep(5 * time.Minute)
	}
	_, _ = io.WriteString(w, r.URL.Path) // the test reads it
}

// TestLimitOfWritesIsNotLeftBehind: what was set for responses of requests served ahead
// does not cut a later response of the connection.
func TestLimitOfWritesIsNotLeftBehind(t *testing.T) {
	inMemory(t, slowly, func(c *caller) {
		go c.get(t, "/slow", "/b")
		assert.Equal(t, c.answer(t), "/slow")
		assert.Equal(t, c.answer(t), "/b")
		synctest.Wait() // until nothing is served ahead any more
		c.get(t, "/slow")
		assert.Equal(t, c.answer(t), "/slow")
	})
}

// TestServedAheadIsNotIdle: net/http, which has nothing to do meanwhile, does not close
// the connection for its idle timeout, which begins behind the last response.
func TestServedAheadIsNotIdle(t *testing.T) {
	inMemory(t, slowly, func(c *caller) {
		go c.get(t, "/a", "/slow")
		assert.Equal(t, c.answer(t), "/a")
		assert.Equal(t, c.answer(t), "/slow")
		time.Sleep(59 * time.Second)
		c.get(t, "/c")
		assert.Equal(t, c.answer(t), "/c")
		began := time.Now()
		_, err := c.in.ReadByte()
		assert.ErrorIs(t, err, io.EOF)
		assert.Equal(t, time.Since(began), time.Minute) // of virtual time
	})
}

// TestBoundedDepth: what is beyond it waits, and is served all the same. Time is
// virtual, so that all that could begin has begun when it is counted.
func TestBoundedDepth(t *testing.T) {
	paths := make([]string, 50)
	for i := range paths {
		paths[i] = fmt.Sprintf("/%d", i)
	}
	var began atomic.Int64
	pass := make(chan struct{})
	hold := func(w http.ResponseWriter, r *http.Request) {
		began.Add(1)
		<-pass
		_, _ = io.WriteString(w, r.URL.Path) // the test reads it
	}
	inMemory(t, hold, func(c *caller) {
		pass = make(chan struct{}) // of the test's virtual time
		go c.get(t, paths...)
		synctest.Wait()
		assert.Equal(t, began.Load(), int64(17), "one of net/http's and 16 ahead")
		close(pass)
		for _, p := range paths {
			assert.Equal(t, c.answer(t), p)
		}
		assert.Equal(t, began.Load(), int64(len(paths)))
	})
}

// TestDeadlineOfWritesHoldsAhead: a caller that does not read holds a request served ahead until the
// deadline that its handler has set, not until the server's own limit.
func TestDeadlineOfWritesHoldsAhead(t *testing.T) {
	written := make(chan error, 1)
	writeUntilDeadline := func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/b" {
			slowly(w, r)
			return
		}
		control := http.NewResponseController(w)
		_ = control.SetWriteDeadline(time.Now().Add(5*time.Minute + time.Second))
		_, _ = io.WriteString(w, "part")
		written <- control.Flush()
	}
	inMemory(t, writeUntilDeadline, func(c *caller) {
		written = make(chan error, 1) // of the test's virtual time
		began := time.Now()
		go c.get(t, "/slow", "/b")
		assert.Equal(t, c.answer(t), "/slow")
		assert.ErrorIs(t, <-written, os.ErrDeadlineExceeded)
		assert.Equal(t, time.Since(began), 5*time.Minute+time.Second) // of virtual time
	})
}
