package balancer

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/lotuswing/lotuswing/coord/verdict"
	"github.com/lotuswing/lotuswing/upstream"
)

// How passing on a response fails.
var (
	errCutShort   = errors.New("balancer: answer cut short by the endpoint")
	errCallerGone = errors.New("balancer: caller left during the answer")
)

// copyBuffer is the size of a buffer for copying, in bytes; that of io.Copy.
const copyBuffer = 32 << 10

var buffers = sync.Pool{New: func() any { b := make([]byte, copyBuffer); return &b }}

// takeTurn waits until the requests before this one on its connection have their
// responses.
func (x *exchange) takeTurn() error {
	began := time.Now()
	if err := x.place.Wait(); err != nil {
		return fmt.Errorf("%w: %w", errCallerGone, err)
	}
	x.behind += time.Since(began)
	return nil
}

// beginResponse waits for the turn of the request. In a planned stop the last response
// on a connection closes it, which moves the caller to another balancer.
func (b *Balancer) beginResponse(x *exchange) error {
	if err := x.takeTurn(); err != nil {
		return err
	}
	if b.stopping.Load() && x.r.ProtoMajor == 1 && x.place.Last() {
		x.w.Header().Set("Connection", "close")
	}
	return nil
}

// forward passes a response on as it arrives.
func (b *Balancer) forward(x *exchange, res *upstream.Result) error {
	defer res.Close()
	if err := b.beginResponse(x); err != nil {
		return err
	}
	response := res.Response
	h := x.w.Header()
	removeHopHeaders(response.Header)
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
		b.cfg.Log.Warn("answer not passed on whole", "id", x.id, "error", err)
		return err
	}
	writeTrailers(h, response.Trailer, announced)
	return nil
}

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

// writeTrailers sets the trailers that were announced and, under the server's
// prefix, those that were not.
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

// copyBody copies a body; a stream is flushed as it arrives.
func copyBody(w http.ResponseWriter, body io.Reader, streaming bool) error {
	buf := buffers.Get().(*[]byte)
	defer buffers.Put(buf)
	control := http.NewResponseController(w)
	for {
		n, err := body.Read(*buf)
		if n > 0 {
			if _, werr := w.Write((*buf)[:n]); werr != nil {
				return fmt.Errorf("%w: %w", errCallerGone, werr)
			}
			if streaming {
				_ = control.Flush() // a writer that cannot flush does so when it likes
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("%w: %w", errCutShort, err)
		}
	}
}
