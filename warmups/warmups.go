// Package warmups asks for and grants the permits that requests to endpoints in warm-up need, together
// with all other balancers.
//
// A Keeper guards the permits that this balancer holds and, if it owns its availability zone, the ledger
// of those that it grants. The rules are in package coord/warmup. Asks go to the owner of the endpoints'
// zone through a Transport; without one there are no permits.
//
// # Usage
//
//	k := warmups.New(warmups.Config{Rate: rateOf, Log: log, Metrics: registry})
//	k.SetTransport(relays)
//	if standing, _ := k.Standing(endpoint, now); standing == warmup.Askable {
//		k.RequestPermits(ctx, endpoints, want, wait)
//	}
//	if until, ok := k.TakePermit(endpoint, time.Now()); ok { send before until }
package warmups

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/lotuswing/lotuswing/coord/warmup"
	"github.com/lotuswing/lotuswing/internal/pause"
	"github.com/rcrowley/go-metrics"
)

// Endpoint is one incarnation of an endpoint.
type Endpoint struct {
	warmup.Target
	warmup.Group
}

// Transport reaches the owners of availability zones.
type Transport interface {
	// Tenure returns the time for which this balancer is certain to be the only owner of a zone; the
	// zero value if it is not.
	Tenure(zone string) warmup.Tenure
	// AskWarmup sends an ask to the balancer that owns a zone, which may be this one, and returns its
	// reply.
	AskWarmup(ctx context.Context, a warmup.Ask) (warmup.Reply, error)
}

// errNoTransport is the error of asks before SetTransport.
var errNoTransport = errors.New("warmups: no transport")

// Config configures a Keeper.
type Config struct {
	// Rate returns how many requests a second one endpoint of a service takes while it warms up; 0 if
	// that is unknown.
	Rate    func(service string) float64
	Log     hclog.Logger
	Metrics metrics.Registry
}

// Keeper holds the permits of one balancer. It is safe for concurrent use.
type Keeper struct {
	cfg                             Config
	asked, denied, unanswered, used metrics.Counter

	mu        sync.Mutex
	transport Transport // nil before SetTransport
	permits   *warmup.Permits
	ledger    *warmup.Ledger
	owned     bool                           // the last ask was handled within a tenure
	resumed   int                            // number of calls of Resume
	inFlight  map[warmup.Group]chan struct{} // closed when the ask for the group has ended
}

// New returns a Keeper without permits.
func New(cfg Config) *Keeper {
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter(name, cfg.Metrics) }
	return &Keeper{
		cfg: cfg, asked: counter("warmup_asks"), denied: counter("warmup_denials"), unanswered: counter("warmup_unanswered"),
		used:    counter("warmup_permits_used"),
		permits: warmup.NewPermits(), ledger: warmup.NewLedger(), inFlight: map[warmup.Group]chan struct{}{},
	}
}

// SetTransport sets the Transport through which the Keeper reaches owners.
func (k *Keeper) SetTransport(t Transport) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.transport = t
}

// Standing returns whether a request may be sent to an endpoint in warm-up and, if not, for how long; 0
// if that is unknown.
func (k *Keeper) Standing(e Endpoint, now time.Time) (warmup.Standing, time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.permits.Standing(e.Target, e.Group, now)
}

// TakePermit takes a permit for a request, which must be written before until.
func (k *Keeper) TakePermit(e Endpoint, now time.Time) (until time.Time, ok bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	until, ok = k.permits.Take(e.Target, now)
	if ok {
		k.used.Inc(1)
	}
	return until, ok
}

// RecordFailure records that an endpoint refused or failed a request that had a permit.
func (k *Keeper) RecordFailure(e Endpoint) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.permits.RecordFailure(e.Group, e.Target)
}

