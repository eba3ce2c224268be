// Package balancer is the HTTP handler for callers: it accepts a request, finds its
// team and kind, gets an endpoint for it, sends it there and forwards the response.
//
// A request goes through a chain of go-kit endpoints, each with a trace span:
// findRoute (find the team and kind), authenticate (check the caller's key), setDeadline
// (set the time limit), enforceQuota (apply the team's quota), then serve (choose an
// endpoint, send, evaluate the result, and retry or respond). Start reading in serve.go.
//
// The package owns the requests that this process is serving, the clients of
// endpoints and the retry budgets. It relies on a Chooser for routes and endpoints, on
// package upstream to determine whether an attempt may have run, and on coord/retry to
// decide on retries. Its own rules are in rules.go. Requests suspected of crashing
// endpoints are restricted by package quarantine (quarantine.go).
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
	// NextID returns a request ID that is unique among all balancers.
	NextID() string
	// Route finds the team and kind of a request. If there is no route, the code says why.
	Route(host, method, path string) (tenant.Route, reason.Code)
	// Service returns a service and the number of balancers that share its connections.
	Service(tenantName, service string) (tenant.Service, int)
	// Ready reports whether requests can be routed; if not, why is the reason.
	Ready() (ok bool, why string)
	// Acquire chooses an endpoint, or returns a refusal.
	Acquire(ctx context.Context, r placement.Request) (placement.Grant, *placement.Refusal)
	// StillAccepts reports whether the endpoint of a grant still accepts the request.
	StillAccepts(g placement.Grant, now time.Time) bool
	// ObserveResponse records what a response reports about its endpoint. It is called before the
	// response is forwarded.
	ObserveResponse(g placement.Grant, r upstream.Report)
	// Complete reports the result of a granted request.
	Complete(g placement.Grant, r placement.Result)
}

// Quarantine restricts requests suspected of crashing endpoints, across all balancers.
type Quarantine interface {
	// Empty reports whether no request is suspected.
	Empty() bool
	// Admit decides whether and how a request may be sent now. It may wait.
	Admit(ctx context.Context, r quarantine.Request) (quarantine.Admission, *quarantine.Refusal)
	// IsSuspected reports whether an endpoint is known to have crashed during a request.
	IsSuspected(r quarantine.Request) bool
	// CheckEndpoint records an attempt whose connection broke. The channel is closed once it is known
	// whether the endpoint crashed.
	CheckEndpoint(a quarantine.Attempt) <-chan struct{}
	// Completed records that an endpoint ran a request to completion.
	Completed(r quarantine.Request)
	// EndTrial records that a request admitted on trial has ended.
	EndTrial(r quarantine.Request)
}

// Access provides the teams of the active configuration and their keys.
type Access interface {
	// Teams returns the table of teams; nil if callers need no keys.
	Teams() *access.Table
	// ReceivesChanges reports whether this balancer receives configuration changes.
	ReceivesChanges(now time.Time) bool
}

// Quotas limits the requests that each team sends through all balancers together.
type Quotas interface {
	// AwaitSnapshot waits briefly for the usage counts of other balancers if they are not known
	// well enough to admit the team's next request.
	AwaitSnapshot(ctx context.Context, team string, l quota.Limit)
	// Take charges a request to a team's quota. If the quota is used up, ok is false and
	// retryAfter is the time until it may admit the request. Late requests yield to others.
	Take(team string, l quota.Limit, t quota.Attempt, now time.Time) (ok bool, retryAfter time.Duration)
	// CountRetry charges a retry that follows an attempt which may have run.
	CountRetry(team string, now time.Time)
	// Refund returns the charge of a request that no endpoint ran or may have run.
	Refund(team string, now time.Time)
}

