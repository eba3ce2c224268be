package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/lotuswing/lotuswing/internal/pause"
)

// An operator empties a zone now and then and takes it back, and its endpoints have turned
// cold by then. This fault strikes beside the others, drawn from numbers of its own, so that
// the plays of seeds without it stay what they were. With it endpoints stand in all zones.

const (
	// emptiedFor is how long a zone stays emptied at most.
	emptiedFor = 6 * time.Second
	// emptyLimit is after which an emptied zone gets nothing more.
	emptyLimit = 3 * time.Second
	// coldFor is how long endpoints warm up, coldPace how long work takes meanwhile, in
	// percent of the usual.
	coldFor  = 3 * time.Second
	coldPace = 200
)

// emptying is a time in which a zone is emptied.
type emptying struct {
	zone     string
	from, to time.Time
}

// strikeZones empties zones at times, a mean gap apart, until ctx ends.
func (w *world) strikeZones(ctx context.Context, gap time.Duration, rng *rand.Rand, report func(string)) {
	var warming sync.WaitGroup
	defer warming.Wait()
	rest := func() { pause.For(ctx, time.Duration(rng.Int64N(int64(2*gap)))) }
	for rest(); ctx.Err() == nil; rest() {
		zone := zoneName(rng.IntN(zones))
		report("zone emptied")
		w.log.Info("fault", "kind", "zone emptied", "zone", zone)
		w.store.Evacuate(zone)
		e := emptying{zone: zone, from: time.Now()}
		pause.For(ctx, time.Duration(rng.Int64N(int64(emptiedFor))))
		w.cool(ctx, zone, &warming)
		w.store.EndEvacuation(zone)
		e.to = time.Now()
		w.calendar.empty(e)
		w.log.Info("fault ends", "kind", "zone emptied", "zone", zone)
	}
}

// cool lets the endpoints of a zone turn cold, and warm again after a while.
func (w *world) cool(ctx context.Context, zone string, warming *sync.WaitGroup) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, e := range w.current {
		if e.zone == zone {
			w.turnCold(ctx, e, coldFor, coldPace, 0, warming)
		}
	}
}

// zoneName returns the name of a zone.
func zoneName(number int) string { return fmt.Sprintf("zone-%d", number) }

func (c *calendar) empty(e emptying) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.emptyings = append(c.emptyings, e)
}

// checkEmptied compares where a request ran with the zones that were emptied; c.mu is held.
func (l *ledger) checkEmptied(c *calendar, r *sentRequest, at time.Time, e *endpoint) {
	for _, z := range c.emptyings {
		if z.zone != e.zone || at.Sub(z.from) <= emptyLimit || at.After(z.to) {
			continue
		}
		if c.quiet(r.balancer, z.from, at) {
			l.broken(NothingToEmptied, r.id, "%s got it by %s, %v after its zone was emptied", e.server.ID, r.balancer, at.Sub(z.from))
		}
	}
}
