// Package retry decides whether a request goes to another endpoint after a failed
// attempt, and when a caller whose request did not run should come back.
//
// Retries are bounded three times over: by what the attempts prove, so that a
// request that is not repeatable runs at most once; by a number of attempts; and
// by a budget for each service, so that a failing service does not get many times
// its load. The budget is a Bucket, or a Window where the settings bound the
// retries of the whole fleet.
//
// The package owns no state: budgets are immutable values that the caller keeps.
// It has no clock and does no input or output.
//
// # Usage
//
//	budget = budget.WithRequest(now)
//	d := retry.Decide(request, attempt, budget, now)
//	if d.Again {
//		budget = budget.WithRetry(now)
//	}
package retry

import (
	"time"

	"github.com/lotuswing/lotuswing/coord/reason"
	"github.com/lotuswing/lotuswing/coord/verdict"
)

const (
	// MaxAttempts is how many endpoints a request is sent to of which an attempt may have run,
	// where its route sets no bound.
	MaxAttempts = 4
	// MaxRefusals is the same while every attempt is proved not to have run: then nothing is lost
	// but a round trip.
	MaxRefusals = 12
)

// Request is what the decision needs to know of a request.
type Request struct {
	Repeatable  bool
	MaxAttempts int  // of its route; 0 for the constants above
	MayHaveRun  bool // one of its attempts may have run, the last one included
	OnTrial     bool // endpoints ended under it; it is sent to one at a time
	Deadline    time.Time
}

// limit returns how many attempts the request may have.
func (r Request) limit() int {
	switch {
	case r.MaxAttempts > 0:
		return r.MaxAttempts
	case r.MayHaveRun:
		return MaxAttempts
	}
	return MaxRefusals
}

// Attempt is the one that has just failed.
type Attempt struct {
	Number     int // 1 for the first
	Verdict    verdict.Verdict
	Replayable bool // the body can be sent again from its start
	Broken     bool // its connection ended before the response did
}

// Decision says whether to try again and, if not, why.
type Decision struct {
	Again  bool
	Reason reason.Code
}

// Budget tells whether it covers one more retry.
type Budget interface {
	Covers(now time.Time) bool
}

// Decide is the rule for another attempt. What the attempt proves comes first: no
// budget makes it right to run a request twice that must run once.
func Decide(r Request, a Attempt, budget Budget, now time.Time) Decision {
	switch {
	case !a.Verdict.MayRepeat(r.Repeatable):
		return Decision{Reason: reason.AnswerUnknown}
	case r.OnTrial && a.Broken:
		return Decision{Reason: reason.Quarantined}
	case a.Number >= r.limit(), !a.Replayable, !budget.Covers(now):
		return Decision{Reason: reason.RetryExhausted}
	case now.After(r.Deadline):
		return Decision{Reason: reason.TooLate}
	}
	return Decision{Again: true}
}
