package pipeline_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/lotuswing/lotuswing/pipeline"
	"gotest.tools/v3/assert"
)

const (
	behindGET  = "GET /behind HTTP/1.1\r\nHost: a\r\n\r\n"
	behindPOST = "POST /behind HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\n"
)

// TestWholeRequestsBehindResponseAreAnsweredInStop and the last of them closes the connection, also where
// their reads return when the response is about to begin.
func TestWholeRequestsBehindResponseAreAnsweredInStop(t *testing.T) {
	for sent, want := range map[string]int{
		"":                              0,
		"GET /behind HT":                0,
		behindGET:                       1,
		behindGET + behindGET + "GET":   2,
		behindPOST + "bod":              0,
		behindPOST + "body":             1,
		behindPOST + "body" + behindGET: 2,
		"GET /behind HTTP/1.0\r\nHost: a\r\n\r\n": 1,
	} {
		for _, delay := range []time.Duration{0, time.Second} {
			t.Run(fmt.Sprintf("%q, reads late by %v", sent, delay), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					gate := make(chan struct{})
					runStopTest(t, gate, func(s *stopTest) {
						s.get(t, "/first")
						synctest.Wait()
						s.server.BeginStop()
						s.stopping.Store(true)
						s.delay = delay
						_, err := io.WriteString(s, sent)
						assert.NilError(t, err)
						close(gate)
						for n := range want + 1 {
							response, err := http.ReadResponse(s.in, nil)
							assert.NilError(t, err)
							_, err = io.Copy(io.Discard, response.Body)
							assert.NilError(t, err)
							assert.Equal(t, response.Close, n == want)
						}
						_, err = s.in.ReadByte()
						assert.ErrorIs(t, err, io.EOF)
						assert.NilError(t, <-s.shutdown())
					})
				})
			})
		}
	}
}

// TestNothingIsReadBehindResponseInStop: what a caller sends once its response has begun stays unread.
func TestNothingIsReadBehindResponseInStop(t *testing.T) {
	for _, sent := range []string{behindGET, behindPOST + "body", "GET"} {
		synctest.Test(t, func(t *testing.T) {
			s := newStoppable()
			conn := s.dial()
			_, err := io.WriteString(conn, "GET /first HTTP/1.1\r\nHost: a\r\n\r\n")
			assert.NilError(t, err)
			synctest.Wait()
			s.beginStop()
			time.Sleep(serveTime + time.Millisecond) // the response has begun and is not read
			late := make(chan error, 1)
			go func() {
				n, err := io.WriteString(conn, sent)
				assert.Check(t, n == 0)
				late <- err
			}()
			time.Sleep(time.Second)
			_, err = io.Copy(io.Discard, conn)
			assert.NilError(t, err)
			assert.ErrorIs(t, <-late, io.ErrClosedPipe)
			assert.NilError(t, s.endNotice())
			s.close(t)
		})
	}
}

// TestConnectionEndsWithStopWhateverItCarried: one that is idle ends at once and takes no other request, and
// one with a request in service as soon as that is answered.
func TestConnectionEndsWithStopWhateverItCarried(t *testing.T) {
	const body = "4\r\nbody\r\n0\r\n\r\n"
	for name, request := range map[string]string{
		"GET":                  behindGET,
		"POST":                 behindPOST + "body",
		"chunked":              "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n" + body,
		"Expect":               "POST / HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\nbody",
		"Expect, chunked":      "POST / HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nTransfer-Encoding: chunked\r\n\r\n" + body,
		"announced trailer":    "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\nTrailer: A\r\n\r\n" + body,
		"odd chunk":            "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n4 \r\nbody\r\n0\r\n\r\n",
		"HTTP/1.0, keep-alive": "GET / HTTP/1.0\r\nHost: a\r\nConnection: keep-alive\r\n\r\n",
	} {
		for _, busy := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, in service: %t", name, busy), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					s := newStoppable()
					conn := s.dial()
					p := &pipeliner{conn: conn, in: bufio.NewReader(conn)}
					answered := make(chan bool, 2)
					go func() {
						for {
							response, err := http.ReadResponse(p.in, nil)
							if err != nil {
								close(answered)
								return
							}
							if response.StatusCode != http.StatusContinue {
								answered <- response.Close
							}
						}
					}()
					_, err := io.WriteString(conn, request)
					assert.NilError(t, err)
					if !busy {
						assert.Equal(t, <-answered, false)
						_, err = io.WriteString(conn, request)
						assert.NilError(t, err)
						<-answered
					}
					synctest.Wait()
					s.beginStop()
					began := time.Now()
					assert.NilError(t, s.endNotice())
					if busy {
						assert.Equal(t, time.Since(began), serveTime)
						assert.Equal(t, <-answered, true)
					} else {
						assert.Equal(t, time.Since(began), time.Duration(0))
					}
					_, open := <-answered
					assert.Assert(t, !open, "the connection is open")
					s.close(t)
				})
			})
		}
	}
}

// TestOpaqueConnectionServesWhatWasReadInStop: a response that does not close an opaque connection is
// followed by those of requests that net/http has read already.
func TestOpaqueConnectionServesWhatWasReadInStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gate := make(chan struct{})
		runStopTest(t, gate, func(s *stopTest) {
			old := "GET /%s HTTP/1.0\r\nConnection: keep-alive\r\n\r\n"
			_, err := fmt.Fprintf(s, old+old+"GET /part", "first", "behind")
			assert.NilError(t, err)
			synctest.Wait()
			s.server.BeginStop()
			stopped := s.shutdown()
			synctest.Wait()
			close(gate)
			assert.Equal(t, s.answer(t), "/first")
			assert.Equal(t, s.answer(t), "/behind")
			assert.NilError(t, <-stopped)
		})
	})
}

