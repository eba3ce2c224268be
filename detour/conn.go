package detour

import (
	"bufio"
	"encoding/binary"
	"errors"
	"io"
	"net"
)

// frameHeaderSize is the size of the length before the bytes of a frame. The carrier sends the bytes of
// the endpoint in frames, and an empty frame at their end. Otherwise the end of a carrier would look
// like the end of a response that has no length.
const frameHeaderSize = 2

// Conn is a connection that a carrier opened.
type Conn struct {
	net.Conn
	reader    *bufio.Reader
	carrier   string
	tunnel    string
	remaining int  // bytes of the current frame that were not read yet
	ended     bool // the empty frame was read
}

// Via returns the address of the carrier and the identity of the connection in its log.
func (c *Conn) Via() (carrier, tunnel string) { return c.carrier, c.tunnel }

// Read reads what the endpoint sent. It returns io.ErrUnexpectedEOF if the connection to the carrier
// ends before that to the endpoint.
func (c *Conn) Read(p []byte) (int, error) {
	if c.remaining == 0 && !c.ended {
		header, err := c.reader.Peek(frameHeaderSize) // after a failure the header is read again
		if err != nil {
			return 0, unexpectedEnd(err)
		}
		c.remaining = int(binary.BigEndian.Uint16(header))
		c.ended = c.remaining == 0
		_, _ = c.reader.Discard(frameHeaderSize) // buffered
	}
	if c.ended {
		return 0, io.EOF
	}
	n, err := c.reader.Read(p[:min(len(p), c.remaining)])
	c.remaining -= n
	return n, unexpectedEnd(err)
}

// unexpectedEnd returns io.ErrUnexpectedEOF in place of io.EOF.
func unexpectedEnd(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// Close resets the connection, so that the carrier closes the one to the endpoint, too. After an
// ordinary end it would still wait for the endpoint's last bytes.
func (c *Conn) Close() error { return reset(c.Conn) }

// CloseWrite closes the sending direction.
func (c *Conn) CloseWrite() error { return closeWrite(c.Conn) }

// reset closes a connection with a reset if it can, so that its end does not look regular.
func reset(c net.Conn) error {
	if secured, ok := c.(interface{ NetConn() net.Conn }); ok {
		c = secured.NetConn()
	}
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // a connection that cannot be reset is closed
	}
	return c.Close()
}

// closeWrite closes the sending direction of a connection, or all of it if it cannot be closed in one
// direction.
func closeWrite(c net.Conn) error {
	if w, ok := c.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return c.Close()
}
