package directory

import "time"

// advice is what a watchdog wants done about a watch.
type advice uint8

const (
	// trustWatch: nothing speaks against the watch.
	trustWatch advice = iota
	// checkExactly: the store's revision should be read in a way that cannot be
	// stale.
	checkExactly
	// watchAgain: the store did not answer for a time, so the watch may be lost;
	// one that begins now tells what it has missed.
	watchAgain
	// readAgain: the watch misses changes, so everything is read again.
	readAgain
)

// watchdog judges, from the revisions that cheap reads of the store name, whether a
// waiting watch can be trusted. Such a read may be seconds behind; it is never
// ahead. The zero value has seen nothing. It is not safe for concurrent use.
type watchdog struct {
	stuckAfter time.Duration // a revision known for so long must have come
	exactEvery time.Duration // between exact checks while reads lag
	checkEvery time.Duration // between cheap checks while all is well

	failed     bool      // the last check was not answered
	highest    uint64    // revision seen
	aheadSince time.Time // when a revision was first known that the watch had not brought
	checked    time.Time // last exact check
	compacted  bool      // the history went while reads lag: the watch is a new one
}

// observe judges the watch after a cheap check. at is the revision up to which the
// directory knows all changes; watching is false while no watch waits because
// changes are left to gather.
func (w *watchdog) observe(now time.Time, revision, at uint64, watching bool, err error) advice {
	if err != nil {
		w.failed = true
		return trustWatch
	}
	if w.failed {
		w.failed = false
		w.highest = max(w.highest, revision)
		return watchAgain
	}
	lagging := revision < w.highest
	w.highest = max(w.highest, revision)
	if !lagging {
		w.compacted = false
	}
	if w.highest > at && watching {
		return w.ahead(now)
	}
	w.aheadSince = time.Time{}
	if lagging && !w.compacted && now.Sub(w.checked) >= w.exactEvery {
		w.checked = now
		return checkExactly
	}
	return trustWatch
}

// ahead judges a watch that has not brought a revision that is known.
func (w *watchdog) ahead(now time.Time) advice {
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

// next returns how long to wait for the next cheap check: less while a revision is
// known that the watch has not brought.
func (w *watchdog) next() time.Duration {
	if !w.aheadSince.IsZero() {
		return w.stuckAfter
	}
	return w.checkEvery
}

// observeExact judges the watch after an exact check.
func (w *watchdog) observeExact(revision, at uint64) advice {
	w.highest = max(w.highest, revision)
	if revision > at {
		return readAgain
	}
	return trustWatch
}

// observeCompaction notes that the store has dropped its history.
func (w *watchdog) observeCompaction() { w.compacted = true }
