package soak

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/lotuswing/lotuswing/internal/pause"
	"github.com/lotuswing/lotuswing/platform/platformtest"
)

// The store comes back from a copy some seconds old, at times twice in a row, after it was away or without a
// pause; sometimes it withholds changes from watches just before, and its cheap reads lag afterwards. These
// faults strike beside the others, drawn from numbers of their own, so that the plays of seeds without them
// stay what they were.

const (
	// maxCopyAge is how old a copy is at most when the store comes back from it.
	maxCopyAge = 3 * time.Second
	// maxRestoreAway is how long the store is away at most before it comes back.
	maxRestoreAway = time.Second
	// maxRewriteAfter is how long the operator and the servers take at most to write again.
	maxRewriteAfter = 1500 * time.Millisecond
)

// strikeRestores restores the store from a copy at times, a mean gap apart, until ctx ends.
func (w *world) strikeRestores(ctx context.Context, gap time.Duration, rng *rand.Rand, report func(string)) {
	upTo := func(longest time.Duration) time.Duration { return time.Duration(rng.Int64N(int64(longest))) }
	rest := func() { pause.For(ctx, upTo(2*gap)) }
	for rest(); ctx.Err() == nil; rest() {
		saved := w.store.Copy()
		pause.For(ctx, upTo(maxCopyAge))
		report("store comes back from a copy")
		for range 1 + rng.IntN(2) {
			w.restoreStore(ctx, saved, rng.IntN(2) == 0, rng.IntN(3) == 0, upTo(maxRestoreAway), upTo(maxRewriteAfter))
		}
	}
}

// restoreStore restores the store from a copy and returns once what was lost is written again.
func (w *world) restoreStore(ctx context.Context, saved platformtest.Copy, goesAway, withholds bool, away, rewriteAfter time.Duration) {
	from := time.Now()
	w.log.Info("fault", "kind", "store comes back from a copy", "away", goesAway, "withholds", withholds, "rewritten_after", rewriteAfter)
	if withholds {
		w.store.BeginCompaction()
	}
	if goesAway {
		w.store.SetFaults(platformtest.Faults{Silent: true})
		pause.For(ctx, away)
		w.store.SetFaults(platformtest.Faults{})
	}
	if withholds {
		w.store.EndCompaction(rewriteAfter)
	}
	w.store.Restore(saved, rewriteAfter)
	pause.For(w.ctx, rewriteAfter+restoreSlack)
	w.calendar.bear("", from, time.Now())
	w.log.Info("fault ends", "kind", "store comes back from a copy")
}

// restoreSlack lets the rewriting end before the fault does.
const restoreSlack = 50 * time.Millisecond
