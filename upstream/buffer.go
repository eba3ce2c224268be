package upstream

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"

	"github.com/lotuswing/lotuswing/coord/reason"
	"github.com/lotuswing/lotuswing/coord/verdict"
)

// buffer reads the body of a response into memory if it has at most limit bytes, so that a
// truncated response is detected before the caller gets any of it. A longer body is streamed,
// and so is the connection of a response with status 101.
// A truncated response becomes a MayHaveRun result without a response, unless its header
// says that the request did not run.
func (r *Result) buffer(limit int) {
	if r.Response.ContentLength > int64(limit) || r.Response.StatusCode == http.StatusSwitchingProtocols {
		return
	}
	body := r.Response.Body
	kept, err := io.ReadAll(io.LimitReader(body, int64(limit)+1))
	switch {
	case err != nil && r.Verdict == verdict.NotRun:
		r.Response.Body = http.NoBody // the header alone says that the request did not run
	case err != nil:
		r.Close()
		*r = Result{Verdict: verdict.MayHaveRun, Reason: reason.ResponseTruncated, ConnectionBroken: true, Err: err}
	case len(kept) > limit:
		r.Response.Body = &partlyReadBody{Reader: io.MultiReader(bytes.NewReader(kept), body), Closer: body}
	default:
		_ = body.Close() // the error is of no use: the body was read to its end
		r.Response.Body = io.NopCloser(bytes.NewReader(kept))
		r.Buffered = true
	}
}

// timedBody is the body of response. Its reads fail with context.DeadlineExceeded once the deadline of the
// request has passed, which ends ctx, and at the end of the body if the trailer is invalid.
type timedBody struct {
	io.ReadCloser
	ctx      context.Context
	response *http.Response
}

// Read reads, and says of a failure whether the deadline is the cause: net/http does not for HTTP/2.
func (b timedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	switch {
	case errors.Is(err, io.EOF):
		if why := fieldFault(b.response.Trailer); why != "" {
			err = fmt.Errorf("upstream: trailer with %s", why)
		}
	case err != nil && hasExpired(b.ctx):
		err = context.DeadlineExceeded
	}
	return n, err
}

// hasExpired reports whether the context of an attempt ended by the deadline of the request.
func hasExpired(ctx context.Context) bool {
	return errors.Is(context.Cause(ctx), context.DeadlineExceeded)
}

// partlyReadBody is a response body whose first bytes were read already: Reader returns them
// again, and then the rest.
type partlyReadBody struct {
	io.Reader
	io.Closer
}
