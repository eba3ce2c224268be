package link

import (
	"fmt"
	"io"
	"net"
)

const (
	// maxMessageBytes bounds one message of a peer. Package gob allows gigabytes.
	maxMessageBytes = 16 << 20
	// maxTypeBytes bounds the type definitions of a connection, all of which gob keeps.
	maxTypeBytes = 256 << 10
	// maxUintBytes is the length of the longest number of gob behind the byte that gives its length.
	maxUintBytes = 8
)

// boundedConn is a connection of calls on which no message is too long. Reading one that is fails before
// it is kept.
type boundedConn struct {
	net.Conn
	messages messages
}

// Read reads what was checked.
func (c *boundedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if tooLong := c.messages.check(p[:n]); tooLong != nil {
		return 0, tooLong
	}
	return n, err
}

// messages follows a stream of gob: messages that begin with their length and the ID of a type, which is
// negative where a type is defined.
type messages struct {
	number number
	left   uint64 // bytes of the message
	inID   bool   // the ID is read
	length uint64 // of the message
	types  uint64 // bytes of the types defined so far
}

// check follows p, and fails at the first message that is too long.
func (m *messages) check(p []byte) error {
	for len(p) > 0 {
		if m.left > 0 && !m.inID {
			n := min(m.left, uint64(len(p)))
			m.left -= n
			p = p[n:]
			continue
		}
		ended, err := m.number.push(p[0])
		p = p[1:]
		if m.inID {
			m.left--
		}
		switch {
		case err != nil:
			return err
		case !ended && m.inID && m.left == 0:
			return errMalformed
		case ended:
			if err := m.take(m.number.value); err != nil {
				return err
			}
		}
	}
	return nil
}

// take takes a length or an ID.
func (m *messages) take(value uint64) error {
	if !m.inID {
		if value > maxMessageBytes {
			return fmt.Errorf("link: message of %d bytes, at most %d", value, uint64(maxMessageBytes))
		}
		m.length, m.left, m.inID = value, value, value > 0
		return nil
	}
	m.inID = false
	if negative := value&1 != 0; !negative {
		return nil
	}
	if m.types += m.length; m.types > maxTypeBytes {
		return fmt.Errorf("link: type definitions of over %d bytes", maxTypeBytes)
	}
	return nil
}

// errMalformed means that a peer sends no messages of gob.
var errMalformed = fmt.Errorf("link: malformed message: %w", io.ErrUnexpectedEOF)

// number is an unsigned number of gob of which a part was read.
type number struct {
	value uint64
	left  int // bytes
}

// push reads the next byte, and reports whether it is the last one.
func (n *number) push(b byte) (ended bool, err error) {
	switch {
	case n.left > 0:
		n.value = n.value<<8 | uint64(b)
		n.left--
	case b < 0x80:
		n.value = uint64(b)
	default:
		n.value, n.left = 0, -int(int8(b))
		if n.left > maxUintBytes {
			return false, errMalformed
		}
	}
	return n.left == 0, nil
}
