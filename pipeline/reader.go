package pipeline

import (
	"errors"
	"io"
	"sync"
)

// reader splits what a caller sends into requests and decides who reads each of them:
// net/http, or a connection of its own.
type reader struct {
	unread  []byte  // read from the caller and not handed on; a part of *buffer
	buffer  *[]byte // of the pool; nil while nothing is unread
	rest    int64   // of the request that net/http is reading, in bytes, or forever
	chunks  chunks  // of that request, behind rest
	inHead  bool    // net/http is reading a request whose header has not come whole
	head    []byte  // of it, as far as it was handed on
	ended   bool    // nothing more comes behind what is unread
	sniffed bool    // it is known not to be HTTP/2
	begun   bool    // a request has been read
}

const (
	// forever is the rest of a connection that net/http reads to its end.
	forever = -1
	// directBytes is the size of a read from which on it takes what comes without a
	// copy.
	directBytes = 512
)

// buffers are for what is read ahead.
var buffers = sync.Pool{New: func() any { b := make([]byte, maxHead); return &b }}

// read reads for net/http, or returns errAgain after something has changed.
func (r *reader) read(c *conn, p []byte) (int, error) {
	switch {
	case r.inBody() && r.rest != forever && !c.isBusy():
		return 0, c.leftInBody()
	case r.inBody():
		return r.readRest(c, p)
	case r.inHead:
		return r.readHead(c, p)
	case len(r.unread) == 0 && c.isFree() && c.isSealed():
		return 0, io.EOF // all that was read is answered
	case !r.sniffed:
		return 0, r.sniff(c)
	case len(r.unread) == 0 && c.isFree() && len(p) >= directBytes:
		return r.readDirect(c, p[:min(len(p), maxHead)])
	case len(r.unread) == 0:
		return 0, r.fill(c, readingNext)
	case c.isFree():
		return 0, r.begin(c)
	}
	return 0, r.readAhead(c)
}

// readRest reads bytes of a request whose end is known.
func (r *reader) readRest(c *conn, p []byte) (int, error) {
	if r.rest == forever {
		return r.take(c, p)
	}
	n, err := r.take(c, p[:min(int64(len(p)), r.rest+r.chunks.need())])
	if _, ok := r.own(p[:n]); !ok {
		r.unsplit(c)
	}
	return n, err
}

// inBody reports whether more is to come of the request that net/http is reading, whose header is whole.
func (r *reader) inBody() bool { return r.rest != 0 || r.chunks.state != chunksEnd }

// own returns how many bytes at the start of p belong to the request that net/http is reading, and takes
// them as read. It returns false where that is not known.
func (r *reader) own(p []byte) (n int, ok bool) {
	n = int(min(r.rest, int64(len(p))))
	if r.rest -= int64(n); r.rest > 0 {
		return n, true
	}
	more, ok := r.chunks.scan(p[n:])
	return n + more, ok
}

// unsplit leaves the rest of the connection to net/http.
func (r *reader) unsplit(c *conn) {
	r.rest, r.chunks = forever, chunks{}
	c.unsplit()
}

// take reads what is unread, else from the caller.
func (r *reader) take(c *conn, p []byte) (int, error) {
	if len(r.unread) == 0 {
		return c.receive(p, readingBody)
	}
	n := copy(p, r.unread)
	r.drop(n)
	return n, nil
}

// readHead reads bytes of a request until its header is whole.
func (r *reader) readHead(c *conn, p []byte) (int, error) {
	if len(r.unread) == 0 {
		if err := r.fill(c, readingBody); len(r.unread) == 0 {
			return 0, err
		}
	}
	whole := append(r.head, r.unread...)
	f := frameOf(whole)
	switch {
	case f.form == opaque:
		r.inHead, r.head = false, nil
		r.unsplit(c)
	case f.form == partial:
		n := copy(p, r.unread)
		r.head = append(r.head, r.unread[:n]...)
		r.drop(n)
		return n, nil
	default:
		r.rest, r.chunks = f.length-int64(len(r.head)), f.body()
		r.inHead, r.head = false, nil
	}
	return 0, errAgain
}

// readDirect reads the start of a request from the caller into net/http's buffer.
func (r *reader) readDirect(c *conn, p []byte) (int, error) {
	n, err := c.receive(p, readingNext)
	if n == 0 {
		return 0, err
	}
	r.begun = true
	c.begin(false)
	f := frameOf(p[:n])
	switch f.form {
	case opaque:
		r.unsplit(c)
		return n, nil
	case partial:
		r.inHead, r.head = true, append([]byte(nil), p[:n]...)
		return n, nil
	}
	r.rest, r.chunks = f.length, f.body()
	own, ok := r.own(p[:n])
	if !ok {
		r.unsplit(c)
		return n, nil
	}
	if own < n {
		r.keep(p[own:n])
	}
	return own, nil
}

// begin gives net/http the request that is unread.
func (r *reader) begin(c *conn) error {
	c.begin(r.begun)
	r.begun = true
	f := frameOf(r.unread)
	switch {
	case f.form == opaque:
		r.unsplit(c)
	case f.form == partial:
		r.inHead = true
	default:
		r.rest, r.chunks = f.length, f.body()
	}
	return errAgain
}

// readAhead lets the request that is unread be served ahead, or waits until it has its
// turn.
func (r *reader) readAhead(c *conn) error {
	f := frameOf(r.unread)
	switch {
	case f.form == partial && !r.ended:
		return r.fill(c, readingNext)
	case f.form == simple && c.serveAhead(r.unread[:f.length]):
		r.drop(int(f.length))
		return errAgain
	}
	return r.await(c)
}

// await waits until the connection changes: it returns errAgain.
func (r *reader) await(c *conn) error {
	if err := c.hold(); err != nil {
		return err
	}
	return errAgain
}

// fill reads more from the caller, to be looked at: it returns errAgain. On a sealed connection it waits
// until something changes instead.
func (r *reader) fill(c *conn, from reading) error {
	if from == readingNext && c.isHalted() {
		return r.await(c)
	}
	if r.buffer == nil {
		r.buffer = buffers.Get().(*[]byte)
	}
	kept := copy(*r.buffer, r.unread)
	r.unread = (*r.buffer)[:kept]
	n, err := c.receive((*r.buffer)[kept:], from)
	r.unread = (*r.buffer)[:kept+n]
	if errors.Is(err, io.EOF) && kept > 0 {
		r.ended = true // net/http is to see what is unread, when it is its turn
		if !c.isBusy() {
			return errAgain
		}
	}
	r.drop(0)
	if err != nil {
		return err
	}
	return errAgain
}

// keep keeps bytes that were read and belong to what comes next.
func (r *reader) keep(p []byte) {
	r.buffer = buffers.Get().(*[]byte)
	r.unread = (*r.buffer)[:copy(*r.buffer, p)]
}

// drop drops bytes that were handed on, and the buffer with the last one.
func (r *reader) drop(n int) {
	r.unread = r.unread[n:]
	if len(r.unread) == 0 && r.buffer != nil {
		buffers.Put(r.buffer)
		r.unread, r.buffer = nil, nil
	}
}
