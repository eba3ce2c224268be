package balancer

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/lotuswing/lotuswing/coord/reason"
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
	if x.r.ProtoMajor == 1 {
		// The error is ignored: without full duplex, net/http reads the body before the response
		// is written.
		_ = http.NewResponseController(x.w).EnableFullDuplex()
	}
	x.r.Body = http.MaxBytesReader(x.w, x.r.Body, limit)
	return nil
}

// bodyGrace is how long after the request's deadline the reading of its body ends, so that an attempt
// ends by its own deadline first.
const bodyGrace = 10 * time.Millisecond

// bindBody ends the reading of the caller's body when ctx ends and, until release is called, shortly after
// the request's deadline. A read of a body that does not arrive ends by neither.
func bindBody(ctx context.Context, x *exchange) (release func()) {
	if x.r.ContentLength == 0 {
		return func() {}
	}
	control := http.NewResponseController(x.w)
	end := func() {
		if !x.body.Ended() {
			x.bodyCut.Store(true)
			_ = control.SetReadDeadline(time.Unix(1, 0)) // without a read deadline the read ends when the caller disconnects
		}
	}
	unbind := context.AfterFunc(ctx, end)
	timer := time.AfterFunc(time.Until(x.deadline)+bodyGrace, end)
	x.responseBegins = func() { timer.Stop() }
	return func() {
		timer.Stop()
		unbind()
	}
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
