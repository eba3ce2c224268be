package balancer

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/lotuswing/lotuswing/coord/reason"
	"github.com/lotuswing/lotuswing/upstream"
)

// limitBody limits the body to limit bytes, or to the limit of the kind if that is lower, and
// allows the response to begin before the body ends. A body whose Content-Length is above the
// limit is refused before anything is sent.
func limitBody(x *exchange, limit int64) error {
	if kindLimit := x.route.Kind.MaxBody; kindLimit > 0 {
		limit = min(limit, kindLimit)
	}
	if x.r.ContentLength > limit {
		return refusal{reason: reason.BodyTooLarge, message: fmt.Sprintf("%d bytes, at most %d", x.r.ContentLength, limit)}
	}
	allowEarlyResponse(x.w, x.r)
	// Without x.w, which the goroutine that sends the body must not use.
	x.r.Body = http.MaxBytesReader(nil, x.r.Body, limit)
	return nil
}

// allowEarlyResponse allows the response to begin before the body of its request ends.
func allowEarlyResponse(w http.ResponseWriter, r *http.Request) {
	if r.ProtoMajor == 1 {
		// The error is ignored: without full duplex, net/http reads the body before the response
		// is written.
		_ = http.NewResponseController(w).EnableFullDuplex()
	}
}

// longAgo is a read deadline that ends a read at once.
var longAgo = time.Unix(1, 0)

const (
	// bodyGrace is how long after the request's deadline the reading of its body ends, so that an attempt
	// ends by its own deadline first.
	bodyGrace = 10 * time.Millisecond
	// discardTime is how long the rest of a body that is not needed is read. It is for bytes that have
	// arrived.
	discardTime = 5 * time.Millisecond
	// maxDiscardBytes is how much of such a rest is read, as in net/http.
	maxDiscardBytes = 256 << 10
)

// bodyReading is the reading of a caller's body while its request is served. With full duplex, net/http
// requires that nothing reads the body when the handler returns, and serves what is left of a body on which
// a read has failed as the next request. The methods do nothing for a request without a body, whose
// bodyReading is nil.
type bodyReading struct {
	body     *upstream.Body
	w        http.ResponseWriter
	http1    bool
	expects  bool // the caller may wait for a 100 response before it sends the body
	deadline *time.Timer

	mu          sync.Mutex
	finished    bool // nothing reads the body any more
	interrupted bool // a read was interrupted, so that the connection cannot be read on
}

// newBodyReading returns the reading of the body of a request; nil if there is none.
func newBodyReading(w http.ResponseWriter, r *http.Request, body *upstream.Body) *bodyReading {
	if r.ContentLength == 0 {
		return nil
	}
	return &bodyReading{body: body, w: w, http1: r.ProtoMajor == 1, expects: r.Header.Get("Expect") != ""}
}

// leaveBody ends the reading of a body of which nothing was read.
func leaveBody(w http.ResponseWriter, r *http.Request) {
	allowEarlyResponse(w, r)
	newBodyReading(w, r, upstream.NewBody(r.Body, 0)).finish()
}

// bind ends the reading when ctx ends and, until the response begins, shortly after the request's
// deadline. A read of a body that does not arrive ends by neither. The returned function must be called
// before the handler returns.
func (r *bodyReading) bind(ctx context.Context, deadline time.Time) (finish func()) {
	if r == nil {
		return func() {}
	}
	unbind := context.AfterFunc(ctx, r.interrupt)
	r.deadline = time.AfterFunc(time.Until(deadline)+bodyGrace, r.interrupt)
	return func() {
		r.deadline.Stop()
		unbind()
		r.finish()
	}
}

// interrupt ends a read that is under way, and all later ones.
func (r *bodyReading) interrupt() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.finished || r.body.Ended() {
		return
	}
	r.interrupted = true
	// Without a read deadline the read ends when the caller disconnects.
	_ = http.NewResponseController(r.w).SetReadDeadline(longAgo)
}

// responseBegins is called when the header of the response is about to be written.
func (r *bodyReading) responseBegins() {
	if r == nil {
		return
	}
	r.deadline.Stop()
	if !r.isComplete() {
		r.closeConnection() // the response may end before the body
	}
}

// finish is called when no attempt needs the body any more. It reads the rest if that has arrived, so that
// the connection can be kept. Otherwise the response closes the connection.
func (r *bodyReading) finish() {
	if r == nil {
		return
	}
	r.body.Release(r.interrupt)
	if r.end() && !r.expects {
		r.discard()
	}
	if r.http1 && !r.isComplete() {
		r.closeConnection()
		_ = http.NewResponseController(r.w).SetReadDeadline(longAgo) // net/http waits for the rest otherwise
	}
}

// end records that nothing reads the body any more, and reports whether the rest can still be read.
func (r *bodyReading) end() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	intact := !r.finished && !r.interrupted
	r.finished = true
	return intact && r.http1 && !r.body.Ended()
}

// discard reads the rest of the body, as far as it arrives within discardTime.
func (r *bodyReading) discard() {
	control := http.NewResponseController(r.w)
	if control.SetReadDeadline(time.Now().Add(discardTime)) != nil {
		return
	}
	r.body.Discard(maxDiscardBytes)
	if r.body.Complete() {
		_ = control.SetReadDeadline(time.Time{}) // fails on a closed connection only
	}
}

// isComplete reports whether the connection can be read on behind the body.
func (r *bodyReading) isComplete() bool {
	if r == nil {
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.body.Complete() && !r.interrupted
}

// closeConnection has net/http close the connection behind the response, also if its header was written
// already, and wait until the caller has had time to read it. Over HTTP/2 only the stream ends.
func (r *bodyReading) closeConnection() {
	if !r.http1 {
		return
	}
	full := http.MaxBytesReader(r.w, io.NopCloser(strings.NewReader("x")), 0)
	_, _ = full.Read(make([]byte, 1)) // fails, which closes the connection
}

// readSmallBody reads a body of up to limit bytes before the request waits for an endpoint. A slow
// upload then holds no slot, and net/http detects when the caller disconnects.
func readSmallBody(ctx context.Context, x *exchange, limit int) error {
	if x.r.ContentLength <= 0 || x.r.ContentLength > int64(limit) {
		return nil
	}
	err := x.body.Prefetch()
	switch {
	case err == nil:
		x.bodyRead = true
		return nil
	case isStopCut(ctx):
		return refusal{reason: reason.Stopping, message: "the body did not arrive in time"}
	case !time.Now().Before(x.deadline):
		return refusal{reason: reason.DeadlineWaiting, message: "the body did not arrive in time"}
	}
	return refusal{reason: reason.CallerLeft, message: "the body did not arrive: " + err.Error()}
}
