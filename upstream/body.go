package upstream

import (
	"errors"
	"io"
	"sync"
)

// Errors of reads from the reader of an attempt.
var (
	// errAttemptClosed: the reader was closed. A later attempt may be reading the Body.
	errAttemptClosed = errors.New("upstream: body belongs to a later attempt")
	// errBodyReleased: the source belongs to the caller of Release.
	errBodyReleased = errors.New("upstream: body was released")
	// errBodyLost: another attempt has read bytes that are not kept.
	errBodyLost = errors.New("upstream: part of the body was read by another attempt")
)

// Body is a request body that several attempts can send in turn. It keeps a prefix of limited
// size in memory; once more than that has been read from the source, no further attempt is
// possible. Only Prefetch reads ahead; otherwise the source is read as an attempt sends it.
//
// http.Transport may read the body of an attempt after RoundTrip has returned. Release ends that.
type Body struct {
	source    io.Reader
	maxPrefix int

	mu        sync.Mutex
	changed   sync.Cond // broadcast when reading, released or an attempt's closed changes
	prefix    []byte
	bytesRead int   // from source
	err       error // last error of source, io.EOF at its end
	reading   bool  // a read of source is under way
	released  bool  // no attempt may read source any more
}

// NewBody returns a body that reads from source and keeps up to maxPrefix bytes in memory for a
// retry.
func NewBody(source io.Reader, maxPrefix int) *Body {
	b := &Body{source: source, maxPrefix: maxPrefix}
	b.changed.L = &b.mu
	return b
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
		_, _ = b.readSource(buf) // its error is b.err
	}
	if b.err == nil || errors.Is(b.err, io.EOF) {
		return nil
	}
	return b.err
}

// Ended reports whether nothing more will be read from the source, because it has ended or failed.
func (b *Body) Ended() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.err != nil
}

// Complete reports whether the source was read to its end without an error.
func (b *Body) Complete() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return errors.Is(b.err, io.EOF)
}

// Release ends the reading of the source by attempts. When it returns, no attempt reads the source or
// will do so; what is in memory can still be sent. If a read is under way, Release calls interrupt,
// which must make it return.
func (b *Body) Release(interrupt func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.released = true
	b.changed.Broadcast()
	if !b.reading {
		return
	}
	b.mu.Unlock()
	interrupt()
	b.mu.Lock()
	for b.reading {
		b.changed.Wait()
	}
}

// Discard reads up to limit bytes of a released body's source, without keeping them, until the source
// ends or fails.
func (b *Body) Discard(limit int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	buf := make([]byte, fillChunkBytes)
	for limit > 0 && b.err == nil {
		n, _ := b.readSource(buf) // its error is b.err
		limit -= int64(n)
	}
}

// readSource reads from the source, while nothing else does; b.mu must be held, and is not during the
// read.
func (b *Body) readSource(p []byte) (int, error) {
	b.reading = true
	b.mu.Unlock()
	n, err := b.source.Read(p)
	b.mu.Lock()
	b.reading = false
	b.record(p[:n])
	b.err = err
	b.changed.Broadcast()
	return n, err
}

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
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.reading && b.bytesRead == len(b.prefix)
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
	offset int // both under body.mu
	closed bool
}

func (a *attemptBody) Read(p []byte) (int, error) {
	b := a.body
	b.mu.Lock()
	defer b.mu.Unlock()
	for b.reading && !a.closed && a.offset >= len(b.prefix) {
		b.changed.Wait()
	}
	switch {
	case a.closed:
		return 0, errAttemptClosed
	case a.offset < len(b.prefix):
		n := copy(p, b.prefix[a.offset:])
		a.offset += n
		return n, nil
	case a.offset != b.bytesRead:
		return 0, errBodyLost
	case b.err != nil:
		return 0, b.err
	case b.released:
		return 0, errBodyReleased
	}
	n, err := b.readSource(p)
	a.offset += n
	return n, err
}

// Close ends this attempt's reads. It does not close the caller's body, which a later attempt
// may still read.
func (a *attemptBody) Close() error {
	a.body.mu.Lock()
	defer a.body.mu.Unlock()
	a.closed = true
	a.body.changed.Broadcast()
	return nil
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
