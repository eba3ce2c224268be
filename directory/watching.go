package directory

import (
	"sync"
	"time"

	"github.com/lotuswing/lotuswing/coord/position"
)

// watching is the state that the watch and the monitor share. A watch that begins behind a position that
// a check has seen must be abandoned if it does not bring that position in time. begin and observe are
// atomic, so that whichever of a watch and a check comes first, the other one notices it: with separate
// loads and stores, each could miss the other, and the missed change was found only by the next check.
type watching struct {
	mu        sync.Mutex
	since     time.Duration // start of the present watch, measured from the follower's start; 0 for none
	highest   uint64        // highest position that the monitor knows of
	confirmed time.Time     // when nothing was missing before highest was seen; zero if unknown
}

// lack says whether a watch, or the pause before it, is behind a position that a check has seen.
type lack struct {
	behind    bool      // a check has seen a higher position than is known
	restored  bool      // that position is of a later era, which a watch does not reach
	confirmed time.Time // when nothing was missing; zero if unknown
}

// begin records that a watch for changes after a position begins, and returns what it lacks.
func (w *watching) begin(since time.Duration, after uint64) lack {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.since = max(since, 1)
	return w.lackAt(after)
}

// lack returns what is lacking at a position.
func (w *watching) lack(at uint64) lack {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.lackAt(at)
}

// lackAt is lack with w.mu held.
func (w *watching) lackAt(at uint64) lack {
	if w.highest <= at {
		return lack{}
	}
	return lack{behind: true, restored: position.Restored(at, w.highest), confirmed: w.confirmed}
}

// end records that the watch has ended.
func (w *watching) end() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.since = 0
}

// observe records the highest position that the monitor knows of, and the latest time at which nothing was
// missing, and reports whether a watch waits.
func (w *watching) observe(highest uint64, confirmed time.Time) (waiting bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.highest, w.confirmed = highest, confirmed
	return w.since != 0
}

// startedAt returns when the present watch began, measured from the follower's start; 0 if there is
// none.
func (w *watching) startedAt() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.since
}
