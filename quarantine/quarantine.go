// Package quarantine keeps a request from crashing one endpoint after another, whichever balancers
// receive it.
//
// A Tracker is the part of one balancer. The request path reports to it the attempts that broke
// without a response, and it finds out whether their endpoints have crashed (verify.go). It sends
// its observations to all balancers as notes, which work without the store (notes.go). A suspected
// request is sent on trial, by one balancer of the fleet at a time (admit.go). Refusals are
// recorded in the store, for balancers that start later and for operators (records.go, operate.go).
// Package coord/crash decides, from the history of a request, how it is handled.
//
// The package holds the histories known to this process. It tolerates notes that are lost or late.
// It depends on the store only for the guarantee that a single balancer at a time has a request on
// trial. While no history is kept, the cost for each request is one atomic read (Tracker.Empty).
//
// # Usage
//
//	k := quarantine.New(quarantine.Config{ID: id, Log: log, Metrics: registry, Endpoints: directory, Prober: client})
//	go k.Run(ctx)
//	admission, refusal := k.Admit(ctx, request)
//	...
//	k.Completed(request)
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
	"github.com/lotuswing/lotuswing/internal/untrusted"
	"github.com/lotuswing/lotuswing/upstream"
	"github.com/rcrowley/go-metrics"
)

// Prober requests the load report of an endpoint, which shows whether it is running.
type Prober interface {
	Probe(ctx context.Context, addr, path string, within time.Duration) (upstream.Report, error)
}

// Endpoints provides the known endpoints and the configuration.
type Endpoints interface {
	Snapshot() *directory.Snapshot
	Endpoint(id string) (directory.Endpoint, bool)
}

// Registry writes records to the store.
type Registry interface {
	// Replace writes a record under a new lease, which it returns, if the record still has the
	// given revision; 0 means that it does not exist. Otherwise it returns relay.ErrAlreadyRegistered.
	Replace(ctx context.Context, name string, value []byte, revision uint64, ttl time.Duration) (lease uint64, err error)
	// Release ends a lease and deletes its records.
	Release(ctx context.Context, lease uint64) error
}

// Config configures a Tracker.
type Config struct {
	ID        string // ID of this balancer
	Log       hclog.Logger
	Metrics   metrics.Registry
	Endpoints Endpoints
	Prober    Prober
	Registry  Registry
	// Publish sends data to all other balancers; nil if they cannot be reached.
	Publish func(topic string, data []byte) error
	// Serving reports whether this balancer is the one that does the shared work of its zone; nil
	// for always.
	Serving func() bool
	// MayProbe reports whether an endpoint may be probed, which it may not while it has asked this
	// balancer to send it no requests; nil for always.
	MayProbe func(endpoint string) bool
	Options  Options
}

