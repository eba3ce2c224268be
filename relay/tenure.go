package relay

import (
	"time"

	"github.com/lotuswing/lotuswing/coord/position"
	"github.com/lotuswing/lotuswing/coord/warmup"
)

// While a balancer holds the registration of its zone under a lease that has not expired, no other
// balancer can hold it. That makes it the only one to grant permits for the zone's endpoints.

// tenure is the time for which this balancer holds its registration for certain.
type tenure struct {
	warmup.Tenure
	lease     uint64
	era       uint64        // of the store, in which the registration was read
	suspended time.Duration // total suspension of the VM at the last renewal
	notBefore time.Time     // the next tenure begins no earlier, since the balancer replaced a registration
}

// withRenewal returns the tenure after the lease of a registration was renewed with a call sent at sent and
// answered at now. suspended is the VM's total suspension before the call. A store that was restored from a
// copy may have forgotten the registration of another balancer, which still counts on it for up to ttl.
func (t tenure) withRenewal(own Relay, ttl, suspended time.Duration, sent, now time.Time) tenure {
	era := position.Era(own.revision)
	if t.lease != own.lease || t.era != era || t.suspended != suspended {
		since := now
		if t.notBefore.After(now) {
			since = t.notBefore
		}
		if era > 0 {
			since = now.Add(ttl)
		}
		t = tenure{Tenure: warmup.Tenure{Since: since}, lease: own.lease, era: era, suspended: suspended, notBefore: t.notBefore}
	}
	t.Tenure = t.WithRenewal(sent, ttl)
	return t
}

// extendTenure records that the registration's lease was renewed with a call sent at sent.
func (g *Group) extendTenure(own Relay, sent time.Time, suspendedBefore time.Duration) {
	if g.leaving.Load() {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.tenure = g.tenure.withRenewal(own, g.opts.TTL, suspendedBefore, sent, time.Now())
}

// endTenure ends the tenure, before the registration does.
func (g *Group) endTenure() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.tenure = tenure{notBefore: g.tenure.notBefore}
}

// delayTenure makes the next tenure begin a lease's time from now. A registration that was replaced, rather
// than ended, may be one that its holder still counts on.
func (g *Group) delayTenure(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.tenure = tenure{notBefore: now.Add(g.opts.TTL)}
}

// Tenure returns the time for which this balancer is certain to be the only relay of a zone; the zero value
// if it is not, or the VM was suspended since.
func (g *Group) Tenure(zone string) warmup.Tenure {
	suspended := g.cfg.Suspensions.Check()
	g.mu.Lock()
	defer g.mu.Unlock()
	if zone != g.cfg.Zone || g.leaving.Load() || suspended != g.tenure.suspended {
		return warmup.Tenure{}
	}
	return g.tenure.Tenure
}
