// Package balancer serves callers: it accepts a request, finds its team and
// kind, gets a grant, sends it to an endpoint and passes the answer on.
//
// The way of a request is a chain of go-kit endpoints, one for each hop: route,
// deadline, serve (which waits for a grant and sends, again where the rules
// allow it) and answer. Each hop has a span. The handler only executes;
// decisions are made by the packages of coord.
//
// # Usage
//
//	h := balancer.New(balancer.Config{Fleet: node, Log: log, Metrics: registry, Tracing: tracing})
//	server := &http.Server{Handler: h}
package balancer

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/kit/endpoint"
	"github.com/hashicorp/go-hclog"
	"github.com/lotuswing/lotuswing/coord/placement"
	"github.com/lotuswing/lotuswing/coord/reason"
	"github.com/lotuswing/lotuswing/coord/retry"
	"github.com/lotuswing/lotuswing/coord/verdict"
	"github.com/lotuswing/lotuswing/settings"
	"github.com/lotuswing/lotuswing/telemetry"
	"github.com/lotuswing/lotuswing/tenant"
	"github.com/lotuswing/lotuswing/upstream"
	"github.com/rcrowley/go-metrics"
	"go.opentelemetry.io/otel/propagation"
)

const (
	maxTimeout   = 24 * time.Hour
	maxAttempts  = 4  // of a request that may have run
	maxRefusals  = 12 // of one that did not run
	retryPercent = 20 // retries earned by 100 requests of a service
	retryLimit   = 20 // retries held ready
)

// Fleet is what the handler needs of the other balancers.
type Fleet interface {
	NextID() string
	Route(host, method, path string) (tenant.Route, reason.Code)
	Service(tenantName, service string) (tenant.Service, int)
	Ready() (ok bool, why string)
	Acquire(ctx context.Context, a placement.Request) (placement.Grant, *placement.Refusal)
	Complete(g placement.Grant, e placement.Result)
}

// Config of a handler.
type Config struct {
	Fleet   Fleet
	Limits  settings.Limits
	Policy  Policy
	Log     hclog.Logger
	Metrics metrics.Registry
	Tracing *telemetry.Tracing
	// Recorder writes the decisions about requests; nil for none.
	Recorder *telemetry.Recorder
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

	repeats atomic.Pointer[retry.WindowLimit] // nil for a token bucket

	mu      sync.Mutex
	clients map[clientKey]*upstream.Client
	budgets map[string]repeats // by service
	timers  map[string]metrics.Timer
}

type clientKey struct {
	service     string
	connections int
	protocol    string
	fresh       bool
}

// New returns a handler.
func New(cfg Config) *Balancer {
	cfg.Policy = cfg.Policy.withDefaults()
	b := &Balancer{
		cfg:     cfg,
		clients: map[clientKey]*upstream.Client{},
		budgets: map[string]repeats{},
		timers:  map[string]metrics.Timer{},
	}
	b.repeats.Store(cfg.Policy.Repeats)
	b.chain = endpoint.Chain(b.hop("accept"), b.route, b.hop("route"), b.deadline, b.hop("serve"))(b.serve)
	return b
}

// exchange is one caller's request on its way.
type exchange struct {
	id       string
	w        http.ResponseWriter
	r        *http.Request
	route    tenant.Route
	deadline time.Time
	accepted time.Time
	verdict  verdict.Verdict
	reason   reason.Code
	status   int
	message  string // of an answer of the balancer's own
	story    *telemetry.Story
	looking  time.Time // since when an endpoint is looked for
	mayRun   bool      // an attempt may have run, whatever later attempts say
}

// ServeHTTP serves one request.
func (b *Balancer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	b.inFlight.Add(1)
	defer b.inFlight.Add(-1)
	now := time.Now()
	x := &exchange{id: b.requestID(r), w: w, r: r, accepted: now, looking: now}
	x.story = b.cfg.Recorder.Begin(x.id)
	if b.stopping.Load() && r.ProtoMajor == 1 {
		w.Header().Set("Connection", "close") // moves the caller to another balancer
	}
	ctx := b.cfg.Tracing.Propagator.Extract(r.Context(), propagation.HeaderCarrier(r.Header))
	defer b.finish(x, now)
	if _, err := b.chain(ctx, x); err != nil {
		b.refuse(x, err)
	}
}

// finish records the end of an exchange, also of one that was cut off.
func (b *Balancer) finish(x *exchange, began time.Time) {
	kind, service := "none", "none"
	var target time.Duration
	if x.route.Kind != nil {
		kind, service, target = x.route.Kind.Name, x.route.Kind.Service, x.route.Kind.Target
	}
	now := time.Now()
	took := now.Sub(began)
	b.timer(kind, x.verdict).Update(took)
	if b.cfg.Histograms != nil {
		b.cfg.Histograms.Observe(service, x.verdict.String(), took)
	}
	left := x.r.Context().Err() != nil
	x.story.Line(telemetry.EventEnded).Text("verdict", x.verdict.String()).Text("reason", string(x.reason)).
		Int("status", int64(x.status)).Millis("took_ms", took).Millis("target_ms", target).Bool("caller_left", left).Text("message", x.message).Done()
	failed := x.verdict != verdict.Ran || x.status >= http.StatusInternalServerError || left
	late := target > 0 && took > target
	x.story.End(failed || late, now)
}

