// Package balancer serves callers: it accepts a request, finds its team and kind,
// gets an endpoint for it, sends it there and passes the response on.
//
// A request goes through a chain of go-kit endpoints, each with a trace span:
// route (what is asked for), identify (by which team), deadline (by when), limit (within
// the team's quota), then serve (choose an endpoint, send, judge what came back, and try
// another one or answer). Start reading in serve.go.
//
// The package owns what belongs to one process's requests: the request in flight,
// the clients of endpoints and the retry budgets. It relies on a Chooser for
// routes and endpoints, on package upstream for what an attempt proves, and on
// coord/retry for whether there is another one. The rules of its own are in
// rules.go. A request under which endpoints have ended is sent as package quarantine says
// (screen.go).
//
// # Usage
//
//	h := balancer.New(balancer.Config{Chooser: chooser, Log: log, Metrics: registry, Tracing: tracing})
//	server := &http.Server{Handler: h}
package balancer

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/kit/endpoint"
	"github.com/hashicorp/go-hclog"
	"github.com/lotuswing/lotuswing/access"
	"github.com/lotuswing/lotuswing/coord/placement"
	"github.com/lotuswing/lotuswing/coord/quota"
	"github.com/lotuswing/lotuswing/coord/reason"
	"github.com/lotuswing/lotuswing/coord/retry"
	"github.com/lotuswing/lotuswing/internal/suspend"
	"github.com/lotuswing/lotuswing/pipeline"
	"github.com/lotuswing/lotuswing/quarantine"
	"github.com/lotuswing/lotuswing/settings"
	"github.com/lotuswing/lotuswing/telemetry"
	"github.com/lotuswing/lotuswing/tenant"
	"github.com/lotuswing/lotuswing/upstream"
	"github.com/rcrowley/go-metrics"
	"go.opentelemetry.io/otel/propagation"
)

// Chooser routes requests and chooses their endpoints.
type Chooser interface {
	// NextID returns an identity for a request, unique among all balancers.
	NextID() string
	// Route finds the team and kind of a request, or says why there is none.
	Route(host, method, path string) (tenant.Route, reason.Code)
	// Service returns a service and how many balancers share its connections.
	Service(tenantName, service string) (tenant.Service, int)
	// Ready reports whether requests can be routed and, if not, why.
	Ready() (ok bool, why string)
	// Acquire chooses an endpoint, or says why there is none.
	Acquire(ctx context.Context, r placement.Request) (placement.Grant, *placement.Refusal)
	// Admits reports whether the endpoint of a grant still may get the request.
	Admits(g placement.Grant, now time.Time) bool
	// Hear takes what an answer says of its endpoint, as soon as its head is there.
	Hear(g placement.Grant, r upstream.Report)
	// Complete reports how a granted request ended.
	Complete(g placement.Grant, r placement.Result)
}

// Quarantine knows the requests under which endpoints have ended, at whichever balancer.
type Quarantine interface {
	// Quiet reports whether there are none.
	Quiet() bool
	// Admit says whether and how a request may be sent now. It may wait.
	Admit(ctx context.Context, r quarantine.Request) (quarantine.Pass, *quarantine.Refusal)
	// Broke takes an attempt that broke off. The channel is closed when it is known whether
	// its endpoint has ended.
	Broke(a quarantine.Attempt) <-chan struct{}
	// Ran takes a request that an endpoint ran to an end.
	Ran(r quarantine.Request)
	// Over takes a request that was admitted on trial and has ended.
	Over(r quarantine.Request)
}

// Access knows the teams of the configuration in force and their keys.
type Access interface {
	// Teams returns them; nil where callers need no keys.
	Teams() *access.Table
	// InTouch reports whether this balancer hears of changes.
	InTouch(now time.Time) bool
}

// Quotas bounds what teams send through all balancers together.
type Quotas interface {
	// Await waits a moment for what other balancers let through where that is not known well enough
	// to take the team's next request.
	Await(ctx context.Context, team string, l quota.Limit)
	// Take takes a request out of a team's quota, or says when there may be room.
	Take(team string, l quota.Limit, now time.Time) (ok bool, retryAfter time.Duration)
	// Repeat counts one that is sent once more, after an attempt that may have run.
	Repeat(team string, now time.Time)
	// Return puts one back that was not sent.
	Return(team string, now time.Time)
}

