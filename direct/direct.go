// Package direct is a balancer's way to choose endpoints on its own, from fresh
// reports of load, without a home that keeps a ledger for all balancers.
//
// Configuration and endpoints come from a directory. For each request a few
// promising endpoints are asked for their load just before the choice, so the
// choice rests on figures that are a millisecond or two old. Nothing is shared
// among balancers, so nothing has to be agreed or recovered when some of them
// vanish.
//
// # Usage
//
//	f := direct.New(direct.Config{Directory: d, Zone: zone, Log: log, Dialect: dialect})
//	grant, refusal := f.Acquire(ctx, ask)
//	f.Complete(grant, ending)
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
	"github.com/lotuswing/lotuswing/coord/reason"
	"github.com/lotuswing/lotuswing/coord/selection"
	"github.com/lotuswing/lotuswing/directory"
	"github.com/lotuswing/lotuswing/tenant"
	"github.com/lotuswing/lotuswing/upstream"
	"github.com/rcrowley/go-metrics"
)

// Config of a Chooser. Zero fields of Options take the defaults.
type Config struct {
	ID        string // identity of the process
	Zone      string
	Directory *directory.Directory
	Client    Prober
	Log       hclog.Logger
	Metrics   metrics.Registry
	Options   Options
	Handover  func(context.Context) // hands duties to other balancers before a planned stop; may be nil
	Stop      func()                // ends what keeps the directory up to date; may be nil
}

// Prober asks an endpoint for its load.
type Prober interface {
	Probe(ctx context.Context, addr, path string, within time.Duration) (upstream.ProbeResult, error)
}

// Options of the choice. Zero fields take the defaults.
type Options struct {
	Estimate       selection.Options
	ProbeCount     int           // endpoints asked at once before a choice; default 1
	ProbeRounds    int           // times that others are asked when none of these will do; default 6
	ProbeWait      time.Duration // how long their answers are waited for; default 12 ms
	ProbeFresh     time.Duration // an endpoint heard of so lately is not asked; default 4 ms
	ProbeRate      float64       // probes a second of this process for one endpoint; default 3
	ProbeBurst     float64       // beyond the rate; default 6
	ZoneDelay      time.Duration // added to the estimate for an endpoint in another zone; default 4 ms
	ZoneCost       time.Duration // added when endpoints are compared, for what traffic between zones costs; default 60 ms
	ConnectionLife time.Duration // an endpoint heard of so lately has an open connection; default 7 s
	ConnectionCost time.Duration // added when endpoints are compared, for what a new connection costs; default 18 ms
	GoodPace       float64       // an endpoint up to this pace is taken at once; default 1.6
	RefuseShare    float64       // part of the target after which a request that found no place is refused; default 0.2
	RefuseAfter    time.Duration // the same for a kind without a target; default 200 ms
	LookAgain      time.Duration // pause between two looks for a place; default 10 ms
	ComeBackShare  float64       // part of the target after which a refused caller may ask again; default 0.25
	PruneEvery     time.Duration // between two looks for endpoints that are gone; default 1 min
	ProbeLimit     time.Duration // after which a probe is given up; default 250 ms
}

func (o Options) withDefaults() Options {
	o.Estimate = o.Estimate.WithDefaults()
	o.ProbeCount = cmp.Or(o.ProbeCount, 1)
	o.ProbeRounds = cmp.Or(o.ProbeRounds, 6)
	o.ProbeWait = cmp.Or(o.ProbeWait, 12*time.Millisecond)
	o.ProbeFresh = cmp.Or(o.ProbeFresh, 4*time.Millisecond)
	o.ProbeRate = cmp.Or(o.ProbeRate, 3)
	o.ProbeBurst = cmp.Or(o.ProbeBurst, 6)
	o.ZoneDelay = cmp.Or(o.ZoneDelay, 4*time.Millisecond)
	o.ZoneCost = cmp.Or(o.ZoneCost, 60*time.Millisecond)
	o.ConnectionLife = cmp.Or(o.ConnectionLife, 7*time.Second)
	o.ConnectionCost = cmp.Or(o.ConnectionCost, 18*time.Millisecond)
	o.GoodPace = cmp.Or(o.GoodPace, 1.6)
	o.RefuseShare = cmp.Or(o.RefuseShare, 0.2)
	o.RefuseAfter = cmp.Or(o.RefuseAfter, 200*time.Millisecond)
	o.LookAgain = cmp.Or(o.LookAgain, 10*time.Millisecond)
	o.ComeBackShare = cmp.Or(o.ComeBackShare, 0.25)
	o.PruneEvery = cmp.Or(o.PruneEvery, time.Minute)
	o.ProbeLimit = cmp.Or(o.ProbeLimit, 250*time.Millisecond)
	return o
}