func (b *Balancer) timer(kind string, v verdict.Verdict) metrics.Timer {
	key := fmt.Sprintf("request{kind=%q,verdict=%q}", kind, v.String())
	b.mu.Lock()
	defer b.mu.Unlock()
	t, ok := b.timers[key]
	if !ok {
		t = metrics.GetOrRegisterTimer(key, b.cfg.Metrics)
		b.timers[key] = t
	}
	return t
}

// hop returns a middleware that gives the rest of the way a span.
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

// route finds the team and kind.
func (b *Balancer) route(next endpoint.Endpoint) endpoint.Endpoint {
	return func(ctx context.Context, request any) (any, error) {
		x := request.(*exchange)
		if ok, why := b.cfg.Fleet.Ready(); !ok {
			return nil, refusal{reason: reason.NotReady, message: why, retryAfter: time.Second}
		}
		if err := b.wellFormed(x.r); err != nil {
			return nil, refusal{reason: reason.BadRequest, message: err.Error()}
		}
		host := x.r.Host
		if h, _, err := net.SplitHostPort(host); err == nil {
			host = h
		}
		route, code := b.cfg.Fleet.Route(host, x.r.Method, x.r.URL.EscapedPath())
		if code != "" {
			return nil, refusal{reason: code, message: fmt.Sprintf("host %q, %s %s", host, x.r.Method, x.r.URL.Path)}
		}
		x.route = route
		return next(ctx, x)
	}
}

// wellFormed refuses shapes that an endpoint may read in another way.
func (b *Balancer) wellFormed(r *http.Request) error {
	path := r.URL.EscapedPath()
	for segment := range strings.SplitSeq(path, "/") {
		if b.cfg.Policy.AnyPath {
			break
		}
		plain := strings.ReplaceAll(strings.ToLower(segment), "%2e", ".")
		if plain == "." || plain == ".." {
			return fmt.Errorf("path %q has a dot segment", path)
		}
	}
	switch {
	case !strings.HasPrefix(path, "/"):
		return fmt.Errorf("path %q does not start with /", path)
	case r.Method == http.MethodConnect:
		return fmt.Errorf("method CONNECT is not served")
	case r.ProtoMajor == 1 && len(r.Header.Values("Content-Length")) > 1:
		return fmt.Errorf("Content-Length stands more than once")
	}
	return nil
}

// deadline sets the time by which an answer must have begun.
func (b *Balancer) deadline(next endpoint.Endpoint) endpoint.Endpoint {
	return func(ctx context.Context, request any) (any, error) {
		x := request.(*exchange)
		timeout := x.route.Kind.Timeout
		dialect := b.cfg.Policy.Dialect
		if text := x.r.Header.Get(dialect.Timeout); text != "" {
			d, err := dialect.ParseTimeout(text)
			if err != nil || d <= 0 || d > maxTimeout {
				return nil, refusal{reason: reason.BadTimeout, message: fmt.Sprintf("%s is %q", dialect.Timeout, text)}
			}
			timeout = min(timeout, d)
		}
		x.deadline = x.accepted.Add(timeout)
		x.story.Line(telemetry.EventAdmitted).Text("route", x.route.Kind.Name).Text("service", x.route.Kind.Service).
			Int("version", int64(x.route.Version)).Millis("deadline_ms", timeout).Bool("repeatable", x.route.Kind.Repeatable).Done()
		return next(ctx, x)
	}
}

// client returns the client of a service's endpoints. The endpoints'
// connections are shared out among the balancers.
func (b *Balancer) client(route tenant.Route) *upstream.Client {
	if b.cfg.Policy.Client != nil && route.Kind.Repeatable {
		return b.cfg.Policy.Client
	}
	desc, sharers := b.cfg.Fleet.Service(route.Tenant, route.Kind.Service)
	key := clientKey{
		service:     route.ServiceKey(),
		connections: max(1, desc.Connections/plannedBalancers(sharers)),
		protocol:    desc.Protocol,
		fresh:       b.cfg.Policy.FreshConnections && !route.Kind.Repeatable,
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	c, ok := b.clients[key]
	if !ok {
		c = upstream.NewClient(upstream.Options{
			Connections: key.connections,
			HTTP2:       desc.Protocol == "h2c",
			DialTimeout: b.cfg.Policy.DialTimeout,
			IdleTimeout: b.cfg.Policy.IdleUpstream,
			Fresh:       key.fresh,
			Dialect:     &b.cfg.Policy.Dialect,
		})
		b.clients[key] = c
	}
	return c
}

// plannedBalancers rounds the number of sharers up to a power of two, at least
// 16, so that the share stays the same while single balancers come and go.
func plannedBalancers(sharers int) int {
	planned := 16
	for planned < sharers {
		planned *= 2
	}
	return planned
}

// SetRepeats changes the bound of repeats. What was counted under the old one
// stays counted.
func (b *Balancer) SetRepeats(limit retry.WindowLimit) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.repeats.Store(&limit)
	for service, budget := range b.budgets {
		if w, ok := budget.(windowRepeats); ok {
			b.budgets[service] = windowRepeats{w.WithLimit(limit)}
		}
	}
}

// InFlight returns the number of requests being served.
func (b *Balancer) InFlight() int64 { return b.inFlight.Load() }

// Stop begins a planned stop: callers are moved away as they ask.
func (b *Balancer) Stop() { b.stopping.Store(true) }

// WaitSessions waits until the last upgraded session has ended.
func (b *Balancer) WaitSessions() { b.sessions.Wait() }
