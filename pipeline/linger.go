package pipeline

import (
	"errors"
	"net"
	"os"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// lingering is a connection of a caller whose sending direction has been closed. What the caller still
// sends is read and dropped: closing with bytes unread would reset the connection, and the kernel would
// drop what it has not delivered.
type lingering struct {
	net.Conn
	limit time.Duration // without any progress; 0 for none

	untaken    int
	heardAt    time.Time // when the caller sent something last
	progressAt time.Time // when it sent or took something last
}

// linger returns a connection that begins to linger.
func linger(c net.Conn, limit time.Duration, now time.Time) *lingering {
	return &lingering{Conn: c, limit: limit, untaken: untaken(c), heardAt: now, progressAt: now}
}

// wait returns when the connection may be closed.
func (l *lingering) wait() {
	buffer := buffers.Get().(*[]byte)
	defer buffers.Put(buffer)
	for now := time.Now(); l.lingersOn(now); now = time.Now() {
		if l.SetReadDeadline(now.Add(lingerTime)) != nil {
			return
		}
		switch n, err := l.Read(*buffer); {
		case n > 0:
			l.heardAt = time.Now()
		case err != nil && !errors.Is(err, os.ErrDeadlineExceeded):
			return
		}
	}
}

// lingersOn notes what the caller has taken, and reports whether the connection is left open.
func (l *lingering) lingersOn(now time.Time) bool {
	if left := untaken(l.Conn); left != l.untaken {
		l.untaken, l.progressAt = left, now
	}
	if l.progressAt.Before(l.heardAt) {
		l.progressAt = l.heardAt
	}
	return lingersOn(l.untaken, now.Sub(l.heardAt), now.Sub(l.progressAt), l.limit)
}

// untaken returns how many bytes that were written to a connection the other side's kernel has not
// confirmed, the end of the direction counted as one, or unknown.
func untaken(c net.Conn) int {
	s, ok := c.(syscall.Conn)
	if !ok {
		return unknown
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return unknown
	}
	left := unknown
	if raw.Control(func(fd uintptr) {
		if n, err := unix.IoctlGetInt(int(fd), unix.SIOCOUTQ); err == nil {
			left = n
		}
	}) != nil {
		return unknown
	}
	return left
}