// RequestPermits asks for up to want permits for endpoints, which are of one group, best first. It waits
// for the reply, or for that to an ask already in flight, until within has passed or ctx is done. A later
// reply is still recorded. It reports whether there was an ask to wait for.
func (k *Keeper) RequestPermits(ctx context.Context, endpoints []Endpoint, want int, within time.Duration) bool {
	if len(endpoints) == 0 {
		return false
	}
	targets := make([]warmup.Target, 0, len(endpoints))
	for _, e := range endpoints {
		targets = append(targets, e.Target)
	}
	g := endpoints[0].Group
	sentAt := time.Now()
	k.mu.Lock()
	a, ok := k.permits.Ask(g, targets, want, sentAt)
	done := k.inFlight[g]
	if ok {
		done = make(chan struct{})
		k.inFlight[g] = done
	}
	k.mu.Unlock()
	if done == nil {
		return false
	}
	if ok {
		go func() {
			defer close(done)
			k.ask(context.WithoutCancel(ctx), a, sentAt)
		}()
	}
	pause.Until(ctx, done, within)
	return true
}

// ask sends an ask and records its reply.
func (k *Keeper) ask(ctx context.Context, a warmup.Ask, sentAt time.Time) {
	k.asked.Inc(1)
	k.mu.Lock()
	t, resumed := k.transport, k.resumed
	k.mu.Unlock()
	var r warmup.Reply
	var err error
	if t == nil {
		err = errNoTransport
	} else {
		r, err = t.AskWarmup(ctx, a)
	}
	if err != nil {
		k.cfg.Log.Debug("ask for a warm-up permit failed", "service", a.Service, "zone", a.Zone, "error", err)
	}
	now := time.Now()
	switch {
	case !r.Owner:
		k.unanswered.Inc(1)
	case len(r.Granted) == 0:
		k.denied.Inc(1)
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.inFlight, warmup.Group{Service: a.Service, Zone: a.Zone})
	if resumed != k.resumed {
		r.Granted = nil
	}
	k.permits.HandleReply(a, r, sentAt, now)
}

// HandleAsk replies to an ask of a balancer, which may be this one.
func (k *Keeper) HandleAsk(a warmup.Ask) warmup.Reply {
	tenure := k.tenure(a.Zone)
	k.mu.Lock()
	defer k.mu.Unlock()
	now := time.Now()
	r := k.ledger.Handle(a, k.cfg.Rate(a.Service), tenure, rand.Float64(), now)
	if owned := tenure.Contains(now); owned != k.owned {
		k.owned = owned
		k.cfg.Log.Info("warm-up permits", "zone", a.Zone, "owner", owned, "until", tenure.Until)
	}
	return r
}

// tenure returns the time for which this balancer owns a zone. k.mu must not be held: the Transport checks
// for suspensions of the VM, which call Resume.
func (k *Keeper) tenure(zone string) warmup.Tenure {
	k.mu.Lock()
	t := k.transport
	k.mu.Unlock()
	if t == nil {
		return warmup.Tenure{}
	}
	return t.Tenure(zone)
}

// Resume drops all permits, also those of asks in flight. It is called after the VM was suspended.
func (k *Keeper) Resume() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.permits.Drop()
	k.resumed++
}

// Status is the permits of one balancer. The field names are also the JSON names.
type Status struct {
	Owner      bool // this balancer owns its zone
	Held       int  // permits that may still be used here
	Asked      int64
	Denied     int64 // asks that got no permit
	Unanswered int64 // asks without the reply of an owner
	Used       int64 // requests sent under a permit
	Granted    int64 // permits granted to all balancers, as the owner
	Endpoints  []warmup.Status
}

// Status returns the present status.
func (k *Keeper) Status(zone string, now time.Time) Status {
	tenure := k.tenure(zone)
	k.mu.Lock()
	defer k.mu.Unlock()
	s := Status{
		Held: k.permits.Held(now), Asked: k.asked.Count(), Denied: k.denied.Count(), Unanswered: k.unanswered.Count(),
		Used: k.used.Count(), Owner: tenure.Contains(now),
	}
	s.Endpoints, s.Granted, _ = k.ledger.Status(now)
	return s
}
