package drain_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/lotuswing/lotuswing/coord/drain"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
	"pgregory.net/rapid"
)

// start is when the stops of these tests begin.
var start = time.Unix(1000, 0)

// TestSchedule: the phases and actions of a stop whose process is killed after 6 s, by time.
func TestSchedule(t *testing.T) {
	plan := drain.NewPlan(start, drain.Times{Notice: 3 * time.Second, Limit: time.Hour, Grace: 6 * time.Second})
	var b strings.Builder
	for _, at := range []time.Duration{0, 2999, 3000, 5412, 5413, 5579, 5580, 6000} {
		now := start.Add(at * time.Millisecond)
		fmt.Fprintf(&b, "%v %v:", at*time.Millisecond, plan.Phase(now))
		for i := drain.Connection; i <= drain.Hedge; i++ {
			fmt.Fprintf(&b, " %v=%v", i, plan.Action(i, now))
		}
		b.WriteString("\n")
	}
	golden.Assert(t, b.String(), "schedule.golden")
}

// TestRunningServesAll: the zero plan restricts nothing.
func TestRunningServesAll(t *testing.T) {
	var plan drain.Plan
	for i := drain.Connection; i <= drain.Hedge; i++ {
		assert.Equal(t, plan.Action(i, start), drain.Serve)
	}
	assert.Assert(t, plan.AcceptsRequest(start.Add(time.Hour), start))
	assert.Assert(t, plan.BeginsAttempt(time.Hour, start.Add(time.Hour), start))
	assert.Equal(t, plan.WithSuspension(time.Second), plan)
}

// TestNothingServedCanBeCut: what is accepted after the notice ends before attempts are given up, and
// the process is not killed before all is closed.
func TestNothingServedCanBeCut(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(name string, least, most int) time.Duration {
			return time.Duration(rapid.IntRange(least, most).Draw(t, name)) * time.Millisecond
		}
		times := drain.Times{Notice: draw("notice", 0, 20_000), Limit: draw("limit", 1000, 60_000), Grace: draw("grace", 1000, 60_000)}
		plan := drain.NewPlan(start, times).WithSuspension(draw("suspended", 0, 1000))
		now := start.Add(draw("now", 0, 60_000))
		deadline := now.Add(draw("time", 0, 20_000))
		phase := plan.Phase(now)
		assert.Assert(t, !plan.NoticeEnds().After(plan.CutAt()) && !plan.CutAt().After(plan.EndsAt()))
		assert.Assert(t, plan.EndsAt().Sub(plan.Began()) < times.Grace)
		if phase > drain.Notice && plan.AcceptsRequest(deadline, now) {
			assert.Assert(t, !deadline.After(plan.CutAt()))
		}
		expected := min(deadline.Sub(now), draw("expected", 0, 20_000))
		if phase > drain.Notice && plan.BeginsAttempt(expected, deadline, now) {
			assert.Assert(t, !deadline.After(plan.CutAt()))
		}
		if phase > drain.Running && plan.BeginsAttempt(expected, deadline, now) {
			assert.Assert(t, !now.Add(expected).After(plan.CutAt()))
		}
		if plan.BeginsHedge(expected, now) {
			assert.Assert(t, plan.BeginsAttempt(expected, deadline, now))
		}
	})
}

// TestNoIntakeReopens: once an intake restricts what comes, it never serves more again.
func TestNoIntakeReopens(t *testing.T) {
	plan := drain.NewPlan(start, drain.Times{Notice: time.Second, Limit: time.Second, Grace: 10 * time.Second})
	for i := drain.Connection; i <= drain.Hedge; i++ {
		last := drain.Serve
		for at := time.Duration(0); at < 3*time.Second; at += 10 * time.Millisecond {
			action := plan.Action(i, start.Add(at))
			assert.Assert(t, action >= last, "%v: %v after %v", i, action, last)
			last = action
		}
		assert.Equal(t, last, drain.Close)
	}
}
