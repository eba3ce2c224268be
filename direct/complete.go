package direct

import (
	"time"

	"github.com/lotuswing/lotuswing/coord/placement"
	"github.com/lotuswing/lotuswing/coord/selection"
	"github.com/lotuswing/lotuswing/coord/warmup"
	"github.com/lotuswing/lotuswing/tenant"
	"github.com/lotuswing/lotuswing/warmups"
)

// defaultForgetInterval is the default of Config.ForgetInterval.
const defaultForgetInterval = time.Minute

// Complete processes the result of a request. It updates the state of the endpoint, and what is
// learned about the request's kind and service.
func (c *Chooser) Complete(g placement.Grant, r placement.Result) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	defer c.forgetUnlisted(now)
	e, ok := c.endpoints[g.Endpoint.VM]
	if !ok || e.start != g.Choice.Start {
		return // the endpoint has restarted, or its state was dropped
	}
	r.Load = c.plausible(r.Load, grantedEndpoint(g), g.Endpoint.Slots)
	e.observed = e.observed.WithRequestEnded(r.Load, now)
	if r.Load.Known {
		defer c.wakeNext(tenant.ServiceName(g.Service)) // after the updates below
	}
	if r.Replaced {
		if c.cfg.Directory.MarkLeaving(g.Endpoint.VM, g.Choice.Start, now) {
			c.cfg.Log.Info("endpoint", "id", g.Endpoint.VM, "state", "leaving", "why", "another instance answers at its address")
		}
		return
	}
	r.Outcome = c.recordRequestPressure(e, g, r, now)
	if g.Choice.Cold {
		c.recordWarmupOutcome(g, r.Outcome, now)
	}
	if r.Outcome == placement.Completed {
		c.learnServiceTime(g, r.Took, e.observed.Load().Slots(g.Endpoint.Slots))
	}
	c.reportRolloutOutcome(g, r, now)
	if r.Overtaken {
		e.observed = e.observed.WithOvertaken(c.serviceTimeRatio(g, r.Took))
	}
	e.observed = e.observed.WithOutcome(r.Outcome, c.serviceTimeRatio(g, r.Took), now)
	if r.Outcome == placement.Failed && e.observed.Health().Ejected(now) {
		c.cfg.Log.Info("endpoint", "id", g.Endpoint.VM, "service", tenant.ServiceName(g.Service), "state", "ejected",
			"for", e.observed.Health().EjectedUntil().Sub(now).String(), "request", g.ID)
	}
}

// slowFactor is the multiple of its estimate beyond which the time of a request counts as slow.
const slowFactor = 3

// reportRolloutOutcome reports the outcome of a request that ran during a rollout of its service.
// Requests at endpoints that were warming up are left out: the endpoints of a new version start
// cold, which would make it look slow. A request that was overtaken counts as slow, because it was
// later than nearly all of its kind when it was canceled.
func (c *Chooser) reportRolloutOutcome(g placement.Grant, r placement.Result, now time.Time) {
	side := g.Choice.Side
	ran := r.Outcome == placement.Completed || r.Outcome == placement.Failed || r.Overtaken
	if c.cfg.RolloutRecorder == nil || !ran || g.Choice.Cold || side != placement.OldSide && side != placement.NewSide {
		return
	}
	c.cfg.RolloutRecorder.RecordOutcome(RolloutOutcome{
		Service: tenant.ServiceName(g.Service), Kind: g.Kind, NewVersion: side == placement.NewSide,
		Failed: r.Outcome == placement.Failed, Slow: r.Overtaken || g.Choice.Estimate > 0 && r.Took > slowFactor*g.Choice.Estimate,
	}, now)
}

// recordWarmupOutcome records the outcome of a request at an endpoint that was warming up; c.mu
// must be held.
func (c *Chooser) recordWarmupOutcome(g placement.Grant, o placement.Outcome, now time.Time) {
	failed := o == placement.Shed || o == placement.Failed
	if failed {
		c.coldFailures.Inc(1)
	}
	service := tenant.ServiceName(g.Service)
	if !g.Choice.Permit {
		c.warmupBackoffs[service] = c.warmupBackoffs[service].WithOutcome(o, now)
	} else if failed {
		c.cfg.Warmups.RecordFailure(warmups.Endpoint{
			Target: warmup.Target{ID: g.Endpoint.VM, Start: g.Choice.Start}, Group: warmup.Group{Service: service, Zone: g.Endpoint.Zone},
		})
	}
}

// serviceTimeRatio returns the service time of a request divided by the usual one of its kind. It
// returns 1 if the endpoint was warming up, so that the endpoint does not count as slow for that.
// c.mu must be held.
func (c *Chooser) serviceTimeRatio(g placement.Grant, took time.Duration) float64 {
	if g.Choice.Cold {
		return 1
	}
	return c.serviceTimes[g.Kind].Ratio(took)
}

// learnServiceTime updates the usual service time of the request's kind, and how much requests of
// its service slow down as slots fill up, from the time of a completed request; c.mu must be held.
func (c *Chooser) learnServiceTime(g placement.Grant, took time.Duration, slots int) {
	service := tenant.ServiceName(g.Service)
	c.serviceTimes[g.Kind], c.crowding[service] = selection.WithCompletion(c.serviceTimes[g.Kind], c.crowding[service], g.Choice, took, slots)
}

// forgetUnlisted drops the states of endpoints that the directory no longer lists, that hold no
// request of this process and that are not backing off; c.mu must be held.
func (c *Chooser) forgetUnlisted(now time.Time) {
	if now.Sub(c.lastForget) < c.cfg.ForgetInterval {
		return
	}
	c.lastForget = now
	listed := map[string]bool{}
	for _, list := range c.cfg.Directory.Snapshot().Endpoints {
		for _, e := range list {
			listed[e.VM] = true
		}
	}
	for id, e := range c.endpoints {
		if !listed[id] && e.observed.Load().InFlight() == 0 && !e.admission.BackingOff(now) {
			delete(c.endpoints, id)
		}
	}
}

// EndpointStateCount returns the number of endpoints whose state is kept.
func (c *Chooser) EndpointStateCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.endpoints)
}
