// Package direct lets a balancer choose endpoints on its own, from fresh load reports, without a
// coordinator that tracks the requests of all balancers.
//
// For each request the most promising endpoint is probed for its load just before the choice, so
// the choice relies on figures that are a millisecond or two old. Balancers share no state that
// they would have to agree on, or to recover when some balancers fail.
//
// If a service has more endpoints than one choice should consider, each balancer chooses among a
// subset of its own (pool.go). The rules are in coord/selection and coord/subset. This package
// has the loop around them (Acquire): it owns the clock, the lock, the probes and the state of
// endpoints, request kinds and services. It relies on a directory for the configuration and the
// list of endpoints, and on a Prober for the probes.
//
// # Usage
//
//	c := direct.New(direct.Config{Directory: d, Zone: zone, Client: client, Log: log, Metrics: registry})
//	grant, refusal := c.Acquire(ctx, request)
//	c.Complete(grant, result)
package direct

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/lotuswing/lotuswing/coord/admission"
	"github.com/lotuswing/lotuswing/coord/limit"
	"github.com/lotuswing/lotuswing/coord/queue"
	"github.com/lotuswing/lotuswing/coord/reason"
	"github.com/lotuswing/lotuswing/coord/selection"
	"github.com/lotuswing/lotuswing/coord/subset"
	"github.com/lotuswing/lotuswing/coord/urgency"
	"github.com/lotuswing/lotuswing/coord/warmup"
	"github.com/lotuswing/lotuswing/directory"
	"github.com/lotuswing/lotuswing/internal/suspend"
	"github.com/lotuswing/lotuswing/limits"
	"github.com/lotuswing/lotuswing/tenant"
	"github.com/lotuswing/lotuswing/upstream"
	"github.com/lotuswing/lotuswing/warmups"
	"github.com/rcrowley/go-metrics"
)

// Config configures a Chooser.
type Config struct {
	ID        string // of the process; prefix of its request IDs
	Zone      string
	Regions   map[string]string // region of each availability zone
	Directory *directory.Directory
	Client    Prober
	// Suspensions detects suspensions of the VM; nil for none.
	Suspensions *suspend.Detector
	Log         hclog.Logger
	Metrics     metrics.Registry
	Handover    func(context.Context) // hands duties to other balancers before a planned stop; may be nil
	Stop        func()                // stops the updates of the directory; may be nil
	// Shutdown answers the calls of other balancers that are under way, until ctx ends; may be nil.
	Shutdown        func(ctx context.Context)
	RolloutRecorder RolloutRecorder // records the outcomes of requests during rollouts; nil for none
	Limits          Limits          // tracks the rate limits of endpoints; nil for none
	Warmups         Warmups         // grants permits for endpoints in warm-up; nil for none
	Order           urgency.Mode    // when requests are served by urgency
	// MaxWaiting bounds the number of requests that wait in the queues of all services; default
	// DefaultMaxWaiting.
	MaxWaiting int
	// Paths reports whether endpoints are reached; nil for always.
	Paths Paths
	// Publish sends data to all other balancers under a topic; nil if there are none.
	Publish func(topic string, data []byte) error

	// Set by tests; zero values select the defaults.
	Options        selection.Options
	PoolSize       int           // endpoints of a service among which this process chooses; default subset.Size
	ForgetInterval time.Duration // time between two removals of the states of endpoints that are gone; default 1 min
}

// RolloutRecorder records the outcomes of requests at both versions of a service during a rollout.
type RolloutRecorder interface {
	// RecordOutcome records the outcome of a request that an endpoint ran, or may have run.
	RecordOutcome(t RolloutOutcome, now time.Time)
}

// Limits tracks how many requests a second endpoints accept, according to their responses.
type Limits interface {
	// ObserveAnswer processes what the response to a request said about the limit.
	ObserveAnswer(e limits.Endpoint, a limit.Answer)
	// ObserveProbe processes what the response to a probe said about the limit.
	ObserveProbe(e limits.Endpoint, a limit.Answer)
	// HasNoLimits reports whether no endpoint has named a limit.
	HasNoLimits() bool
	// Standing returns whether a request may go to an endpoint under its limit. If not, it also
	// returns after how long that may change, or 0 if this is not known.
	Standing(e limits.Endpoint, now time.Time) (limit.Standing, time.Duration)
	// RequestPermit requests a permit from the balancer that owns an endpoint's limit, and waits
	// for its response at most as long as within. mayProbe reports whether the endpoint may be
	// probed to find out whether its limit still applies.
	RequestPermit(ctx context.Context, e limits.Endpoint, within time.Duration) (mayProbe bool)
	// TakePermit takes a permit for a request that is about to be sent, if the endpoint's limit
	// requires one. It reports whether the request may be sent.
	TakePermit(e limits.Endpoint, now time.Time) bool
}

