package directory

import (
	"context"
	"time"

	"github.com/lotuswing/lotuswing/internal/pause"
)

// monitor checks the store's revision from time to time and has a watch given up
// that seems to miss changes. The rule is the watchdog's.
func (f *Follower) monitor(ctx context.Context) {
	var w watchdog
	checked := time.Now()
	for ctx.Err() == nil {
		if !f.active.open() {
			f.active.wait(ctx)
			checked, w = time.Time{}, watchdog{} // checks at once
		}
		w.stuckAfter, w.exactEvery, w.checkEvery = f.shortened(f.opts.StuckAfter), f.opts.ExactCheckEvery, f.shortened(f.opts.CheckEvery)
		// The period counts from check to check, however long an answer takes: while
		// a store drops its history, cheap reads tell of a change for little more
		// than a second.
		pause.For(ctx, time.Until(checked.Add(w.next())))
		if !f.active.open() {
			continue
		}
		checked = time.Now()
		if f.failures.Load() > 0 && f.watching.Load() == 0 {
			w.failed = false // the tries to watch tell what a check would
			continue
		}
		if do := f.check(ctx, &w); do != trustWatch {
			f.giveUpWatch(do)
		}
	}
}

// check reads the store's revision cheaply, and exactly where the watchdog asks for
// that.
func (f *Follower) check(ctx context.Context, w *watchdog) advice {
	revision, err := f.revision(ctx, false)
	if ctx.Err() != nil {
		return trustWatch
	}
	if err == nil {
		f.checkAnswered(time.Now())
	}
	if f.compacted.Swap(false) {
		w.observeCompaction()
	}
	do := w.observe(time.Now(), revision, f.directory.Snapshot().At, f.watching.Load() != 0, err)
	if do != checkExactly {
		return do
	}
	if revision, err = f.revision(ctx, true); err != nil {
		return trustWatch // the next cheap check sees whether the store answers
	}
	return w.observeExact(revision, f.directory.Snapshot().At)
}

func (f *Follower) revision(ctx context.Context, exact bool) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, f.opts.CheckWait)
	defer cancel()
	f.calls.Add(1)
	return f.source.Revision(ctx, exact)
}

// giveUpWatch has the present watch given up. Advice that was not followed yet is
// as good.
func (f *Follower) giveUpWatch(why advice) {
	select {
	case f.giveUp <- why:
	default:
	}
}

// watchAccepted is how long a watch must have waited to be thought accepted by the store.
const watchAccepted = 200 * time.Millisecond

// checkAnswered notes the answer to a cheap check. It shows that the store is
// reached; that it also takes watches shows one that waits.
func (f *Follower) checkAnswered(now time.Time) {
	if f.Watching(now) > watchAccepted {
		f.noteAnswer()
		return
	}
	f.answered.Store(int64(now.Sub(f.began)))
	f.opts.OnAnswer()
}
