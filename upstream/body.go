package upstream

import (
	"errors"
	"io"
	"sync"
	"sync/atomic"
)

// errAttemptClosed is returned by a read from the reader of an attempt after its Close. By then
// a later attempt may be reading the Body.
var errAttemptClosed = errors.New("upstream: body belongs to a later attempt")

// Body is a request body that several attempts can send in turn. It keeps a prefix of limited
// size in memory; once more than that has been read from the source, no further attempt is
// possible. Only Prefetch reads ahead; otherwise the source is read as an attempt sends it.
type Body struct {
	mu        sync.Mutex
	source    io.Reader
	maxPrefix int
	prefix    []byte
	bytesRead int         // from source
	err       error       // last error of source, io.EOF at its end
	ended     atomic.Bool // err is set
}

// NewBody returns a body that reads from source and keeps up to maxPrefix bytes in memory for a
// retry.
func NewBody(source io.Reader, maxPrefix int) *Body {
	return &Body{source: source, maxPrefix: maxPrefix}
}

// Prefetch reads the source to its end and returns the read error, if any. It is meant for bodies of
// up to maxPrefix bytes (see NewBody). It stops early in a longer body, which must not be sent
// afterwards. Once the body has been read, the HTTP server can detect that the caller disconnects
// while its request waits, and a slow upload does not occupy a slot of an endpoint.
func (b *Body) Prefetch() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	buf := make([]byte, fillChunkBytes)
	for b.err == nil && b.bytesRead <= b.maxPrefix {
		var n int
		n, b.err = b.source.Read(buf)
		b.record(buf[:n])
	}
	b.ended.Store(b.err != nil)
	if b.err == nil || errors.Is(b.err, io.EOF) {
		return nil
	}
	return b.err
}

// Ended reports whether nothing more will be read from the source, because it has ended or failed.
func (b *Body) Ended() bool { return b.ended.Load() }

// fillChunkBytes is the size of the buffer into which Prefetch reads.
const fillChunkBytes = 4 << 10

// Bytes returns the whole body and true if it was read to its end and is still in memory, and
// otherwise nil and false.
func (b *Body) Bytes() ([]byte, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.bytesRead != len(b.prefix) || !errors.Is(b.err, io.EOF) {
		return nil, false
	}
	return b.prefix, true
}

// Replayable reports whether the body can be sent from its start: all that was read of it is
// still in memory, and no attempt is reading it now.
func (b *Body) Replayable() bool {
	if !b.mu.TryLock() {
		return false // an earlier attempt is still reading
	}
	defer b.mu.Unlock()
	return b.bytesRead == len(b.prefix)
}

// Attempt returns a reader of the whole body for one attempt. A request with this reader has
// no GetBody, and its body is not http.NoBody. http.Transport therefore cannot rewind the body,
// and never resends the request on its own, whatever the method and headers.
func (b *Body) Attempt() io.ReadCloser {
	return &attemptBody{body: b}
}

// attemptBody reads a Body from its start for one attempt.
type attemptBody struct {
	body   *Body
	mu     sync.Mutex
	offset int
	closed bool
}

func (a *attemptBody) Read(p []byte) (int, error) {
	if a.isClosed() {
		return 0, errAttemptClosed
	}
	b := a.body
	b.mu.Lock()
	defer b.mu.Unlock()
	if a.offset < len(b.prefix) {
		n := copy(p, b.prefix[a.offset:])
		a.offset += n
		return n, nil
	}
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.source.Read(p)
	b.record(p[:n])
	b.err = err
	b.ended.Store(err != nil)
	a.offset += n
	return n, err
}

// Close ends this attempt's reads. It does not close the caller's body, which a later attempt
// may still read.
func (a *attemptBody) Close() error {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.closed = true
	return nil
}

func (a *attemptBody) isClosed() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.closed
}

// record counts p as read from the source, and appends it to the prefix unless more than
// maxPrefix bytes have been read by then. The caller holds b.mu.
func (b *Body) record(p []byte) {
	whole := b.bytesRead == len(b.prefix)
	b.bytesRead += len(p)
	if whole && b.bytesRead <= b.maxPrefix {
		b.prefix = append(b.prefix, p...)
	}
}
