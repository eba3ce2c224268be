package relay

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/lotuswing/lotuswing/directory"
	"github.com/lotuswing/lotuswing/internal/pause"
	"github.com/lotuswing/lotuswing/internal/untrusted"
)

const (
	// namePrefix is the key prefix of registrations; the zone follows.
	namePrefix = "relays/"
	// renewalsPerTTL is how often a registration is renewed within its TTL, so that two renewals in
	// a row may fail.
	renewalsPerTTL = 3
	// minWatchAge is how long a watch must have been open before the absence of a registration is
	// trusted.
	minWatchAge = 30 * time.Millisecond
)

// Relay is a registered balancer. The value of its registration in the store is its JSON.
type Relay struct {
	ID   string `json:"id"`
	Addr string `json:"addr"`
	// ByUrgency says that requests are ordered by urgency under the configuration that was in force
	// when the balancer registered. A balancer that starts reads it before it has a configuration.
	ByUrgency bool   `json:"by_urgency,omitempty"`
	Zone      string `json:"-"` // taken from the registration's key

	lease    uint64
	revision uint64 // of the registration; 0 for a balancer named by a peer
	// unreadable says that the registration exists and names no balancer.
	unreadable bool
}

// parseRelay decodes a registration record. If it returns an error, the Relay is unreadable.
func parseRelay(r directory.Record) (Relay, error) {
	relay := Relay{Zone: strings.TrimPrefix(r.Key, namePrefix), lease: r.Lease, revision: r.Revision}
	if err := untrusted.Unmarshal(r.Value, untrusted.MaxRecord, &relay); err != nil {
		return Relay{revision: r.Revision, unreadable: true}, untrusted.NewRecordError(r.Key, r.Revision, err)
	}
	if _, err := netip.ParseAddrPort(relay.Addr); err != nil {
		return Relay{revision: r.Revision, unreadable: true}, untrusted.NewRecordError(r.Key, r.Revision, err)
	}
	return relay, nil
}

// maintainRegistration registers this balancer as its zone's relay while the zone has none, and
// renews the registration, until ctx ends. In a planned stop it releases the registration instead.
func (g *Group) maintainRegistration(ctx context.Context) {
	for ctx.Err() == nil {
		current, ok := g.replica.relay(g.cfg.Zone)
		switch {
		case ok && current.Addr == g.cfg.Addr && g.leaving.Load():
			pause.For(ctx, g.opts.Wait) // which Leave takes at most
			if g.releasedLease.Load() != current.lease {
				g.release(ctx, current)
			}
			g.replica.waitChange(ctx, g.opts.TTL/renewalsPerTTL)
		case ok && current.Addr == g.cfg.Addr:
			g.renew(ctx, current)
			pause.For(ctx, g.opts.TTL/renewalsPerTTL)
		case ok:
			g.endTenure()
			g.replica.waitChange(ctx, g.opts.TTL)
		default:
			g.endTenure()
			if g.awaitVacancy(ctx) {
				g.register(ctx)
			}
		}
	}
}

// awaitVacancy waits for the registration backoff and reports whether this balancer may register:
// the zone still has no relay, and this balancer is not shutting down.
func (g *Group) awaitVacancy(ctx context.Context) bool {
	if g.leaving.Load() {
		pause.For(ctx, g.opts.TTL)
		return false
	}
	if !g.waitBackoff(ctx) {
		return false
	}
	if g.starting.Load() {
		g.readRegistrations(ctx)
	}
	// Balancers that received no changes for a moment receive them again at the same time. Each of
	// them backs off again, so that they do not all register at once.
	for ctx.Err() == nil && !g.starting.Load() && !g.seesRegistrations(time.Now()) {
		g.replica.waitChange(ctx, minWatchAge)
		if g.seesRegistrations(time.Now()) && !g.waitBackoff(ctx) {
			return false
		}
	}
	_, taken := g.replica.relay(g.cfg.Zone)
	return !taken && ctx.Err() == nil && !g.leaving.Load()
}

// waitBackoff waits for this balancer's registration backoff, which depends on its processor share,
// and reports whether the zone still has no relay. It returns early when the zone gets one.
func (g *Group) waitBackoff(ctx context.Context) bool {
	position := jitterPosition(slices.Contains(g.cfg.Seeds, g.cfg.Addr), rand.Float64())
	jitter := jitterAt(g.opts.maxJitter(len(g.replica.allRelays())), position)
	return !g.replica.waitRegistration(ctx, g.cfg.Zone, g.opts.backoff(jitter, g.cfg.Cores)) && ctx.Err() == nil
}

// seesRegistrations reports whether this balancer would know of a registration if one existed.
func (g *Group) seesRegistrations(now time.Time) bool {
	if g.follower.UpToDate(now) {
		return g.follower.WatchDuration(now) >= minWatchAge
	}
	return g.relaySettled.Load()
}

// register tries to register this balancer and waits until the store reports the zone's relay, at
// most one TTL. After an error the registration may still have been written, which the store then
// reports as well.
func (g *Group) register(ctx context.Context) {
	value, err := json.Marshal(Relay{ID: g.cfg.ID, Addr: g.cfg.Addr, ByUrgency: g.cfg.ByUrgency != nil && g.cfg.ByUrgency()})
	if err != nil {
		g.cfg.Log.Error("could not encode relay registration", "error", err)
		pause.For(ctx, g.opts.TTL)
		return
	}
	limited, cancel := context.WithTimeout(ctx, g.opts.TTL)
	defer cancel()
	unreadable := g.replica.unreadableRegistration(g.cfg.Zone)
	_, err = g.cfg.Registry.Replace(limited, namePrefix+g.cfg.Zone, value, unreadable, g.opts.TTL)
	if unreadable != 0 {
		g.delayTenure(time.Now())
	}
	switch {
	case errors.Is(err, ErrAlreadyRegistered):
		g.cfg.Log.Info("another balancer registered as relay first", "zone", g.cfg.Zone)
	case err != nil:
		g.cfg.Log.Warn("could not register as relay", "zone", g.cfg.Zone, "error", err)
	default:
		g.cfg.Log.Info("registered as relay", "zone", g.cfg.Zone)
		g.registeredAfter.Store(int64(time.Since(g.createdAt)))
		g.follower.SetServing(true)
		g.follower.SetActive(true)
		g.follower.EndRetryPause()
	}
	g.replica.waitRegistration(ctx, g.cfg.Zone, g.opts.TTL)
}

// renew extends this balancer's lease. It need not handle the end of the registration, which the
// store reports among its changes.
func (g *Group) renew(ctx context.Context, own Relay) {
	ctx, cancel := context.WithTimeout(ctx, g.opts.TTL/renewalsPerTTL)
	defer cancel()
	suspendedBefore, sent := g.cfg.Suspensions.Check(), time.Now()
	err := g.cfg.Registry.Renew(ctx, own.lease)
	if errors.Is(err, ErrLeaseExpired) {
		g.endTenure()
	}
	if err != nil {
		g.cfg.Log.Warn("could not renew relay registration", "zone", g.cfg.Zone, "lease", own.lease, "error", err)
		return
	}
	g.extendTenure(own, sent, suspendedBefore)
	g.follower.EndRetryPause()
}

// RegisteredByUrgency reports whether a registered relay has stated that requests are ordered by
// urgency. A balancer that has no configuration yet relies on it.
func (g *Group) RegisteredByUrgency() bool {
	return slices.ContainsFunc(g.replica.allRelays(), func(r Relay) bool { return r.ByUrgency })
}
