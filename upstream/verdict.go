package upstream

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/lotuswing/lotuswing/coord/reason"
	"github.com/lotuswing/lotuswing/coord/verdict"
	"github.com/lotuswing/lotuswing/internal/brief"
)

// The verdict of an attempt is decided by classify for a response, failureResult for an attempt
// without one, lateResult for a response after the deadline, and Result.buffer for a truncated
// response. Whatever is not proved is MayHaveRun.

// responseClass is what a response proves about its request.
type responseClass struct {
	verdict verdict.Verdict
	reason  reason.Code // empty where the endpoint ran the request
	err     error       // why the response must not be forwarded; nil if it may be
}

// classify determines what a response to the request with the given ID proves. It checks the
// ID first: a response to another request proves nothing about this one, whatever else it
// says.
func (d *Dialect) classify(status int, h http.Header, id string) responseClass {
	echo := h.Get(d.RequestID)
	if echo != id && (echo != "" || d.EchoRequired) {
		return unproven(reason.ResponseMismatched, "answer carries request id %q, want %q", echo, id)
	}
	if d.saysNotRun(status, h) {
		if status == http.StatusMisdirectedRequest {
			return responseClass{verdict: verdict.NotRun, reason: reason.EndpointReplaced}
		}
		return responseClass{verdict: verdict.NotRun, reason: reason.EndpointRefused}
	}
	if why := d.corruptionReason(status, h); why != "" {
		return unproven(reason.ResponseInvalid, "answer with %s", why)
	}
	if d.NotRunValue == "" && promisesNotRun(status) {
		return unproven(reason.ResponseUnknown, "status %d without the endpoint's word that it did not run the request", status)
	}
	return responseClass{verdict: verdict.Ran}
}

// unproven returns the class of a response that proves nothing and must not be forwarded. The
// format and its arguments say why.
func unproven(code reason.Code, format string, args ...any) responseClass {
	return responseClass{verdict: verdict.MayHaveRun, reason: code, err: brief.Error(fmt.Errorf("upstream: "+format, args...))}
}

// saysNotRun reports whether a response says that the endpoint did not run the request. Where
// the dialect defines a value for that, it counts only with status 429 or 5xx: in other
// responses the same header says that the request ran. Status 421 says so by itself where requests
// name the instance that they are meant for.
func (d *Dialect) saysNotRun(status int, h http.Header) bool {
	if d.Instance != "" && status == http.StatusMisdirectedRequest {
		return true
	}
	if status < http.StatusInternalServerError && status != http.StatusTooManyRequests && d.NotRunValue != "" {
		return false
	}
	value := h.Get(d.NotRun)
	return value != "" && (d.NotRunValue == "" || value == d.NotRunValue)
}

// corruptionReason returns why a response cannot be the endpoint's own, or "" if it can.
func (d *Dialect) corruptionReason(status int, h http.Header) string {
	success := status >= http.StatusOK && status < http.StatusMultipleChoices
	switch {
	case d.Signature != "" && success && h.Get(d.Signature) == "":
		return "success without a signature"
	case d.PlainOnly && h.Get("Content-Encoding") != "":
		return "content encoding that nobody asked for"
	}
	return ""
}

// promisesNotRun reports whether callers take a status as a guarantee that the request did not
// run. In a dialect without a NotRunValue, such a status must not reach them unless the
// endpoint says so itself (see saysNotRun).
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// responseResult returns the result of an attempt that got a response to the request with the
// given ID. fault is what is wrong with its head, see headFault: nothing else in such a response counts. release
// ends the attempt's context.
func (c *Client) responseResult(response *http.Response, id, fault string, release func()) Result {
	res := Result{Response: response, cancel: release}
	var class responseClass
	if fault != "" {
		class = unproven(reason.ResponseInvalid, "answer with %s", fault)
	} else {
		class = c.dialect.classify(response.StatusCode, response.Header, id)
	}
	if class.err != nil {
		res.Close() // also closes the connection, which can no longer be trusted
		return Result{Verdict: class.verdict, Reason: class.reason, Err: class.err}
	}
	res.Verdict, res.Reason = class.verdict, class.reason
	return res
}

// readReport returns what a response says about the endpoint that the request was sent to. The
// report is empty if another incarnation at the address responded, if the response is to
// another request, or if an intermediary may have produced or changed it.
func (c *Client) readReport(res *Result, response *http.Response, sent, heard time.Time) Report {
	switch res.Reason {
	case reason.ResponseMismatched, reason.ResponseInvalid, reason.EndpointReplaced:
		return Report{}
	}
	report := c.reader.Read(response.StatusCode, response.Header, sent, heard)
	report.Ran = res.Verdict == verdict.Ran && !promisesNotRun(response.StatusCode)
	return report
}

// failureResult returns what an attempt without a response proves. cause is why its context
// ended, nil if it did not; err is the transport's error. It does not seal an HTTP/2
// connection, because other requests share it.
func (t *connTracker) failureResult(cause error, http2 bool, err error) Result {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case !t.gotConnection && errors.Is(cause, ErrPathLost):
		return Result{Verdict: verdict.NotRun, Reason: reason.DialFailed, Err: ErrPathLost}
	case !t.gotConnection:
		return Result{Verdict: verdict.NotRun, Reason: noConnectionReason(cause), Err: err}
	case t.draining: // sealed before anything could be written
		_ = t.conn.Close()
		return Result{Verdict: verdict.NotRun, Reason: reason.NothingWritten, draining: true, Err: err}
	case t.broken: // sealed before anything could be written
		_ = t.conn.Close()
		return Result{Verdict: verdict.NotRun, Reason: reason.NothingWritten, Reset: true, Err: err}
	case t.withdrawn: // sealed before anything could be written
		_ = t.conn.Close()
		return Result{Verdict: verdict.NotRun, Reason: reason.Withdrawn, Withdrawn: true, Err: err}
	case t.idleTooLong: // sealed before anything could be written
		_ = t.conn.Close()
		return Result{Verdict: verdict.NotRun, Reason: reason.NothingWritten, IdleTooLong: true, Err: err}
	case t.conn != nil && !http2 && t.conn.sealIfNoWriteSince(t.writesBefore):
		_ = t.conn.Close() // sealed: nothing was written, and nothing can be any more
		return Result{Verdict: verdict.NotRun, Reason: reason.NothingWritten, Err: err}
	case errors.Is(cause, context.DeadlineExceeded):
		return Result{Verdict: verdict.MayHaveRun, Reason: reason.ResponseTimeout, Err: err}
	}
	if errors.Is(cause, ErrPathLost) {
		err = ErrPathLost
	}
	return Result{Verdict: verdict.MayHaveRun, Reason: reason.ResponseUnknown, ConnectionBroken: cause == nil, Reset: cause == nil && isReset(t.conn, err), Err: err}
}

// noConnectionReason returns the reason for an attempt that got no connection. cause is why its
// context ended, nil if it did not.
func noConnectionReason(cause error) reason.Code {
	switch {
	case cause == nil:
		return reason.DialFailed
	case errors.Is(cause, context.DeadlineExceeded):
		return reason.DeadlineWaiting
	}
	return reason.CallerLeft
}

// lateResult returns the result of an attempt whose response was not complete before
// the deadline. v is the verdict that the response would have had otherwise.
func lateResult(v verdict.Verdict) Result {
	if v == verdict.NotRun {
		return Result{Verdict: verdict.NotRun, Reason: reason.DeadlineWaiting, Err: context.DeadlineExceeded}
	}
	return Result{Verdict: verdict.MayHaveRun, Reason: reason.ResponseTimeout, Err: context.DeadlineExceeded}
}
