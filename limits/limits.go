// Package limits enforces, together with all other balancers, the requests per second that
// overloaded endpoints name in their answers.
//
// A Keeper guards one limit.Limiter with a mutex. It observes the answers of endpoints to
// requests and probes, asks the owner of an endpoint for a permit before a request is sent,
// replies to other balancers if this one is an owner, and publishes changes to all balancers
// (notes.go). The rules are in package coord/limit. A Keeper sends asks and notes through a
// Transport; without one it assumes that there are no other balancers.
//
// # Usage
//
//	k := limits.New(limits.Config{Addr: link, Log: log, Metrics: registry})
//	k.SetTransport(relays)
//	k.ObserveAnswer(endpoint, report.Limit)
//	if standing, _ := k.Standing(endpoint, now); standing == limit.Askable {
//		k.RequestPermit(ctx, endpoint, wait)
//	}
//	if k.TakePermit(endpoint, time.Now()) { send }
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

// Endpoint is one incarnation of an endpoint, which begins when the endpoint starts. A later
// incarnation with the same ID has no limit until it names one.
type Endpoint struct {
	ID      string
	Start   int64
	Service string
	Zone    string
}

func (e Endpoint) target() limit.Target { return limit.Target{ID: e.ID, Start: e.Start} }

// Transport sends asks and notes to other balancers.
type Transport interface {
	// ServesAsRelay reports whether this balancer is the relay of its zone.
	ServesAsRelay() bool
	// IsOnlyRelay reports whether this balancer is certain to be the only relay of its zone.
	IsOnlyRelay() bool
	// LimitOwners returns the registered relays.
	LimitOwners() []limit.Relay
	// Ask sends asks to the balancer at addr and returns its reply.
	Ask(ctx context.Context, addr string, asks []limit.Ask) (limit.Reply, error)
	// Publish sends a note to all other balancers.
	Publish(topic string, data []byte) error
}

// Config configures a Keeper.
type Config struct {
	Addr    string // link address of the balancer
	Log     hclog.Logger
	Metrics metrics.Registry
}

// Keeper tracks and enforces the limits of endpoints for one balancer. It is safe for concurrent
// use.
type Keeper struct {
	cfg      Config
	counters counters
	// knownCount is the number of endpoints with an entry in limiter. While it is 0, as usual, the
	// limits cost one atomic load for each decision.
	knownCount atomic.Int64

	mu            sync.Mutex
	transport     Transport // nil before SetTransport, or if there are no other balancers
	limiter       *limit.Limiter
	endpoints     map[limit.Target]Endpoint
	lastWarned    map[limit.Target]time.Time // when an unreadable header was last logged
	noteScheduled map[limit.Target]bool      // a timer is set that publishes a note
}

// counters are the metrics of a Keeper.
type counters struct {
	asked, denied, unanswered, sent, unreadable metrics.Counter
}

func newCounters(r metrics.Registry) counters {
	return counters{
		asked: metrics.GetOrRegisterCounter("limit_asks", r), denied: metrics.GetOrRegisterCounter("limit_denials", r),
		unanswered: metrics.GetOrRegisterCounter("limit_unanswered", r), sent: metrics.GetOrRegisterCounter("limit_sent", r),
		unreadable: metrics.GetOrRegisterCounter("limits_unread", r),
	}
}

// New returns a Keeper that knows no limits.
func New(cfg Config) *Keeper {
	return &Keeper{
		cfg: cfg, counters: newCounters(cfg.Metrics), limiter: limit.NewLimiter(rand.Uint64()), endpoints: map[limit.Target]Endpoint{},
		lastWarned: map[limit.Target]time.Time{}, noteScheduled: map[limit.Target]bool{},
	}
}

// SetTransport sets the Transport through which the keeper reaches other balancers.
func (k *Keeper) SetTransport(c Transport) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.transport = c
}

// Resume drops all permits. It is called after the VM was suspended.
func (k *Keeper) Resume() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.limiter.DropPermits()
}

// HasNoLimits reports whether no limit is known for any endpoint.
func (k *Keeper) HasNoLimits() bool { return k.knownCount.Load() == 0 }

// Standing returns whether a request may be sent to an endpoint and, if not, for how long; 0 if
// that is unknown.
func (k *Keeper) Standing(e Endpoint, now time.Time) (limit.Standing, time.Duration) {
	if k.HasNoLimits() {
		return limit.Unlimited, 0
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.limiter.Standing(e.target(), now)
}

// TakePermit takes a permit for a request that is sent to an endpoint now, if its limit requires
// one. It reports whether the request may be sent.
func (k *Keeper) TakePermit(e Endpoint, now time.Time) bool {
	if k.HasNoLimits() {
		return true
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	s := k.limiter.Use(e.target(), now)
	if s == limit.Permitted {
		k.counters.sent.Inc(1)
	}
	return s.Admits()
}

// RequestPermit asks the owner of an endpoint for a permit and waits for the reply until within has
// passed or ctx is done. A later reply is still applied, for use by other requests. mayProbe
// reports whether the endpoint may be probed to check whether its limit still holds.
func (k *Keeper) RequestPermit(ctx context.Context, e Endpoint, within time.Duration) (mayProbe bool) {
	k.mu.Lock()
	a, ok := k.limiter.Ask(e.target(), time.Now())
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

// ask sends an ask to the owner of the endpoint and applies the reply or the failure. mayProbe
// reports whether the endpoint may be probed.
func (k *Keeper) ask(ctx context.Context, e Endpoint, a limit.Ask) (mayProbe bool) {
	r, err := k.askOwner(ctx, e, a)
	now := time.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	if err != nil {
		k.counters.unanswered.Inc(1)
		k.cfg.Log.Debug("ask to the owner of the endpoint failed", "endpoint", e.ID, "error", err)
		k.limiter.HandleNoReply(a, now)
		return false
	}
	g := r.Grants[0]
	if g.Permits < a.Want {
		k.counters.denied.Inc(1)
	}
	before := k.limiter.Observation(a.Target)
	mayProbe = k.limiter.HandleReply(a, g, r.Askers, now)
	k.logObservation(e, before, fromOwner, now)
	return mayProbe
}

// HandleAsks replies to asks of the balancer at address from, if this balancer is a relay;
// otherwise the reply is empty.
func (k *Keeper) HandleAsks(from string, asks []limit.Ask) limit.Reply {
	k.mu.Lock()
	c := k.transport
	k.mu.Unlock()
	if c == nil || !c.ServesAsRelay() {
		return limit.Reply{}
	}
	return k.answerAsks(from, asks, c.IsOnlyRelay())
}

// answerAsks replies to asks as the owner of their endpoints, and publishes what is news.
func (k *Keeper) answerAsks(from string, asks []limit.Ask, certain bool) limit.Reply {
	now := time.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	before := make([]limit.Observation, len(asks))
	for i, a := range asks {
		before[i] = k.limiter.Observation(a.Target)
	}
	r := k.limiter.HandleAsks(from, asks, certain, now)
	for i, a := range asks {
		e := k.endpointOf(a.Target)
		k.logObservation(e, before[i], fromBalancer, now)
		k.publishNews(e, now)
	}
	return r
}

// endpointOf returns the endpoint of a target; without service and zone if this balancer has
// got no answer from the endpoint. k.mu must be held.
func (k *Keeper) endpointOf(t limit.Target) Endpoint {
	if e, ok := k.endpoints[t]; ok {
		return e
	}
	return Endpoint{ID: t.ID, Start: t.Start}
}