// Chooser chooses endpoints.
type Chooser struct {
	cfg      Config
	opts     Options
	sequence atomic.Uint64
	born     int64
	probes   metrics.Counter

	mu        sync.Mutex
	endpoints map[string]*endpoint // by identity
	pruned    time.Time            // when the states of gone endpoints were last dropped
	work      map[string]workload  // by request kind
	crowds    map[string]crowding  // by service
	rng       *rand.Rand
}

// New returns a chooser.
func New(cfg Config) *Chooser {
	opts := cfg.Options.withDefaults()
	now := time.Now().UnixNano()
	return &Chooser{
		cfg:       cfg,
		opts:      opts,
		born:      now,
		probes:    metrics.GetOrRegisterCounter("probes", cfg.Metrics),
		endpoints: map[string]*endpoint{},
		work:      map[string]workload{},
		crowds:    map[string]crowding{},
		rng:       rand.New(rand.NewPCG(uint64(now), rand.Uint64())),
	}
}

// NextID returns an identity for a request, unique among all balancers.
func (f *Chooser) NextID() string {
	return fmt.Sprintf("%s-%x-%x", f.cfg.ID, f.born, f.sequence.Add(1))
}

// Route finds the route of a request.
func (f *Chooser) Route(host, _, path string) (tenant.Route, reason.Code) {
	cfg := f.cfg.Directory.Snapshot().Config
	if cfg == nil {
		return tenant.Route{}, reason.NotReady
	}
	route, code := cfg.Routes.Route(host, path, rand.Uint64())
	route.Version = cfg.Version
	return route, code
}

// Service returns the description of a service. The number of balancers that
// share its connections is not known here.
func (f *Chooser) Service(_, service string) (tenant.Service, int) {
	cfg := f.cfg.Directory.Snapshot().Config
	if cfg == nil {
		return tenant.Service{}, 0
	}
	return cfg.Services[service], 0
}

// Ready reports whether requests can be routed and, if not, why.
func (f *Chooser) Ready() (bool, string) {
	s := f.cfg.Directory.Snapshot()
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
func (f *Chooser) WaitReady(within time.Duration) {
	deadline := time.Now().Add(within)
	for time.Now().Before(deadline) {
		if ok, _ := f.Ready(); ok {
			return
		}
		time.Sleep(readyPoll)
	}
}

// Status is a chooser's account for operators.
type Status struct {
	ID        string
	Zone      string
	Ready     bool
	Why       string `json:",omitempty"`
	Version   uint64
	Revision  uint64
	Routes    int
	Endpoints []EndpointStatus
}

// EndpointStatus is the account of one endpoint.
type EndpointStatus struct {
	ID       string
	Service  string
	Zone     string
	State    string
	InFlight int
	Running  int
	Waiting  int
	Pace     float64
	Slowness float64
	Ejected  bool
	Age      time.Duration // of the last report
}

// Status returns the account.
func (f *Chooser) Status() Status {
	now := time.Now()
	s := f.cfg.Directory.Snapshot()
	st := Status{ID: f.cfg.ID, Zone: f.cfg.Zone, Revision: s.At}
	st.Ready, st.Why = f.Ready()
	if s.Config != nil {
		st.Version, st.Routes = s.Config.Version, s.Config.Routes.Len()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for service, list := range s.Endpoints {
		for _, e := range list {
			st.Endpoints = append(st.Endpoints, f.statusOf(service, e, now))
		}
	}
	return st
}

func (f *Chooser) statusOf(service string, e directory.Endpoint, now time.Time) EndpointStatus {
	known := f.known(e.VM)
	report := known.load.Report()
	return EndpointStatus{
		ID: e.VM, Service: service, Zone: e.Zone, State: e.State.String(), InFlight: known.load.InFlight(),
		Running: report.Running, Waiting: report.Waiting, Pace: report.Pace, Slowness: known.health.Slowness(),
		Ejected: known.health.Ejected(now), Age: known.load.Age(now),
	}
}

// Remembered returns of how many endpoints something is remembered.
func (f *Chooser) Remembered() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.endpoints)
}

// Leave hands duties for other balancers over, where there are any.
func (f *Chooser) Leave(ctx context.Context) {
	if f.cfg.Handover != nil {
		f.cfg.Handover(ctx)
	}
}

// Close ends the following of the directory.
func (f *Chooser) Close() {
	if f.cfg.Stop != nil {
		f.cfg.Stop()
	}
}
