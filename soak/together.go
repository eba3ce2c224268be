package soak

import (
	"context"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"github.com/lotuswing/lotuswing/internal/pause"
	"github.com/lotuswing/lotuswing/platform/platformtest"
)

// A loss of power takes all balancers at once, or half of them, and what they would read to start again
// may be away as well. These faults strike beside the others, drawn from numbers of their
// own, so that the plays of seeds without them stay what they were.

const (
	// darkFor is how long all balancers are gone at most.
	darkFor = time.Second
	// awayFor is how long the store stays away at most once they start again.
	awayFor = 1500 * time.Millisecond
)

// strikeTogether kills all balancers at times, a mean gap apart, until ctx ends.
func (w *world) strikeTogether(ctx context.Context, gap time.Duration, rng *rand.Rand, report func(string)) {
	rest := func() { pause.For(ctx, time.Duration(rng.Int64N(int64(2*gap)))) }
	for rest(); ctx.Err() == nil; rest() {
		away := platformtest.Faults{Refuse: rng.IntN(2) == 0}
		away.Silent = !away.Refuse && rng.IntN(2) == 0
		report("all are killed")
		w.log.Info("fault", "kind", "all are killed", "store refuses", away.Refuse, "store silent", away.Silent)
		w.killTogether(w.balancers, away, time.Duration(rng.Int64N(int64(darkFor))), time.Duration(rng.Int64N(int64(awayFor))))
		w.log.Info("fault ends", "kind", "all are killed")
	}
}

// strikeHalf kills half of the balancers at once at times, a mean gap apart, until ctx ends. The other
// half has all the load meanwhile, and the store stays as it is.
func (w *world) strikeHalf(ctx context.Context, gap time.Duration, rng *rand.Rand, report func(string)) {
	rest := func() { pause.For(ctx, time.Duration(rng.Int64N(int64(2*gap)))) }
	for rest(); ctx.Err() == nil; rest() {
		half := make([]*balancer, 0, len(w.balancers))
		for _, i := range rng.Perm(len(w.balancers))[:(len(w.balancers)+1)/2] {
			half = append(half, w.balancers[i])
		}
		report("half are killed")
		w.log.Info("fault", "kind", "half are killed", "count", len(half))
		w.killTogether(half, platformtest.Faults{}, time.Duration(rng.Int64N(int64(darkFor))), 0)
		w.log.Info("fault ends", "kind", "half are killed")
	}
}

// killTogether kills those of some balancers that no other fault restarts, starts them again after
// a while and waits until they are ready. The store is away from the kill until a while
// after the start.
func (w *world) killTogether(some []*balancer, away platformtest.Faults, dark, awayFor time.Duration) {
	from := time.Now()
	w.store.SetFaults(away)
	var struck []*balancer
	for _, b := range some {
		if b.claim() {
			b.signal(syscall.SIGCONT)
			b.signal(syscall.SIGKILL)
			struck = append(struck, b)
		}
	}
	pause.For(w.ctx, dark)
	for _, b := range struck {
		b.gone()
		if err := b.run(); err != nil {
			w.fail(err)
		}
	}
	pause.For(w.ctx, awayFor)
	w.store.SetFaults(platformtest.Faults{})
	var ready sync.WaitGroup
	for _, b := range struck {
		ready.Go(func() {
			defer b.release()
			if err := b.waitReady(w.ctx); err != nil {
				w.fail(err)
			}
			w.calendar.disturb(b.id, from, time.Now())
		})
	}
	ready.Wait()
	w.calendar.disturb("", from, time.Now())
}
