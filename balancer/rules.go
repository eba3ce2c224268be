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

// This file has the rules of the request path that no other package decides. They are
// pure functions. docs/DECISIONS.md lists them with those of other packages.

// isFinalResponse reports whether an attempt's response is forwarded to the caller. For a
// repeatable request, a response with a retryable status is not final: such a status does not
// prove whether the request ran, but another endpoint may succeed.
func isFinalResponse(res *upstream.Result, repeatable, retryServerErrors bool) bool {
	if res.Verdict != verdict.Ran {
		return false
	}
	return !repeatable || !isRetryableStatus(res.Response.StatusCode, retryServerErrors)
}

// isRetryableStatus reports whether a status indicates a failure at a gateway or a lack of
// capacity or, if retryServerErrors is set, any server error.
func isRetryableStatus(status int, retryServerErrors bool) bool {
	switch status {
	case http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return true
	}
	return retryServerErrors && status >= http.StatusInternalServerError
}

// retryAttempt returns the properties of a failed attempt that coord/retry decides by. A response
// with a retryable status counts as MayHaveRun.
func (a *attempt) retryAttempt(body *upstream.Body) retry.Attempt {
	v := a.result.Verdict
	if v == verdict.Ran {
		v = verdict.MayHaveRun
	}
	return retry.Attempt{Number: a.number, Verdict: v, Replayable: body.Replayable(), Broken: a.result.ConnectionBroken}
}

// forwardedOutcome returns what a forwarded response shows about its endpoint. err is why
// forwarding failed, nil if it succeeded.
func forwardedOutcome(status int, callerLeft bool, err error) placement.Outcome {
	switch {
	case callerLeft || errors.Is(err, errCallerLeft) || errors.Is(err, errCallerSlow):
		return placement.Unused
	case errors.Is(err, errTruncated) || errors.Is(err, errLate):
		return placement.Failed
	case status >= http.StatusInternalServerError:
		return placement.Failed // otherwise an endpoint that fails quickly would look fast
	}
	return placement.Completed
}

// answerGrace is how long after the deadline of a request its response may still be written, so that one
// which the balancer has whole by then, or that says that the deadline has passed, reaches the caller.
const answerGrace = 200 * time.Millisecond

// writeDeadline returns when the writing of a response ends that begins now.
func writeDeadline(deadline, now time.Time) time.Time {
	if now.After(deadline) {
		return now.Add(answerGrace)
	}
	return deadline.Add(answerGrace)
}

// expiryError returns who held up a response that was not over by the deadline of its request: the
// endpoint, for whose bytes it waited, or the caller, to whom it was written.
func expiryError(reading, writing time.Duration) error {
	if writing > reading {
		return errCallerSlow
	}
	return errLate
}

const (
	// resetAtOnce is how soon after the start of an attempt the endpoint closes the connection if it is
	// full. It allows for a new connection to another zone and a balancer that is short of processor
	// time, and is below the shortest usual service time.
	resetAtOnce = 50 * time.Millisecond
	// newConnectionSettleTime is how long a new connection must stay open before a request is written
	// to it while the service is under pressure: two round trips to another zone.
	newConnectionSettleTime = 4 * time.Millisecond
)

// settleTime returns how long a new connection to a chosen endpoint must stay open before the request
// is written. A reset before that proves that the request has not run; a later one leaves it open.
func settleTime(c placement.Choice) time.Duration {
	if c.Pressed {
		return newConnectionSettleTime
	}
	return 0
}

// failedAttemptResult returns what an attempt whose response is not forwarded shows about its
// endpoint. It shows nothing if nothing was written, the caller disconnected, the VM was suspended
// during the attempt, or the path to the endpoint was lost.
func failedAttemptResult(a *attempt, callerLeft bool, took time.Duration) placement.Result {
	result := placement.Result{Outcome: placement.Failed, Took: took, Backoff: a.report().Admission.Backoff}
	res := &a.result
	result.Reset = res.Reset && !a.suspended && !callerLeft && took < resetAtOnce
	switch {
	case a.suspended:
		result.Outcome = placement.Unused
	case res.Reason == reason.EndpointReplaced:
		result.Replaced = true
	case res.Reason == reason.EndpointRefused:
		result.Outcome = placement.Shed
		result.Load = a.report().Load
	case callerLeft, res.Reason == reason.NothingWritten, res.Reason == reason.Withdrawn, errors.Is(res.Err, upstream.ErrPathLost):
		result.Outcome = placement.Unused
	}
	return result
}

// overtakenResult returns what a first attempt shows about its endpoint if it was canceled because a
// hedge answered: that the endpoint would have taken longer. It shows nothing if nothing was written or
// the VM was suspended meanwhile.
func overtakenResult(a *attempt) placement.Result {
	result := placement.Result{Outcome: placement.Unused, Took: a.took, Overtaken: true, Backoff: a.report().Admission.Backoff}
	if a.suspended || a.result.Verdict == verdict.NotRun {
		result.Overtaken = false
	}
	return result
}

// unneededResult returns what a response shows about its endpoint that is not forwarded because the
// other attempt answered first.
func unneededResult(a *attempt, callerLeft bool) placement.Result {
	if a.suspended {
		return placement.Result{Outcome: placement.Unused}
	}
	outcome := forwardedOutcome(a.result.Response.StatusCode, callerLeft, nil)
	return placement.Result{Outcome: outcome, Took: a.took, Load: a.report().Load, Backoff: a.report().Admission.Backoff}
}

// hasOwnResponse reports whether there is a response of an endpoint that ran the request.
func (a *attempt) hasOwnResponse() bool { return a.result.Response != nil && a.result.Reason == "" }

// report returns what the response reports about its endpoint. If the VM was suspended during the
// attempt, the age of the response is unknown and the report is undated.
func (a *attempt) report() upstream.Report {
	if a.suspended {
		return a.result.Report.WithoutTimeDependent()
	}
	return a.result.Report
}

// combineVerdicts returns the verdict for all attempts together: if an earlier attempt may have
// run, a last one that did not run leaves the verdict at MayHaveRun.
func combineVerdicts(last verdict.Verdict, mayHaveRun bool) verdict.Verdict {
	if mayHaveRun && last == verdict.NotRun {
		return verdict.MayHaveRun
	}
	return last
}

// remainingPatience returns how long the request may still wait for a slot.
func remainingPatience(x *exchange, now time.Time) time.Duration {
	return min(x.accepted.Add(x.route.Kind.Patience).Sub(now), x.deadline.Sub(now))
}

// expiryReason replaces Expired by DeadlineWaiting if the deadline of the request has passed, not
// only its patience. Other codes are returned unchanged.
func expiryReason(code reason.Code, deadline, now time.Time) reason.Code {
	if code == reason.Expired && !now.Before(deadline) {
		return reason.DeadlineWaiting
	}
	return code
}

// retryAfterFailure returns the Retry-After for a request whose attempts failed.
func retryAfterFailure(x *exchange) time.Duration {
	return retry.DelayAfterFailure(x.route.Kind.Target)
}
