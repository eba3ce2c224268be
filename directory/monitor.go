package directory

import (
	"context"
	"time"

	"github.com/lotuswing/lotuswing/internal/pause"
)

// monitor periodically checks the store's revision and has the watch abandoned when the watchdog
// finds that it misses changes or may be lost.
func (f *Follower) monitor(ctx context.Context) {
	var w watchdog
	checked := time.Now()
	for ctx.Err() == nil {
		if !f.active.isOpen() {
			f.active.wait(ctx)
			checked, w = time.Time{}, watchdog{} // so that the first check comes at once
		}
		w.stuckAfter, w.exactEvery, w.checkEvery = f.shortened(f.opts.StuckTimeout), f.opts.ExactCheckEvery, f.shortened(f.opts.CheckEvery)
		// The period counts from the start of a check to that of the next, however long an
		// answer takes. While a store compacts its history, cheap reads show a change for
		// little more than a second, so a longer period could miss it.
		pause.For(ctx, time.Until(checked.Add(w.untilNextCheck())))
		if !f.active.isOpen() {
			continue
		}
		checked = time.Now()
		if f.failures.Load() > 0 && f.watching.startedAt() == 0 {
			w.lastFailed = false // the retries of the watch show what a check would
			continue
		}
		if action := f.check(ctx, &w); action != trustWatch {
			f.abandonWatch(action)
		}
	}
}

// check reads the store's revision cheaply, and exactly if the watchdog asks for
// that, and returns the watchdog's advice.
func (f *Follower) check(ctx context.Context, w *watchdog) advice {
	w.observeKnown(f.directory.Snapshot().Revision)
	began := time.Now()
	revision, err := f.revision(ctx, false)
	if ctx.Err() != nil {
		return trustWatch
	}
	if err == nil {
		f.recordCheckAnswer(time.Now())
	}
	lagged := w.lagging
	highest := w.highest
	if err == nil {
		highest = max(highest, revision)
	}
	watching := f.watching.observe(highest)
	action := w.observe(time.Now(), revision, f.directory.Snapshot().Revision, watching, err)
	if err == nil && !w.lagging && w.highest <= f.directory.Snapshot().Revision {
		f.Confirm(began)
	}
	if w.lagging != lagged {
		f.opts.Log.Info("cheap reads of the store", "lagging", w.lagging, "revision", revision, "known", w.highest)
	}
	if action != checkExactly {
		return action
	}
	if revision, err = f.revision(ctx, true); err != nil {
		return trustWatch // the next cheap check shows whether the store answers
	}
	action = w.observeExact(revision, f.directory.Snapshot().Revision)
	if action == trustWatch {
		f.Confirm(began)
	}
	f.watching.observe(w.highest)
	return action
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
