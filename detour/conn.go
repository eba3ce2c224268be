package detour

import (
	"bufio"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"sync"
)

// Conn is a connection that a carrier opened.
type Conn struct {
	net.Conn
	reader    *bufio.Reader
	carrier   string
	tunnel    string
	onMark    func() // called when the carrier says that the connection is draining; nil for nothing
	remaining int    // bytes of the current frame that were not read yet
	ended     bool   // endMark was read

	mu         sync.Mutex
	draining   bool
	onDraining func() // nil for nothing
}

// OnDraining implements upstream.Drainer.
func (c *Conn) OnDraining(f func()) {
	c.mu.Lock()
	c.onDraining = f
	draining := c.draining
	c.mu.Unlock()
	if draining {
		f()
	}
}

// markDraining records that the carrier is in a planned stop.
func (c *Conn) markDraining() {
	c.mu.Lock()
	first, f := !c.draining, c.onDraining
	c.draining = true
	c.mu.Unlock()
	if !first {
		return
	}
	for _, call := range []func(){c.onMark, f} {
		if call != nil {
			call()
		}
	}
}

// Via returns the address of the carrier and the identity of the connection in its log.
func (c *Conn) Via() (carrier, tunnel string) { return c.carrier, c.tunnel }

// Read reads what the endpoint sent. It returns io.ErrUnexpectedEOF if the connection to the carrier
// ends before that to the endpoint.
func (c *Conn) Read(p []byte) (int, error) {
	for c.remaining == 0 && !c.ended {
		if err := c.readHeader(); err != nil {
			return 0, unexpectedEnd(err)
		}
	}
	if c.ended {
		return 0, io.EOF
	}
	n, err := c.reader.Read(p[:min(len(p), c.remaining)])
	c.remaining -= n
	return n, unexpectedEnd(err)
}

// readHeader reads the length of the next frame, or a mark.
func (c *Conn) readHeader() error {
	header, err := c.reader.Peek(frameHeaderSize) // after a failure the header is read again
	if err != nil {
		return err
	}
	length := int(binary.BigEndian.Uint16(header))
	_, _ = c.reader.Discard(frameHeaderSize) // buffered
	switch length {
	case endMark:
		c.ended = true
	case drainingMark:
		c.markDraining()
	default:
		c.remaining = length
	}
	return nil
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
