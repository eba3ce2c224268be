package admission_test

import (
	"testing"
	"time"

	"github.com/lotuswing/lotuswing/coord/admission"
	"github.com/lotuswing/lotuswing/coord/limit"
	"gotest.tools/v3/assert"
)

const backoff = 3 * time.Second

// after returns a time after the first word.
func after(d time.Duration) time.Time { return begin.Add(d) }

// asked is the state of an endpoint that asked for a backoff at the beginning.
var asked = admission.State{}.With(admission.Word{Backoff: backoff}, begin)

// TestDecide goes through the rule.
func TestDecide(t *testing.T) {
	left := admission.State{}.With(admission.Word{Leaving: true}, begin)
	proved := asked.WithRun(after(backoff + time.Millisecond))
	tried := asked.WithSent(after(backoff))
	for _, c := range []struct {
		name  string
		facts admission.Facts
		at    time.Duration
		want  admission.Decision
	}{
		{"nothing said", admission.Facts{Usable: true}, 0, admission.Decision{}},
		{"not listed", admission.Facts{}, 0, admission.Decision{Access: admission.Never, Cause: admission.Unusable}},
		{"leaves", admission.Facts{Usable: true, State: left}, 0, admission.Decision{Access: admission.Never, Cause: admission.Leaving}},
		{"leaves, and wants no requests", admission.Facts{Usable: true, State: asked.With(admission.Word{Leaving: true}, begin)}, time.Hour, admission.Decision{Access: admission.Never, Cause: admission.Leaving}},
		{"wants no requests", admission.Facts{Usable: true, State: asked}, time.Second, admission.Decision{Access: admission.Shut, Cause: admission.BackingOff, OpensIn: 2 * time.Second}},
		{"the last moment", admission.Facts{Usable: true, State: asked}, backoff - 1, admission.Decision{Access: admission.Shut, Cause: admission.BackingOff, OpensIn: 1}},
		{"its end", admission.Facts{Usable: true, State: asked}, backoff, admission.Decision{}},
		{"its end, for a later one", admission.Facts{Usable: true, State: asked, Lot: 0.5}, backoff, admission.Decision{Access: admission.Shut, Cause: admission.SlowStart, OpensIn: time.Second}},
		{"in time for a later one", admission.Facts{Usable: true, State: asked, Lot: 0.5}, backoff + time.Second, admission.Decision{}},
		{"while one is tried", admission.Facts{Usable: true, State: tried}, backoff + 400*time.Millisecond, admission.Decision{Access: admission.Shut, Cause: admission.SlowStart, OpensIn: 600 * time.Millisecond}},
		{"one was tried for long", admission.Facts{Usable: true, State: tried}, backoff + time.Second, admission.Decision{}},
		{"after the slow start", admission.Facts{Usable: true, State: tried, Lot: 0.999}, backoff + 2*time.Second, admission.Decision{}},
		{"it has run one", admission.Facts{Usable: true, State: proved.WithSent(after(backoff + 10*time.Millisecond))}, backoff + 20*time.Millisecond, admission.Decision{}},
		{"it has run one, and its share still grows", admission.Facts{Usable: true, State: proved, Lot: 0.5}, backoff + 20*time.Millisecond, admission.Decision{Access: admission.Shut, Cause: admission.SlowStart, OpensIn: 980 * time.Millisecond}},
		{"no room under its limit", admission.Facts{Usable: true, Limit: limit.Withheld, LimitOpens: 7}, 0, admission.Decision{Access: admission.Shut, Cause: admission.Limited, OpensIn: 7}},
		{"its owner may have room", admission.Facts{Usable: true, Limit: limit.Askable}, 0, admission.Decision{Access: admission.Askable, Cause: admission.Limited}},
		{"its owner has given room", admission.Facts{Usable: true, Limit: limit.Held}, 0, admission.Decision{Held: true}},
		{"room, and wants no requests", admission.Facts{Usable: true, State: asked, Limit: limit.Held}, time.Second, admission.Decision{Access: admission.Shut, Cause: admission.BackingOff, OpensIn: 2 * time.Second}},
	} {
		assert.Equal(t, admission.Decide(c.facts, after(c.at)), c.want, c.name)
	}
}

// TestWordsAreNotTakenBack by others that come later, or were written earlier.
func TestWordsAreNotTakenBack(t *testing.T) {
	shorter := asked.With(admission.Word{Backoff: time.Second}, after(time.Second))
	assert.Equal(t, shorter.Until(), after(backoff), "a shorter one")
	assert.Equal(t, asked.With(admission.Word{}, after(time.Second)).Until(), after(backoff), "silence")
	assert.Equal(t, asked.WithRun(after(-time.Second)).Until(), after(backoff), "an answer to an earlier request")
	longer := asked.With(admission.Word{Backoff: backoff}, after(time.Second))
	assert.Equal(t, longer.Until(), after(backoff+time.Second), "a longer one extends it")
	assert.Assert(t, asked.With(admission.Word{Leaving: true}, begin).With(admission.Word{}, after(time.Hour)).Leaving())
}

// TestSuspensionAgesWords: the world went on while the clock stood still.
func TestSuspensionAgesWords(t *testing.T) {
	assert.Equal(t, asked.WithSuspension(time.Second).Until(), after(backoff-time.Second))
	assert.Equal(t, admission.State{}.WithSuspension(time.Second), admission.State{})
}

// TestUrgentRequestsReturnFirst to an endpoint after its backoff.
func TestUrgentRequestsReturnFirst(t *testing.T) {
	at := after(backoff + time.Second) // in the middle of the slow start
	admitted := func(priority int) (n int) {
		for lot := range 100 {
			if admission.Decide(admission.Facts{Usable: true, State: asked, Lot: float64(lot) / 100, Priority: priority}, at).Admits() {
				n++
			}
		}
		return n
	}
	assert.Assert(t, admitted(0) > admitted(1) && admitted(1) > admitted(2) && admitted(2) > 0, "%d, %d, %d", admitted(0), admitted(1), admitted(2))
}

// TestWilling: what was chosen before goes on only where no word speaks against it.
func TestWilling(t *testing.T) {
	assert.Assert(t, admission.Willing(true, admission.State{}, begin))
	assert.Assert(t, !admission.Willing(false, admission.State{}, begin))
	assert.Assert(t, !admission.Willing(true, asked, after(time.Second)))
	assert.Assert(t, admission.Willing(true, asked, after(backoff)))
	assert.Assert(t, !admission.Willing(true, asked.With(admission.Word{Leaving: true}, begin), after(time.Hour)))
}
