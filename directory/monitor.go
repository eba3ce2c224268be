package directory

import (
	"context"
	"sync"
	"time"

	"github.com/lotuswing/lotuswing/coord/freshness"
	"github.com/lotuswing/lotuswing/coord/position"
	"github.com/lotuswing/lotuswing/internal/pause"
)

// costs holds the recent durations of calls. It is safe for concurrent use.
type costs struct {
	mu    sync.Mutex
	value freshness.Costs
}

func (c *costs) load() freshness.Costs {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.value
}

func (c *costs) observeCheck(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.value = c.value.WithCheck(d)
}

func (c *costs) observeRead(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.value = c.value.WithRead(d)
}

// monitor periodically checks the store's revision and has the watch abandoned when the watchdog
// finds that it misses changes or may be lost.
func (f *Follower) monitor(ctx context.Context) {
	checked := time.Now()
	w := watchdog{exactCheckedAt: checked}
	resumed := false
	for ctx.Err() == nil {
		if !f.active.isOpen() {
			f.active.wait(ctx)
			// The first check comes at once. It is a cheap one if this follower has no proof yet: all processes of a
			// fleet that starts may begin to follow the store together.
			checked, w = time.Time{}, watchdog{exactCheckedAt: time.Now()}
			resumed = !f.Confirmed().IsZero()
		}
		f.configure(&w)
		// The period counts from the start of a check to that of the next, however long an
		// answer takes. While a store compacts its history, cheap reads show a change for
		// little more than a second, so a longer period could miss it.
		next, exact := w.nextCheck(checked)
		exact, resumed = exact || resumed, false
		if f.pauseUntilDue(ctx, &w, next); !f.active.isOpen() {
			continue
		}
		checked = time.Now()
		if f.failures.Load() > 0 && f.watching.startedAt() == 0 {
			w.lastFailed = false // the retries of the watch show what a check would
			w.retryExactCheck(checked)
			continue
		}
		var action advice
		if exact {
			action = f.checkRegularly(ctx, &w)
		} else {
			action = f.check(ctx, &w)
		}
		if action != trustWatch {
			f.abandonWatch(action)
		}
	}
}

// configure sets what the watchdog rests on and what changes with the follower's state.
func (f *Follower) configure(w *watchdog) {
	w.stuckAfter, w.exactEvery, w.checkEvery = f.shortened(f.opts.StuckTimeout), f.opts.ExactCheckEvery, f.shortened(f.opts.CheckEvery)
	w.budget, w.costs, w.confirmed = f.budget(), f.costs.load(), f.Confirmed()
}

// pauseUntilDue pauses until the next check, and has the watch abandoned as soon as it lacks something for too long.
func (f *Follower) pauseUntilDue(ctx context.Context, w *watchdog, next time.Time) {
	if !w.due.IsZero() && !w.due.After(next) {
		pause.For(ctx, time.Until(w.due))
		if w.isDue(time.Now(), f.directory.Snapshot().Revision) && ctx.Err() == nil {
			w.aheadSince, w.due = time.Time{}, time.Time{}
			f.abandonWatch(readAgain)
		}
	}
	pause.For(ctx, time.Until(next))
}

// check reads the store's revision cheaply, and exactly if the watchdog asks for
// that, and returns the watchdog's advice. What a cheap read returns may be old, so it confirms nothing.
func (f *Follower) check(ctx context.Context, w *watchdog) advice {
	w.observeKnown(f.directory.Snapshot().Revision)
	began := time.Now()
	revision, err := f.revision(ctx, false)
	if ctx.Err() != nil {
		return trustWatch
	}
	if err == nil {
		f.recordCheckAnswer(time.Now())
		f.costs.observeCheck(time.Since(began))
	}
	lagged := w.lagging
	highest := w.highest
	if err == nil {
		highest = max(highest, revision)
	}
	at := f.directory.Snapshot().Revision
	watching := f.observe(highest, at)
	action := w.observe(time.Now(), revision, at, watching, err)
	if w.lagging != lagged {
		f.opts.Log.Info("cheap reads of the store", "lagging", w.lagging, "revision", position.Text(revision), "known", position.Text(w.highest))
	}
	if action != checkExactly {
		return action
	}
	return f.checkExactly(ctx, w)
}

// checkRegularly makes the exact check that is due, and returns the watchdog's advice.
func (f *Follower) checkRegularly(ctx context.Context, w *watchdog) advice {
	began := time.Now()
	w.exactCheckedAt = began
	revision, err := f.revision(ctx, true)
	if ctx.Err() != nil {
		return trustWatch
	}
	at := f.directory.Snapshot().Revision
	if err == nil {
		f.recordCheckAnswer(time.Now())
		f.costs.observeCheck(time.Since(began))
		if revision <= at {
			f.Confirm(began)
		}
	}
	watching := f.observe(max(w.highest, revision), at)
	return w.observeRegular(time.Now(), revision, at, watching, err)
}

// checkExactly reads the store's revision exactly, because cheap reads lag, and returns the watchdog's advice.
func (f *Follower) checkExactly(ctx context.Context, w *watchdog) advice {
	began := time.Now()
	w.exactCheckedAt = began
	revision, err := f.revision(ctx, true)
	if err != nil {
		return trustWatch // the next cheap check shows whether the store answers
	}
	f.costs.observeCheck(time.Since(began))
	at := f.directory.Snapshot().Revision
	action := w.observeExact(revision, at)
	if action == trustWatch {
		f.Confirm(began)
	}
	f.observe(w.highest, at)
	return action
}

// observe records the highest position that a check has seen, reports whether a watch waits, and ends the
// pause before a watch that would come too late. at is the position up to which all changes are known.
func (f *Follower) observe(highest, at uint64) (watching bool) {
	watching = f.watching.observe(highest, f.Confirmed())
	if !watching && highest > at {
		select {
		case f.noticed <- struct{}{}:
		default:
		}
	}
	return watching
}

// revision reads the store's revision within CheckTimeout.
func (f *Follower) revision(ctx context.Context, exact bool) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, f.opts.CheckTimeout)
	defer cancel()
	f.calls.Add(1)
	return f.source.Revision(ctx, exact)
}

// abandonWatch has the present watch abandoned. Earlier advice that is still pending is
// kept instead, since it abandons the watch too.
func (f *Follower) abandonWatch(why advice) {
	select {
	case f.watchAdvice <- why:
	default:
	}
}

// watchAcceptedAfter is how long a watch must have waited to be assumed accepted by the store.
const watchAcceptedAfter = 200 * time.Millisecond

// recordCheckAnswer records the answer to a cheap check. The answer shows that the store can be
// reached; only a waiting watch shows that it also accepts watches.
func (f *Follower) recordCheckAnswer(now time.Time) {
	if f.WatchDuration(now) > watchAcceptedAfter {
		f.recordAnswer()
		return
	}
	f.answeredAt.Store(int64(now.Sub(f.startedAt)))
	f.opts.OnAnswer()
}
