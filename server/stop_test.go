package server

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/lotuswing/lotuswing/coord/drain"
	"github.com/lotuswing/lotuswing/settings"
	"gotest.tools/v3/assert"
)

// never is longer than all stops of these tests.
const never = time.Hour

// fakeSteps are the steps of a stop whose parts take their time. Time is virtual.
type fakeSteps struct {
	handOver, callers time.Duration // until duties are handed over, and callers' last request ends
	deaf              bool          // handing over does not heed its context

	began   time.Time
	log     []string
	plans   []drain.Plan
	drained bool
}

func (f *fakeSteps) note(step string) {
	f.log = append(f.log, fmt.Sprintf("%s %v", step, time.Since(f.began)))
}

// after closes a channel after a time, or when ctx ends.
func after(ctx context.Context, d time.Duration, then func()) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		select {
		case <-time.After(d):
			then()
		case <-ctx.Done():
		}
	}()
	return done
}

func (f *fakeSteps) SetPlan(plan drain.Plan) { f.plans = append(f.plans, plan) }

func (f *fakeSteps) HandOver(ctx context.Context) <-chan struct{} {
	if f.deaf {
		ctx = context.Background()
	}
	return after(ctx, f.handOver, func() {})
}

func (f *fakeSteps) DrainCarried(ctx context.Context) <-chan struct{} {
	return after(ctx, 0, func() {})
}

func (f *fakeSteps) CloseListener(ctx context.Context) <-chan struct{} {
	f.note("listener")
	return after(ctx, f.callers-time.Since(f.began), func() { f.drained = true })
}

func (f *fakeSteps) Drained() bool { return f.drained }

func (f *fakeSteps) CutAttempts() int {
	f.note("attempts")
	return 2
}

func (f *fakeSteps) CloseAll() int64 {
	f.note("all")
	return 1
}

// stopTrial is one stop whose process is killed after 6 s: its notice ends after 3 s, attempts are cut
// after 5.413 s, and it ends after 5.58 s.
type stopTrial struct {
	fakeSteps
	slept  func(since time.Duration) time.Duration // suspension of the VM by time since the beginning
	cancel time.Duration                           // of the second signal; 0 for none
}

// run returns the steps that were made and when, the end of the stop included, and how many were cut.
func (c *stopTrial) run(t *testing.T) (steps string, cut int64) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		c.began = time.Now()
		suspended := func() time.Duration { return 0 }
		if c.slept != nil {
			suspended = func() time.Duration { return c.slept(time.Since(c.began)) }
		}
		ctx, cancel := context.WithCancel(t.Context())
		if c.cancel > 0 {
			time.AfterFunc(c.cancel, cancel)
		}
		p := newPlannedStop(&c.fakeSteps, drain.Times{Notice: 3 * time.Second, Limit: time.Hour, Grace: 6 * time.Second}, suspended, c.began)
		drained := p.run(ctx)
		c.note("end")
		assert.Equal(t, drained, c.drained)
		cut = p.cut()
		cancel()
		time.Sleep(2 * never) // until what is deaf has ended
	})
	return strings.Join(c.log, ", "), cut
}

const allSteps = "listener 3s, attempts 5.4126s, all 5.58s, end 5.58s"

// TestHandingOverTakesNoPartOfTheGrace, and is waited for until the end of the plan.
func TestHandingOverTakesNoPartOfTheGrace(t *testing.T) {
	for _, takes := range []time.Duration{0, 400 * time.Millisecond, 3 * time.Second, 4 * time.Second, 10 * time.Second, never} {
		for _, deaf := range []bool{false, true} {
			c := &stopTrial{fakeSteps: fakeSteps{handOver: takes, deaf: deaf, callers: never}}
			steps, cut := c.run(t)
			assert.Equal(t, steps, allSteps, "handing over takes %v, deaf: %v", takes, deaf)
			assert.Equal(t, cut, int64(2))
			idle := &stopTrial{fakeSteps: fakeSteps{handOver: takes, deaf: deaf}}
			steps, _ = idle.run(t)
			want := fmt.Sprintf("listener 3s, end %v", max(takes, 3*time.Second))
			if takes > 5580*time.Millisecond {
				want = "listener 3s, attempts 5.4126s, end 5.58s"
			}
			assert.Equal(t, steps, want, "nothing in flight, handing over takes %v, deaf: %v", takes, deaf)
		}
	}
}

func TestSlowHandOverDoesNotKeepListenerOpen(t *testing.T) {
	c := &stopTrial{fakeSteps: fakeSteps{handOver: 4 * time.Second}}
	steps, _ := c.run(t)
	assert.Equal(t, steps, "listener 3s, end 4s")
}

