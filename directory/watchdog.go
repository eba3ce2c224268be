package directory

import (
	"time"

	"github.com/lotuswing/lotuswing/coord/freshness"
	"github.com/lotuswing/lotuswing/coord/position"
)

// advice is what a watchdog recommends to do about a watch.
type advice uint8

const (
	// trustWatch means that nothing indicates a fault of the watch.
	trustWatch advice = iota
	// checkExactly means that the store's revision should be read exactly, because cheap reads
	// lag: they return a lower revision than is known.
	checkExactly
	// watchAgain means that the store did not answer for a time, so the watch may be lost;
	// a new watch brings what it has missed.
	watchAgain
	// readAgain means that the watch misses changes, so everything must be read again.
	readAgain
)

// watchdog judges, from the revisions that reads of the store return, whether a waiting watch can be trusted.
// The revision of a cheap read may be seconds old, and is never ahead of the store: it can show that a change
// is missing, but not that none is. Only an exact read can, so one is due a period after the latest time at
// which nothing was missing. The zero value has seen nothing. It is not safe for concurrent use.
type watchdog struct {
	stuckAfter time.Duration // within which the watch must bring a revision that a check has seen
	exactEvery time.Duration // longest time between an exact check and a time at which nothing was missing
	checkEvery time.Duration // longest time between cheap checks while the watch can be trusted
	budget     freshness.Budget
	costs      freshness.Costs
	confirmed  time.Time // latest time at which nothing was missing; zero if unknown

	due            time.Time // when everything must be read unless the watch brings what a check has seen; zero for never
	lastFailed     bool      // the last check was not answered
	lagging        bool      // the last cheap check that was answered returned less than highest
	highest        uint64    // highest revision that a check returned or that the directory has reached
	aheadSince     time.Time // when a check first saw a revision that the watch has not brought yet; zero for none
	exactCheckedAt time.Time // time of the last exact check
}

// observeKnown records the revision up to which the directory knows all changes. It is called before
// each cheap check, so that a check that returns less is known to lag even if no check has ever
// returned that revision.
func (w *watchdog) observeKnown(revision uint64) { w.highest = max(w.highest, revision) }

// observe judges the watch after a cheap check that returned revision or err. at is the
// revision up to which the directory knows all changes; watching is false while no watch waits,
// as in the pause in which changes are batched.
func (w *watchdog) observe(now time.Time, revision, at uint64, watching bool, err error) advice {
	if err != nil {
		w.lastFailed = true
		return trustWatch
	}
	if w.lastFailed {
		w.lastFailed = false
		w.highest = max(w.highest, revision)
		return watchAgain
	}
	w.lagging = revision < w.highest
	w.highest = max(w.highest, revision)
	if w.highest > at && watching {
		if position.Restored(at, w.highest) {
			return readAgain // a watch does not reach a later era
		}
		return w.checkStuck(now)
	}
	w.aheadSince, w.due = time.Time{}, time.Time{}
	if w.lagging && now.Sub(w.exactCheckedAt) >= w.exactEvery {
		w.exactCheckedAt = now
		return checkExactly
	}
	return trustWatch
}

// checkStuck judges a watch that has not brought a revision that a check has seen.
func (w *watchdog) checkStuck(now time.Time) advice {
	if w.aheadSince.IsZero() {
		w.aheadSince, w.due = now, w.budget.ReadAt(w.confirmed, now, w.costs)
		return trustWatch
	}
	if now.Sub(w.aheadSince) < w.stuckAfter {
		return trustWatch
	}
	w.aheadSince, w.due = time.Time{}, time.Time{}
	return readAgain
}

// nextCheck returns when the next check begins after one that began at checked, and whether it is an exact one.
// While the watch has not brought a revision that a check has seen, a check comes sooner.
func (w *watchdog) nextCheck(checked time.Time) (at time.Time, exact bool) {
	if !w.aheadSince.IsZero() {
		at = checked.Add(w.stuckAfter)
		if w.due.After(at) {
			at = w.due // a check must not delay the read that is due
		}
		return at, false
	}
	at = checked.Add(w.budget.CheckPeriod(w.checkEvery, w.costs))
	last := w.exactCheckedAt
	if w.confirmed.After(last) {
		last = w.confirmed
	}
	if last.IsZero() {
		return at, false
	}
	exactAt := last.Add(w.budget.ExactCheckPeriod(w.exactEvery, w.costs))
	if !w.budget.CheapFits(w.costs) || exactAt.Before(at.Add(w.costs.Check)) { // a cheap check must not delay the exact one
		return exactAt, true
	}
	return at, false
}

// retryExactCheck has the next check, a period of cheap ones after the time now, be an exact one.
func (w *watchdog) retryExactCheck(now time.Time) {
	w.exactCheckedAt = now.Add(w.budget.CheckPeriod(w.checkEvery, w.costs) - w.budget.ExactCheckPeriod(w.exactEvery, w.costs))
}

// observeRegular judges the watch after an exact check that returned revision or err, at its regular time. Such
// a check may come before the watch has brought a change that the store has just accepted.
func (w *watchdog) observeRegular(now time.Time, revision, at uint64, watching bool, err error) advice {
	switch {
	case err != nil:
		w.lastFailed = true
		w.retryExactCheck(now)
		return trustWatch
	case w.lastFailed:
		w.lastFailed = false
		w.highest = max(w.highest, revision)
		return watchAgain
	}
	w.highest = max(w.highest, revision)
	if w.highest <= at || !watching {
		w.aheadSince, w.due = time.Time{}, time.Time{}
		return trustWatch
	}
	if position.Restored(at, w.highest) {
		return readAgain
	}
	return w.checkStuck(now)
}

// isDue reports whether everything must be read now, given the revision up to which the directory knows all
// changes, because the watch has not brought what a check has seen.
func (w *watchdog) isDue(now time.Time, at uint64) bool {
	return !w.due.IsZero() && !now.Before(w.due) && w.highest > at
}

// observeExact judges the watch after an exact check that returned revision.
func (w *watchdog) observeExact(revision, at uint64) advice {
	w.highest = max(w.highest, revision)
	if revision > at {
		return readAgain
	}
	return trustWatch
}
