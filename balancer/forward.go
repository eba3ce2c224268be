package balancer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/lotuswing/lotuswing/coord/verdict"
	"github.com/lotuswing/lotuswing/upstream"
)

// Errors that forward returns; awaitTurn returns only errCallerLeft.
var (
	errTruncated  = errors.New("balancer: response truncated by the endpoint")
	errLate       = errors.New("balancer: response not over by the deadline: the endpoint sent too little")
	errCallerSlow = errors.New("balancer: response not over by the deadline: the caller read too little")
	errCallerLeft = errors.New("balancer: caller left during the answer")
)

// copyBufferBytes is the size of a copy buffer, the same as in io.Copy.
const copyBufferBytes = 32 << 10

var copyBuffers = sync.Pool{New: func() any { b := make([]byte, copyBufferBytes); return &b }}

// awaitTurn waits until all earlier requests on the connection have their responses. It returns
// errCallerLeft if the connection ends first.
func (x *exchange) awaitTurn() error {
	began := time.Now()
	if err := x.place.Wait(); err != nil {
		return fmt.Errorf("%w: %w", errCallerLeft, err)
	}
	x.turnWait += time.Since(began)
	return nil
}

// beginResponse waits until all earlier requests on the connection have their responses. In a
// planned stop, the last response on a connection closes it, so that the caller reconnects to another
// balancer; over HTTP/2, net/http tells the caller with the first response and serves the streams that
// have begun.
func (b *Balancer) beginResponse(x *exchange) error {
	if err := x.awaitTurn(); err != nil {
		return err
	}
	x.reading.responseBegins()
	if b.stop.plan().Stopping() && x.place.Last() {
		x.w.Header().Set("Connection", "close")
	}
	x.limitWrites(time.Now())
	return nil
}

// limitWrites bounds the writing of the response, for a caller that does not read it. A refusal without a
// deadline is not bounded.
func (x *exchange) limitWrites(now time.Time) {
	if !x.deadline.IsZero() {
		_ = http.NewResponseController(x.w).SetWriteDeadline(writeDeadline(x.deadline, now)) // fails on a closed connection only
	}
}

// forward streams a response to the caller and closes it. The errors are errCallerLeft, errTruncated,
// errLate and errCallerSlow.
func (b *Balancer) forward(x *exchange, res *upstream.Result) error {
	defer res.Close()
	if res.Buffered {
		x.reading.finish() // the endpoint needs no more of the body
	}
	if err := b.beginResponse(x); err != nil {
		return err
	}
	response := res.Response
	h := x.w.Header()
	removeHopByHopHeaders(response.Header)
	if !b.cfg.Policy.Dialect.CallerRequestID {
		response.Header.Del(b.cfg.Policy.Dialect.RequestID)
	}
	response.Header.Del(verdict.Header)
	copyHeader(h, response.Header)
	h.Set(verdict.Header, res.Verdict.String())
	x.verdict, x.reason, x.status = res.Verdict, res.Reason, response.StatusCode
	announced := announceTrailers(h, response.Trailer)
	x.w.WriteHeader(response.StatusCode)
	streaming := response.ContentLength < 0 && !res.Buffered
	if err := copyBody(x.w, response.Body, streaming); err != nil {
		b.noteCutResponse(x, err)
		return err
	}
	writeTrailers(h, response.Trailer, announced)
	return nil
}

// announceTrailers lists the trailers that the endpoint announced in the Trailer header of h and
// returns their number.
func announceTrailers(h, trailer http.Header) int {
	if len(trailer) == 0 {
		return 0
	}
	keys := make([]string, 0, len(trailer))
	for k := range trailer {
		keys = append(keys, k)
	}
	h.Add("Trailer", strings.Join(keys, ", "))
	return len(keys)
}

// writeTrailers sets the trailers after the body. If there are more or fewer than were announced,
// it adds net/http's TrailerPrefix, which unannounced trailers need.
func writeTrailers(h, trailer http.Header, announced int) {
	for name, values := range trailer {
		if len(trailer) != announced {
			name = http.TrailerPrefix + name
		}
		for _, v := range values {
			h.Add(name, v)
		}
	}
}

// copyBody copies a body to the caller; a streaming one is flushed after each read.
func copyBody(w http.ResponseWriter, body io.Reader, streaming bool) error {
	buf := copyBuffers.Get().(*[]byte)
	defer copyBuffers.Put(buf)
	control := http.NewResponseController(w)
	var reading, writing time.Duration
	for last := time.Now(); ; {
		n, err := body.Read(*buf)
		read := time.Now()
		reading += read.Sub(last)
		if n > 0 {
			if _, werr := w.Write((*buf)[:n]); werr != nil {
				return writeError(werr)
			}
			if streaming {
				_ = control.Flush() // a writer without Flush decides itself when to send
			}
		}
		last = time.Now()
		writing += last.Sub(read)
		switch {
		case errors.Is(err, io.EOF):
			return nil
		case errors.Is(err, context.DeadlineExceeded):
			return expiryError(reading, writing)
		case err != nil:
			return fmt.Errorf("%w: %w", errTruncated, err)
		}
	}
}

// writeError returns the error of forward for a failed write to the caller.
func writeError(err error) error {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return errCallerSlow
	}
	return fmt.Errorf("%w: %w", errCallerLeft, err)
}

// abort ends a response that is not complete, so that it does not look complete.
func (x *exchange) abort() {
	if !x.r.ProtoAtLeast(1, 1) && x.w.Header().Get("Content-Length") == "" {
		x.reset()
	}
	panic(http.ErrAbortHandler)
}

// reset resets the caller's connection, whose ordinary end would be that of the response.
func (x *exchange) reset() {
	conn, _, err := http.NewResponseController(x.w).Hijack()
	if err != nil {
		return
	}
	if c, ok := conn.(interface{ SetLinger(int) error }); ok {
		_ = c.SetLinger(0) // fails on a closed connection only
	}
	_ = conn.Close()
}
