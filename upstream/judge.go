package upstream

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/lotuswing/lotuswing/coord/reason"
	"github.com/lotuswing/lotuswing/coord/verdict"
)

// What an attempt proves is decided in this file alone: judge for a response,
// failure for none, late for one after the deadline. Everything that is not proved
// is MayHaveRun.

// judgement is what a response proves.
type judgement struct {
	verdict verdict.Verdict
	reason  reason.Code // empty where the endpoint ran the request
	err     error       // where the response must not be passed on: why
}

// judge decides what a response to the request with the given identity proves.
// The identity comes first: a response of another request proves nothing about
// this one, whatever else it says.
func (d *Dialect) judge(status int, h http.Header, id string) judgement {
	echo := h.Get(d.RequestID)
	if echo != id && (echo != "" || d.EchoRequired) {
		return unproven(reason.AnswerForeign, "answer carries request id %q, want %q", echo, id)
	}
	if d.refused(status, h) {
		if status == http.StatusMisdirectedRequest {
			return judgement{verdict: verdict.NotRun, reason: reason.EndpointReplaced}
		}
		return judgement{verdict: verdict.NotRun, reason: reason.EndpointRefused}
	}
	if why := d.corrupted(status, h); why != "" {
		return unproven(reason.AnswerSpoiled, "answer with %s", why)
	}
	if d.NotRunValue == "" && promisesNotRun(status) {
		return unproven(reason.AnswerUnknown, "status %d without the endpoint's word that it did not run the request", status)
	}
	return judgement{verdict: verdict.Ran}
}

func unproven(code reason.Code, format string, args ...any) judgement {
	return judgement{verdict: verdict.MayHaveRun, reason: code, err: fmt.Errorf("upstream: "+format, args...)}
}

// refused reports whether a response says that the endpoint did not run the
// request. Where the dialect has a value of its own for that, only an error status
// may carry it, because the same header says of other responses that they ran.
func (d *Dialect) refused(status int, h http.Header) bool {
	if d.Instance != "" && status == http.StatusMisdirectedRequest {
		return true
	}
	if status < http.StatusInternalServerError && status != http.StatusTooManyRequests && d.NotRunValue != "" {
		return false
	}
	word := h.Get(d.NotRun)
	return word != "" && (d.NotRunValue == "" || word == d.NotRunValue)
}

// corrupted says why a response cannot be the endpoint's own, or is empty.
func (d *Dialect) corrupted(status int, h http.Header) string {
	success := status >= http.StatusOK && status < http.StatusMultipleChoices
	switch {
	case d.Signature != "" && success && h.Get(d.Signature) == "":
		return "success without a signature"
	case d.PlainOnly && h.Get("Content-Encoding") != "":
		return "content encoding that nobody asked for"
	}
	return ""
}

// promisesNotRun reports whether callers read a status as a promise that the
// request has not run. Such a status must not reach them unless the endpoint
// itself gave its word.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// received returns the result of an attempt that got a response.
func (c *Client) received(response *http.Response, id string, end func()) Result {
	res := Result{Response: response, cancel: end}
	j := c.dialect.judge(response.StatusCode, response.Header, id)
	if j.err != nil {
		res.Close() // its connection cannot be trusted any more
		return Result{Verdict: j.verdict, Reason: j.reason, Err: j.err}
	}
	res.Verdict, res.Reason = j.verdict, j.reason
	return res
}

// reportOf returns what a response says of the endpoint that the request was sent to. Another
// incarnation at the address speaks for itself alone, and a response of another request, or one
// that may have been made up on the way, for nobody.
func (c *Client) reportOf(res *Result, response *http.Response, sent, heard time.Time) Report {
	switch res.Reason {
	case reason.AnswerForeign, reason.AnswerSpoiled, reason.EndpointReplaced:
		return Report{}
	}
	report := c.reader.Read(response.StatusCode, response.Header, sent, heard)
	report.Ran = res.Verdict == verdict.Ran && !promisesNotRun(response.StatusCode)
	return report
}

// failure decides what an attempt without a response proves. cause is why its
// context ended, nil if it did not.
func (x *exchange) failure(cause error, http2 bool, err error) Result {
	x.mu.Lock()
	defer x.mu.Unlock()
	switch {
	case !x.got:
		return Result{Verdict: verdict.NotRun, Reason: dialReason(cause), Err: err}
	case x.withdrawn: // sealed before anything could be written
		_ = x.conn.Close()
		return Result{Verdict: verdict.NotRun, Reason: reason.Withdrawn, Withdrawn: true, Err: err}
	case x.rested: // sealed before anything could be written
		_ = x.conn.Close()
		return Result{Verdict: verdict.NotRun, Reason: reason.NothingWritten, Rested: true, Err: err}
	case x.conn != nil && !http2 && x.conn.seal(x.begun):
		_ = x.conn.Close() // sealed: nothing can be written on it any more
		return Result{Verdict: verdict.NotRun, Reason: reason.NothingWritten, Err: err}
	case errors.Is(cause, context.DeadlineExceeded):
		return Result{Verdict: verdict.MayHaveRun, Reason: reason.AnswerLate, Err: err}
	}
	return Result{Verdict: verdict.MayHaveRun, Reason: reason.AnswerUnknown, Broken: cause == nil, Err: err}
}

// dialReason says why an attempt got no connection.
func dialReason(cause error) reason.Code {
	switch {
	case cause == nil:
		return reason.DialFailed
	case errors.Is(cause, context.DeadlineExceeded):
		return reason.DeadlineWaiting
	}
	return reason.CallerLeft
}

// late is the result of an attempt whose response came after the deadline.
func late(v verdict.Verdict) Result {
	if v == verdict.NotRun {
		return Result{Verdict: verdict.NotRun, Reason: reason.DeadlineWaiting, Err: context.DeadlineExceeded}
	}
	return Result{Verdict: verdict.MayHaveRun, Reason: reason.AnswerLate, Err: context.DeadlineExceeded}
}
