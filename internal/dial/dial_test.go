package dial_test

import (
	"net"
	"testing"
	"time"

	"github.com/lotuswing/lotuswing/internal/dial"
	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"
)

// TestDialerSetsUserTimeout checks that TCP_USER_TIMEOUT is set on a dialed connection, so
// that the connection fails when data stays unacknowledged.
func TestDialerSetsUserTimeout(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	c, err := dial.Dialer(10*time.Second).DialContext(t.Context(), "tcp", l.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	raw, err := c.(*net.TCPConn).SyscallConn()
	assert.NilError(t, err)
	var timeout int
	assert.NilError(t, raw.Control(func(fd uintptr) {
		timeout, err = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
	}))
	assert.NilError(t, err)
	assert.Equal(t, timeout, int(dial.UnackedTimeout.Milliseconds()))
}
