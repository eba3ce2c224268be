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

// Most balancers are stopped as planned, one after the other and faster than one stop takes, as in an
// update of a fleet. These faults strike beside the others, drawn from numbers of their own, so that
// the plays of seeds without them stay what they were.

const (
	leastBetweenStops = 100 * time.Millisecond
	mostBetweenStops  = 500 * time.Millisecond
	// pausedInStop is how long a process is paused in a stop at most.
	pausedInStop = stopNotice / 2
	// storeSilentInStop is how long the store is silent from the beginning of a stop at most.
	storeSilentInStop = 1500 * time.Millisecond
)

// beside is what comes to a process while it stops.
type beside uint8

const (
	alone beside = iota
	hangUpBeside
	pauseBeside
	configurationBeside
	secondSignal
	silentStore
	besides
)

// String returns the name used in counts of faults.
func (b beside) String() string {
	return [...]string{"alone", "with a hang-up", "with a pause", "with a configuration", "with a second signal", "with a silent store"}[b]
}

// seriesStop is one planned stop of a series.
type seriesStop struct {
	balancer *balancer
	beside   beside
	after    time.Duration // from the stop's beginning until what comes beside
	lasts    float64       // of the longest time that it can last
	gap      time.Duration // until the next stop
}

// strikeStops stops most balancers in series at times, a mean gap apart, until ctx ends.
func (w *world) strikeStops(ctx context.Context, gap time.Duration, rng *rand.Rand, report func(string)) {
	rest := func() { pause.For(ctx, time.Duration(rng.Int64N(int64(2*gap)))) }
	for rest(); ctx.Err() == nil; rest() {
		report("stops in series")
		order := rng.Perm(len(w.balancers))[:max(1, len(w.balancers)*3/4)]
		rounds := 1
		if rng.IntN(3) == 0 {
			rounds = 2
			report("stops in series, twice over")
		}
		for range rounds {
			w.stopInSeries(ctx, w.drawSeries(order, rng), report)
		}
	}
}

// drawSeries draws how the stops of a series go. Half of them are alone.
func (w *world) drawSeries(order []int, rng *rand.Rand) []seriesStop {
	series := make([]seriesStop, 0, len(order))
	for _, i := range order {
		s := seriesStop{
			balancer: w.balancers[i], after: time.Duration(rng.Int64N(int64(stopNotice + stopNotice/2))), lasts: rng.Float64(),
			gap: leastBetweenStops + time.Duration(rng.Int64N(int64(mostBetweenStops-leastBetweenStops))),
		}
		if rng.IntN(2) == 0 {
			s.beside = 1 + beside(rng.IntN(int(besides)-1))
		}
		series = append(series, s)
	}
	return series
}

// stopInSeries begins the stops of a series and waits until all balancers are ready again.
func (w *world) stopInSeries(ctx context.Context, series []seriesStop, report func(string)) {
	var ends sync.WaitGroup
	for _, s := range series {
		if ctx.Err() != nil {
			break
		}
		if !s.balancer.claim() {
			continue
		}
		report("stop " + s.beside.String())
		w.log.Info("fault", "kind", "stop in series", "what", s.balancer.id+" "+s.beside.String())
		ends.Go(func() { w.stopAndRestart(s) })
		pause.For(ctx, s.gap)
	}
	ends.Wait()
}

// stopAndRestart stops a claimed balancer as planned, starts it again and releases it.
func (w *world) stopAndRestart(s seriesStop) {
	b := s.balancer
	defer b.release()
	from := time.Now()
	var strikes sync.WaitGroup
	if s.beside == silentStore {
		w.store.SetFaults(platformtest.Faults{Silent: true})
		strikes.Go(func() {
			pause.For(w.ctx, time.Duration(s.lasts*float64(storeSilentInStop)))
			w.store.SetFaults(platformtest.Faults{})
			w.calendar.bear("", from, time.Now())
		})
	}
	gone := w.beginStop(b)
	strikes.Go(func() { w.strikeInStop(s) })
	gone()
	if err := b.run(); err != nil {
		w.fail(err)
	}
	strikes.Wait()
	if err := b.waitReady(w.ctx); err != nil {
		w.fail(err)
	}
	w.calendar.bear(b.id, from, time.Now())
}

// strikeInStop lets what comes beside a stop come, if the process is still there.
func (w *world) strikeInStop(s seriesStop) {
	b := s.balancer
	if b.goneWithin(s.after) {
		return
	}
	switch from := time.Now(); s.beside {
	case hangUpBeside:
		if err := b.writeSettings(); err != nil {
			w.fail(err)
		}
		b.signal(syscall.SIGHUP)
	case pauseBeside:
		b.signal(syscall.SIGSTOP)
		pause.For(w.ctx, time.Duration(s.lasts*float64(pausedInStop)))
		b.signal(syscall.SIGCONT)
		w.calendar.disturb(b.id, from, time.Now())
	case configurationBeside:
		w.publishAgain()
	case secondSignal: // it ends the waiting for requests in flight
		b.signal(syscall.SIGTERM)
		b.gone()
		w.calendar.disturb(b.id, from, time.Now())
	case alone, silentStore, besides:
	}
}
