package direct

import (
	"time"

	"github.com/lotuswing/lotuswing/coord/placement"
	"github.com/lotuswing/lotuswing/coord/selection"
	"github.com/lotuswing/lotuswing/tenant"
)

// forgetEvery is between two looks for endpoints that are gone.
const forgetEvery = time.Minute

// Complete learns from how a request ended.
func (c *Chooser) Complete(g placement.Grant, r placement.Result) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	defer c.forget(now)
	e, ok := c.endpoints[g.Endpoint.VM]
	if !ok || e.start != g.Choice.Start {
		return // it ended with the start that it was sent to
	}
	e.state = e.state.WithEnded(r.Load, now)
	if r.Load.Known {
		defer c.wake(tenant.ServiceName(g.Service)) // once everything of this end is noted
	}
	if r.Replaced {
		if c.cfg.Directory.MarkLeaving(g.Endpoint.VM, g.Choice.Start, now) {
			c.cfg.Log.Info("endpoint", "id", g.Endpoint.VM, "state", "leaving", "why", "another instance answers at its address")
		}
		return
	}
	if g.Choice.Cold {
		c.noteWarming(tenant.ServiceName(g.Service), r.Outcome, now)
	}
	if r.Outcome == placement.Completed {
		c.learn(g, r.Took, e.state.Load().Slots(g.Endpoint.Slots))
	}
	c.noteTrial(g, r, now)
	e.state = e.state.WithOutcome(r.Outcome, c.ratio(g, r.Took), now)
	if r.Outcome == placement.Failed && e.state.Health().Ejected(now) {
		c.cfg.Log.Info("endpoint", "id", g.Endpoint.VM, "service", tenant.ServiceName(g.Service), "state", "ejected",
			"for", e.state.Health().EjectedUntil().Sub(now).String(), "request", g.ID)
	}
}

// slowFactor is how many times as long as was estimated a slow request takes.
const slowFactor = 3

// noteTrial tells what became of a request while a version of its service comes in. Of an
// endpoint that warms up, as those of a new version do first, nothing is told.
func (c *Chooser) noteTrial(g placement.Grant, r placement.Result, now time.Time) {
	side := g.Choice.Side
	ran := r.Outcome == placement.Completed || r.Outcome == placement.Failed
	if c.cfg.Evidence == nil || !ran || g.Choice.Cold || side != placement.OldSide && side != placement.NewSide {
		return
	}
	c.cfg.Evidence.Note(Trial{
		Service: tenant.ServiceName(g.Service), Kind: g.Kind, Newer: side == placement.NewSide,
		Failed: r.Outcome == placement.Failed, Slow: g.Choice.Estimate > 0 && r.Took > slowFactor*g.Choice.Estimate,
	}, now)
}

// noteWarming notes how a request ended at an endpoint that warmed up; c.mu is held.
func (c *Chooser) noteWarming(service string, o placement.Outcome, now time.Time) {
	c.warming[service] = c.warming[service].WithOutcome(o, c.warmupRate(service), now)
}

// ratio compares the time of a completion with what is usual; an endpoint that warmed up
// is not slow for taking longer. c.mu is held.
func (c *Chooser) ratio(g placement.Grant, took time.Duration) float64 {
	if g.Choice.Cold {
		return 1
	}
	return c.workloads[g.Kind].Ratio(took)
}

// learn learns from the time of a completion; c.mu is held.
func (c *Chooser) learn(g placement.Grant, took time.Duration, slots int) {
	service := tenant.ServiceName(g.Service)
	c.workloads[g.Kind], c.crowding[service] = selection.Learn(c.workloads[g.Kind], c.crowding[service], g.Choice, took, slots)
}

// forget drops what is remembered of endpoints that the directory does not list any
// more and that hold no request; c.mu is held.
func (c *Chooser) forget(now time.Time) {
	if now.Sub(c.forgotten) < c.cfg.ForgetEvery {
		return
	}
	c.forgotten = now
	listed := map[string]bool{}
	for _, list := range c.cfg.Directory.Snapshot().Endpoints {
		for _, e := range list {
			listed[e.VM] = true
		}
	}
	for id, e := range c.endpoints {
		if !listed[id] && e.state.Load().InFlight() == 0 && !e.admission.BackingOff(now) {
			delete(c.endpoints, id)
		}
	}
}

// Remembered returns of how many endpoints something is remembered.
func (c *Chooser) Remembered() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.endpoints)
}