// TestStopEndsWhenNothingIsLeft, and cuts at once at a second signal.
func TestStopEndsWhenNothingIsLeft(t *testing.T) {
	c := &stopTrial{fakeSteps: fakeSteps{callers: 4 * time.Second}}
	steps, cut := c.run(t)
	assert.Equal(t, steps, "listener 3s, end 4s")
	assert.Equal(t, cut, int64(0))
	c = &stopTrial{fakeSteps: fakeSteps{callers: never, handOver: never, deaf: true}, cancel: time.Second}
	steps, _ = c.run(t)
	assert.Equal(t, steps, "listener 1s, attempts 1s, all 1s, end 1s")
}

func TestSuspensionDoesNotDelayStopBeyondItsGrace(t *testing.T) {
	sleeps := func(at, d time.Duration) func(time.Duration) time.Duration {
		return func(since time.Duration) time.Duration {
			if since < at {
				return 0
			}
			return d
		}
	}
	for _, c := range []struct {
		at, d time.Duration
		want  string
	}{
		{time.Second, time.Second, "listener 2s, attempts 4.4126s, all 4.58s, end 4.58s"},
		{4 * time.Second, time.Second, "listener 3s, attempts 4.4126s, all 4.58s, end 4.58s"},
		{time.Second, time.Minute, "listener 1s, attempts 1s, all 1s, end 1s"},
	} {
		trial := &stopTrial{fakeSteps: fakeSteps{callers: never}, slept: sleeps(c.at, c.d)}
		steps, _ := trial.run(t)
		assert.Equal(t, steps, c.want)
		assert.Equal(t, len(trial.plans), 2, "the balancer gets the moved plan")
		assert.Equal(t, trial.plans[1], trial.plans[0].WithSuspension(c.d))
	}
}

// TestPausedProcessCatchesUp: the steps whose times have passed are made at once, in order.
func TestPausedProcessCatchesUp(t *testing.T) {
	paused := false
	c := &stopTrial{fakeSteps: fakeSteps{callers: never}}
	c.slept = func(since time.Duration) time.Duration {
		if since >= time.Second && !paused {
			paused = true
			time.Sleep(time.Minute) // nothing of the process runs
		}
		return 0
	}
	steps, _ := c.run(t)
	assert.Equal(t, steps, "listener 1m1s, attempts 1m1s, all 1m1s, end 1m1s")
}

// TestEndsOfTheProcessAreWithinTheGrace, however late they begin.
func TestEndsOfTheProcessAreWithinTheGrace(t *testing.T) {
	began := time.Unix(1000, 0)
	grace := drain.Times{Grace: 6 * time.Second}
	for _, c := range []struct {
		at, want time.Duration
		times    drain.Times
	}{
		{time.Hour, time.Second, drain.Times{}},
		{3 * time.Second, time.Second, grace},
		{5580 * time.Millisecond, 210 * time.Millisecond, grace},
		{time.Minute, 0, grace},
	} {
		assert.Equal(t, closeWait(began.Add(6*time.Second), c.times, began.Add(c.at)), c.want, "%v", c.at)
	}
}

// TestReloadChangesNextStopOnly: a stop follows the settings that were in force when it began.
func TestReloadChangesNextStopOnly(t *testing.T) {
	s := &Server{}
	s.cfg.Settings.Stop = settings.Stop{Notice: 3 * time.Second, Limit: time.Hour, Grace: 30 * time.Second}
	assert.Equal(t, s.stopTimes(), s.cfg.Settings.Stop.Times())
	short := settings.Stop{Notice: time.Second, Limit: time.Hour, Grace: 6 * time.Second}
	s.SetStop(short)
	now := time.Unix(1000, 0)
	stop := newPlannedStop(&fakeSteps{}, s.stopTimes(), func() time.Duration { return 0 }, now)
	s.SetStop(settings.Stop{Notice: time.Minute, Limit: time.Hour})
	assert.Equal(t, stop.plan, drain.NewPlan(now, short.Times()))
}

// TestStatusOfStop: what operators see of a stop.
func TestStatusOfStop(t *testing.T) {
	now := time.Unix(1000, 0)
	times := drain.Times{Notice: 3 * time.Second, Limit: time.Hour, Grace: 6 * time.Second}
	p := newPlannedStop(&fakeSteps{}, times, func() time.Duration { return 0 }, now)
	assert.Equal(t, p.status(now.Add(time.Second)), StopStatus{Phase: "notice", Since: time.Second, EndsIn: 4580 * time.Millisecond})
	p.countGivenUp(2)
	p.countClosed(3)
	p.phase, p.handedOver, p.handOverTook = drain.Over, true, time.Second
	assert.Equal(t, p.status(now.Add(4*time.Second)), StopStatus{
		Phase: "over", Since: 4 * time.Second, EndsIn: 1580 * time.Millisecond, HandedOver: true, HandOverTook: time.Second, GivenUp: 2, Cut: 3,
	}, "a second signal")
}
