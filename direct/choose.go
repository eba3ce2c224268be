package direct

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/lotuswing/lotuswing/coord/contract"
	"github.com/lotuswing/lotuswing/coord/health"
	"github.com/lotuswing/lotuswing/coord/reason"
	"github.com/lotuswing/lotuswing/coord/selection"
	"github.com/lotuswing/lotuswing/directory"
	"github.com/lotuswing/lotuswing/link"
	"github.com/lotuswing/lotuswing/node"
)

// endpoint is what this process knows of one endpoint beside its entry.
type endpoint struct {
	load       selection.State
	health     health.State
	pauseUntil time.Time // it refused a request and is left alone until then
	probed     float64   // tokens of the endpoint's budget of probes
	refilled   time.Time // when the tokens were counted last
	heard      time.Time // last answer of any kind
	unheard    int       // probes in a row without an answer
	used       time.Time
}

// workload is the usual service time of a request kind, learnt from
// completions divided by the pace of the endpoint.
type workload struct {
	usual   float64 // nanoseconds
	samples int
}

const (
	startWork   = 100 * time.Millisecond // of a kind that has not been seen
	workWeight  = 0.05                   // of a new sample in the average
	sureSamples = 20                     // from which the average counts in full
	shedPause   = 25 * time.Millisecond
	forgetAfter = time.Minute
)

// known returns the state of an endpoint; f.mu is held.
func (f *Fleet) known(e directory.Endpoint) *endpoint {
	k, ok := f.endpoints[e.VM]
	if !ok {
		k = &endpoint{health: health.New(health.Options{}), probed: f.opts.ProbeBurst}
		f.endpoints[e.VM] = k
	}
	return k
}

// candidate is an endpoint that may get a request.
type candidate struct {
	directory.Endpoint
	known    *endpoint
	estimate time.Duration
	full     bool
}

// Acquire chooses an endpoint for a request. While all are full it looks again,
// until a part of the request's target has passed.
func (f *Fleet) Acquire(ctx context.Context, a node.Ask) (node.Grant, *node.Refusal) {
	giveUp := f.giveUpAt(a)
	for {
		now := time.Now()
		list := f.candidates(a, now)
		if len(list) == 0 {
			return node.Grant{}, &node.Refusal{Reason: reason.NoEndpoint, RetryAfter: f.comeBack(a)}
		}
		if f.probe(ctx, a, list) {
			list = f.candidates(a, time.Now())
		}
		if ctx.Err() != nil {
			return node.Grant{}, &node.Refusal{Reason: reason.CallerLeft}
		}
		if g, ok := f.take(a, list); ok {
			return g, nil
		}
		switch now = time.Now(); {
		case !now.Before(a.Deadline):
			return node.Grant{}, &node.Refusal{Reason: reason.Expired, RetryAfter: f.comeBack(a)}
		case !now.Before(giveUp):
			return node.Grant{}, &node.Refusal{Reason: reason.TooLate, RetryAfter: f.comeBack(a)}
		}
		pause(ctx, f.opts.LookAgain)
	}
}

// giveUpAt returns when a request that has found no place is refused.
func (f *Fleet) giveUpAt(a node.Ask) time.Time {
	if a.Target <= 0 {
		return time.Now().Add(f.opts.RefuseAfter)
	}
	return a.Accepted.Add(time.Duration(f.opts.RefuseShare * float64(a.Target)))
}

func (f *Fleet) comeBack(a node.Ask) time.Duration {
	if a.Target <= 0 {
		return time.Second
	}
	after := f.opts.ComeBackShare * float64(a.Target)
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Duration(after * (0.5 + f.rng.Float64()))
}

// candidates returns the endpoints that may get the request, the best first.
func (f *Fleet) candidates(a node.Ask, now time.Time) []candidate {
	all := f.cfg.Directory.Snapshot().Endpoints[serviceOf(a.Service)]
	f.mu.Lock()
	defer f.mu.Unlock()
	list := make([]candidate, 0, len(all))
	ejected := make([]candidate, 0, len(all))
	for _, e := range all {
		if slices.Contains(a.Avoid, e.VM) {
			continue
		}
		c := f.candidate(e, a, now)
		if c.known.health.Ejected(now) {
			ejected = append(ejected, c)
			continue
		}
		list = append(list, c)
	}
	if len(list) == 0 {
		list = ejected
	}
	f.rng.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	slices.SortStableFunc(list, better)
	return list
}