// Config of a handler.
type Config struct {
	Chooser Chooser
	Limits  settings.Limits
	Policy  Policy
	Log     hclog.Logger
	Metrics metrics.Registry
	Tracing *telemetry.Tracing
	// Requests writes the log lines of requests; nil for none.
	Requests *telemetry.RequestLogger
	// Quarantine knows requests under which endpoints ended; nil for none.
	Quarantine Quarantine
	// Access knows teams and keys; nil where callers need none.
	Access Access
	// KeysWithin is after which a key that was added is known to every balancer.
	KeysWithin time.Duration
	// Quotas bounds what teams send; nil for no bound.
	Quotas Quotas
	// Suspensions tells of suspensions of the VM; nil for none.
	Suspensions *suspend.Detector
	// Histograms take the latency of requests; nil for none.
	Histograms *telemetry.Histograms
}

// Balancer is the handler for callers.
type Balancer struct {
	cfg      Config
	chain    endpoint.Endpoint
	stopping atomic.Bool
	sessions sync.WaitGroup // upgraded connections, which the server forgets
	inFlight atomic.Int64
	clients  clients
	retries  retryBudgets
	timers   timers
	doubts   access.Doubts // keys that nobody knew yet
}

// New returns a handler.
func New(cfg Config) *Balancer {
	cfg.Policy = cfg.Policy.withDefaults()
	b := &Balancer{
		cfg:     cfg,
		clients: clients{policy: cfg.Policy, byKey: map[clientKey]*upstream.Client{}},
		retries: retryBudgets{window: cfg.Policy.Retries, byService: map[string]retryBudget{}},
		timers:  timers{registry: cfg.Metrics, byName: map[string]metrics.Timer{}},
	}
	b.chain = endpoint.Chain(b.hop("accept"), b.route, b.hop("route"), b.identify, b.deadline, b.limit, b.hop("serve"))(b.serve)
	return b
}

// ServeHTTP serves one request.
func (b *Balancer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	b.inFlight.Add(1)
	defer b.inFlight.Add(-1)
	slept := b.cfg.Suspensions.Check()
	x := newExchange(w, r, b.requestID(r), time.Now())
	x.slept = slept
	x.place = pipeline.PlaceOf(r.Context())
	x.log = b.cfg.Requests.Begin(x.id)
	ctx := b.cfg.Tracing.Propagator.Extract(r.Context(), propagation.HeaderCarrier(r.Header))
	defer b.finish(x) // also where a response is cut off by a panic
	if _, err := b.chain(ctx, x); err != nil {
		b.refuse(x, err)
	}
}

// requestID returns the identity under which a request goes to endpoints.
func (b *Balancer) requestID(r *http.Request) string {
	d := &b.cfg.Policy.Dialect
	if d.CallerRequestID {
		if id := r.Header.Get(d.RequestID); id != "" {
			return id
		}
	}
	return b.cfg.Chooser.NextID()
}

// hop returns a middleware that gives the rest of the chain a span.
func (b *Balancer) hop(name string) endpoint.Middleware {
	return func(next endpoint.Endpoint) endpoint.Endpoint {
		if !b.cfg.Tracing.Enabled {
			return next
		}
		return func(ctx context.Context, request any) (any, error) {
			ctx, span := b.cfg.Tracing.Tracer.Start(ctx, name)
			defer span.End()
			return next(ctx, request)
		}
	}
}

// SetRetryLimit changes the bound on retries. What was counted under the old one
// stays counted.
func (b *Balancer) SetRetryLimit(limit retry.WindowLimit) { b.retries.setLimit(limit) }

// CloseIdle closes the connections to endpoints that no request uses.
func (b *Balancer) CloseIdle() { b.clients.closeIdle() }

// InFlight returns the number of requests being served.
func (b *Balancer) InFlight() int64 { return b.inFlight.Load() }

// Stop begins a planned stop: callers are moved away as they ask.
func (b *Balancer) Stop() { b.stopping.Store(true) }

// WaitSessions waits until the last upgraded session has ended.
func (b *Balancer) WaitSessions() { b.sessions.Wait() }
