package directory

import "time"

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

// watchdog judges, from the revisions that cheap reads of the store return, whether a
// waiting watch can be trusted. The revision of such a read may be seconds old; it is never
// ahead of the store. The zero value has seen nothing. It is not safe for concurrent use.
type watchdog struct {
	stuckAfter time.Duration // within which the watch must bring a revision that a check has seen
	exactEvery time.Duration // least time between exact checks while cheap reads lag
	checkEvery time.Duration // time between cheap checks while the watch can be trusted

	lastFailed     bool      // the last cheap check was not answered
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
		return w.checkStuck(now)
	}
	w.aheadSince = time.Time{}
	if w.lagging && now.Sub(w.exactCheckedAt) >= w.exactEvery {
		w.exactCheckedAt = now
		return checkExactly
	}
	return trustWatch
}

// checkStuck judges a watch that has not brought a revision that a check has seen.
func (w *watchdog) checkStuck(now time.Time) advice {
	if w.aheadSince.IsZero() {
		w.aheadSince = now
		return trustWatch
	}
	if now.Sub(w.aheadSince) < w.stuckAfter {
		return trustWatch
	}
	w.aheadSince = time.Time{}
	return readAgain
}

// untilNextCheck returns the time between the last cheap check and the next: less than usual while
// the watch has not brought a revision that a check has seen.
func (w *watchdog) untilNextCheck() time.Duration {
	if !w.aheadSince.IsZero() {
		return w.stuckAfter
	}
	return w.checkEvery
}

// observeExact judges the watch after an exact check that returned revision.
func (w *watchdog) observeExact(revision, at uint64) advice {
	w.highest = max(w.highest, revision)
	if revision > at {
		return readAgain
	}
	return trustWatch
}
