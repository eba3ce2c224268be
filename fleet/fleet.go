// Package fleet keeps what a balancer has to know of the whole fleet beside the store's
// records: how many requests the teams send through all balancers together, and what else
// is counted for all.
//
// A Keeper owns one quota.Book with its lock and its clock, and the loop that reports to the
// relay that the balancer follows or, at a relay, to the relays of other zones. The rules
// are in coord/quota and coord/tally. It relies on a Carrier for the calls; without one the
// balancer is the whole fleet.
//
// # Usage
//
//	k := fleet.New(fleet.Config{Addr: link, Zone: zone, Limit: limit, Log: log, Metrics: registry})
//	go k.Run(ctx, relays)
//	k.Await(ctx, "medina", limit)
//	ok, after := k.Take("medina", limit, time.Now())
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

// Carrier takes reports to other balancers.
type Carrier interface {
	// Serving reports whether this balancer is its zone's relay.
	Serving() bool
	// Followed returns the address of the relay that this balancer follows; empty for none.
	Followed() string
	// Others returns the addresses of the relays of other zones.
	Others() []string
	// IsRelay reports whether an address is that of a registered relay.
	IsRelay(addr string) bool
	// Count tells a balancer what this one has counted.
	Count(ctx context.Context, addr string, r tally.Report) (quota.Answer, error)
}

// Config of a Keeper.
type Config struct {
	Addr string // link address of the balancer
	Zone string
	// Spare is how many requests above its quota the operators bear with, for each team.
	Spare float64
	// Limit returns the quota of a team, as it is configured.
	Limit   func(team string) (quota.Limit, bool)
	Log     hclog.Logger
	Metrics metrics.Registry
}

// Keeper is one balancer's knowledge of the fleet's counts. It is safe for concurrent use.
type Keeper struct {
	cfg     Config
	refused metrics.Counter
	awaited metrics.Counter
	wake    chan struct{} // of one place

	mu      sync.Mutex
	carrier Carrier // nil before Run, and where there is none
	book    *quota.Book
	planned time.Time // when the loop looks again
	// answered is closed and replaced when a report was answered, or was not.
	answered chan struct{}
	telling  map[string]bool // relays that are being told, by address
}

// New returns a keeper that has counted nothing.
func New(cfg Config) *Keeper {
	return &Keeper{
		cfg: cfg, refused: metrics.GetOrRegisterCounter("quota_refusals", cfg.Metrics),
		awaited: metrics.GetOrRegisterCounter("quota_words_awaited", cfg.Metrics), wake: make(chan struct{}, 1),
		book: quota.NewBook(cfg.Addr, cfg.Zone, cmp.Or(rand.Uint64(), 1)), telling: map[string]bool{}, answered: make(chan struct{}),
	}
}

// Await waits for the fleet's word on a team's quota where its next request needs one, until ctx ends
// or for quota.AskWithin.
func (k *Keeper) Await(ctx context.Context, team string, l quota.Limit) {
	began := time.Now()
	answered, asks := k.ask(team, l, began)
	if asks {
		k.awaited.Inc(1)
	}
	for asks && ctx.Err() == nil {
		left := time.Until(began.Add(quota.AskWithin))
		if left <= 0 {
			return
		}
		pause.Until(ctx, answered, left)
		answered, asks = k.ask(team, l, time.Now())
	}
}

// ask asks for a word on a team's quota where its next request needs one. The channel is closed when
// the present report was answered, or was not.
func (k *Keeper) ask(team string, l quota.Limit, now time.Time) (answered <-chan struct{}, asks bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.book.Asks(team, k.spared(l), now) {
		return nil, false
	}
	k.plan(now)
	return k.answered, true
}

// Take takes one request out of a team's quota, or says when there may be room.
func (k *Keeper) Take(team string, l quota.Limit, now time.Time) (bool, time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	ok, after := k.book.Take(team, k.spared(l), now)
	if !ok {
		k.refused.Inc(1)
	}
	k.plan(now)
	return ok, after
}

// Repeat counts a request that is sent once more.
func (k *Keeper) Repeat(team string, now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.book.Repeat(team, now)
}

// Return puts a request back that was not sent.
func (k *Keeper) Return(team string, now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.book.Return(team, now)
}

// Add counts something that has no quota, for all.
func (k *Keeper) Add(key string, n int64, now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.book.Add(key, n, now)
	k.plan(now)
}

// Sum returns what all balancers together have counted under a key, as far as a relay knows.
func (k *Keeper) Sum(key string) int64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.book.Sum(key)
}

// Sums returns the same of all keys that begin with a prefix, by what follows it.
func (k *Keeper) Sums(prefix string) map[string]int64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.book.Sums(prefix)
}

// Hear takes a report of another balancer.
func (k *Keeper) Hear(r tally.Report) quota.Answer {
	now := time.Now()
	k.lookRole(now)
	k.mu.Lock()
	defer k.mu.Unlock()
	answer := k.book.Hear(r, k.limit, now)
	k.plan(now)
	return answer
}

// Status returns what is known of the quotas of teams that have sent anything here.
func (k *Keeper) Status(now time.Time) []quota.Status {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.book.Status(now)
}

// spared returns a quota with what the operators bear with beside it.
func (k *Keeper) spared(l quota.Limit) quota.Limit {
	l.Spare = k.cfg.Spare
	return l
}

// limit returns the quota of a team as it is configured.
func (k *Keeper) limit(team string) (quota.Limit, bool) {
	l, ok := k.cfg.Limit(team)
	return k.spared(l), ok
}

// plan wakes the loop where it has to look earlier than it meant to; k.mu is held.
func (k *Keeper) plan(now time.Time) {
	at, ok := k.book.Due(now)
	if !ok || !k.planned.IsZero() && !at.Before(k.planned) {
		return
	}
	k.planned = at
	select {
	case k.wake <- struct{}{}:
	default: // it is awake
	}
}
