package admission_test

import (
	"testing"
	"time"

	"github.com/lotuswing/lotuswing/coord/admission"
	"github.com/lotuswing/lotuswing/coord/limit"
	"github.com/lotuswing/lotuswing/coord/warmup"
	"gotest.tools/v3/assert"
)

const backoff = 3 * time.Second

// after returns the time d after testStart.
func after(d time.Duration) time.Time { return testStart.Add(d) }

// backingOff is the state of an endpoint that asked for a backoff at testStart.
var backingOff = admission.State{}.With(admission.Signal{Backoff: backoff}, testStart)

// TestDecide checks the decision for each combination of facts.
func TestDecide(t *testing.T) {
	leaving := admission.State{}.With(admission.Signal{Leaving: true}, testStart)
	recovered := backingOff.WithRun(after(backoff + time.Millisecond))
	onTrial := backingOff.WithSent(after(backoff))
	for _, c := range []struct {
		name  string
		facts admission.Facts
		at    time.Duration
		want  admission.Decision
	}{
		{"nothing said", admission.Facts{Usable: true}, 0, admission.Decision{}},
		{"not listed", admission.Facts{}, 0, admission.Decision{Access: admission.Excluded, Cause: admission.Unusable}},
		{"leaving", admission.Facts{Usable: true, State: leaving}, 0, admission.Decision{Access: admission.Excluded, Cause: admission.Leaving}},
		{"leaving and backing off", admission.Facts{Usable: true, State: backingOff.With(admission.Signal{Leaving: true}, testStart)}, time.Hour, admission.Decision{Access: admission.Excluded, Cause: admission.Leaving}},
		{"backing off", admission.Facts{Usable: true, State: backingOff}, time.Second, admission.Decision{Access: admission.Closed, Cause: admission.BackingOff, OpensIn: 2 * time.Second}},
		{"just before the backoff ends", admission.Facts{Usable: true, State: backingOff}, backoff - 1, admission.Decision{Access: admission.Closed, Cause: admission.BackingOff, OpensIn: 1}},
		{"the backoff has ended", admission.Facts{Usable: true, State: backingOff}, backoff, admission.Decision{}},
		{"the backoff has ended, random number of 0.5", admission.Facts{Usable: true, State: backingOff, Random: 0.5}, backoff, admission.Decision{Access: admission.Closed, Cause: admission.SlowStart, OpensIn: time.Second}},
		{"half of the slow start, random number of 0.5", admission.Facts{Usable: true, State: backingOff, Random: 0.5}, backoff + time.Second, admission.Decision{}},
		{"trial in flight", admission.Facts{Usable: true, State: onTrial}, backoff + 400*time.Millisecond, admission.Decision{Access: admission.Closed, Cause: admission.SlowStart, OpensIn: 600 * time.Millisecond}},
		{"trial timed out", admission.Facts{Usable: true, State: onTrial}, backoff + time.Second, admission.Decision{}},
		{"after the slow start", admission.Facts{Usable: true, State: onTrial, Random: 0.999}, backoff + 2*time.Second, admission.Decision{}},
		{"recovered", admission.Facts{Usable: true, State: recovered.WithSent(after(backoff + 10*time.Millisecond))}, backoff + 20*time.Millisecond, admission.Decision{}},
		{"recovered, random number of 0.5", admission.Facts{Usable: true, State: recovered, Random: 0.5}, backoff + 20*time.Millisecond, admission.Decision{Access: admission.Closed, Cause: admission.SlowStart, OpensIn: 980 * time.Millisecond}},
		{"no permit under its limit", admission.Facts{Usable: true, Limit: limit.Denied, LimitOpens: 7}, 0, admission.Decision{Access: admission.Closed, Cause: admission.Limited, OpensIn: 7}},
		{"owner may grant a permit", admission.Facts{Usable: true, Limit: limit.Askable}, 0, admission.Decision{Access: admission.Askable, Cause: admission.Limited}},
		{"owner has granted a permit", admission.Facts{Usable: true, Limit: limit.Permitted}, 0, admission.Decision{Held: true}},
		{"no permit for its warm-up", admission.Facts{Usable: true, WarmingUp: true, Warmup: warmup.Denied, WarmupOpens: 7}, 0, admission.Decision{Access: admission.Closed, Cause: admission.WarmingUp, OpensIn: 7}},
		{"owner may grant a permit for its warm-up", admission.Facts{Usable: true, WarmingUp: true, Warmup: warmup.Askable}, 0, admission.Decision{Access: admission.Askable, Cause: admission.WarmingUp}},
		{"owner has granted a permit for its warm-up", admission.Facts{Usable: true, WarmingUp: true, Warmup: warmup.Permitted}, 0, admission.Decision{Warmup: true}},
		{"permit for its warm-up, none under its limit", admission.Facts{Usable: true, WarmingUp: true, Warmup: warmup.Permitted, Limit: limit.Denied}, 0, admission.Decision{Access: admission.Closed, Cause: admission.Limited}},
		{"permit, and backing off", admission.Facts{Usable: true, State: backingOff, Limit: limit.Permitted}, time.Second, admission.Decision{Access: admission.Closed, Cause: admission.BackingOff, OpensIn: 2 * time.Second}},
	} {
		assert.Equal(t, admission.Decide(c.facts, after(c.at)), c.want, c.name)
	}
}

