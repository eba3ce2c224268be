package direct

import (
	"errors"
	"slices"
	"time"

	"github.com/lotuswing/lotuswing/coord/placement"
	"github.com/lotuswing/lotuswing/coord/selection"
	"github.com/lotuswing/lotuswing/tenant"
	"github.com/lotuswing/lotuswing/upstream"
)

// While requests are ordered by urgency, the Chooser records which services are under pressure
// (coord/selection/pressure.go). Otherwise it records nothing, and resets are failures like others.

// recordFailedProbe records that an endpoint did not answer a probe or reset it; c.mu must be held.
func (c *Chooser) recordFailedProbe(t probeTarget, err error, now time.Time) {
	if errors.Is(err, errSuspended) || !c.OrdersByUrgency() {
		return
	}
	c.pressures[t.listed.Service] = c.pressures[t.listed.Service].WithSign(now)
	if errors.Is(err, upstream.ErrReset) {
		t.state.observed = t.state.observed.WithReset(now)
		c.resets.Inc(1)
	}
}

// recordPressure records what a load report says about the pressure on a service; c.mu must be held.
func (c *Chooser) recordPressure(service string, r placement.LoadReport, now time.Time) {
	if c.OrdersByUrgency() {
		c.pressures[service] = c.pressures[service].WithReport(r, now)
	}
}

// recordRequestPressure records what the result of a request says about the pressure on its service.
// It returns the outcome for the endpoint's health: a reset is no failure of an endpoint that was
// chosen without a recent report of a free slot, since it was most likely full. c.mu must be held.
func (c *Chooser) recordRequestPressure(e *endpointState, g placement.Grant, r placement.Result, now time.Time) placement.Outcome {
	if !c.OrdersByUrgency() {
		return r.Outcome
	}
	service := tenant.ServiceName(g.Service)
	c.recordPressure(service, r.Load, now)
	if r.Reset || r.Outcome == placement.Shed {
		c.pressures[service] = c.pressures[service].WithSign(now)
	}
	if !r.Reset {
		return r.Outcome
	}
	c.resets.Inc(1)
	e.observed = e.observed.WithReset(now)
	if !selection.ReliedOnUnderPressure(g.Choice, e.observed.Load().Slots(g.Endpoint.Slots)) {
		return placement.Unused
	}
	return r.Outcome
}

// pressedServices returns the services under pressure, in alphabetical order; c.mu must be held.
func (c *Chooser) pressedServices(now time.Time) []string {
	var pressed []string
	for service, p := range c.pressures {
		if p.Lasts(now) {
			pressed = append(pressed, service)
		}
	}
	slices.Sort(pressed)
	return pressed
}
