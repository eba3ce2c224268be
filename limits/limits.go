// Package limits holds this balancer, with all others, to the requests a second that endpoints
// in need name in their answers.
//
// A Keeper owns one limit.Book with its lock. It hears every answer of an endpoint, to requests
// and to probes, asks the endpoint's owner for room before a request goes there, answers others
// where this balancer is an owner, and tells all balancers what they should know (notes.go).
// The rules are in coord/limit. It relies on a Carrier for calls and notes; without one this
// balancer is the whole fleet.
//
// # Usage
//
//	k := limits.New(limits.Config{Addr: link, Log: log, Metrics: registry})
//	k.SetCarrier(relays)
//	k.Answered(endpoint, report.Limit)
//	if standing, _ := k.Standing(endpoint, now); standing == limit.Askable {
//		k.Seek(ctx, endpoint, wait)
//	}
//	if k.Use(endpoint, time.Now()) { send }
package limits

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/lotuswing/lotuswing/coord/limit"
	"github.com/lotuswing/lotuswing/internal/pause"
	"github.com/rcrowley/go-metrics"
)

// Endpoint is one start of an endpoint. Another start under the same identity has no limit
// until it names one.
type Endpoint struct {
	ID      string
	Start   int64
	Service string
	Zone    string
}

func (e Endpoint) target() limit.Target { return limit.Target{ID: e.ID, Start: e.Start} }

// Carrier takes asks and notes to other balancers.
type Carrier interface {
	// Serving reports whether this balancer is its zone's relay.
	Serving() bool
	// InTouch reports whether it hears of the store.
	InTouch() bool
	// Owners returns the registered relays.
	Owners() []limit.Relay
	// Ask asks a balancer for room at endpoints that it owns.
	Ask(ctx context.Context, addr string, asks []limit.Ask) (limit.Reply, error)
	// Publish tells all balancers something.
	Publish(topic string, data []byte) error
}

// Config of a Keeper.
type Config struct {
	Addr    string // link address of the balancer
	Log     hclog.Logger
	Metrics metrics.Registry
}

// Keeper is what one balancer knows of the limits of endpoints. It is safe for concurrent use.
type Keeper struct {
	cfg      Config
	counters counters
	// some is how many endpoints have named a limit: none is the usual case, and costs a
	// choice one atomic read.
	some atomic.Int64

	mu        sync.Mutex
	carrier   Carrier // nil before SetCarrier, and where there is none
	book      *limit.Limiter
	endpoints map[limit.Target]Endpoint
	warned    map[limit.Target]time.Time // when a header that could not be read was last logged
	noting    map[limit.Target]bool      // a note will be told in a moment
}

// counters of a keeper.
type counters struct {
	asked, denied, unanswered, sent, unread metrics.Counter
}

func newCounters(r metrics.Registry) counters {
	return counters{
		asked: metrics.GetOrRegisterCounter("limit_asks", r), denied: metrics.GetOrRegisterCounter("limit_denials", r),
		unanswered: metrics.GetOrRegisterCounter("limit_unanswered", r), sent: metrics.GetOrRegisterCounter("limit_sent", r),
		unread: metrics.GetOrRegisterCounter("limits_unread", r),
	}
}

// New returns a keeper that has heard of no limit.
func New(cfg Config) *Keeper {
	return &Keeper{
		cfg: cfg, counters: newCounters(cfg.Metrics), book: limit.NewLimiter(rand.Uint64()), endpoints: map[limit.Target]Endpoint{},
		warned: map[limit.Target]time.Time{}, noting: map[limit.Target]bool{},
	}
}

// SetCarrier gives the keeper its way to others.
func (k *Keeper) SetCarrier(c Carrier) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.carrier = c
}

// Resume notes that the VM was suspended.
func (k *Keeper) Resume() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.book.Resume()
}

// Quiet reports whether no endpoint has named a limit.
func (k *Keeper) Quiet() bool { return k.some.Load() == 0 }

// Standing returns whether a request may go to an endpoint and, where it may not, for how long
// that is known.
func (k *Keeper) Standing(e Endpoint, now time.Time) (limit.Standing, time.Duration) {
	if k.Quiet() {
		return limit.Free, 0
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.book.Standing(e.target(), now)
}

// Use takes a permit for a request that goes to an endpoint now. It reports whether the request
// may go.
func (k *Keeper) Use(e Endpoint, now time.Time) bool {
	if k.Quiet() {
		return true
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	s := k.book.Use(e.target(), now)
	if s == limit.Held {
		k.counters.sent.Inc(1)
	}
	return s.Admits()
}

// Seek asks an endpoint's owner for room, and waits for the answer a while; a later one still
// counts, for other requests. look says that the endpoint may be probed, to hear whether its
// limit still holds.
func (k *Keeper) Seek(ctx context.Context, e Endpoint, within time.Duration) (look bool) {
	k.mu.Lock()
	a, ok := k.book.Ask(e.target(), time.Now())
	k.mu.Unlock()
	if !ok {
		return false
	}
	k.counters.asked.Inc(1)
	var allowed atomic.Bool
	done := make(chan struct{})
	go func() {
		allowed.Store(k.ask(context.WithoutCancel(ctx), e, a))
		close(done)
	}()
	pause.Until(ctx, done, within)
	return allowed.Load()
}

// ask carries an ask to the endpoint's owner. look says that the endpoint may be probed.
func (k *Keeper) ask(ctx context.Context, e Endpoint, a limit.Ask) (look bool) {
	r, err := k.carry(ctx, e, a)
	now := time.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	if err != nil {
		k.counters.unanswered.Inc(1)
		k.cfg.Log.Debug("limit not asked for", "endpoint", e.ID, "error", err)
		k.book.HandleNoReply(a, now)
		return false
	}
	g := r.Grants[0]
	if g.Permits < a.Want {
		k.counters.denied.Inc(1)
	}
	before := k.book.Observation(a.Target)
	look = k.book.HandleReply(a, g, r.Askers, now)
	k.noteWord(e, before, fromOwner, now)
	return look
}

// Asked answers another balancer, where this one is a relay.
func (k *Keeper) Asked(from string, asks []limit.Ask) limit.Reply {
	k.mu.Lock()
	c := k.carrier
	k.mu.Unlock()
	if c == nil || !c.Serving() {
		return limit.Reply{}
	}
	return k.answer(from, asks, c.InTouch())
}

// answer answers asks as the owner of their endpoints.
func (k *Keeper) answer(from string, asks []limit.Ask, inTouch bool) limit.Reply {
	now := time.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	before := make([]limit.Observation, len(asks))
	for i, a := range asks {
		before[i] = k.book.Observation(a.Target)
	}
	r := k.book.HandleAsks(from, asks, inTouch, now)
	for i, a := range asks {
		e := k.endpointOf(a.Target)
		k.noteWord(e, before[i], fromBalancer, now)
		k.tellAll(e, now)
	}
	return r
}

// endpointOf returns an endpoint as far as it is known here; k.mu is held.
func (k *Keeper) endpointOf(t limit.Target) Endpoint {
	if e, ok := k.endpoints[t]; ok {
		return e
	}
	return Endpoint{ID: t.ID, Start: t.Start}
}
