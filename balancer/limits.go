package balancer

import (
	"time"

	"github.com/lotuswing/lotuswing/coord/limit"
	"github.com/lotuswing/lotuswing/coord/reason"
	"github.com/lotuswing/lotuswing/limits"
	"github.com/lotuswing/lotuswing/tenant"
)

// EndpointLimits hears what endpoints say of how many requests a second they take.
type EndpointLimits interface {
	// Answered takes what the answer to a request said.
	Answered(e limits.Endpoint, a limit.Answer)
}

// noteLimit notes what the answer to an attempt said of the endpoint's limit, whatever its
// status, as soon as it is there. Another instance at the address speaks for itself alone, and
// nobody knows how old an answer is that came while the VM was suspended.
func (b *Balancer) noteLimit(a *attempt, now time.Time) {
	res := &a.result
	if b.cfg.EndpointLimits == nil || res.Response == nil || res.Reason == reason.EndpointReplaced || a.stale {
		return
	}
	e := a.grant.Endpoint
	b.cfg.EndpointLimits.Answered(limits.Endpoint{ID: e.VM, Start: a.grant.Choice.Start, Service: tenant.ServiceName(a.grant.Service), Zone: e.Zone},
		b.cfg.Policy.Dialect.LimitOf(res.Response.Header, a.sent, now))
}
