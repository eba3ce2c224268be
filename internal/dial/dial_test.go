package dial_test

import (
	"net"
	"testing"
	"time"

	"github.com/lotuswing/lotuswing/internal/dial"
	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"
)

// TestConnectionsAreBound: each connection fails when data stays unacknowledged.
func TestConnectionsAreBound(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	c, err := dial.Dialer(10*time.Second).DialContext(t.Context(), "tcp", l.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	raw, err := c.(*net.TCPConn).SyscallConn()
	assert.NilError(t, err)
	var bound int
	assert.NilError(t, raw.Control(func(fd uintptr) {
		bound, err = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
	}))
	assert.NilError(t, err)
	assert.Equal(t, bound, int(dial.Silence.Milliseconds()))
}
