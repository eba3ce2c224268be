package balancer

import (
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

// readSmallBody reads a body of up to limit bytes before the request waits for an endpoint. A slow
// upload then holds no slot, and net/http detects when the caller disconnects.
func readSmallBody(x *exchange, limit int) error {
	if x.r.ContentLength <= 0 || x.r.ContentLength > int64(limit) {
		return nil
	}
	// Some connections support no read deadline; the read then ends when the caller disconnects.
	control := http.NewResponseController(x.w)
	_ = control.SetReadDeadline(x.deadline)
	err := x.body.Prefetch()
	_ = control.SetReadDeadline(time.Time{})
	switch {
	case err == nil:
		x.bodyRead = true
		return nil
	case !time.Now().Before(x.deadline):
		return refusal{reason: reason.DeadlineWaiting, message: "the body did not arrive in time"}
	}
	return refusal{reason: reason.CallerLeft, message: "the body did not arrive: " + err.Error()}
}