// better orders candidates: those with room first, then by the estimate.
func better(a, b candidate) int {
	if a.full != b.full {
		if a.full {
			return 1
		}
		return -1
	}
	return cmp.Compare(a.estimate, b.estimate)
}

func (f *Fleet) candidate(e directory.Endpoint, a node.Ask, now time.Time) candidate {
	k := f.known(e)
	k.used = now
	view := selection.Endpoint{
		Slots:    e.Slots,
		SameZone: e.Zone == f.cfg.Zone,
		Warm:     !now.Before(e.WarmAt),
		Slowness: max(1, k.health.Slowness()/slownessGrace),
	}
	estimate := k.load.Estimate(view, f.usual(a.Kind), f.opts.Estimate, now)
	estimate += time.Duration(k.unheard) * unheardCost
	return candidate{
		Endpoint: e, known: k, estimate: estimate,
		full: k.load.Full(e.Slots, f.opts.QueueMost) || now.Before(k.pauseUntil),
	}
}

const (
	// slownessGrace is how many times slower than usual an endpoint's
	// completions may be before its estimate grows with them.
	slownessGrace = 2
	// unheardCost is added for each probe in a row without an answer.
	unheardCost = 150 * time.Millisecond
)

// usual returns the usual service time of a kind; f.mu is held.
func (f *Fleet) usual(kind string) time.Duration {
	w, ok := f.work[kind]
	if !ok || w.samples == 0 {
		return startWork
	}
	return time.Duration(w.usual)
}

// take gives the best candidate the request unless it is full.
func (f *Fleet) take(a node.Ask, list []candidate) (node.Grant, bool) {
	best := list[0]
	if best.full {
		return node.Grant{}, false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	best.known.load = best.known.load.WithSent()
	f.cfg.Log.Debug("chosen", "request", a.ID, "kind", a.Kind, "endpoint", best.VM, "estimate", best.estimate,
		"age", best.known.load.Age(time.Now()), "pace", best.known.load.Report().Pace, "busy", best.known.load.Busy(), "of", len(list))
	return node.Grant{ID: a.ID, Service: a.Service, Endpoint: best.Endpoint.Endpoint, Class: a.Class, Kind: a.Kind}, true
}

// Complete takes in how a request ended.
func (f *Fleet) Complete(g node.Grant, e node.Ending) {
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	k, ok := f.endpoints[g.Endpoint.VM]
	if !ok {
		return
	}
	k.load = k.load.WithEnded()
	if e.Load.Known {
		k.heard, k.unheard = now, 0
	}
	paceAtStart := k.load.Report().Pace
	k.load = withLoad(k.load, e.Load, now)
	switch {
	case e.Replaced:
		if f.cfg.Directory.MarkLeaving(g.Endpoint.VM, now) {
			f.cfg.Log.Info("endpoint", "id", g.Endpoint.VM, "state", "leaving", "why", "another instance answers at its address")
		}
	case e.Outcome == contract.Completed:
		f.learn(g.Kind, e, paceAtStart)
		k.health = k.health.WithCompletion(f.ratio(g.Kind, e))
	case e.Outcome == contract.Failed:
		k.health = k.health.WithFailure(now)
	case e.Outcome == contract.Shed:
		k.pauseUntil = now.Add(shedPause)
	}
}

// learn takes the time of a completion into the kind's usual time.
func (f *Fleet) learn(kind string, e node.Ending, pace float64) {
	if pace <= 0 {
		pace = 1
	}
	sample := float64(e.Took) / pace
	w := f.work[kind]
	w.samples++
	weight := max(workWeight, 1/float64(w.samples))
	w.usual += weight * (sample - w.usual)
	f.work[kind] = w
}

// ratio compares a completion with what the kind usually takes.
func (f *Fleet) ratio(kind string, e node.Ending) float64 {
	w := f.work[kind]
	if w.samples < sureSamples || w.usual <= 0 {
		return 1
	}
	return float64(e.Took) / w.usual
}

func withLoad(s selection.State, l link.Load, now time.Time) selection.State {
	if !l.Known {
		return s
	}
	return s.WithReport(selection.Report{
		Running: l.InFlight, Waiting: l.Waiting, Slots: l.Slots, Pace: l.Pace, At: now,
	})
}

// serviceOf returns a service's name without its tenant.
func serviceOf(key string) string {
	for i := range key {
		if key[i] == '/' {
			return key[i+1:]
		}
	}
	return key
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
