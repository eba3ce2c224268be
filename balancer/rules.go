package balancer

import (
	"errors"
	"net/http"
	"time"

	"github.com/lotuswing/lotuswing/coord/placement"
	"github.com/lotuswing/lotuswing/coord/reason"
	"github.com/lotuswing/lotuswing/coord/retry"
	"github.com/lotuswing/lotuswing/coord/verdict"
	"github.com/lotuswing/lotuswing/upstream"
)

// The rules of the request path that no other package decides. They are functions
// of their arguments alone; serve.go calls them. docs/DECISIONS.md lists them with
// those of other packages.

// delivers reports whether an attempt's response is the one that the caller gets.
// Another endpoint is tried instead for a request that is repeatable and was
// rejected: a rejection proves nothing about what ran, but another endpoint may do
// better.
func delivers(res *upstream.Result, repeatable, retryServerErrors bool) bool {
	if res.Verdict != verdict.Ran {
		return false
	}
	return !repeatable || !isRejection(res.Response.StatusCode, retryServerErrors)
}

// isRejection reports whether a status says that something on the way to the work
// went wrong or, where retryServerErrors is set, that anything did.
func isRejection(status int, retryServerErrors bool) bool {
	switch status {
	case http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return true
	}
	return retryServerErrors && status >= http.StatusInternalServerError
}

// forRetry returns what coord/retry needs to know of a failed attempt. A rejection
// counts as one that may have run.
func (a *attempt) forRetry(body *upstream.Body) retry.Attempt {
	v := a.result.Verdict
	if v == verdict.Ran {
		v = verdict.MayHaveRun
	}
	return retry.Attempt{Number: a.number, Verdict: v, Replayable: body.Replayable(), Broken: a.result.Broken}
}

// outcomeOf returns what a response that was passed on shows about its endpoint.
// err is why it was not passed on whole.
func outcomeOf(status int, callerLeft bool, err error) placement.Outcome {
	switch {
	case callerLeft || errors.Is(err, errCallerGone):
		return placement.Unused
	case errors.Is(err, errCutShort):
		return placement.Failed
	case status >= http.StatusInternalServerError:
		return placement.Failed // failing fast must not look like being fast
	}
	return placement.Completed
}

// failedResult returns what an attempt shows about its endpoint whose response is
// not passed on. A request on whose behalf nothing was written, or whose caller
// left, shows nothing, nor does one that a suspension of the VM fell into.
func failedResult(a *attempt, callerLeft bool, took time.Duration) placement.Result {
	result := placement.Result{Outcome: placement.Failed, Took: took, Backoff: a.report().Word.Backoff}
	res := &a.result
	switch {
	case a.stale:
		result.Outcome = placement.Unused
	case res.Reason == reason.EndpointReplaced:
		result.Replaced = true
	case res.Reason == reason.EndpointRefused:
		result.Outcome = placement.Shed
		result.Load = a.report().Load
	case callerLeft, res.Reason == reason.NothingWritten, res.Reason == reason.Withdrawn:
		result.Outcome = placement.Unused
	}
	return result
}

// report returns what the answer says of its endpoint. Nobody knows how old one is that came while
// the VM was suspended.
func (a *attempt) report() upstream.Report {
	if a.stale {
		return a.result.Report.Undated()
	}
	return a.result.Report
}

// overall returns the verdict of all attempts together: what an earlier one left
// open stays open.
func overall(last verdict.Verdict, mayHaveRun bool) verdict.Verdict {
	if mayHaveRun && last == verdict.NotRun {
		return verdict.MayHaveRun
	}
	return last
}

// patience returns how long the request may wait for a slot.
func patience(x *exchange, now time.Time) time.Duration {
	return min(x.accepted.Add(x.route.Kind.Patience).Sub(now), x.deadline.Sub(now))
}

// waitingReason tells a request whose time has run out from one whose patience
// ended before.
func waitingReason(code reason.Code, deadline, now time.Time) reason.Code {
	if code == reason.Expired && !now.Before(deadline) {
		return reason.DeadlineWaiting
	}
	return code
}

// retryAfterFailure returns when the caller should come back after failed attempts.
func retryAfterFailure(x *exchange) time.Duration { return retry.AfterFailure(x.route.Kind.Target) }
