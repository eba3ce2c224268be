// Package detour lets a balancer reach endpoints through other balancers while its own paths to them
// are lost, for example because a switch has failed.
//
// A Table records which paths are lost (rules in coord/reach). It implements upstream.Paths, so that
// probes and requests of all clients of a process are sent accordingly. A detoured connection is opened
// by another balancer, the carrier, which copies its bytes (Server). Everything else stays with the
// balancer that got the request: the choice of the endpoint, the verdict of each attempt, quotas,
// limits and retries. So a request is counted once, and what a broken connection proves does not depend
// on the carrier.
//
// In a planned stop a carrier tells the balancers that use its connections, once, at its beginning. They
// send no further request on these, ask other carriers, and close each once no response is outstanding on
// it (upstream.Drainer). If all carriers stop one after another, each next one is asked; if all are in a
// stop at once, requests are not sent, and their callers learn that they did not run.
//
// A Table owns the background checks of lost paths, and a Server the connections that it carries. Both
// rely on package link for streams between balancers, and a Table on a Finder that names carriers.
//
// # Usage
//
//	table := detour.NewTable(detour.Config{ID: id, Finder: relays, Open: relays.OpenStream, Log: log, Metrics: registry})
//	go table.Run(ctx)
//	client = client.WithPaths(table)
//	server := detour.NewServer(detour.ServerConfig{Endpoints: listed, Paths: table, Log: log, Metrics: registry})
//	link.ServeStreams(l, tls, receiver, server.Serve)
package detour

import (
	"context"
	"maps"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/lotuswing/lotuswing/coord/reach"
	"github.com/lotuswing/lotuswing/upstream"
	"github.com/rcrowley/go-metrics"
)

// Finder names balancers that may carry connections.
type Finder interface {
	// Carriers returns some of them, which it may ask other balancers for.
	Carriers(ctx context.Context) []reach.Carrier
}

// Config configures a Table.
type Config struct {
	ID     string // of this balancer
	Finder Finder
	// Find returns the service of the usable endpoint at an address, and false if there is none.
	Find func(addr string, now time.Time) (service string, ok bool)
	// Count returns the number of usable endpoints of a service.
	Count func(service string, now time.Time) int
	// Open opens a stream to the balancer at an address.
	Open func(ctx context.Context, addr string) (net.Conn, error)
	// Dial opens a direct connection to an endpoint.
	Dial    func(ctx context.Context, network, addr string) (net.Conn, error)
	Log     hclog.Logger
	Metrics metrics.Registry
	Options reach.Options // zero fields take the defaults
}

// Table records which paths to endpoints are lost. It is safe for concurrent use.
type Table struct {
	cfg        Config
	opts       reach.Options
	lastDirect atomic.Int64 // time of the last direct response in Unix nanoseconds
	silence    atomic.Int64 // Outlook.Silence
	active     atomic.Bool  // a path is detoured; while it is false, Detoured takes no lock
	missing    atomic.Bool  // contacts is not empty; while it is false, Responded takes no lock
	noCarrier  atomic.Bool  // no carrier opened the last connection
	wake       chan struct{}
	sequence   atomic.Uint64 // number of the last tunnel
	opened     metrics.Counter
	failed     metrics.Counter

	mu          sync.Mutex
	paths       map[string]reach.Path // by address; those that work and were never checked are not in it
	outlook     reach.Outlook
	silent      map[string]int           // silent probes, by address
	contacts    map[string]reach.Contact // by service; only those of which no endpoint has responded since a check
	carriers    reach.Carriers
	finding     chan struct{}                   // closed at the end of the running search for carriers; nil for none
	outstanding map[string]map[*func()]struct{} // what to call when the path to an address is confirmed lost
	idleClosers []func(detoured bool)           // close idle connections of either kind
	rng         *rand.Rand
}

