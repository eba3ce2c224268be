package balancer

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/lotuswing/lotuswing/access"
	"github.com/lotuswing/lotuswing/coord/reason"
	"github.com/lotuswing/lotuswing/coord/verdict"
)

// refusal is a response that the balancer makes itself. Its zero verdict claims
// nothing.
type refusal struct {
	verdict    verdict.Verdict
	reason     reason.Code
	message    string
	retryAfter time.Duration
}

// Error returns the code and message.
func (r refusal) Error() string { return fmt.Sprintf("%s: %s", r.reason, r.message) }

// beforeSending reports whether a code is given only before anything was sent.
func beforeSending(code reason.Code) bool { return code < "LW3" }

// settled returns the refusal with the verdict and code that hold for all attempts
// together. A request of which nothing was sent did not run. Where an attempt may
// have run, no status may promise otherwise, as callers read 503.
func (r refusal) settled(mayHaveRun bool) refusal {
	switch {
	case mayHaveRun:
		r.verdict = verdict.MayHaveRun
		if beforeSending(r.reason) || comesBack(reason.MustLookup(r.reason).Status) {
			r.reason = reason.AnswerUnknown
		}
	case beforeSending(r.reason):
		r.verdict = verdict.NotRun
	}
	return r
}

// refusalBody is the JSON body of such a response.
type refusalBody struct {
	Verdict      string `json:"verdict"`
	Reason       string `json:"reason"`
	Message      string `json:"message"`
	RetryAfterMS int64  `json:"retry_after_ms"`
}

// comesBack reports whether a response of a status says when the caller may come back.
func comesBack(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
}

// refuse answers the caller at once, with when to come back. err is a refusal.
func (b *Balancer) refuse(x *exchange, err error) {
	var r refusal
	if !errors.As(err, &r) {
		panic(fmt.Sprintf("balancer: unreachable error %v", err))
	}
	r = r.settled(x.mayHaveRun)
	if err := b.beginResponse(x); err != nil {
		b.cfg.Log.Debug("nobody to answer", "id", x.id, "error", err)
	}
	doc := reason.MustLookup(r.reason)
	x.verdict, x.reason, x.status, x.message = r.verdict, r.reason, doc.Status, r.message
	h := x.w.Header()
	h.Set(verdict.Header, r.verdict.String())
	h.Set(verdict.ReasonHeader, string(r.reason))
	h.Set("Content-Type", "application/json")
	if doc.Status == http.StatusUnauthorized {
		h.Set("WWW-Authenticate", access.Challenge)
	}
	if comesBack(doc.Status) {
		r.retryAfter = max(r.retryAfter, time.Millisecond)
		h.Set("Retry-After", b.cfg.Policy.Dialect.FormatRetryAfter(r.retryAfter))
	}
	body, err := json.Marshal(refusalBody{
		Verdict:      r.verdict.String(),
		Reason:       string(r.reason),
		Message:      doc.Title + ": " + r.message,
		RetryAfterMS: r.retryAfter.Milliseconds(),
	})
	if err != nil {
		panic(fmt.Sprintf("balancer: encode refusal: %v", err))
	}
	x.w.WriteHeader(doc.Status)
	_, _ = x.w.Write(append(body, '\n')) // the caller may be gone; there is nobody else to tell
}