// TestPartOfRequestIsNotAnsweredInStop: its caller is free to send it elsewhere.
func TestPartOfRequestIsNotAnsweredInStop(t *testing.T) {
	for _, part := range []string{"G", "GET / HT", "GET / HTTP/1.1\r\nHost:", "GET / HTTP/1.0\r\nHo"} {
		synctest.Test(t, func(t *testing.T) {
			s := newStoppable()
			conn := s.dial()
			_, err := io.WriteString(conn, part)
			assert.NilError(t, err)
			synctest.Wait()
			s.beginStop()
			stopped := make(chan error, 1)
			go func() { stopped <- s.endNotice() }()
			answer, err := io.ReadAll(conn)
			assert.NilError(t, err)
			assert.Equal(t, string(answer), "")
			assert.NilError(t, <-stopped)
			s.close(t)
		})
	}
}

// TestSealingLeavesBodyAlone: a body that arrives in parts is read to its end by another goroutine while the
// response begins, and nothing behind it.
func TestSealingLeavesBodyAlone(t *testing.T) {
	head := "POST / HTTP/1.1\r\nHost: a\r\n"
	for name, parts := range map[string][]string{
		"length":  {head + "Content-Length: 8\r\n\r\n", "ab", "cd", "efgh"},
		"chunked": {head + "Transfer-Encoding: chunked\r\n\r\n", "4", "\r\nabc", "d\r\n4\r\nefgh", "\r\n0\r", "\nA: b\r\n", "\r\n"},
		"Expect":  {head + "Expect: 100-continue\r\nTransfer-Encoding: chunked\r\n\r\n", "8\r\nabcdefgh", "\r\n0\r\n\r\n"},
		"opaque":  {head + "Transfer-Encoding: chunked\r\n\r\n", "8 \r\n", "abcdefgh\r\n0\r\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				last := make(chan bool, 1)
				inMemoryServer(t, func(w http.ResponseWriter, r *http.Request) {
					body := make(chan string)
					go func() {
						p, err := io.ReadAll(r.Body)
						assert.Check(t, err == nil)
						body <- string(p)
					}()
					time.Sleep(time.Second)
					last <- pipeline.PlaceOf(r.Context()).Last()
					w.Header().Set("Connection", "close")
					_, _ = io.WriteString(w, <-body)
				}, func(s *pipeline.Server, c *caller) {
					s.BeginStop()
					written := make(chan struct{})
					go func() {
						defer close(written)
						for _, part := range parts {
							time.Sleep(700 * time.Millisecond)
							_, err := io.WriteString(c, part)
							assert.Check(t, err == nil)
						}
						n, _ := io.WriteString(c, behindGET)
						assert.Check(t, n == 0 || name == "opaque")
					}()
					r, err := http.ReadResponse(c.in, nil)
					assert.NilError(t, err)
					if name == "Expect" {
						r, err = http.ReadResponse(c.in, nil)
						assert.NilError(t, err)
					}
					body, err := io.ReadAll(r.Body)
					assert.NilError(t, err)
					assert.Equal(t, string(body), "abcdefgh")
					assert.Assert(t, <-last)
					assert.NilError(t, s.Shutdown(context.Background()))
					<-written
				})
			})
		})
	}
}

// inMemoryServer serves a handler in virtual time and plays a caller.
func inMemoryServer(t *testing.T, h http.HandlerFunc, play func(s *pipeline.Server, c *caller)) {
	t.Helper()
	s := pipeline.New(&http.Server{Handler: h, IdleTimeout: time.Minute, ReadHeaderTimeout: time.Minute})
	l := &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
	served := make(chan error, 1)
	go func() { served <- s.Serve(l) }()
	mine, theirs := net.Pipe()
	l.conns <- theirs
	play(s, newCaller(mine))
	_ = s.Close() // the test is over
	assert.ErrorIs(t, <-served, http.ErrServerClosed)
	_ = mine.Close() // as above
}

// TestCallerThatLeavesWhileDrainingIsNoticed before the response begins.
func TestCallerThatLeavesWhileDrainingIsNoticed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		inMemoryServer(t, func(_ http.ResponseWriter, r *http.Request) {
			<-r.Context().Done()
		}, func(s *pipeline.Server, c *caller) {
			c.get(t, "/")
			synctest.Wait()
			s.BeginStop()
			stopped := make(chan error, 1)
			go func() { stopped <- s.Shutdown(context.Background()) }()
			synctest.Wait()
			assert.NilError(t, c.Close())
			assert.NilError(t, <-stopped)
		})
	})
}

// TestDrainingEndsBehindHandlersThatDoNotAsk for their place.
func TestDrainingEndsBehindHandlersThatDoNotAsk(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		inMemoryServer(t, func(http.ResponseWriter, *http.Request) { time.Sleep(serveTime) }, func(s *pipeline.Server, c *caller) {
			p := &pipeliner{conn: c.Conn, in: c.in, request: "GET /%d HTTP/1.1\r\nHost: a\r\n\r\n"}
			ended := make(chan struct{})
			go func() { p.run(5); close(ended) }()
			time.Sleep(time.Second)
			ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
			defer cancel()
			assert.NilError(t, s.Shutdown(ctx))
			<-ended
			assert.Equal(t, p.answered, p.read)
		})
	})
}
