// Package fleet maintains a balancer's view of fleet-wide state that is not in the store: how many
// requests the teams send through all balancers together, and other fleet-wide counters.
//
// A Keeper wraps one quota.Limiter with a lock and the wall clock. Its loop reports to the relay
// that the balancer follows or, on a relay, to the relays of other zones. The rules are in
// coord/quota and coord/tally. A Transport makes the calls; without one the balancer is assumed to
// be the only one of the fleet.
//
// # Usage
//
//	k := fleet.New(fleet.Config{Addr: link, Zone: zone, Limit: limit, Log: log, Metrics: registry})
//	go k.Run(ctx, relays)
//	k.AwaitSnapshot(ctx, "medina", limit)
//	ok, after := k.Take("medina", limit, quota.Attempt{}, time.Now())
package fleet

import (
	"cmp"
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/lotuswing/lotuswing/coord/quota"
	"github.com/lotuswing/lotuswing/coord/tally"
	"github.com/lotuswing/lotuswing/internal/pause"
	"github.com/rcrowley/go-metrics"
)

// Transport sends reports to other balancers.
type Transport interface {
	// ServesAsRelay reports whether this balancer is its zone's relay.
	ServesAsRelay() bool
	// FollowedRelay returns the address of the relay that this balancer follows; empty for none.
	FollowedRelay() string
	// PeerRelays returns the addresses of the relays of other zones.
	PeerRelays() []string
	// IsRelay reports whether an address is that of a registered relay.
	IsRelay(addr string) bool
	// SendReport sends a report to the balancer at an address and returns its answer.
	SendReport(ctx context.Context, addr string, r tally.Report) (quota.ReportAnswer, error)
}

// Config configures a Keeper.
type Config struct {
	Addr string // link address of the balancer
	Zone string
	// Spare is how many requests above its quota the operators tolerate, for each team.
	Spare float64
	// Limit returns the configured quota of a team; false if the team is unknown.
	Limit   func(team string) (quota.Limit, bool)
	Log     hclog.Logger
	Metrics metrics.Registry
}

// Keeper enforces quotas and maintains fleet-wide counters on one balancer. It is safe for
// concurrent use.
type Keeper struct {
	cfg     Config
	refused metrics.Counter // requests refused by a quota
	// isolations counts how often no relay answered, and refusedIsolated the requests refused meanwhile.
	isolations, refusedIsolated metrics.Counter
	awaited                     metrics.Counter // requests that needed a fresh snapshot
	wake                        chan struct{}   // capacity 1; ends the wait of the loop in Run

	mu         sync.Mutex
	transport  Transport // nil before Run, and without other balancers
	limiter    *quota.Limiter
	nextReport time.Time // when the loop checks again whether a report is due
	// answered is closed and replaced when a report to the relay was answered or has failed.
	answered  chan struct{}
	reporting map[string]bool // addresses of relays with a call in progress
}

// New returns a keeper without any counts.
func New(cfg Config) *Keeper {
	return &Keeper{
		cfg: cfg, refused: metrics.GetOrRegisterCounter("quota_refusals", cfg.Metrics),
		isolations:      metrics.GetOrRegisterCounter("quota_isolations", cfg.Metrics),
		refusedIsolated: metrics.GetOrRegisterCounter("quota_refusals_isolated", cfg.Metrics),
		awaited:         metrics.GetOrRegisterCounter("quota_words_awaited", cfg.Metrics), wake: make(chan struct{}, 1),
		limiter: quota.NewLimiter(cfg.Addr, cfg.Zone, cmp.Or(rand.Uint64(), 1)), reporting: map[string]bool{}, answered: make(chan struct{}),
	}
}

// AwaitSnapshot waits for a fresh snapshot of a team's quota if its next request needs one, until
// ctx ends and for at most quota.MaxRefreshWait.
func (k *Keeper) AwaitSnapshot(ctx context.Context, team string, l quota.Limit) {
	began := time.Now()
	answered, stale := k.refreshIfStale(team, l, began)
	if stale {
		k.awaited.Inc(1)
	}
	for stale && ctx.Err() == nil {
		left := time.Until(began.Add(quota.MaxRefreshWait))
		if left <= 0 {
			return
		}
		pause.Until(ctx, answered, left)
		answered, stale = k.refreshIfStale(team, l, time.Now())
	}
}

// refreshIfStale reports whether the next request of a team needs a fresh snapshot of its quota, and
// if so makes a report due. The channel is closed when the next report is answered or fails, which
// may be one that is in progress.
func (k *Keeper) refreshIfStale(team string, l quota.Limit, now time.Time) (answered <-chan struct{}, stale bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.limiter.RefreshIfStale(team, k.withSpare(l), now) {
		return nil, false
	}
	k.wakeIfDueSooner(now)
	return k.answered, true
}

// Take takes one token of a team's quota for a request. If the request must not be sent, it returns
// false and how long to wait before a retry.
func (k *Keeper) Take(team string, l quota.Limit, t quota.Attempt, now time.Time) (bool, time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	ok, after := k.limiter.Take(team, k.withSpare(l), t, now)
	if !ok {
		k.refused.Inc(1)
		if k.limiter.Isolated() {
			k.refusedIsolated.Inc(1)
		}
	}
	k.wakeIfDueSooner(now)
	return ok, after
}

// CountRetry counts a retry of an admitted request, without a check.
func (k *Keeper) CountRetry(team string, now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.limiter.CountRetry(team, now)
}

// Refund gives back the token of a request that was not sent.
func (k *Keeper) Refund(team string, now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.limiter.Refund(team, now)
}

// Add adds n to a fleet-wide counter that has no quota.
func (k *Keeper) Add(key string, n int64, now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.limiter.Add(key, n, now)
	k.wakeIfDueSooner(now)
}

// Sum returns the fleet's total under a key, as far as this balancer knows it as a relay.
func (k *Keeper) Sum(key string) int64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.limiter.Sum(key)
}

// Sums returns the fleet's totals under all keys with a prefix, indexed by the rest of the key.
func (k *Keeper) Sums(prefix string) map[string]int64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.limiter.Sums(prefix)
}

// HandleReport applies a report of another balancer and returns the answer.
func (k *Keeper) HandleReport(r tally.Report) quota.ReportAnswer {
	now := time.Now()
	k.updateRole(now)
	k.mu.Lock()
	defer k.mu.Unlock()
	answer := k.limiter.HandleReport(r, k.configuredLimit, now)
	k.wakeIfDueSooner(now)
	return answer
}

// Status returns the quota states of all teams that this balancer has an account of.
func (k *Keeper) Status(now time.Time) []quota.Status {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.limiter.Status(now)
}

// withSpare returns a quota with the configured spare requests.
func (k *Keeper) withSpare(l quota.Limit) quota.Limit {
	l.Spare = k.cfg.Spare
	return l
}

// configuredLimit returns the configured quota of a team, with the spare requests; false if the team
// is unknown.
func (k *Keeper) configuredLimit(team string) (quota.Limit, bool) {
	l, ok := k.cfg.Limit(team)
	return k.withSpare(l), ok
}

// wakeIfDueSooner wakes the loop if a report is due before the loop would check again. The caller
// holds k.mu.
func (k *Keeper) wakeIfDueSooner(now time.Time) {
	at, ok := k.limiter.Due(now)
	if !ok || !k.nextReport.IsZero() && !at.Before(k.nextReport) {
		return
	}
	k.nextReport = at
	select {
	case k.wake <- struct{}{}:
	default: // a wake-up is pending already
	}
}
