package relay

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/lotuswing/lotuswing/internal/pause"
)

// renewals is how often a registration is renewed within its time to live.
const renewals = 3

// watchedFor is how long a watch must have waited, at the least, for a vacancy
// that it has not contradicted to be believed.
const watchedFor = 30 * time.Millisecond

const (
	// referenceCores is the processor share of a VM that leaves a vacancy to others
	// for just the times of the options.
	referenceCores = 0.2
	// smallestCores bounds the time that a small VM leaves it to larger ones.
	smallestCores = 0.1
)

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
		g.follower.Refresh(ctx)
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

// backOff waits as long as a balancer of this size leaves a vacancy to
// others, and reports whether it still stands.
func (g *Group) backOff(ctx context.Context) bool {
	within := g.opts.BackoffJitter
	if len(g.replica.allRelays()) > 0 {
		within *= otherRelays
	}
	wait := float64(g.opts.BackoffBase+jitter(within)) * referenceCores / max(g.cfg.Cores, smallestCores)
	return !g.replica.waitRegistration(ctx, g.cfg.Zone, time.Duration(wait)) && ctx.Err() == nil
}

// otherRelays lengthens the wait while relays of other zones serve meanwhile:
// nothing presses then, and what another balancer registers becomes known late.
const otherRelays = 10

// upToDate reports whether a registration would be known here if it existed.
func (g *Group) upToDate(now time.Time) bool {
	if g.follower.Settled(now) {
		return g.follower.Watching(now) >= watchedFor
	}
	return g.followed.Load()
}

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
	}
}
