// Package dial opens TCP connections that fail when their peer stops acknowledging data.
//
// An open connection may stop working for good while new ones succeed. A request written to
// it would wait until its deadline; with a limit on the time that data stays unacknowledged,
// the connection fails after UnackedTimeout, and a request that may be repeated is sent
// elsewhere. A peer process that is paused or slow to respond does not trigger the timeout:
// its kernel acknowledges the data that arrives.
//
// The package owns no resources. It relies on the socket option TCP_USER_TIMEOUT of Linux.
//
// # Usage
//
//	d := dial.Dialer(300 * time.Millisecond)
//	conn, err := d.DialContext(ctx, "tcp", addr)
package dial

import (
	"fmt"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// UnackedTimeout is how long written data may stay unacknowledged before the connection fails.
// It leaves time for several retransmissions on a lossy link with a delay of some milliseconds.
const UnackedTimeout = 1500 * time.Millisecond

// Dialer returns a dialer whose dials take at most timeout and whose connections fail
// when written data stays unacknowledged for UnackedTimeout.
func Dialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{Timeout: timeout, Control: setUserTimeout}
}

// SetUserTimeout sets TCP_USER_TIMEOUT of a connection that this process accepted to UnackedTimeout.
// It has no effect on a connection that is not a plain TCP connection.
func SetUserTimeout(c net.Conn) error {
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return nil
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return fmt.Errorf("dial: %w", err)
	}
	return setUserTimeout("", "", raw)
}

// setUserTimeout sets TCP_USER_TIMEOUT of a socket to UnackedTimeout.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var sockErr error
	err := raw.Control(func(fd uintptr) {
		sockErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(UnackedTimeout.Milliseconds()))
	})
	if err != nil {
		return fmt.Errorf("dial: %w", err)
	}
	if sockErr != nil {
		return fmt.Errorf("dial: set TCP_USER_TIMEOUT: %w", sockErr)
	}
	return nil
}
