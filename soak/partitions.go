package soak

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/lotuswing/lotuswing/coord/reason"
	"github.com/lotuswing/lotuswing/internal/partition"
	"github.com/lotuswing/lotuswing/internal/pause"
)

// Balancers lose their paths to all endpoints, some of them at once, while callers, the store and the
// other balancers still reach them. These faults strike beside the others, drawn from numbers of their
// own. They excuse nothing: all promises hold for balancers without paths, too.

const (
	// partitionedFor is how long paths are lost at most.
	partitionedFor = 8 * time.Second
	// detourKnown is the time after which a balancer must serve over detours.
	detourKnown = 3 * time.Second
	// toleratedFailures of a partitioned balancer's requests, and one in toleratedOf, may fail
	// however many are served elsewhere.
	toleratedFailures = 10
	toleratedOf       = 50
	// leastServed is the least share of requests that is served, compared with other balancers.
	leastServed = 2.0 / 3
)

// partitioning is a time in which some balancers had no paths to endpoints.
type partitioning struct {
	balancers map[string]bool
	from, to  time.Time
}

// strikePartitions cuts balancers off at times, a mean gap apart, until ctx ends.
func (w *world) strikePartitions(ctx context.Context, gap time.Duration, rng *rand.Rand, report func(string)) {
	var ends sync.WaitGroup
	defer ends.Wait()
	var mu sync.Mutex
	taken := map[*balancer]bool{}
	rest := func() { pause.For(ctx, time.Duration(rng.Int64N(int64(2*gap)))) }
	for rest(); ctx.Err() == nil; rest() {
		mode := partition.Modes[rng.IntN(len(partition.Modes))]
		duration := time.Duration(rng.Int64N(int64(partitionedFor)))
		count := 1 + rng.IntN(max(1, len(w.balancers)-1))
		mu.Lock()
		var struck []*balancer
		for _, i := range rng.Perm(len(w.balancers))[:count] {
			// At least one keeps its paths, whatever overlaps.
			if b := w.balancers[i]; !taken[b] && len(taken) < len(w.balancers)-1 {
				taken[b] = true
				struck = append(struck, b)
			}
		}
		mu.Unlock()
		if len(struck) == 0 {
			continue
		}
		report("paths lost")
		w.log.Info("fault", "kind", "paths lost", "mode", string(mode), "balancers", ids(struck), "for", duration.String())
		ends.Go(func() {
			w.partition(ctx, struck, mode, duration)
			mu.Lock()
			defer mu.Unlock()
			for _, b := range struck {
				delete(taken, b)
			}
		})
	}
}

// ids returns the identities of balancers.
func ids(balancers []*balancer) []string {
	list := make([]string, 0, len(balancers))
	for _, b := range balancers {
		list = append(list, b.id)
	}
	return list
}

// partition takes the paths of some balancers away for a while.
func (w *world) partition(ctx context.Context, struck []*balancer, mode partition.Mode, duration time.Duration) {
	p := partitioning{balancers: map[string]bool{}, from: time.Now()}
	for _, b := range struck {
		p.balancers[b.id] = true
		w.setPaths(b, mode)
	}
	pause.For(ctx, duration)
	p.to = time.Now()
	for _, b := range struck {
		w.setPaths(b, partition.Open)
	}
	w.calendar.mu.Lock()
	defer w.calendar.mu.Unlock()
	w.calendar.partitionings = append(w.calendar.partitionings, p)
}

// setPaths tells a balancer's process how its paths to endpoints are lost.
func (w *world) setPaths(b *balancer, mode partition.Mode) {
	next := b.paths + ".next"
	err := os.WriteFile(next, []byte(mode), 0o600)
	if err == nil {
		err = os.Rename(next, b.paths)
	}
	if err != nil {
		w.fail(fmt.Errorf("soak: paths of %s: %w", b.id, err))
	}
}

// checkPartitions compares how requests were served at balancers without paths, and elsewhere.
func (l *ledger) checkPartitions(c *calendar) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.partitionings {
		cut, others := l.servedDuring(c, p)
		failed := cut.sent - cut.served
		if failed <= toleratedFailures+cut.sent/toleratedOf || cut.share() >= leastServed*others.share() {
			continue
		}
		l.broken(ServedAround, "", "%d of %d were served at %v without paths from %s to %s, %d of %d elsewhere", cut.served, cut.sent,
			slices.Sorted(maps.Keys(p.balancers)), p.from.Format(time.StampMilli), p.to.Format(time.StampMilli), others.served, others.sent)
	}
}

// servedCount counts requests.
type servedCount struct{ sent, served int }

func (s servedCount) share() float64 { return float64(s.served) / float64(max(1, s.sent)) }

// refusedAnywhere are reason codes of refusals that do not depend on the paths of a balancer: keys, quotas,
// limits and backoffs.
var refusedAnywhere = map[reason.Code]bool{
	reason.KeyRefused: true, reason.KeyUnknown: true, reason.QuotaExceeded: true, reason.EndpointsLimited: true, reason.EndpointsBackingOff: true,
}

// servedDuring counts the requests of a partition, once its balancers must know of it, at these
// balancers and at others. Left out are those at balancers that anything else disturbed, those sent
// while no balancer has its paths and is undisturbed, and those that are refused at any balancer.
func (l *ledger) servedDuring(c *calendar, p partitioning) (cut, others servedCount) {
	l.mu.Lock()
	defer l.mu.Unlock()
	balancers := map[string]bool{}
	for _, r := range l.sent {
		balancers[r.balancer] = true
	}
	for _, r := range l.sent {
		if r.at.Before(p.from.Add(detourKnown)) || r.at.After(p.to) || refusedAnywhere[r.reason] ||
			!c.quiet(r.balancer, r.at, r.at.Add(routeTimeout)) || !c.anyHasPaths(balancers, r.at, r.at.Add(routeTimeout)) {
			continue
		}
		count := &others
		if p.balancers[r.balancer] {
			count = &cut
		}
		count.sent++
		if r.status >= 200 && r.status < 300 {
			count.served++
		}
	}
	return cut, others
}

// anyHasPaths reports whether one of the balancers has its paths to endpoints and is undisturbed during a
// time; c.mu is held.
func (c *calendar) anyHasPaths(balancers map[string]bool, from, to time.Time) bool {
	for id := range balancers {
		partitioned := slices.ContainsFunc(c.partitionings, func(p partitioning) bool {
			return p.balancers[id] && p.from.Before(to) && p.to.After(from)
		})
		if !partitioned && c.quiet(id, from, to) {
			return true
		}
	}
	return false
}
