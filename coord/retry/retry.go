// Package retry decides whether a failed attempt is repeated.
//
// Repeating is bounded twice: by the verdict, so that a request that is not
// repeatable runs at most once, and by a budget that is a share of the
// requests, so that a refusal is not multiplied level by level.
//
// # Usage
//
//	b = b.Deposit()
//	if ok, why := retry.Decide(policy, attempt, b, now); !ok { ... }
package retry

import (
	"time"

	"github.com/lotuswing/lotuswing/coord/reason"
	"github.com/lotuswing/lotuswing/coord/verdict"
)

// Policy bounds the attempts of one request.
type Policy struct {
	MaxAttempts int // where the last one may have run
	MaxRefusals int // where it did not run: nothing is lost but time
	Repeatable  bool
}

// Attempt describes the attempt that has just failed.
type Attempt struct {
	Number     int // 1 for the first
	Verdict    verdict.Verdict
	Replayable bool // the body can be sent again from its start
	Deadline   time.Time
}

// Decision says whether to repeat and, if not, why.
type Decision struct {
	Again  bool
	Reason reason.Code
}

// Decide is the rule for repeating an attempt.
func Decide(p Policy, a Attempt, budget Covering, now time.Time) Decision {
	switch {
	case !a.Verdict.MayRepeat(p.Repeatable):
		return Decision{Reason: reason.AnswerUnknown}
	case a.Number >= p.most(a.Verdict), !a.Replayable, !budget.Covers(now):
		return Decision{Reason: reason.RetryExhausted}
	case now.After(a.Deadline):
		return Decision{Reason: reason.TooLate}
	}
	return Decision{Again: true}
}

func (p Policy) most(v verdict.Verdict) int {
	if v == verdict.NotRun {
		return max(p.MaxAttempts, p.MaxRefusals)
	}
	return p.MaxAttempts
}

// Budget is a count of retries earned by requests. It is an immutable value.
type Budget struct {
	percent int
	limit   int
	balance int // in hundredths of a retry
}

const hundredths = 100

// NewBudget returns a budget that earns percent/100 retries a request and
// holds at most limit retries; it starts full.
func NewBudget(percent, limit int) Budget {
	return Budget{percent: percent, limit: limit * hundredths, balance: limit * hundredths}
}

// Covering is a budget that can tell whether it covers one more retry.
type Covering interface {
	Covers(now time.Time) bool
}

// Covers reports whether a retry can be paid for.
func (b Budget) Covers(time.Time) bool { return b.balance >= hundredths }

// Deposit returns the budget after one more request.
func (b Budget) Deposit() Budget {
	b.balance = min(b.balance+b.percent, b.limit)
	return b
}

// Withdraw returns the budget after one retry.
func (b Budget) Withdraw() Budget {
	b.balance = max(b.balance-hundredths, 0)
	return b
}