// NewTable returns a table in which all paths work.
func NewTable(cfg Config) *Table {
	t := &Table{
		cfg: cfg, opts: cfg.Options.WithDefaults(), wake: make(chan struct{}, 1),
		opened: metrics.GetOrRegisterCounter("detours_opened", cfg.Metrics), failed: metrics.GetOrRegisterCounter("detours_failed", cfg.Metrics),
		paths: map[string]reach.Path{}, silent: map[string]int{}, contacts: map[string]reach.Contact{}, outstanding: map[string]map[*func()]struct{}{},
		rng: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
	t.silence.Store(int64(t.opts.Silence))
	return t
}

// Detoured reports whether connections to the endpoint at addr go through a carrier.
func (t *Table) Detoured(addr string) bool {
	if !t.active.Load() {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.paths[addr].Detoured() {
		return true
	}
	if !t.outlook.Lost() {
		return false
	}
	t.paths[addr] = reach.PresumedLost(time.Now())
	return true
}

// Lost reports whether all paths of this balancer count as lost.
func (t *Table) Lost() bool {
	if !t.active.Load() {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.outlook.Lost()
}

// Silence returns how long a probe stays unanswered before its endpoint counts as silent.
func (t *Table) Silence() time.Duration { return time.Duration(t.silence.Load()) }

// BeginSilence records that the endpoint at addr is silent, until end is called. It returns after how
// long the endpoint may be checked through a carrier.
func (t *Table) BeginSilence(addr string) (checkAfter time.Duration, end func()) {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	others := len(t.silent)
	if t.silent[addr] > 0 {
		others--
	}
	t.silent[addr]++
	if !t.outlook.Suspects(t.opts, others, time.Unix(0, t.lastDirect.Load()), now) {
		checkAfter = max(0, t.opts.LoneSilence-t.Silence())
	}
	return checkAfter, func() { t.endSilence(addr) }
}

// endSilence ends a silence that BeginSilence recorded.
func (t *Table) endSilence(addr string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.silent[addr]--; t.silent[addr] <= 0 {
		delete(t.silent, addr)
	}
}

// Responded records that the endpoint at addr responded, directly or through a carrier.
func (t *Table) Responded(addr string, detoured bool) {
	now := time.Now()
	if !detoured {
		t.lastDirect.Store(now.UnixNano())
	}
	if !t.missing.Load() {
		return
	}
	service, _ := t.cfg.Find(addr, now)
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.contacts, service)
	t.missing.Store(len(t.contacts) > 0)
}

// BeginCheck reports whether the endpoint at addr, which does not respond directly, may be checked
// through a carrier. If so, EndCheck must be called, unless the check is given up.
func (t *Table) BeginCheck(addr string, c reach.Cause) upstream.CheckPermit {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	switch path := t.paths[addr]; {
	case path.MayCheck(now):
	case path.Undecided():
		return upstream.CheckDenied
	default:
		return upstream.CheckedBefore
	}
	var ok bool
	if t.outlook, ok = t.outlook.WithCheckBegun(c, t.opts, now); !ok {
		return upstream.CheckDenied
	}
	return upstream.CheckNow
}

// EndCheck records what a check of the endpoint at addr showed.
func (t *Table) EndCheck(addr string, c reach.Cause, r reach.CheckResult) {
	now := time.Now()
	service, listed := t.cfg.Find(addr, now)
	t.mu.Lock()
	path := t.paths[addr]
	if path.Detoured() { // a concurrent check reached it
		t.mu.Unlock()
		return
	}
	t.paths[addr] = path.WithCheck(r, t.opts, now)
	if r != reach.Reached {
		if listed {
			t.contacts[service] = t.contacts[service].WithMissed(addr, t.opts, now)
			t.missing.Store(true)
		}
		maps.DeleteFunc(t.paths, func(_ string, p reach.Path) bool { return p.Forgettable(t.opts, now) })
		t.mu.Unlock()
		return
	}
	before := t.outlook
	t.outlook = before.WithCheckReached(c, t.opts, time.Unix(0, t.lastDirect.Load()), now)
	t.active.Store(true)
	t.mu.Unlock()
	t.wakeUp()
	t.cfg.Log.Info("path to endpoint lost; using other balancers", "addr", addr)
	if t.outlookTurnedLost(before) {
		t.cfg.Log.Warn("paths to all endpoints lost; using other balancers", "detoured", before.Detoured()+1)
		t.closeIdle(false)
	}
}

// outlookTurnedLost reports whether all paths count as lost now and did not before.
func (t *Table) outlookTurnedLost(before reach.Outlook) bool { return !before.Lost() && t.Lost() }

// Refuses reports whether a request for a service should be refused at once, because no endpoint of it
// is reached in any way, and when its caller should come back.
func (t *Table) Refuses(service string, now time.Time) (retryAfter time.Duration, refuses bool) {
	if !t.missing.Load() {
		return 0, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	contact, ok := t.contacts[service]
	if !ok {
		return 0, false
	}
	t.contacts[service], refuses = contact.Refuses(t.opts, t.cfg.Count(service, now), now)
	if !refuses {
		return 0, false
	}
	return reach.RetryAfter(t.opts, t.rng.Float64()), true
}

// NoneReached returns the services of which no endpoint is reached, neither directly nor through
// carriers, in alphabetical order.
func (t *Table) NoneReached(now time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.noneReached(now)
}

// noneReached is NoneReached; t.mu must be held.
func (t *Table) noneReached(now time.Time) []string {
	services := []string{}
	for service, contact := range t.contacts {
		if contact.NoneReached(t.opts, t.cfg.Count(service, now), now) {
			services = append(services, service)
		}
	}
	slices.Sort(services)
	return services
}

// OnLost calls f when the direct path to addr is confirmed lost, unless release is called before.
func (t *Table) OnLost(addr string, f func()) (release func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	calls := t.outstanding[addr]
	if calls == nil {
		calls = map[*func()]struct{}{}
		t.outstanding[addr] = calls
	}
	calls[&f] = struct{}{}
	return func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		delete(calls, &f)
		if len(calls) == 0 && len(t.outstanding[addr]) == 0 {
			delete(t.outstanding, addr)
		}
	}
}

// OnIdle registers a function that closes idle connections, detoured or direct ones.
func (t *Table) OnIdle(closeIdle func(detoured bool)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.idleClosers = append(t.idleClosers, closeIdle)
}

// closeIdle closes the idle connections of all clients.
func (t *Table) closeIdle(detoured bool) {
	t.mu.Lock()
	closers := t.idleClosers
	t.mu.Unlock()
	for _, f := range closers {
		f(detoured)
	}
}

// Resume drops what is known of paths, after the VM was suspended.
func (t *Table) Resume() {
	t.mu.Lock()
	defer t.mu.Unlock()
	clear(t.paths)
	clear(t.contacts)
	t.outlook = reach.Outlook{}
	t.active.Store(false)
	t.missing.Store(false)
}

// wakeUp wakes Run.
func (t *Table) wakeUp() {
	select {
	case t.wake <- struct{}{}:
	default:
	}
}

// Status is what a balancer says of its paths to endpoints.
type Status struct {
	Lost        bool         // the paths to all endpoints count as lost
	NoneReached []string     // services of which no endpoint is reached, neither directly nor through other balancers
	Detoured    []PathStatus // endpoints that are reached through other balancers
	Carriers    int          // balancers that may carry for this one, as far as they are known
	Carried     int          // connections that this balancer carries for others
	MaxCarried  int          // limit on these
}

// PathStatus is a path that is lost.
type PathStatus struct {
	Addr      string
	Service   string
	Since     time.Duration // how long ago it was found to be lost
	Confirmed bool          // a direct connection has failed to open since
	Presumed  bool          // it was not tried, because all paths count as lost
}
