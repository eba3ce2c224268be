package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
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

const (
	// lostWrites is how many writes the last restore loses: more than follow it, so that revisions stay below those
	// that balancers know.
	lostWrites = 40
	// knownLimit is how long balancers have to know a configuration. It only ends the waiting.
	knownLimit = 30 * time.Second
)

// checkRestore restores the store once more, after all other faults, and checks that every balancer comes to know
// a configuration that is written then, though it has the revision of a write that was lost.
func (w *world) checkRestore(ctx context.Context, sent *ledger) {
	w.awaitVersion(ctx, sent, "before the restore")
	saved := w.store.Copy()
	for range lostWrites {
		w.publishAgain()
	}
	w.awaitVersion(ctx, sent, "with writes that are lost")
	w.store.Restore(saved, 0)
	w.publishAgain()
	w.awaitVersion(ctx, sent, "after the restore")
}

// awaitVersion waits until all balancers have the latest configuration in force, or breaks the promise.
func (w *world) awaitVersion(ctx context.Context, sent *ledger, when string) {
	w.mu.Lock()
	latest := w.version
	w.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, knownLimit)
	defer cancel()
	for _, b := range w.balancers {
		known := b.version()
		for ; known != latest && ctx.Err() == nil; known = b.version() {
			pause.For(ctx, askEvery)
		}
		if known != latest {
			sent.broken(InForce, fmt.Sprint("version ", latest), "%s has version %d %s", b.id, known, when)
		}
	}
}

// askEvery is the time between two questions to a balancer.
const askEvery = 20 * time.Millisecond

// version returns the configuration that a balancer has in force, 0 if it does not answer.
func (b *balancer) version() uint64 {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + b.admin + "/status")
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }() // read to its end
	var st struct{ Version uint64 }
	if err := json.NewDecoder(resp.Body).Decode(&st); err != nil {
		return 0
	}
	return st.Version
}
