package direct

import (
	"context"
	"time"

	"github.com/lotuswing/lotuswing/coord/health"
	"github.com/lotuswing/lotuswing/coord/placement"
	"github.com/lotuswing/lotuswing/coord/reason"
	"github.com/lotuswing/lotuswing/coord/selection"
	"github.com/lotuswing/lotuswing/internal/pause"
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
}

// shedPause is how long an endpoint that refused a request is left alone.
const shedPause = 25 * time.Millisecond

// known returns the state of an endpoint; f.mu is held.
func (f *Chooser) known(id string) *endpoint {
	k, ok := f.endpoints[id]
	if !ok {
		k = &endpoint{health: health.New(health.Options{}), probed: f.opts.ProbeBurst}
		f.endpoints[id] = k
	}
	return k
}

// Acquire chooses an endpoint for a request. While none will do it looks again,
// until a part of the request's target has passed; then it takes one that will
// still answer within the target, or refuses.
func (f *Chooser) Acquire(ctx context.Context, a placement.Request) (placement.Grant, *placement.Refusal) {
	giveUp := f.giveUpAt(a)
	probes := 0
	var list ranking
	for {
		before := probes
		f.look(ctx, a, &list, &probes)
		now := time.Now()
		blind := probes == before // no endpoint could be asked
		switch {
		case list.empty():
			return placement.Grant{}, f.refuse(a, &list, reason.NoEndpoint, probes)
		case ctx.Err() != nil:
			return placement.Grant{}, f.refuse(a, &list, reason.CallerLeft, probes)
		case list.best().good, (blind || !now.Before(giveUp)) && list.best().acceptable(a, now):
			return f.take(a, list.best(), probes), nil
		case !now.Before(a.Deadline):
			return placement.Grant{}, f.refuse(a, &list, reason.Expired, probes)
		case !now.Before(giveUp):
			return placement.Grant{}, f.refuse(a, &list, reason.TooLate, probes)
		}
		pause.For(ctx, min(f.opts.LookAgain, giveUp.Sub(now)))
	}
}

// refuse says why there is no endpoint, with what was known of them.
func (f *Chooser) refuse(a placement.Request, list *ranking, code reason.Code, probes int) *placement.Refusal {
	search := placement.Search{Known: len(list.list), Probes: probes}
	for i := range list.list {
		if list.list[i].ejected {
			search.Ejected++
		}
		if list.list[i].full {
			search.Full++
		}
	}
	if !list.empty() {
		search.Best = list.best().estimate
	}
	return &placement.Refusal{Reason: code, RetryAfter: f.comeBack(a), Search: search}
}

// look ranks the candidates after asking the most promising ones for their load;
// while none of these will do, it asks others.
func (f *Chooser) look(ctx context.Context, a placement.Request, list *ranking, probes *int) {
	f.rank(list, a, time.Now())
	for range f.opts.ProbeRounds {
		if list.empty() || list.best().good && list.best().age(time.Now()) <= f.opts.ProbeFresh {
			return
		}
		asked := f.probe(ctx, a, list)
		if asked == 0 {
			return
		}
		*probes += asked
		f.rank(list, a, time.Now())
		if list.empty() || list.best().good || ctx.Err() != nil {
			return
		}
	}
}

// acceptable reports whether a candidate has a free slot and is thought to
// answer within the target. A request never waits at an endpoint: it would start
// there at whatever pace the endpoint has when a slot becomes free, and an
// endpoint whose slots are all taken is slower for everybody.
func (c *candidate) acceptable(a placement.Request, now time.Time) bool {
	if c.busy >= c.slots {
		return false
	}
	return a.Target <= 0 || !now.Add(c.estimate).After(a.Accepted.Add(a.Target))
}

// giveUpAt returns when a request that has found no place is refused.
func (f *Chooser) giveUpAt(a placement.Request) time.Time {
	if a.Target <= 0 {
		return time.Now().Add(f.opts.RefuseAfter)
	}
	return a.Accepted.Add(time.Duration(f.opts.RefuseShare * float64(a.Target)))
}

func (f *Chooser) comeBack(a placement.Request) time.Duration {
	if a.Target <= 0 {
		return time.Second
	}
	after := f.opts.ComeBackShare * float64(a.Target)
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Duration(after * (0.5 + f.rng.Float64()))
}

// take gives a candidate the request.
func (f *Chooser) take(a placement.Request, c *candidate, probes int) placement.Grant {
	f.mu.Lock()
	defer f.mu.Unlock()
	c.known.load = c.known.load.WithSent()
	choice := placement.Choice{
		Pace: c.known.load.Report().Pace, Busy: c.known.load.Busy(f.opts.Estimate, time.Now()), Estimate: c.estimate, Age: -1, Probes: probes,
	}
	if age := c.known.load.Age(time.Now()); age < oldestAge {
		choice.Age = age
	}
	return placement.Grant{ID: a.ID, Service: a.Service, Endpoint: c.entry.Endpoint, Class: a.Class, Kind: a.Kind, Choice: choice}
}

// oldestAge is the age from which a report counts as none in the log.
const oldestAge = time.Hour

// Complete takes in how a request ended.
func (f *Chooser) Complete(g placement.Grant, e placement.Result) {
	now := time.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	defer f.prune(now)
	k, ok := f.endpoints[g.Endpoint.VM]
	if !ok {
		return
	}
	k.load = k.load.WithEnded()
	if e.Load.Known {
		k.heard, k.unheard = now, 0
	}
	k.load = withLoad(k.load, e.Load, now)
	switch {
	case e.Replaced:
		if f.cfg.Directory.MarkLeaving(g.Endpoint.VM, now) {
			f.cfg.Log.Info("endpoint", "id", g.Endpoint.VM, "state", "leaving", "why", "another instance answers at its address")
		}
	case e.Outcome == placement.Completed:
		f.learn(g, e.Took, k.load.Slots(g.Endpoint.Slots))
		k.health = k.health.WithCompletion(f.ratio(g.Kind, e.Took))
	case e.Outcome == placement.Failed:
		k.health = k.health.WithFailure(now)
		if k.health.Ejected(now) {
			f.cfg.Log.Info("endpoint", "id", g.Endpoint.VM, "service", serviceOf(g.Service), "state", "ejected",
				"for", k.health.EjectedUntil().Sub(now).String(), "request", g.ID)
		}
	case e.Outcome == placement.Shed:
		k.pauseUntil = now.Add(shedPause)
	}
}

func withLoad(s selection.State, l placement.LoadReport, now time.Time) selection.State {
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

// prune drops the states of endpoints that the directory does not list any more
// and that hold no request; f.mu is held.
func (f *Chooser) prune(now time.Time) {
	if now.Sub(f.pruned) < f.opts.PruneEvery {
		return
	}
	f.pruned = now
	listed := map[string]bool{}
	for _, list := range f.cfg.Directory.Snapshot().Endpoints {
		for _, e := range list {
			listed[e.VM] = true
		}
	}
	for id, k := range f.endpoints {
		if !listed[id] && k.load.InFlight() == 0 {
			delete(f.endpoints, id)
		}
	}
}