// Options are the timing options of a Tracker. Zero fields take the defaults.
type Options struct {
	// TrialFor is the least time for which a trial excludes others, unless it is reported to be
	// over; default 1.5 s. The store grants no leases of less than 1 s.
	TrialFor time.Duration
	// AskWithin bounds the request to the store for the lease of a trial; default 250 ms.
	AskWithin time.Duration
	// LookEvery is the interval at which the directory is checked for the crash of an endpoint whose
	// probes showed none, and at which expired histories are removed and refusals that are missing
	// from the store are written; default 250 ms.
	LookEvery time.Duration
	// RecordAfter is the age from which another balancer writes a refusal that is still missing
	// from the store, and how long a balancer waits for its own write to be seen; default 3 s.
	RecordAfter time.Duration
	// Now returns the present time of a clock that continues while the VM is suspended; default
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

// Tracker tracks the requests during which endpoints have crashed and decides whether such requests
// may be sent. It is safe for concurrent use.
type Tracker struct {
	cfg        Config
	opts       Options
	entryCount atomic.Int64 // number of entries, readable without mu
	crashes    metrics.Counter
	trials     metrics.Counter
	refusals   metrics.Counter
	entryGauge metrics.Gauge
	reports    untrusted.Reports // of records that cannot be read

	mu            sync.Mutex
	entries       map[crash.Fingerprint]*entry
	runningChecks int             // number of broken attempts whose endpoint is being checked for a crash
	changed       chan struct{}   // closed and replaced when any history changes
	runCtx        context.Context // the context of Run, for work in the background
}

// entry is a Tracker's state for one fingerprint. It is accessed with Tracker.mu held.
type entry struct {
	history         crash.History
	service         string // service to which the request was sent
	kind            string
	loggedAction    crash.Action // the action that was logged last
	trialUntil      time.Time    // until when a trial excludes others, unless it is reported to be over
	ownTrial        bool         // the trial is this balancer's
	trialLease      uint64       // lease of the own trial; 0 if the store granted none
	refusedSince    time.Time    // start of the refusal; zero if the request is not refused
	recordRevision  uint64       // revision of the record in the store; 0 for none
	recordState     string       // state in the last record read
	appliedRevision uint64       // revision of the last record read
	writingRecord   bool         // the record is being written
	crashReported   bool         // a crash was observed here or reported by a note, not only read from a record
}

// maxEntries bounds the entries: 4,096 with 16 crashes of 100 bytes each take less than 7 MB.
// maxEntriesPerService leaves room for other services.
const (
	maxEntries           = 4096
	maxEntriesPerService = 1024
)

// New returns a Tracker without any history.
func New(cfg Config) *Tracker {
	return &Tracker{
		cfg: cfg, opts: cfg.Options.withDefaults(), entries: map[crash.Fingerprint]*entry{}, changed: make(chan struct{}), runCtx: context.Background(),
		crashes:    metrics.GetOrRegisterCounter("quarantine_ends", cfg.Metrics),
		trials:     metrics.GetOrRegisterCounter("quarantine_trials", cfg.Metrics),
		refusals:   metrics.GetOrRegisterCounter("quarantine_refusals", cfg.Metrics),
		entryGauge: metrics.GetOrRegisterGauge("quarantine_cases", cfg.Metrics),
	}
}

// Run removes expired histories and writes missing refusals to the store until ctx ends. While
// there is no entry, it waits for one.
func (k *Tracker) Run(ctx context.Context) {
	k.mu.Lock()
	k.runCtx = ctx
	k.mu.Unlock()
	for ctx.Err() == nil {
		k.waitForEntry(ctx)
		pause.For(ctx, k.opts.LookEvery)
		k.removeExpired(k.opts.Now())
		k.writeMissingRefusals(k.opts.Now())
	}
}

// waitForEntry waits until there is an entry or ctx ends.
func (k *Tracker) waitForEntry(ctx context.Context) {
	for k.Empty() && ctx.Err() == nil {
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

// Empty reports whether there is no history of any request.
func (k *Tracker) Empty() bool { return k.entryCount.Load() == 0 }

// update applies a change to an entry, which it creates with the given history if there is none. It
// logs a change of the action for the request.
func (k *Tracker) update(f crash.Fingerprint, initial crash.History, now time.Time, apply func(*entry)) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.entries[f] == nil {
		k.entries[f] = &entry{history: initial}
	}
	k.updateLocked(f, now, apply)
}

// updateExisting is update for an entry that exists already. It returns false if there is none.
func (k *Tracker) updateExisting(f crash.Fingerprint, now time.Time, apply func(*entry)) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.entries[f] == nil {
		return false
	}
	k.updateLocked(f, now, apply)
	return true
}

// updateBoth is update for the exact and the any-query entry of a request.
func (k *Tracker) updateBoth(p crash.Fingerprints, now time.Time, apply func(*entry)) {
	k.update(p.Exact, crash.History{}, now, apply)
	k.update(p.AnyQuery, crash.NewAnyQueryHistory(), now, apply)
}

// updateLocked applies a change to an existing entry. It removes the entry if its history has
// expired, and evicts entries if there are too many; k.mu is held.
func (k *Tracker) updateLocked(f crash.Fingerprint, now time.Time, apply func(*entry)) {
	ent := k.entries[f]
	apply(ent)
	if ent.history.Expired(now) {
		delete(k.entries, f)
	}
	k.evictExcess(ent.service, now)
	k.trackAction(f, ent, now)
	k.notifyChanged()
}

// trackAction keeps refusedSince up to date with the action for a request, and logs the action if
// it has changed; k.mu is held.
func (k *Tracker) trackAction(f crash.Fingerprint, ent *entry, now time.Time) {
	d := ent.history.Decide(now)
	if d.Action != crash.Refuse {
		ent.refusedSince = time.Time{}
	} else if ent.refusedSince.IsZero() {
		ent.refusedSince = now
	}
	if d.Action == ent.loggedAction {
		return
	}
	ent.loggedAction = d.Action
	k.cfg.Log.Info("handling of a suspected request changed", "fingerprint", string(f), "any_query", ent.history.AnyQuery(), "step", d.Action.String(), "service", ent.service, "kind", ent.kind,
		"evidence", evidence(ent.history, now), "ordered", ent.history.RefusalOrdered())
}

// notifyChanged updates the number of entries and wakes the goroutines that wait for a change; k.mu
// is held.
func (k *Tracker) notifyChanged() {
	k.entryCount.Store(int64(len(k.entries)))
	k.entryGauge.Update(int64(len(k.entries)))
	close(k.changed)
	k.changed = make(chan struct{})
}

// evictExcess removes an entry of the service if it has more than maxEntriesPerService, and one of
// any service if there are more than maxEntries in total; k.mu is held.
func (k *Tracker) evictExcess(service string, now time.Time) {
	inService := 0
	for _, ent := range k.entries {
		if ent.service == service {
			inService++
		}
	}
	if inService > maxEntriesPerService {
		k.evictOne(func(ent *entry) bool { return ent.service == service }, now)
	}
	if len(k.entries) > maxEntries {
		k.evictOne(func(*entry) bool { return true }, now)
	}
}

// evictOne removes the eligible entry that comes first by evictBefore; k.mu is held.
func (k *Tracker) evictOne(eligible func(*entry) bool, now time.Time) {
	var victim crash.Fingerprint
	for f, ent := range k.entries {
		if eligible(ent) && (victim == "" || ent.evictBefore(k.entries[victim], now)) {
			victim = f
		}
	}
	delete(k.entries, victim)
}

// evictBefore reports whether the entry is evicted before another one: entries that are not refused
// go first, then those whose last crash is the oldest.
func (ent *entry) evictBefore(other *entry, now time.Time) bool {
	refused, otherRefused := ent.history.Decide(now).Action == crash.Refuse, other.history.Decide(now).Action == crash.Refuse
	if refused != otherRefused {
		return otherRefused
	}
	return ent.history.LastCrash().Before(other.history.LastCrash())
}

// removeExpired removes entries whose history has expired, and logs changes of actions with time.
func (k *Tracker) removeExpired(now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for f, ent := range k.entries {
		k.trackAction(f, ent, now)
		if ent.history.Expired(now) {
			delete(k.entries, f)
		}
	}
	k.notifyChanged()
}

// runContext returns the context for work in the background.
func (k *Tracker) runContext() context.Context {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.runCtx
}
