// Package retry decides whether a failed attempt is followed by one at another
// endpoint, and how long a caller should wait before it retries a failed request.
//
// Three limits apply to retries: the verdict of the attempts, so that a non-repeatable
// request runs at most once; a maximum number of attempts; and a budget for each
// service, so that a failing service does not get a multiple of its load. The budget is
// a Bucket, or a Window if the settings limit the retries of the whole fleet.
//
// The package has no state, no clock and no I/O: budgets are immutable values that the
// caller keeps.
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
	// MaxAttemptsMayHaveRun is the maximum number of attempts of a request if one of them may have
	// run and the route sets no limit.
	MaxAttemptsMayHaveRun = 4
	// MaxAttemptsNotRun is the maximum number of attempts while all of them are proved not to have
	// run. It is higher because such an attempt costs only a round trip.
	MaxAttemptsNotRun = 12
)

// Request has the properties of a request that Decide needs.
type Request struct {
	Repeatable  bool
	MaxAttempts int  // limit of the route; 0 for the default, which depends on MayHaveRun
	MayHaveRun  bool // one of the attempts may have run, including the last
	Stopping    bool // a planned stop leaves no time for another attempt
	OnTrial     bool // suspected of crashing endpoints; not retried after a broken connection
	Deadline    time.Time
}

// maxAttempts returns the limit of the route or, if it has none, the default.
func (r Request) maxAttempts() int {
	switch {
	case r.MaxAttempts > 0:
		return r.MaxAttempts
	case r.MayHaveRun:
		return MaxAttemptsMayHaveRun
	}
	return MaxAttemptsNotRun
}

// Attempt is the attempt that has just failed.
type Attempt struct {
	Number     int // 1 for the first
	Verdict    verdict.Verdict
	Replayable bool // the body can be sent again from the start
	Broken     bool // the connection ended before the response did
}

// Decision is whether to retry and, if not, the reason.
type Decision struct {
	Again  bool
	Reason reason.Code
}

// Budget limits the retries of a service.
type Budget interface {
	// Allows reports whether the budget has one more retry.
	Allows(now time.Time) bool
}

// Decide decides whether to make another attempt. The verdict is checked first: no budget permits
// running a non-repeatable request twice.
func Decide(r Request, a Attempt, budget Budget, now time.Time) Decision {
	switch {
	case !a.Verdict.MayRetry(r.Repeatable):
		return Decision{Reason: reason.ResponseUnknown}
	case r.OnTrial && a.Broken:
		return Decision{Reason: reason.Quarantined}
	case a.Number >= r.maxAttempts(), !a.Replayable, !budget.Allows(now):
		return Decision{Reason: reason.RetryExhausted}
	case now.After(r.Deadline):
		return Decision{Reason: reason.TooLate}
	case r.Stopping:
		return Decision{Reason: reason.Stopping}
	}
	return Decision{Again: true}
}