// Warmups grants permits for requests to endpoints that are warming up.
type Warmups interface {
	// Standing returns whether a request may go to an endpoint. If not, it also returns after how long
	// that may change, or 0 if this is not known.
	Standing(e warmups.Endpoint, now time.Time) (warmup.Standing, time.Duration)
	// RequestPermits asks for permits for endpoints of one service and zone, best first, and waits for
	// the reply at most as long as within. It reports whether there was a reply to wait for.
	RequestPermits(ctx context.Context, endpoints []warmups.Endpoint, want int, within time.Duration) bool
	// TakePermit takes a permit for a request that must be written before until.
	TakePermit(e warmups.Endpoint, now time.Time) (until time.Time, ok bool)
	// RecordFailure records that an endpoint refused or failed a request that had a permit.
	RecordFailure(e warmups.Endpoint)
}

// Paths reports whether this process reaches endpoints.
type Paths interface {
	// Refuses reports whether a request for a service should be refused at once, because no endpoint of
	// it is reached, and when its caller should come back.
	Refuses(service string, now time.Time) (retryAfter time.Duration, refuses bool)
}

// RolloutOutcome is the outcome of one request during a rollout of its service.
type RolloutOutcome struct {
	Service, Kind string
	NewVersion    bool // it ran at an endpoint of the new version
	Failed, Slow  bool // slow: it took more than slowFactor times its estimate
}

// Prober probes an endpoint for its load.
type Prober interface {
	Probe(ctx context.Context, addr, path string, within time.Duration) (upstream.Report, error)
}

// Chooser chooses endpoints. It is safe for concurrent use.
type Chooser struct {
	cfg              Config
	opts             selection.Options
	sequence         atomic.Uint64 // number of the last request ID
	startNanos       int64         // start of the process in Unix nanoseconds, part of request IDs
	probes           metrics.Counter
	unanswered       metrics.Counter // probes without a response
	resets           metrics.Counter // probes and requests that endpoints reset at once
	unwantedSends    unwantedSends
	coldRequests     metrics.Counter // requests granted for endpoints that were warming up
	coldFailures     metrics.Counter // those that the endpoint refused or failed
	implausible      metrics.Counter // load reports that cannot be true
	coldWithdrawn    metrics.Counter // requests not written because their permit had expired or the endpoint turned out to be warming up
	leavingEndpoints metrics.Counter // endpoints that announced that they are leaving
	unsupported      *unsupportedHeaders
	rejected         metrics.Counter // requests rejected by the queues, including the displaced ones
	displaced        metrics.Counter // requests displaced by more urgent ones

	startedAt         time.Time
	implausibleLogged atomic.Int64 // when a load report that cannot be true was logged last, in ns since startedAt; 0 for never
	lockedSince       atomic.Int64 // when Stuck first found mu locked since it was last free, in ns since startedAt; 0 if it was free

	mu             sync.Mutex
	endpoints      map[string]*endpointState          // by VM
	lastForget     time.Time                          // when the states of endpoints that are gone were last dropped
	serviceTimes   map[string]selection.ServiceTime   // usual service times, by request kind
	crowding       map[string]selection.Crowding      // how much requests slow down as slots fill up, by service
	probeHistories map[string]selection.ProbeHistory  // estimates for recently probed endpoints, by service
	warmupBackoffs map[string]selection.WarmupBackoff // outcomes of requests at cold endpoints, by service
	pressures      map[string]selection.Pressure      // by service; recorded only while requests are ordered by urgency
	waiters        map[string]waiters                 // by service
	queues         map[string]*serviceQueue           // by service; empty where requests are not ordered by urgency
	places         *queue.Places                      // of all queues
	usualWaits     map[string]urgency.UsualWait       // declared by callers, by request kind
	listed         map[string]bool                    // by service: whether it had endpoints in an earlier ranking
	pools          map[string]pool                    // by service
	start          selection.Start                    // recorded only while requests are ordered by urgency
	backoffNotes   admission.Hints                    // recent backoff notes
	rng            *rand.Rand
}

// endpointState is what this process knows of one start of an endpoint, that is, of one run of its
// server: an endpoint that restarts keeps its ID and gets another state. Chooser.mu must be held to
// read or replace the fields.
type endpointState struct {
	start     int64              // as listed in the directory
	observed  selection.Endpoint // its load and health
	admission admission.State
	probes    selection.ProbeBudget
}

