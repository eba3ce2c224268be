package balancer

import (
	"context"
	"sync"
	"time"

	"github.com/lotuswing/lotuswing/access"
	"github.com/lotuswing/lotuswing/coord/hedge"
	"github.com/lotuswing/lotuswing/coord/placement"
	"github.com/rcrowley/go-metrics"
)

// This file decides which requests are hedged; race.go has a first attempt and its hedge. The rules
// are in coord/hedge.

// UrgencyOrder is implemented by a Chooser that can serve requests by urgency. Requests are hedged only
// with such a Chooser, and only while it orders by urgency.
type UrgencyOrder interface {
	// OrdersByUrgency reports whether requests are served by urgency now.
	OrdersByUrgency() bool
	// HasRoom reports whether a service, given as tenant/service, has capacity to spare.
	HasRoom(service string) bool
}

// hedgeDenial is why a late request gets no hedge. The values are logged.
type hedgeDenial string

const (
	deniedNoRoom     hedgeDenial = "no-room"
	deniedNoBudget   hedgeDenial = "no-budget"
	deniedShare      hedgeDenial = "share"
	deniedNoEndpoint hedgeDenial = "no-endpoint"
	deniedSuspected  hedgeDenial = "suspected"
	deniedKey        hedgeDenial = "key"
	deniedSuspended  hedgeDenial = "suspended"
	deniedStopping   hedgeDenial = "stopping"
)

// hedges holds what is learned of each request kind, and the metrics.
type hedges struct {
	order                UrgencyOrder // nil if the Chooser does not implement it
	started, won, denied metrics.Counter

	mu     sync.Mutex
	byKind map[string]hedge.Kind
}

func newHedges(c Chooser, r metrics.Registry) hedges {
	order, _ := c.(UrgencyOrder)
	return hedges{
		order: order, byKind: map[string]hedge.Kind{},
		started: metrics.GetOrRegisterCounter("hedges", r),
		won:     metrics.GetOrRegisterCounter("hedges_won", r),
		denied:  metrics.GetOrRegisterCounter("hedges_denied", r),
	}
}

// get returns what is known of a kind; h.mu must be held.
func (h *hedges) get(kind string) hedge.Kind {
	if k, ok := h.byKind[kind]; ok {
		return k
	}
	return hedge.NewKind()
}

// addRequest counts a request of a kind and returns when it is to be hedged, as HedgeAt does.
func (h *hedges) addRequest(kind string, now, due time.Time) (at time.Time, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	k := h.get(kind).WithRequest(now)
	h.byKind[kind] = k
	return k.HedgeAt(now, due)
}

// addResponse records the response time of a first attempt.
func (h *hedges) addResponse(kind string, took time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.byKind[kind] = h.get(kind).WithResponse(took)
}

// claim counts a hedge of a kind if that keeps to its share of the requests and claimBudget, which
// charges the retry budget, succeeds. Otherwise it returns the reason.
func (h *hedges) claim(kind string, now time.Time, claimBudget func() bool) hedgeDenial {
	h.mu.Lock()
	defer h.mu.Unlock()
	k := h.get(kind)
	switch {
	case !k.AllowsHedge(now):
		return deniedShare
	case !claimBudget():
		return deniedNoBudget
	}
	h.byKind[kind] = k.WithHedge(now)
	return ""
}

// allows reports whether one more hedge of a kind keeps to its share of the requests.
func (h *hedges) allows(kind string, now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.get(kind).AllowsHedge(now)
}

// canHedge reports whether an attempt may be hedged: only the first one of a repeatable request that
// may have two attempts, can be sent again, is no upgrade and is not suspected of crashing endpoints.
func (b *Balancer) canHedge(x *exchange, number int) bool {
	return b.hedges.order != nil && number == 1 && x.route.Kind.Repeatable && b.hedges.order.OrdersByUrgency() &&
		x.route.Kind.MaxAttempts != 1 &&
		(x.bodyRead || x.r.ContentLength == 0) && len(x.r.Header["Upgrade"]) == 0 &&
		!x.admission.Trial && !x.admission.Suspected
}

// hedgeDenied returns why a late request gets no hedge; empty if it gets one.
func (b *Balancer) hedgeDenied(x *exchange, now time.Time) hedgeDenial {
	switch {
	case b.cfg.Suspensions.Check() != x.suspendedFor:
		return deniedSuspended // it is unknown how late the response is
	case !b.stop.plan().BeginsHedge(x.expectedTime(now), now):
		return deniedStopping
	case !b.hedges.order.HasRoom(x.route.ServiceKey()):
		return deniedNoRoom
	case !b.hedges.allows(x.kindKey(), now):
		return deniedShare
	case !b.retries.allowsHedge(x.route.ServiceKey(), now):
		return deniedNoBudget
	case b.cfg.Quarantine != nil && !b.cfg.Quarantine.Empty() && b.cfg.Quarantine.IsSuspected(x.quarantineRequest()):
		return deniedSuspected
	case !b.holdsKey(x):
		return deniedKey
	}
	return ""
}

// holdsKey reports whether the team of the request still holds the caller's key. Unlike recheckKey it
// changes nothing, because the first attempt is using the request's headers.
func (b *Balancer) holdsKey(x *exchange) bool {
	if x.team == "" {
		return true
	}
	team, state := b.teams().Find(x.key)
	return state == access.Valid && team.Name == x.team
}

// chargeHedge charges a hedge to the retry budget, the kind's share and the team's quota. It returns
// the reason if one of the first two has been used up in the meantime.
func (b *Balancer) chargeHedge(x *exchange, now time.Time) hedgeDenial {
	if why := b.hedges.claim(x.kindKey(), now, func() bool { return b.retries.claimHedge(x.route.ServiceKey(), now) }); why != "" {
		return why
	}
	if b.cfg.Quotas != nil && x.team != "" {
		b.cfg.Quotas.CountRetry(x.team, now) // the first attempt may have run
	}
	return ""
}

// sendOrHedge sends the request to the endpoint of a grant. If the response of a first attempt is late,
// it may send a second one to another endpoint, and returns the one that answers first.
func (b *Balancer) sendOrHedge(ctx context.Context, x *exchange, number int, grant placement.Grant) attempt {
	if !b.canHedge(x, number) {
		return b.send(ctx, x, number, grant)
	}
	kind, now := x.kindKey(), time.Now()
	at, ok := b.hedges.addRequest(kind, now, x.responseDue())
	if !ok {
		a := b.send(ctx, x, number, grant)
		if b.isFinal(x, &a) && !a.suspended {
			b.hedges.addResponse(kind, a.took)
		}
		return a
	}
	return newRace(ctx, b, x, number, grant).run(at.Sub(now))
}

// isFinal reports whether the response of an attempt is forwarded to the caller.
func (b *Balancer) isFinal(x *exchange, a *attempt) bool {
	return isFinalResponse(&a.result, x.route.Kind.Repeatable, b.cfg.Policy.RetryServerErrors)
}
