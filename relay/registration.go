package relay

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/lotuswing/lotuswing/directory"
	"github.com/lotuswing/lotuswing/internal/pause"
)

const (
	// namePrefix begins the names of registrations; the zone follows.
	namePrefix = "relays/"
	// renewals is how often a registration is renewed within its time to live, so
	// that two renewals in a row may fail.
	renewals = 3
	// watchedFor is how long a watch must have waited, at the least, for a vacancy that it has
	// not contradicted to be believed.
	watchedFor = 30 * time.Millisecond
)

// Relay is a registered balancer. Its JSON stands in the store.
type Relay struct {
	ID   string `json:"id"`
	Addr string `json:"addr"`
	Zone string `json:"-"` // from the name of the registration

	lease    uint64
	revision uint64
}

// parseRelay reads a registration.
func parseRelay(r directory.Record) (Relay, error) {
	relay := Relay{Zone: strings.TrimPrefix(r.Key, namePrefix), lease: r.Lease, revision: r.Revision}
	if err := json.Unmarshal(r.Value, &relay); err != nil {
		return Relay{}, fmt.Errorf("relay: registration %s: %w", r.Key, err)
	}
	return relay, nil
}

// maintainRegistration registers this balancer as its zone's relay while there is
// none, and renews its registration, until ctx ends.
func (g *Group) maintainRegistration(ctx context.Context) {
	value, err := json.Marshal(Relay{ID: g.cfg.ID, Addr: g.cfg.Addr})
	if err != nil {
		g.cfg.Log.Error("no registration", "error", err)
		return
	}
	for ctx.Err() == nil {
		current, ok := g.replica.relay(g.cfg.Zone)
		switch {
		case ok && current.Addr == g.cfg.Addr:
			g.renew(ctx, current)
			pause.For(ctx, g.opts.TTL/renewals)
		case ok:
			g.replica.waitChange(ctx, g.opts.TTL)
		default:
			if g.waitVacant(ctx) {
				g.register(ctx, value)
			}
		}
	}
}

// waitVacant waits as long as a vacancy is left to others, and reports whether it
// still stands.
func (g *Group) waitVacant(ctx context.Context) bool {
	if g.leaving.Load() {
		pause.For(ctx, g.opts.TTL)
		return false
	}
	if !g.backOff(ctx) {
		return false
	}
	if g.starting.Load() {
		g.readRegistrations(ctx)
	}
	// Balancers that were blind to changes for a moment see again at the same
	// time: each waits anew, lest all of them register then.
	for ctx.Err() == nil && !g.starting.Load() && !g.upToDate(time.Now()) {
		g.replica.waitChange(ctx, watchedFor)
		if g.upToDate(time.Now()) && !g.backOff(ctx) {
			return false
		}
	}
	_, taken := g.replica.relay(g.cfg.Zone)
	return !taken && ctx.Err() == nil && !g.leaving.Load()
}

// backOff waits as long as a balancer of this size leaves a vacancy to others, and
// reports whether it still stands.
func (g *Group) backOff(ctx context.Context) bool {
	share := turn(slices.Contains(g.cfg.Seeds, g.cfg.Addr), rand.Float64())
	random := scatter(g.opts.jitter(len(g.replica.allRelays())), share)
	return !g.replica.waitRegistration(ctx, g.cfg.Zone, g.opts.backoff(random, g.cfg.Cores)) && ctx.Err() == nil
}

// upToDate reports whether a registration would be known here if it existed.
func (g *Group) upToDate(now time.Time) bool {
	if g.follower.Settled(now) {
		return g.follower.Watching(now) >= watchedFor
	}
	return g.followed.Load()
}

// register registers this balancer and waits until the store tells who is
// registered. After an error the registration may have been written all the same:
// then the store tells that, too.
func (g *Group) register(ctx context.Context, value []byte) {
	limited, cancel := context.WithTimeout(ctx, g.opts.TTL)
	defer cancel()
	err := g.cfg.Registry.Register(limited, namePrefix+g.cfg.Zone, value, g.opts.TTL)
	switch {
	case errors.Is(err, ErrTaken):
		g.cfg.Log.Info("registration taken by another", "zone", g.cfg.Zone)
	case err != nil:
		g.cfg.Log.Warn("not registered", "zone", g.cfg.Zone, "error", err)
	default:
		g.cfg.Log.Info("registered as relay", "zone", g.cfg.Zone)
		g.registered.Store(int64(time.Since(g.began)))
		g.follower.SetServing(true)
		g.follower.SetActive(true)
		g.follower.Retry()
	}
	g.replica.waitRegistration(ctx, g.cfg.Zone, g.opts.TTL)
}

// renew extends the own registration. That it has ended is told by the store's
// changes.
func (g *Group) renew(ctx context.Context, own Relay) {
	ctx, cancel := context.WithTimeout(ctx, g.opts.TTL/renewals)
	defer cancel()
	if err := g.cfg.Registry.Renew(ctx, own.lease); err != nil {
		g.cfg.Log.Warn("registration not renewed", "zone", g.cfg.Zone, "lease", own.lease, "error", err)
		return
	}
	g.follower.Retry()
}
