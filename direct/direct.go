// Package direct lets a balancer choose endpoints on its own, from fresh load
// reports, without a home that keeps a ledger for all balancers.
//
// For each request the most promising endpoint is asked for its load just before
// the choice, so the choice rests on figures that are a millisecond or two old.
// Nothing is shared among balancers, so nothing has to be agreed or recovered when
// some of them vanish.
//
// Where a service has more endpoints than a choice should look at, each balancer chooses
// among a subset of its own (pool.go). The rules are in coord/selection and coord/subset.
// This package has the loop around them (Acquire): it owns the clock, the lock, the probes and what is remembered of
// endpoints, kinds and services. It relies on a directory for the configuration and
// the list of endpoints, and on a Prober for the probes.
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
	"github.com/lotuswing/lotuswing/coord/reason"
	"github.com/lotuswing/lotuswing/coord/selection"
	"github.com/lotuswing/lotuswing/coord/subset"
	"github.com/lotuswing/lotuswing/directory"
	"github.com/lotuswing/lotuswing/internal/suspend"
	"github.com/lotuswing/lotuswing/limits"
	"github.com/lotuswing/lotuswing/tenant"
	"github.com/lotuswing/lotuswing/upstream"
	"github.com/rcrowley/go-metrics"
)

// Config of a Chooser.
type Config struct {
	ID        string // identity of the process
	Zone      string
	Regions   map[string]string // in which region each availability zone lies
	Directory *directory.Directory
	Client    Prober
	// Suspensions tells of suspensions of the VM; nil for none.
	Suspensions *suspend.Detector
	Log         hclog.Logger
	Metrics     metrics.Registry
	Handover    func(context.Context) // hands duties to other balancers before a planned stop; may be nil
	Stop        func()                // ends what keeps the directory up to date; may be nil
	Evidence    Evidence              // nil for none
	Limits      Limits                // nil for none
	// Tell tells all other balancers something; nil where there are none.
	Tell func(topic string, data []byte) error

	// Shortened by tests; zero for the defaults.
	Options     selection.Options
	PoolSize    int           // endpoints of a service among which this process chooses; default subset.Size
	ForgetEvery time.Duration // between two looks for endpoints that are gone; default 1 min
}

// Evidence takes what became of requests at either version of a service while one comes in.
type Evidence interface {
	// Note notes a request that an endpoint ran, or may have: whether it failed, and whether
	// it took several times as long as was estimated.
	Note(t Trial, now time.Time)
}

// Limits hears what endpoints say of how many requests a second they take.
type Limits interface {
	// Answered takes what the answer to a request said.
	Answered(e limits.Endpoint, a limit.Answer)
	// Probed takes what the answer to a probe said.
	Probed(e limits.Endpoint, a limit.Answer)
	// Quiet reports whether no endpoint has named a limit.
	Quiet() bool
	// Standing returns whether a request may go to an endpoint and, where it may not, for how
	// long that is known.
	Standing(e limits.Endpoint, now time.Time) (limit.Standing, time.Duration)
	// Seek asks for room at an endpoint, and waits for the answer a while. look says that the
	// endpoint may be probed, to hear whether its limit still holds.
	Seek(ctx context.Context, e limits.Endpoint, within time.Duration) (look bool)
	// Use takes the room for a request that goes there now. It reports whether there is any.
	Use(e limits.Endpoint, now time.Time) bool
}

// Trial is what became of one request while a version of its service comes in.
type Trial struct {
	Service, Kind string
	Newer         bool // at an endpoint of the version that comes in
	Failed, Slow  bool
}

// Prober asks an endpoint for its load.
type Prober interface {
	Probe(ctx context.Context, addr, path string, within time.Duration) (upstream.Report, error)
}

