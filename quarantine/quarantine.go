// Package quarantine keeps a request from crashing one endpoint after the other, whichever
// balancer it comes to.
//
// A Keeper is one balancer's part in this. It hears from the request path which attempts
// broke off without a response and finds out whether their endpoints have ended (verify.go);
// it tells all balancers what it saw, by notes that need no store (notes.go); it has one
// balancer of the fleet at a time try a request that is suspected (admit.go); and what is
// refused stands in the store, for balancers that start later and for operators
// (records.go, operate.go). The rule that decides is in coord/crash.
//
// The package owns the cases of this process. It relies on notes that may be lost or late,
// and on the store for one thing only: that of several balancers one tries. While nothing
// is suspected it costs a request one atomic read.
//
// # Usage
//
//	k := quarantine.New(quarantine.Config{ID: id, Log: log, Metrics: registry, Endpoints: directory, Prober: client})
//	go k.Run(ctx)
//	pass, refusal := k.Admit(ctx, request)
//	...
//	k.Ran(request)
package quarantine

import (
	"cmp"
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/lotuswing/lotuswing/coord/crash"
	"github.com/lotuswing/lotuswing/directory"
	"github.com/lotuswing/lotuswing/internal/bootclock"
	"github.com/lotuswing/lotuswing/internal/pause"
	"github.com/lotuswing/lotuswing/upstream"
	"github.com/rcrowley/go-metrics"
)

// Prober asks an endpoint for its load, which shows whether it lives.
type Prober interface {
	Probe(ctx context.Context, addr, path string, within time.Duration) (upstream.Report, error)
}

// Endpoints tells what is known of endpoints.
type Endpoints interface {
	Snapshot() *directory.Snapshot
	Endpoint(id string) (directory.Endpoint, bool)
}

// Registry keeps records of the store.
type Registry interface {
	// Replace writes a record that has a revision, 0 for one that does not exist, under a
	// lease, which it returns, or returns relay.ErrTaken.
	Replace(ctx context.Context, name string, value []byte, revision uint64, ttl time.Duration) (lease uint64, err error)
	// Release ends a lease and its records.
	Release(ctx context.Context, lease uint64) error
}

// Config of a Keeper.
type Config struct {
	ID        string // of the balancer
	Log       hclog.Logger
	Metrics   metrics.Registry
	Endpoints Endpoints
	Prober    Prober
	Registry  Registry
	// Tell tells all other balancers something; nil where they cannot be reached.
	Tell func(topic string, data []byte) error
	// Serving reports whether this balancer does for its zone what one of it should do; nil
	// for always.
	Serving func() bool
	// Willing reports whether an endpoint may be probed: it has not asked this balancer for a time
	// without requests; nil for always.
	Willing func(endpoint string) bool
	Options Options
}

// Options of a Keeper. Zero fields take the defaults.
type Options struct {
	// TrialFor is for how long at least nobody else tries a request that one balancer tries,
	// if nobody hears that its trial is over; default 1.5 s. The store grants no less than 1 s.
	TrialFor time.Duration
	// AskWithin bounds the question whether another balancer tries it; default 250 ms.
	AskWithin time.Duration
	// LookEvery is between two looks whether an endpoint has ended that still answers, and
	// between two looks whether refusals stand in the store; default 250 ms.
	LookEvery time.Duration
	// RecordAfter is after how long a relay writes a refusal that still does not stand in
	// the store; default 3 s.
	RecordAfter time.Duration
	// Now tells the present time by a clock that goes on while the VM is suspended; default
	// bootclock.Now.
	Now func() time.Time
}

func (o Options) withDefaults() Options {
	o.TrialFor = cmp.Or(o.TrialFor, 1500*time.Millisecond)
	o.AskWithin = cmp.Or(o.AskWithin, 250*time.Millisecond)
	o.LookEvery = cmp.Or(o.LookEvery, 250*time.Millisecond)
	o.RecordAfter = cmp.Or(o.RecordAfter, 3*time.Second)
	if o.Now == nil {
		o.Now = bootclock.Now
	}
	return o
}

// Keeper is one balancer's knowledge of requests under which endpoints have ended. It is
// safe for concurrent use.
type Keeper struct {
	cfg    Config
	opts   Options
	known  atomic.Int64 // cases
	ends   metrics.Counter
	trials metrics.Counter
	denied metrics.Counter
	gauge  metrics.Gauge

	mu      sync.Mutex
	entries map[crash.Fingerprint]*entry
	watched int           // endpoints that are watched for their end
	changed chan struct{} // closed and replaced when a case has changed
	live    context.Context
}

// entry is what is kept of one request. It is changed with Keeper.mu held.
type entry struct {
	is       crash.Case
	service  string // to which the request was sent
	kind     string
	step     crash.Step // that was logged last
	trial    time.Time  // until then a balancer tries it, unless it is heard to be over
	trying   bool       // it is this one
	lease    uint64     // of the own trial; 0 where the store gave none
	since    time.Time  // when it was first refused; zero where it is not
	revision uint64     // of its record; 0 for none
	recorded string     // the state that stands there
	seen     uint64     // revision of the last record that was read
	writing  bool       // its record is being written
	told     bool       // an end was seen here or told by a note, not read in a record alone
}

// mostCases bounds the cases that are kept: of 4,096 with 16 ends of 100 bytes each, less
// than 7 MB. mostOfService leaves room for those of other services.
const (
	mostCases     = 4096
	mostOfService = 1024
)

