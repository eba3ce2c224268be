package direct

import (
	"time"

	"github.com/lotuswing/lotuswing/coord/admission"
	"github.com/lotuswing/lotuswing/coord/placement"
	"github.com/lotuswing/lotuswing/limits"
	"github.com/lotuswing/lotuswing/tenant"
	"github.com/lotuswing/lotuswing/upstream"
	"github.com/rcrowley/go-metrics"
)

// Sources of what an endpoint has said, as they are logged.
const (
	fromAnswer = "answer" // to a request
	fromProbe  = "probe"
)

// Hear takes what the answer to an attempt says of its endpoint, as soon as its head is there,
// whatever its status.
func (c *Chooser) Hear(g placement.Grant, r upstream.Report) {
	if r.None() {
		return
	}
	e := limits.Endpoint{ID: g.Endpoint.VM, Start: g.Choice.Start, Service: tenant.ServiceName(g.Service), Zone: g.Endpoint.Zone}
	if c.cfg.Limits != nil {
		c.cfg.Limits.Answered(e, r.Limit)
	}
	c.hear(e, r, fromAnswer)
	if r.Ran && g.Choice.Trial {
		c.proved(e, r)
	}
}

// hearProbe takes what the answer to a probe says. Another instance at the address speaks for
// itself alone.
func (c *Chooser) hearProbe(e limits.Endpoint, r upstream.Report) {
	if r.OfAnother(e.ID) {
		return
	}
	if c.cfg.Limits != nil {
		c.cfg.Limits.Probed(e, r.Limit)
	}
	c.hear(e, r, fromProbe)
}

// hear takes what any answer says of the endpoint itself.
func (c *Chooser) hear(e limits.Endpoint, r upstream.Report, from string) {
	c.unread.note(e, r.Unread)
	if r.Word.Silent() {
		return
	}
	if r.Word.Leaving {
		c.leaves(e, from, r.Heard)
	}
	if before, after := c.noteWord(e, r); after.Until() != before.Until() {
		c.logBackoff(e, r, before.BackingOff(r.Heard), from)
		c.tellBackoff(e, r.Word.Backoff, r.Heard)
	}
}

// noteWord notes what an endpoint says, and returns what it had said before and what it has now.
func (c *Chooser) noteWord(e limits.Endpoint, r upstream.Report) (before, after admission.State) {
	c.mu.Lock()
	defer c.mu.Unlock()
	known, ok := c.endpoints[e.ID]
	if !ok || known.start != e.Start {
		return before, after
	}
	before = known.admission
	known.admission = before.With(r.Word, r.Heard)
	return before, known.admission
}

// proved notes that an endpoint which had wanted no requests for a while has run one.
func (c *Chooser) proved(e limits.Endpoint, r upstream.Report) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if known, ok := c.endpoints[e.ID]; ok && known.start == e.Start {
		known.admission = known.admission.WithRun(r.Asked)
	}
}

// logBackoff logs that an endpoint asks for a backoff. One that does so again while it lasts is
// logged for debugging only.
func (c *Chooser) logBackoff(e limits.Endpoint, r upstream.Report, again bool, from string) {
	log := c.cfg.Log.Info
	if again {
		log = c.cfg.Log.Debug
	}
	log("endpoint wants no requests", "id", e.ID, "service", e.Service, "for", r.Word.Backoff.String(), "from", from)
}

// noteSent counts a request that goes to an endpoint which has said that it wants none; c.mu is
// held.
func (c *Chooser) noteSent(e *endpoint, now time.Time) {
	if e.admission.Leaving() {
		c.unwanted.leaving.Inc(1)
	}
	if e.admission.BackingOff(now) {
		c.unwanted.backingOff.Inc(1)
	}
}

// unwanted counts requests sent to endpoints that had said that they want none.
type unwanted struct {
	leaving, backingOff metrics.Counter
}

func newUnwanted(r metrics.Registry) unwanted {
	return unwanted{
		leaving: metrics.GetOrRegisterCounter("sent_after_leaving", r), backingOff: metrics.GetOrRegisterCounter("sent_while_backing_off", r),
	}
}