// Chooser chooses endpoints. It is safe for concurrent use.
type Chooser struct {
	cfg      Config
	opts     selection.Options
	sequence atomic.Uint64
	born     int64
	probes   metrics.Counter
	unwanted unwanted
	leavers  metrics.Counter
	unread   *unreadHeaders

	mu        sync.Mutex
	endpoints map[string]*endpoint          // by identity
	forgotten time.Time                     // when endpoints that are gone were last dropped
	workloads map[string]selection.Workload // by request kind
	crowding  map[string]selection.Crowding // by service
	prospects map[string]selection.Prospect // by service
	warming   map[string]selection.Warming  // by service
	waiters   map[string]waiters            // by service
	listed    map[string]bool               // services whose endpoints were ranked before
	pools     map[string]pool               // by service
	hints     admission.Hints
	rng       *rand.Rand
}

// endpoint is what is remembered of one endpoint. Its values are replaced with
// Chooser.mu held.
type endpoint struct {
	start     int64 // which start of it
	state     selection.Endpoint
	admission admission.State
	probes    selection.ProbeBudget
}

// New returns a chooser.
func New(cfg Config) *Chooser {
	now := time.Now().UnixNano()
	cfg.ForgetEvery = cmp.Or(cfg.ForgetEvery, forgetEvery)
	cfg.PoolSize = cmp.Or(cfg.PoolSize, subset.Size)
	return &Chooser{
		cfg:       cfg,
		opts:      cfg.Options.WithDefaults(),
		born:      now,
		probes:    metrics.GetOrRegisterCounter("probes", cfg.Metrics),
		unwanted:  newUnwanted(cfg.Metrics),
		leavers:   metrics.GetOrRegisterCounter("endpoints_said_leaving", cfg.Metrics),
		unread:    newUnreadHeaders(cfg.Log, cfg.Metrics),
		endpoints: map[string]*endpoint{},
		workloads: map[string]selection.Workload{},
		crowding:  map[string]selection.Crowding{},
		prospects: map[string]selection.Prospect{},
		warming:   map[string]selection.Warming{},
		waiters:   map[string]waiters{},
		listed:    map[string]bool{},
		pools:     map[string]pool{},
		rng:       rand.New(rand.NewPCG(uint64(now), rand.Uint64())),
	}
}

// Resume ages what is remembered of endpoints after the VM was suspended for a while.
func (c *Chooser) Resume(slept time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, e := range c.endpoints {
		e.state = e.state.WithSuspension(slept)
		e.admission = e.admission.WithSuspension(slept)
	}
}

// NextID returns an identity for a request, unique among all balancers.
func (c *Chooser) NextID() string {
	return fmt.Sprintf("%s-%x-%x", c.cfg.ID, c.born, c.sequence.Add(1))
}

// Route finds the route of a request.
func (c *Chooser) Route(host, _, path string) (tenant.Route, reason.Code) {
	cfg := c.cfg.Directory.Snapshot().Config
	if cfg == nil {
		return tenant.Route{}, reason.NotReady
	}
	route, code := cfg.Routes.Route(host, path, rand.Uint64())
	route.Version = cfg.Version
	return route, code
}

// Service returns a service. How many balancers share its connections is not known
// here.
func (c *Chooser) Service(_, service string) (tenant.Service, int) {
	return c.serviceOf(service), 0
}

// Ready reports whether requests can be routed and, if not, why.
func (c *Chooser) Ready() (bool, string) {
	s := c.cfg.Directory.Snapshot()
	switch {
	case s.Config == nil:
		return false, "no configuration"
	case s.Known == 0:
		return false, "no endpoint is known"
	}
	return true, ""
}

// readyPoll is the pause between two looks whether requests can be routed.
const readyPoll = 2 * time.Millisecond

// WaitReady waits until requests can be routed, at most as long as within.
func (c *Chooser) WaitReady(within time.Duration) {
	deadline := time.Now().Add(within)
	for time.Now().Before(deadline) {
		if ok, _ := c.Ready(); ok {
			return
		}
		time.Sleep(readyPoll)
	}
}

// Leave hands duties for other balancers over, where there are any.
func (c *Chooser) Leave(ctx context.Context) {
	if c.cfg.Handover != nil {
		c.cfg.Handover(ctx)
	}
}

// Close ends the following of the directory.
func (c *Chooser) Close() {
	if c.cfg.Stop != nil {
		c.cfg.Stop()
	}
}
