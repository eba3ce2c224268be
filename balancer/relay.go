package balancer

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"

	"github.com/lotuswing/lotuswing/coord/reason"
	"github.com/lotuswing/lotuswing/coord/verdict"
	"github.com/lotuswing/lotuswing/upstream"
)

// How passing on an answer fails.
var (
	errCutShort   = errors.New("balancer: answer cut short by the endpoint")
	errCallerGone = errors.New("balancer: caller left during the answer")
)

const copyBuffer = 32 << 10

var buffers = sync.Pool{New: func() any { b := make([]byte, copyBuffer); return &b }}

// relay passes an answer on as it arrives.
func (b *Balancer) relay(x *exchange, res *upstream.Result) error {
	defer res.Close()
	answer := res.Response
	h := x.w.Header()
	removeHopHeaders(answer.Header)
	if !b.cfg.Policy.Dialect.CallerRequestID {
		answer.Header.Del(b.cfg.Policy.Dialect.RequestID)
	}
	answer.Header.Del(verdict.Header)
	copyHeader(h, answer.Header)
	h.Set(verdict.Header, res.Verdict.String())
	x.verdict, x.reason, x.status = res.Verdict, res.Reason, answer.StatusCode
	announced := announceTrailers(h, answer.Trailer)
	x.w.WriteHeader(answer.StatusCode)
	streaming := answer.ContentLength < 0 && !res.Buffered
	if err := copyAnswer(x.w, answer.Body, streaming); err != nil {
		b.cfg.Log.Warn("answer not passed on whole", "id", x.id, "error", err)
		return err
	}
	writeTrailers(h, answer.Trailer, announced)
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

// copyAnswer copies a body; a stream is flushed as it arrives.
func copyAnswer(w http.ResponseWriter, body io.Reader, streaming bool) error {
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
				_ = control.Flush()
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

// upgrade joins the caller's connection with the endpoint's, for a long
// session that lasts until either side ends it.
func (b *Balancer) upgrade(x *exchange, res *upstream.Result) error {
	back, ok := res.Response.Body.(io.ReadWriteCloser)
	if !ok {
		res.Close()
		return refusal{verdict: verdict.MayHaveRun, reason: reason.UpgradeFailed, message: "the endpoint's connection cannot be written to"}
	}
	defer res.Close()
	front, buffered, err := http.NewResponseController(x.w).Hijack()
	if err != nil {
		return refusal{verdict: verdict.MayHaveRun, reason: reason.UpgradeFailed, message: err.Error()}
	}
	b.sessions.Add(1)
	defer b.sessions.Done()
	defer func() { _ = front.Close() }()
	answer := *res.Response
	answer.Body = nil
	answer.Header.Set(verdict.Header, verdict.Ran.String())
	x.verdict, x.status = verdict.Ran, answer.StatusCode
	if err := answer.Write(buffered); err != nil {
		return nil // the caller is gone; there is nobody to answer
	}
	if err := buffered.Flush(); err != nil {
		return nil
	}
	join(front, buffered, back)
	return nil
}

// join copies in both directions. The end of one direction is passed on and
// the other goes on until its own end.
func join(front net.Conn, buffered io.Reader, back io.ReadWriteCloser) {
	var wg sync.WaitGroup
	wg.Go(func() {
		_, err := io.Copy(back, buffered)
		if err == nil {
			err = closeWrite(back)
		}
		if err != nil {
			_ = back.Close()
		}
	})
	_, err := io.Copy(front, back)
	if err == nil {
		err = closeWrite(front)
	}
	if err != nil {
		_ = front.Close()
		_ = back.Close()
	}
	wg.Wait()
}

// errNoHalfClose: the connection cannot end one direction only.
var errNoHalfClose = errors.New("balancer: connection has no half close")

func closeWrite(c any) error {
	if h, ok := c.(interface{ CloseWrite() error }); ok {
		return h.CloseWrite()
	}
	return errNoHalfClose
}
