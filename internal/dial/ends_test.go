package dial_test

import (
	"io"
	"net"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/lotuswing/lotuswing/internal/dial"
	"gotest.tools/v3/assert"
)

// brokenConn is a connection whose reset was reported to a write already, if writeErr is set.
type brokenConn struct {
	net.Conn
	writeTakes time.Duration
	writeErr   error
}

func (c brokenConn) Write(p []byte) (int, error) {
	time.Sleep(c.writeTakes)
	return len(p), c.writeErr
}

func (c brokenConn) Read([]byte) (int, error) { return 0, io.EOF }

// TestResetReportedToWriteIsNoEnd guards against taking a reset for the end of what a peer sends.
func TestResetReportedToWriteIsNoEnd(t *testing.T) {
	cases := []struct {
		name       string
		writeTakes time.Duration
		writeErr   error
		want       error
	}{
		{"the peer has ended its direction", 0, nil, io.EOF},
		{"a write has failed", 0, syscall.EPIPE, syscall.ECONNRESET},
		{"a write fails while the end is read", 10 * time.Millisecond, syscall.EPIPE, syscall.ECONNRESET},
		{"a write goes on, as to a peer that reads no more", time.Hour, nil, io.EOF},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				conn := dial.NewConn(brokenConn{writeTakes: c.writeTakes, writeErr: c.writeErr})
				go func() { _, _ = conn.Write([]byte("x")) }()
				synctest.Wait()
				for range 2 {
					_, err := conn.Read(nil)
					assert.ErrorIs(t, err, c.want)
				}
				time.Sleep(2 * c.writeTakes)
			})
		})
	}
}
