package retry_test

import (
	"testing"
	"time"

	"github.com/lotuswing/lotuswing/coord/reason"
	"github.com/lotuswing/lotuswing/coord/retry"
	"github.com/lotuswing/lotuswing/coord/verdict"
	"gotest.tools/v3/assert"
)

// fakeBudget allows every retry, or none.
type fakeBudget bool

func (b fakeBudget) Allows(time.Time) bool { return bool(b) }

// TestDecide checks the rules for another attempt.
func TestDecide(t *testing.T) {
	now := time.Unix(1000, 0)
	soon, past := now.Add(time.Second), now.Add(-time.Second)
	notRun := retry.Attempt{Number: 1, Verdict: verdict.NotRun, Replayable: true}
	mayHaveRun := retry.Attempt{Number: 1, Verdict: verdict.MayHaveRun, Replayable: true}
	withNumber := func(a retry.Attempt, number int) retry.Attempt { a.Number = number; return a }
	for _, c := range []struct {
		name    string
		request retry.Request
		attempt retry.Attempt
		allowed fakeBudget
		want    reason.Code // empty for another attempt
	}{
		{"did not run", retry.Request{Deadline: soon}, notRun, true, ""},
		{"non-repeatable, may have run", retry.Request{MayHaveRun: true, Deadline: soon}, mayHaveRun, true, reason.ResponseUnknown},
		{"repeatable, may have run", retry.Request{Repeatable: true, MayHaveRun: true, Deadline: soon}, mayHaveRun, true, ""},
		{"a third attempt that may have run", retry.Request{Repeatable: true, MayHaveRun: true, Deadline: soon}, withNumber(mayHaveRun, 3), true, ""},
		{"a fourth attempt that may have run", retry.Request{Repeatable: true, MayHaveRun: true, Deadline: soon}, withNumber(mayHaveRun, 4), true, reason.RetryExhausted},
		{"an eleventh refusal", retry.Request{Deadline: soon}, withNumber(notRun, 11), true, ""},
		{"a twelfth refusal", retry.Request{Deadline: soon}, withNumber(notRun, 12), true, reason.RetryExhausted},
		{"a refusal after an attempt that may have run", retry.Request{Repeatable: true, MayHaveRun: true, Deadline: soon}, withNumber(notRun, 4), true, reason.RetryExhausted},
		{"limit of the route", retry.Request{MaxAttempts: 2, Deadline: soon}, withNumber(notRun, 2), true, reason.RetryExhausted},
		{"connection broke on trial", retry.Request{Repeatable: true, OnTrial: true, Deadline: soon}, retry.Attempt{Number: 1, Verdict: verdict.MayHaveRun, Replayable: true, Broken: true}, true, reason.Quarantined},
		{"refused on trial", retry.Request{Repeatable: true, OnTrial: true, Deadline: soon}, notRun, true, ""},
		{"connection broke", retry.Request{Repeatable: true, Deadline: soon}, retry.Attempt{Number: 1, Verdict: verdict.MayHaveRun, Replayable: true, Broken: true}, true, ""},
		{"body not replayable", retry.Request{Deadline: soon}, retry.Attempt{Number: 1, Verdict: verdict.NotRun}, true, reason.RetryExhausted},
		{"budget used up", retry.Request{Deadline: soon}, notRun, false, reason.RetryExhausted},
		{"planned stop leaves no time", retry.Request{Repeatable: true, Stopping: true, Deadline: soon}, notRun, true, reason.Stopping},
		{"deadline passed", retry.Request{Deadline: past}, notRun, true, reason.TooLate},
	} {
		got := retry.Decide(c.request, c.attempt, c.allowed, now)
		assert.Equal(t, got, retry.Decision{Again: c.want == "", Reason: c.want}, c.name)
	}
}

// TestBucket: requests earn retries, which are saved up to a limit.
func TestBucket(t *testing.T) {
	now := time.Unix(1000, 0)
	b := retry.NewBucket()
	for range 20 {
		assert.Assert(t, b.Allows(now))
		b = b.WithRetry(now)
	}
	for range 5 {
		assert.Assert(t, !b.Allows(now))
		b = b.WithRequest(now)
	}
	assert.Assert(t, b.Allows(now))
}

// TestRetryAfter checks the Retry-After if no endpoint was found, and if the attempts failed.
func TestRetryAfter(t *testing.T) {
	assert.Equal(t, retry.DelayAfterNoEndpoint(800*time.Millisecond, 0), 100*time.Millisecond)
	assert.Equal(t, retry.DelayAfterNoEndpoint(800*time.Millisecond, 0.5), 200*time.Millisecond)
	assert.Equal(t, retry.DelayAfterNoEndpoint(0, 0.5), time.Second)
	assert.Equal(t, retry.DelayAfterFailure(800*time.Millisecond), 100*time.Millisecond)
	assert.Equal(t, retry.DelayAfterFailure(0), time.Second)
}

// TestDelayUntilReady checks that callers of a balancer without a configuration are told to return
// after about as long as it has been without one, within bounds, and not all at once.
func TestDelayUntilReady(t *testing.T) {
	assert.Equal(t, retry.DelayUntilReady(time.Second, 0), 500*time.Millisecond)
	assert.Equal(t, retry.DelayUntilReady(time.Second, 0.5), time.Second)
	assert.Equal(t, retry.DelayUntilReady(0, 0.5), 250*time.Millisecond)
	assert.Equal(t, retry.DelayUntilReady(time.Hour, 0.5), 2*time.Second)
}