// TestLeavingAndBackoffAreNotRevoked checks that later answers, and answers to earlier requests,
// neither shorten a backoff nor revoke that an endpoint is leaving.
func TestLeavingAndBackoffAreNotRevoked(t *testing.T) {
	shorter := backingOff.With(admission.Signal{Backoff: time.Second}, after(time.Second))
	assert.Equal(t, shorter.BackoffUntil(), after(backoff), "a shorter backoff")
	assert.Equal(t, backingOff.With(admission.Signal{}, after(time.Second)).BackoffUntil(), after(backoff), "no backoff")
	assert.Equal(t, backingOff.WithRun(after(-time.Second)).BackoffUntil(), after(backoff), "an answer to an earlier request")
	longer := backingOff.With(admission.Signal{Backoff: backoff}, after(time.Second))
	assert.Equal(t, longer.BackoffUntil(), after(backoff+time.Second), "a longer backoff")
	assert.Assert(t, backingOff.With(admission.Signal{Leaving: true}, testStart).With(admission.Signal{}, after(time.Hour)).Leaving())
}

// TestSuspensionShortensBackoff checks that the time for which the VM was suspended counts towards
// a backoff, although its clock stood still.
func TestSuspensionShortensBackoff(t *testing.T) {
	assert.Equal(t, backingOff.WithSuspension(time.Second).BackoffUntil(), after(backoff-time.Second))
	assert.Equal(t, admission.State{}.WithSuspension(time.Second), admission.State{})
}

// TestUrgentRequestsAreReadmittedFirst checks that more of the urgent requests are admitted during
// a slow start.
func TestUrgentRequestsAreReadmittedFirst(t *testing.T) {
	at := after(backoff + time.Second) // in the middle of the slow start
	admitted := func(priority int) (n int) {
		for random := range 100 {
			if admission.Decide(admission.Facts{Usable: true, State: backingOff, Random: float64(random) / 100, Priority: priority}, at).Admits() {
				n++
			}
		}
		return n
	}
	assert.Assert(t, admitted(0) > admitted(1) && admitted(1) > admitted(2) && admitted(2) > 0, "%d, %d, %d", admitted(0), admitted(1), admitted(2))
}

// TestWilling checks that a request for which an endpoint was chosen earlier is sent only if the
// endpoint is neither leaving nor backing off.
func TestWilling(t *testing.T) {
	assert.Assert(t, admission.AcceptsChosen(true, admission.State{}, testStart))
	assert.Assert(t, !admission.AcceptsChosen(false, admission.State{}, testStart))
	assert.Assert(t, !admission.AcceptsChosen(true, backingOff, after(time.Second)))
	assert.Assert(t, admission.AcceptsChosen(true, backingOff, after(backoff)))
	assert.Assert(t, !admission.AcceptsChosen(true, backingOff.With(admission.Signal{Leaving: true}, testStart), after(time.Hour)))
}
