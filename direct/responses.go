package direct

import (
	"time"

	"github.com/lotuswing/lotuswing/coord/admission"
	"github.com/lotuswing/lotuswing/coord/placement"
	"github.com/lotuswing/lotuswing/coord/selection"
	"github.com/lotuswing/lotuswing/limits"
	"github.com/lotuswing/lotuswing/tenant"
	"github.com/lotuswing/lotuswing/upstream"
	"github.com/rcrowley/go-metrics"
)

// Values of the log key "from": where an endpoint's announcement was read.
const (
	sourceResponse = "answer" // the response to a request
	sourceProbe    = "probe"
)

// ObserveResponse processes what the response to a request says about the endpoint. It must be
// called as soon as the response header has arrived, whatever the status.
func (c *Chooser) ObserveResponse(g placement.Grant, r upstream.Report) {
	if r.IsEmpty() {
		return
	}
	e := grantedEndpoint(g)
	if c.cfg.Limits != nil {
		c.cfg.Limits.ObserveAnswer(e, r.Limit)
	}
	c.observe(e, r, sourceResponse)
	if r.Ran && g.Choice.Trial {
		c.recordTrialRun(e, r)
	}
}

// grantedEndpoint returns the endpoint of a grant.
func grantedEndpoint(g placement.Grant) limits.Endpoint {
	return limits.Endpoint{ID: g.Endpoint.VM, Start: g.Choice.Start, Service: tenant.ServiceName(g.Service), Zone: g.Endpoint.Zone}
}

// implausibleLogPause is the least time between two log lines about load reports that cannot be true.
const implausibleLogPause = time.Second

// plausible returns a load report of an endpoint with the given number of listed slots, or one that is not
// Known, which is counted, and logged once a second, if it cannot be true.
func (c *Chooser) plausible(r placement.LoadReport, e limits.Endpoint, listed int) placement.LoadReport {
	checked := selection.PlausibleReport(r, listed)
	if r.Known && !checked.Known {
		c.implausible.Inc(1)
		now := int64(time.Since(c.startedAt)) + 1
		if last := c.implausibleLogged.Load(); last > 0 && now-last < int64(implausibleLogPause) || !c.implausibleLogged.CompareAndSwap(last, now) {
			return checked
		}
		c.cfg.Log.Warn("load report of endpoint cannot be true", "service", e.Service, "id", e.ID, "inflight", r.InFlight, "waiting", r.Waiting,
			"slots", r.Slots, "pace", r.Pace, "listed_slots", listed)
	}
	return checked
}

// observeProbe processes what the response to a probe says about its endpoint. The response of
// another instance at the same address says nothing about this endpoint and is ignored.
func (c *Chooser) observeProbe(e limits.Endpoint, r upstream.Report) {
	if r.NamesOtherInstance(e.ID) {
		return
	}
	if c.cfg.Limits != nil {
		c.cfg.Limits.ObserveProbe(e, r.Limit)
	}
	c.observe(e, r, sourceProbe)
}

// observe processes what the response to a request or a probe says about the endpoint.
func (c *Chooser) observe(e limits.Endpoint, r upstream.Report, source string) {
	c.unsupported.record(e, r.UnsupportedHeaders)
	if r.Admission.IsEmpty() {
		return
	}
	if r.Admission.Leaving {
		c.handleLeaving(e, source, r.ReceivedAt)
	}
	if before, after := c.updateAdmission(e, r); after.BackoffUntil() != before.BackoffUntil() {
		c.logBackoff(e, r, before.BackingOff(r.ReceivedAt), source)
		c.publishBackoff(e, r.Admission.Backoff, r.ReceivedAt)
	}
}

// updateAdmission updates the admission state of an endpoint from a response. It returns the state
// before and after, or two zero values if the Chooser has no state for this start of the endpoint.
func (c *Chooser) updateAdmission(e limits.Endpoint, r upstream.Report) (before, after admission.State) {
	c.mu.Lock()
	defer c.mu.Unlock()
	state, ok := c.endpoints[e.ID]
	if !ok || state.start != e.Start {
		return before, after
	}
	before = state.admission
	state.admission = before.With(r.Admission, r.ReceivedAt)
	return before, state.admission
}

// recordTrialRun records that an endpoint ran a request after its backoff. The endpoint then no
// longer gets just one request at a time.
func (c *Chooser) recordTrialRun(e limits.Endpoint, r upstream.Report) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if state, ok := c.endpoints[e.ID]; ok && state.start == e.Start {
		state.admission = state.admission.WithRun(r.SentAt)
	}
}

// logBackoff logs that an endpoint requested a backoff, at debug level if an earlier backoff still
// lasts.
func (c *Chooser) logBackoff(e limits.Endpoint, r upstream.Report, repeated bool, source string) {
	log := c.cfg.Log.Info
	if repeated {
		log = c.cfg.Log.Debug
	}
	log("endpoint wants no requests", "id", e.ID, "service", e.Service, "for", r.Admission.Backoff.String(), "from", source)
}

// countUnwantedSend counts a request that is about to be sent, if its endpoint is leaving or
// backing off; c.mu must be held.
func (c *Chooser) countUnwantedSend(e *endpointState, now time.Time) {
	if e.admission.Leaving() {
		c.unwantedSends.leaving.Inc(1)
	}
	if e.admission.BackingOff(now) {
		c.unwantedSends.backingOff.Inc(1)
	}
}

// unwantedSends counts the requests sent to endpoints that were leaving or backing off.
type unwantedSends struct {
	leaving, backingOff metrics.Counter
}

func newUnwantedSends(r metrics.Registry) unwantedSends {
	return unwantedSends{
		leaving: metrics.GetOrRegisterCounter("sent_after_leaving", r), backingOff: metrics.GetOrRegisterCounter("sent_while_backing_off", r),
	}
}
