package detour

import (
	"encoding/binary"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// tunnel is one connection that is carried.
type tunnel struct {
	server      *Server
	id          string       // in the logs of both balancers
	understands bool         // the balancer that asked understands drainingMark
	caller      net.Conn     // to the balancer that asked
	endpoint    net.Conn     // its end is never a reset that a write has taken notice of, see dial.Ends
	sending     sync.Mutex   // for writes to caller
	lastByte    atomic.Int64 // when bytes last passed, in Unix nanoseconds
	answered    atomic.Bool  // the last bytes came from the endpoint
	told        atomic.Bool  // drainingMark was sent
	closed      atomic.Bool
}

// close closes both ends, and reports whether they were open.
func (t *tunnel) close() bool {
	if t.closed.Swap(true) {
		return false
	}
	_ = reset(t.caller)
	_ = reset(t.endpoint)
	return true
}

// run copies bytes in both directions until both have ended or one has failed. r reads from the
// balancer that asked.
func (t *tunnel) run(r io.Reader) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		t.copyRequests(r)
	}()
	t.copyResponses()
	<-done
}

// copyRequests copies bytes to the endpoint. At their end it closes the sending direction; after a
// failure it closes both connections.
func (t *tunnel) copyRequests(r io.Reader) {
	buffer := t.server.buffers.Get().(*[]byte)
	defer t.server.buffers.Put(buffer)
	for {
		n, err := t.read(t.caller, r, *buffer, false)
		if _, werr := t.endpoint.Write((*buffer)[:n]); werr != nil {
			t.close()
			return
		}
		if err == nil {
			continue
		}
		if !errors.Is(err, io.EOF) || closeWrite(t.endpoint) != nil {
			t.close()
		}
		return
	}
}

// copyResponses copies bytes from the endpoint in frames. At their end it sends endMark and
// closes the sending direction; after a failure it closes both connections.
func (t *tunnel) copyResponses() {
	buffer := t.server.buffers.Get().(*[]byte)
	defer t.server.buffers.Put(buffer)
	for {
		n, err := t.read(t.endpoint, t.endpoint, (*buffer)[frameHeaderSize:], true)
		ended := errors.Is(err, io.EOF)
		if n > 0 && t.writeFrame(*buffer, n, n) != nil || err != nil && !ended {
			t.close()
			return
		}
		if !ended {
			continue
		}
		if t.writeFrame(*buffer, endMark, 0) != nil || closeWrite(t.caller) != nil {
			t.close()
		}
		return
	}
}

// writeFrame sends a length or mark and n bytes, which follow the space for the header in buffer.
func (t *tunnel) writeFrame(buffer []byte, header, n int) error {
	binary.BigEndian.PutUint16(buffer, uint16(header))
	t.sending.Lock()
	defer t.sending.Unlock()
	_, err := t.caller.Write(buffer[:frameHeaderSize+n])
	return err
}

// read reads the next bytes, src reading from conn, unless nothing passes in either direction for
// idleTimeout.
func (t *tunnel) read(conn net.Conn, src io.Reader, buffer []byte, fromEndpoint bool) (int, error) {
	for {
		_ = conn.SetReadDeadline(time.Now().Add(idleTimeout))
		n, err := src.Read(buffer)
		if n > 0 {
			t.lastByte.Store(time.Now().UnixNano())
			t.answered.Store(fromEndpoint)
			t.server.bytes.Inc(int64(n))
		}
		if errors.Is(err, os.ErrDeadlineExceeded) && time.Since(time.Unix(0, t.lastByte.Load())) < idleTimeout {
			continue // the other direction is in use
		}
		return n, err
	}
}