// New returns a keeper that knows nothing.
func New(cfg Config) *Keeper {
	return &Keeper{
		cfg: cfg, opts: cfg.Options.withDefaults(), entries: map[crash.Fingerprint]*entry{}, changed: make(chan struct{}), live: context.Background(),
		ends:   metrics.GetOrRegisterCounter("quarantine_ends", cfg.Metrics),
		trials: metrics.GetOrRegisterCounter("quarantine_trials", cfg.Metrics),
		denied: metrics.GetOrRegisterCounter("quarantine_refusals", cfg.Metrics),
		gauge:  metrics.GetOrRegisterGauge("quarantine_cases", cfg.Metrics),
	}
}

// Run keeps cases and records up to date until ctx ends. It waits for the first case.
func (k *Keeper) Run(ctx context.Context) {
	k.mu.Lock()
	k.live = ctx
	k.mu.Unlock()
	for ctx.Err() == nil {
		k.awaitCase(ctx)
		pause.For(ctx, k.opts.LookEvery)
		k.forget(k.opts.Now())
		k.recordMissing(k.opts.Now())
	}
}

// awaitCase waits until there is a case.
func (k *Keeper) awaitCase(ctx context.Context) {
	for k.Quiet() && ctx.Err() == nil {
		k.mu.Lock()
		changed, none := k.changed, len(k.entries) == 0
		k.mu.Unlock()
		if !none {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

// Quiet reports whether no request is suspected of anything.
func (k *Keeper) Quiet() bool { return k.known.Load() == 0 }

// change applies a change to a case, which begins with it where there is none, and says in
// the log what becomes of the request from now on.
func (k *Keeper) change(f crash.Fingerprint, begin crash.Case, now time.Time, apply func(*entry)) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.entries[f] == nil {
		k.entries[f] = &entry{is: begin}
	}
	k.changeKnown(f, now, apply)
}

// changeIf is change for cases that are known alone. It reports whether this one is.
func (k *Keeper) changeIf(f crash.Fingerprint, now time.Time, apply func(*entry)) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.entries[f] == nil {
		return false
	}
	k.changeKnown(f, now, apply)
	return true
}

// changeBoth is change for the two cases of a request.
func (k *Keeper) changeBoth(p crash.Prints, now time.Time, apply func(*entry)) {
	k.change(p.Exact, crash.Case{}, now, apply)
	k.change(p.Wide, crash.NewWide(), now, apply)
}

// changeKnown applies a change to a case that is known; k.mu is held.
func (k *Keeper) changeKnown(f crash.Fingerprint, now time.Time, apply func(*entry)) {
	known := k.entries[f]
	apply(known)
	if known.is.Forgotten(now) {
		delete(k.entries, f)
	}
	k.trim(known.service, now)
	k.noteStep(f, known, now)
	k.noteChange()
}

// noteStep says in the log that a request is treated in another way; k.mu is held.
func (k *Keeper) noteStep(f crash.Fingerprint, known *entry, now time.Time) {
	d := known.is.Decide(now)
	if d.Do != crash.Refuse {
		known.since = time.Time{}
	} else if known.since.IsZero() {
		known.since = now
	}
	if d.Do == known.step {
		return
	}
	known.step = d.Do
	k.cfg.Log.Info("request suspected", "fingerprint", string(f), "any_query", known.is.Wide(), "step", d.Do.String(), "service", known.service, "kind", known.kind,
		"evidence", evidence(known.is, now), "ordered", known.is.Ordered())
}

// noteChange wakes those that wait for a change; k.mu is held.
func (k *Keeper) noteChange() {
	k.known.Store(int64(len(k.entries)))
	k.gauge.Update(int64(len(k.entries)))
	close(k.changed)
	k.changed = make(chan struct{})
}

// trim drops cases of a service, or any, where there are too many: those first that are not
// refused, and of these the one that changed longest ago. k.mu is held.
func (k *Keeper) trim(service string, now time.Time) {
	of := 0
	for _, known := range k.entries {
		if known.service == service {
			of++
		}
	}
	if of > mostOfService {
		k.drop(func(known *entry) bool { return known.service == service }, now)
	}
	if len(k.entries) > mostCases {
		k.drop(func(*entry) bool { return true }, now)
	}
}

// drop drops the least one of some cases; k.mu is held.
func (k *Keeper) drop(some func(*entry) bool, now time.Time) {
	var least crash.Fingerprint
	for f, known := range k.entries {
		if some(known) && (least == "" || known.before(k.entries[least], now)) {
			least = f
		}
	}
	delete(k.entries, least)
}

// before reports whether a case may be dropped rather than another one.
func (known *entry) before(o *entry, now time.Time) bool {
	refused, other := known.is.Decide(now).Do == crash.Refuse, o.is.Decide(now).Do == crash.Refuse
	if refused != other {
		return other
	}
	return known.is.Last().Before(o.is.Last())
}

// forget drops cases of which nothing has to be known any more.
func (k *Keeper) forget(now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for f, known := range k.entries {
		k.noteStep(f, known, now)
		if known.is.Forgotten(now) {
			delete(k.entries, f)
		}
	}
	k.noteChange()
}

// running returns the context of what goes on beside requests.
func (k *Keeper) running() context.Context {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.live
}
