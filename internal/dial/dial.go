// Package dial opens TCP connections that notice when nothing comes from their other end
// any more, not even an acknowledgement.
//
// An open connection may go silent for good while new ones work. A request written to it
// would wait for its whole time; with a bound on unacknowledged data the connection fails
// after Silence, and a request that may be repeated goes elsewhere. A peer that is paused,
// or slow to respond, is not silent: its system acknowledges what arrives.
//
// The package owns nothing. It relies on the TCP_USER_TIMEOUT of Linux.
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

// Silence is how long written data may stay unacknowledged before the connection counts as gone:
// several retransmissions on a lossy link of some milliseconds.
const Silence = 1500 * time.Millisecond

// Dialer returns a dialer whose dials take timeout at most and whose connections fail
// when they are silent.
func Dialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{Timeout: timeout, Control: boundSilence}
}

// boundSilence sets the bound on a socket.
func boundSilence(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(Silence.Milliseconds()))
	})
	if err != nil {
		return fmt.Errorf("dial: %w", err)
	}
	if failed != nil {
		return fmt.Errorf("dial: bound of silence: %w", failed)
	}
	return nil
}
