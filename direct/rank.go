package direct

import (
	"cmp"
	"slices"
	"time"

	"github.com/lotuswing/lotuswing/coord/placement"
	"github.com/lotuswing/lotuswing/coord/selection"
	"github.com/lotuswing/lotuswing/directory"
)

// candidate is an endpoint that may get a request, as it was when the candidate
// was made.
type candidate struct {
	entry    *directory.Endpoint
	known    *endpoint // shared; read and written with Chooser.mu held
	reported time.Time // when its last report came; zero for never
	ejected  bool
	estimate time.Duration // of the time until its answer
	// cost is the estimate with what traffic between zones and new connections
	// cost.
	cost  time.Duration
	busy  int    // requests that it is thought to hold
	slots int    // that it works on at once
	full  bool   // it holds as many requests as it should
	good  bool   // nothing better is worth looking for
	lot   uint32 // decides between equals
}

// age returns how old the last report is; very old when there is none.
func (c *candidate) age(now time.Time) time.Duration { return now.Sub(c.reported) }

// compare orders candidates: those with room first, then by cost.
func (c *candidate) compare(o *candidate) int {
	switch {
	case c.full != o.full && c.full:
		return 1
	case c.full != o.full:
		return -1
	case c.cost != o.cost:
		return cmp.Compare(c.cost, o.cost)
	}
	return cmp.Compare(c.lot, o.lot)
}

// ranking is a list of candidates that is put in order only as far as it is
// asked for: of hundreds, a few are looked at.
type ranking struct {
	list   []candidate
	sorted int // so many stand in their places, the best first
}

func (r *ranking) empty() bool { return len(r.list) == 0 }

// best returns the best candidate of a ranking that is not empty.
func (r *ranking) best() *candidate { return r.at(0) }

// at returns the candidate in place i, counted from the best.
func (r *ranking) at(i int) *candidate {
	for ; r.sorted <= i; r.sorted++ {
		next := r.sorted
		for j := r.sorted + 1; j < len(r.list); j++ {
			if r.list[j].compare(&r.list[next]) < 0 {
				next = j
			}
		}
		r.list[r.sorted], r.list[next] = r.list[next], r.list[r.sorted]
	}
	return &r.list[i]
}

// rank fills a ranking with the endpoints that may get a request. Ejected ones
// are left out while there are others.
func (f *Chooser) rank(r *ranking, a placement.Request, now time.Time) {
	service := serviceOf(a.Service)
	all := f.cfg.Directory.Snapshot().Endpoints[service]
	f.mu.Lock()
	defer f.mu.Unlock()
	r.list, r.sorted = slices.Grow(r.list[:0], len(all)), 0
	usual := habits{work: f.usual(a.Kind), crowded: f.crowded(service)}
	ejected := 0
	for i := range all {
		e := &all[i]
		if !e.Usable(now) || slices.Contains(a.Avoid, e.VM) {
			continue
		}
		c := f.candidate(e, usual, now)
		if c.ejected {
			ejected++
		}
		r.list = append(r.list, c)
	}
	if ejected > 0 && ejected < len(r.list) {
		r.list = slices.DeleteFunc(r.list, func(c candidate) bool { return c.ejected })
	}
}

// habits are what was learnt of a request's kind and service.
type habits struct {
	work    time.Duration // usual service time
	crowded float64       // factor of an endpoint's last slot
}

func (f *Chooser) candidate(e *directory.Endpoint, usual habits, now time.Time) candidate {
	k := f.known(e.VM)
	view := selection.Endpoint{
		Slots:    e.Slots,
		Warm:     !now.Before(e.WarmAt),
		Slowness: max(1, k.health.Slowness()/slownessGrace),
		Crowded:  usual.crowded,
	}
	estimate := k.load.Estimate(view, usual.work, f.opts.Estimate, now)
	estimate += time.Duration(k.unheard) * unheardCost
	c := candidate{
		entry: e, known: k, reported: k.load.Report().At, ejected: k.health.Ejected(now),
		busy: k.load.Busy(f.opts.Estimate, now), slots: k.load.Slots(e.Slots), lot: f.rng.Uint32(),
	}
	if e.Zone != f.cfg.Zone {
		estimate += f.opts.ZoneDelay
		c.cost = f.opts.ZoneCost
	}
	if now.Sub(k.heard) > f.opts.ConnectionLife {
		c.cost += f.opts.ConnectionCost
	}
	c.estimate = estimate
	c.cost += estimate
	c.full = c.busy >= k.load.Room(view) || now.Before(k.pauseUntil)
	c.good = !c.full && k.unheard == 0 && k.load.Pace(f.opts.Estimate, now) <= f.opts.GoodPace
	return c
}

const (
	// slownessGrace is how many times slower than usual an endpoint's
	// completions may be before its estimate grows with them.
	slownessGrace = 2
	// unheardCost is added for each probe in a row without an answer.
	unheardCost = 150 * time.Millisecond
)