// Config configures a Balancer.
type Config struct {
	Chooser Chooser
	Limits  settings.Limits
	Policy  Policy
	Log     hclog.Logger
	Metrics metrics.Registry
	Tracing *telemetry.Tracing
	// RequestLog writes the request log; nil for none.
	RequestLog *telemetry.RequestLogger
	// Quarantine restricts requests suspected of crashing endpoints; nil for none.
	Quarantine Quarantine
	// Access provides teams and keys; nil if callers need no keys.
	Access Access
	// KeyPropagationTime is the time within which every balancer knows an added key.
	KeyPropagationTime time.Duration
	// Quotas limits the requests of teams; nil for no limit.
	Quotas Quotas
	// Suspensions detects suspensions of the VM; nil for none.
	Suspensions *suspend.Detector
	// AwaitReady waits until requests can be routed, in a process that has just started, and reports
	// whether they can be. It does not wait if that is not likely to be soon. nil for no wait.
	AwaitReady func(ctx context.Context) bool
	// NotReadyRetryAfter returns the Retry-After of requests that cannot be routed; nil for one second.
	NotReadyRetryAfter func() time.Duration
	// ByUrgency reports whether requests are ordered by urgency; nil for never.
	ByUrgency func() bool
	// Histograms record request latencies; nil for none.
	Histograms *telemetry.Histograms
}

// Balancer is the HTTP handler for callers.
type Balancer struct {
	cfg         Config
	chain       endpoint.Endpoint
	stop        stopState
	sessions    sync.WaitGroup // upgraded connections, which net/http no longer tracks
	inFlight    atomic.Int64
	clients     clients
	retries     retryBudgets
	hedges      hedges
	timers      timers
	unknownKeys access.UnknownKeys // when keys that no team holds were first seen
}

// New returns a Balancer.
func New(cfg Config) *Balancer {
	cfg.Policy = cfg.Policy.withDefaults()
	b := &Balancer{
		cfg:     cfg,
		clients: clients{policy: cfg.Policy, byKey: map[clientKey]*upstream.Client{}},
		retries: retryBudgets{window: cfg.Policy.Retries, byService: map[string]retryBudget{}, hedges: map[string]retry.Window{}},
		hedges:  newHedges(cfg.Chooser, cfg.Metrics),
		timers:  timers{registry: cfg.Metrics, byName: map[string]metrics.Timer{}},
		stop:    newStopState(),
	}
	b.chain = endpoint.Chain(b.withSpan("accept"), b.findRoute, b.withSpan("route"), b.authenticate, b.setDeadline, b.admitDuringStop, b.enforceQuota, b.withSpan("serve"))(b.serve)
	return b
}

// ServeHTTP serves one request.
func (b *Balancer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	b.inFlight.Add(1)
	defer b.inFlight.Add(-1)
	suspendedFor := b.cfg.Suspensions.Check()
	x := newExchange(w, r, b.requestID(r), time.Now())
	x.suspendedFor = suspendedFor
	x.place = pipeline.PlaceOf(r.Context())
	x.log = b.cfg.RequestLog.Begin(x.id)
	if plan := b.stop.plan(); plan.Stopping() {
		b.logDuringStop(x, plan, x.accepted)
	}
	ctx := b.cfg.Tracing.Propagator.Extract(r.Context(), propagation.HeaderCarrier(r.Header))
	ctx, release := b.stop.bind(ctx)
	defer release()
	defer b.finish(x) // also runs when a panic aborts the response
	if _, err := b.chain(ctx, x); err != nil {
		b.refuse(x, err)
	}
}

// requestID returns the caller's request ID if the dialect forwards it, otherwise a new ID.
func (b *Balancer) requestID(r *http.Request) string {
	d := &b.cfg.Policy.Dialect
	if d.CallerRequestID {
		if id := r.Header.Get(d.RequestID); id != "" {
			return id
		}
	}
	return b.cfg.Chooser.NextID()
}

// withSpan returns a middleware that runs the rest of the chain in a trace span.
func (b *Balancer) withSpan(name string) endpoint.Middleware {
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

// SetRetryLimit changes the limit of sliding windows. Counts so far are kept if the length of the
// window is the same. Existing token buckets are unchanged.
func (b *Balancer) SetRetryLimit(limit retry.WindowLimit) { b.retries.setLimit(limit) }

// CloseIdle closes idle connections to endpoints.
func (b *Balancer) CloseIdle() { b.clients.closeIdle() }

// InFlight returns the number of requests being served.
func (b *Balancer) InFlight() int64 { return b.inFlight.Load() }

// WaitUpgraded waits until all upgraded connections have ended.
func (b *Balancer) WaitUpgraded() { b.sessions.Wait() }