// New returns a chooser.
func New(cfg Config) *Chooser {
	now := time.Now().UnixNano()
	cfg.ForgetInterval = cmp.Or(cfg.ForgetInterval, defaultForgetInterval)
	cfg.PoolSize = cmp.Or(cfg.PoolSize, subset.Size)
	cfg.MaxWaiting = cmp.Or(cfg.MaxWaiting, DefaultMaxWaiting)
	return &Chooser{
		cfg:              cfg,
		opts:             cfg.Options.WithDefaults(),
		startNanos:       now,
		probes:           metrics.GetOrRegisterCounter("probes", cfg.Metrics),
		unanswered:       metrics.GetOrRegisterCounter("probes_unanswered", cfg.Metrics),
		resets:           metrics.GetOrRegisterCounter("endpoint_resets", cfg.Metrics),
		unwantedSends:    newUnwantedSends(cfg.Metrics),
		coldRequests:     metrics.GetOrRegisterCounter("cold_requests", cfg.Metrics),
		coldFailures:     metrics.GetOrRegisterCounter("cold_failures", cfg.Metrics),
		coldWithdrawn:    metrics.GetOrRegisterCounter("cold_withdrawn", cfg.Metrics),
		startedAt:        time.Now(),
		implausible:      metrics.GetOrRegisterCounter("implausible_load_reports", cfg.Metrics),
		leavingEndpoints: metrics.GetOrRegisterCounter("endpoints_said_leaving", cfg.Metrics),
		unsupported:      newUnsupportedHeaders(cfg.Log, cfg.Metrics),
		rejected:         metrics.GetOrRegisterCounter("queue_rejected", cfg.Metrics),
		displaced:        metrics.GetOrRegisterCounter("queue_displaced", cfg.Metrics),
		endpoints:        map[string]*endpointState{},
		serviceTimes:     map[string]selection.ServiceTime{},
		crowding:         map[string]selection.Crowding{},
		probeHistories:   map[string]selection.ProbeHistory{},
		warmupBackoffs:   map[string]selection.WarmupBackoff{},
		pressures:        map[string]selection.Pressure{},
		waiters:          map[string]waiters{},
		queues:           map[string]*serviceQueue{},
		places:           queue.NewPlaces(cfg.MaxWaiting),
		usualWaits:       map[string]urgency.UsualWait{},
		listed:           map[string]bool{},
		pools:            map[string]pool{},
		rng:              rand.New(rand.NewPCG(uint64(now), rand.Uint64())),
	}
}

// Resume adjusts the states of endpoints after the VM was suspended for the duration slept, so that
// reports are that much older and backoffs end that much sooner.
func (c *Chooser) Resume(slept time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, e := range c.endpoints {
		e.observed = e.observed.WithSuspension(slept)
		e.admission = e.admission.WithSuspension(slept)
	}
}

// NextID returns a request ID that is unique among all balancers.
func (c *Chooser) NextID() string {
	return fmt.Sprintf("%s-%x-%x", c.cfg.ID, c.startNanos, c.sequence.Add(1))
}

// Route returns the route of a request, or the reason why there is none.
func (c *Chooser) Route(host, _, path string) (tenant.Route, reason.Code) {
	cfg := c.cfg.Directory.Snapshot().Config
	if cfg == nil {
		return tenant.Route{}, reason.NotReady
	}
	route, code := cfg.Routes.Route(host, path, rand.Uint64())
	route.Version = cfg.Version
	return route, code
}

// Service returns the configuration of a service. The second result, the number of balancers that
// share the service's connections, is always 0, since a Chooser does not know it.
func (c *Chooser) Service(_, service string) (tenant.Service, int) {
	return c.serviceConfig(service), 0
}

// Ready reports whether requests can be routed and, if not, why.
func (c *Chooser) Ready() (bool, string) {
	s := c.cfg.Directory.Snapshot()
	switch {
	case s.Config == nil:
		return false, "no configuration"
	case s.ListedCount == 0:
		return false, "no endpoint is known"
	}
	return true, ""
}

// OrdersByUrgency reports whether requests that find no room are served by urgency under the
// configuration in force; false without one.
func (c *Chooser) OrdersByUrgency() bool {
	cfg := c.cfg.Directory.Snapshot().Config
	return cfg != nil && c.cfg.Order.Enabled(cfg.Routes.HasPriority(urgency.MostUrgent))
}

// HandOver hands the duties of this balancer to other balancers, if it has any.
func (c *Chooser) HandOver(ctx context.Context) {
	if c.cfg.Handover != nil {
		c.cfg.Handover(ctx)
	}
}

// Shutdown is Close after Config.Shutdown, if that is set.
func (c *Chooser) Shutdown(ctx context.Context) {
	if c.cfg.Shutdown != nil {
		c.cfg.Shutdown(ctx)
	}
	c.Close()
}

// Close stops the updates of the directory.
func (c *Chooser) Close() {
	if c.cfg.Stop != nil {
		c.cfg.Stop()
	}
}
