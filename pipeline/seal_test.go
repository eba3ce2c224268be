package pipeline_test

import (
	"fmt"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

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
