// Package directory is a process's copy of the shared configuration and of the
// list of endpoints, kept up to date from a store that can be watched.
//
// What the request path reads is an immutable Snapshot behind an atomic
// pointer. A Follower reads everything once, then follows the changes, and
// reads everything again when the store has forgotten its history.
//
// Two rules hold whatever the store says: the version of the configuration
// never goes back within the life of a process, and an endpoint that has said
// that it leaves, or whose entry has gone, never comes back under the same
// identity as draining; only an entry that went while more than three quarters of
// its service's entries went is kept as a last resort for some seconds, because
// then it is the store that lost them.
//
// # Usage
//
//	d := directory.New()
//	f := directory.NewFollower(d, source, directory.Options{Log: log})
//	go f.Run(ctx)
//	s := d.Snapshot()
package directory

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lotuswing/lotuswing/coord/placement"
	"github.com/lotuswing/lotuswing/tenant"
)

// missingFor is how long an endpoint whose entry went is remembered.
const missingFor = 20 * time.Second

// State of an endpoint's entry.
type State uint8

const (
	// Listed endpoints get requests.
	Listed State = iota
	// Missing endpoints had an entry that went without a word of leaving.
	Missing
	// Leaving endpoints get no new requests.
	Leaving
)

// String returns the name used in logs.
func (s State) String() string { return [...]string{"listed", "missing", "leaving"}[s] }

// Endpoint is one incarnation of a server as the directory knows it.
type Endpoint struct {
	placement.Endpoint
	Service  string
	State    State
	WarmAt   time.Time // until then it is slow from its start
	Changed  time.Time // when the state was learnt
	Revision uint64    // of the store's entry
}

// lastResortFor is how long endpoints that went missing together may still be
// used: those that live are back within some two seconds of the store's return,
// and their entries are in force within the pause in which changes gather.
const lastResortFor = 4 * time.Second

// Usable reports whether the endpoint may get requests at now.
func (e Endpoint) Usable(now time.Time) bool {
	return e.State == Listed || e.State == Missing && now.Sub(e.Changed) <= lastResortFor
}

// Config is a version of the shared configuration.
type Config struct {
	Version  uint64
	Routes   *tenant.PrefixTable
	Services map[string]tenant.Service
}

// Entry is what the store holds of one endpoint.
type Entry struct {
	Endpoint Endpoint
	Leaving  bool
	Warmup   time.Duration // how much longer it is slow
	Revision uint64
}

// Gone says that an endpoint's entry went.
type Gone struct {
	ID       string
	Revision uint64
}

// Record is a key of the store, or its end. Its meaning is the source's alone;
// processes hand it on to one another as it is.
type Record struct {
	Key      string
	Value    []byte
	Revision uint64
	Lease    uint64 // with which the key ends; 0 for none
	Gone     bool
}

// Changes are news from the store. Config is nil when it has not changed.
type Changes struct {
	Config  *Config
	Entries []Entry
	Gone    []Gone
	// Registrations are the keys that balancers keep, by the names that they
	// gave them.
	Registrations []Record
	At            uint64   // revision up to which all changes are known
	Whole         bool     // the entries are all there are; others have gone
	Faults        []error  // of what could not be read, and so changes nothing
	Records       []Record // all of the above as the store holds it
}

// count returns how many changes there are.
func (c Changes) count() int {
	n := len(c.Entries) + len(c.Gone) + len(c.Registrations)
	if c.Config != nil {
		n++
	}
	return n
}

// Snapshot is what the request path reads. It is never changed.
type Snapshot struct {
	Config    *Config               // nil until one is known
	Endpoints map[string][]Endpoint // by service: listed ones, and missing ones while nearly all are; see Endpoint.Usable
	Known     int                   // endpoints that are listed
	At        uint64
}

// Directory is a process's copy.
type Directory struct {
	snapshot atomic.Pointer[Snapshot]

	mu        sync.Mutex
	config    *Config
	endpoints map[string]Endpoint // by identity
	at        uint64
}

// New returns an empty directory.
func New() *Directory {
	d := &Directory{endpoints: map[string]Endpoint{}}
	d.snapshot.Store(&Snapshot{Endpoints: map[string][]Endpoint{}})
	return d
}

// Snapshot returns what is known.
func (d *Directory) Snapshot() *Snapshot { return d.snapshot.Load() }

// Applied says what changes did.
type Applied struct {
	Version uint64   // of a configuration that came into force, 0 for none
	Ignored uint64   // of a configuration that is older than the one in force, 0 for none
	Moved   []Change // endpoints whose state changed
}

// Change is an endpoint's new state.
type Change struct {
	ID      string
	Service string
	State   State
}

// Apply takes in changes.
func (d *Directory) Apply(c Changes, now time.Time) Applied {
	d.mu.Lock()
	defer d.mu.Unlock()
	var applied Applied
	if c.Config != nil {
		d.takeConfig(c.Config, &applied)
	}
	for _, e := range c.Entries {
		d.takeEntry(e, now, &applied)
	}
	for _, g := range c.Gone {
		d.takeGone(g, now, &applied)
	}
	if c.Whole {
		d.takeAbsent(c, now, &applied)
	}
	d.at = max(d.at, c.At)
	d.forget(now)
	d.publish(now)
	return applied
}

func (d *Directory) takeConfig(c *Config, applied *Applied) {
	switch {
	case d.config == nil || c.Version > d.config.Version:
		d.config = c
		applied.Version = c.Version
	case c.Version < d.config.Version:
		applied.Ignored = c.Version
	}
}

func (d *Directory) takeEntry(e Entry, now time.Time, applied *Applied) {
	next := e.Endpoint
	next.Revision = e.Revision
	next.WarmAt = now.Add(e.Warmup)
	next.Changed = now
	old, known := d.endpoints[next.VM]
	if known && e.Revision < old.Revision {
		return
	}
	if e.Leaving || known && old.State == Leaving {
		next.State = Leaving
	}
	if known && old.WarmAt.Before(next.WarmAt) {
		next.WarmAt = old.WarmAt // an entry read late tells an older warm-up
	}
	d.endpoints[next.VM] = next
	if !known || old.State != next.State {
		applied.Moved = append(applied.Moved, Change{ID: next.VM, Service: next.Service, State: next.State})
	}
}

func (d *Directory) takeGone(g Gone, now time.Time, applied *Applied) {
	e, known := d.endpoints[g.ID]
	if !known || g.Revision < e.Revision {
		return
	}
	e.Revision = g.Revision
	if e.State == Listed {
		e.State = Missing
		e.Changed = now
		applied.Moved = append(applied.Moved, Change{ID: g.ID, Service: e.Service, State: Missing})
	}
	d.endpoints[g.ID] = e
}

// takeAbsent marks what a whole reading does not name.
func (d *Directory) takeAbsent(c Changes, now time.Time, applied *Applied) {
	named := make(map[string]bool, len(c.Entries))
	for _, e := range c.Entries {
		named[e.Endpoint.VM] = true
	}
	for id := range d.endpoints {
		if !named[id] {
			d.takeGone(Gone{ID: id, Revision: c.At}, now, applied)
		}
	}
}

// MarkLeaving notes an endpoint's own word that it leaves, or that another
// incarnation answers at its address. It reports whether that was news.
func (d *Directory) MarkLeaving(id string, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	e, known := d.endpoints[id]
	if !known || e.State == Leaving {
		return false
	}
	e.State = Leaving
	e.Changed = now
	d.endpoints[id] = e
	d.publish(now)
	return true
}

// forget drops endpoints that went long ago. One that leaves is kept while its
// entry may still be repeated.
func (d *Directory) forget(now time.Time) {
	for id, e := range d.endpoints {
		if e.State != Listed && now.Sub(e.Changed) > missingFor {
			if e.State == Missing || now.Sub(e.Changed) > 10*missingFor {
				delete(d.endpoints, id)
			}
		}
	}
}

// lossFactor tells a store that lost its entries from endpoints that left: as many
// times the listed endpoints must have gone missing within lastResortFor. In a
// release of a small service half of them may.
const lossFactor = 3

// publish makes a new snapshot.
func (d *Directory) publish(now time.Time) {
	s := &Snapshot{Config: d.config, Endpoints: map[string][]Endpoint{}, At: d.at}
	missing := map[string][]Endpoint{}
	for _, e := range d.endpoints {
		switch e.State {
		case Listed:
			s.Endpoints[e.Service] = append(s.Endpoints[e.Service], e)
			s.Known++
		case Missing:
			if e.Usable(now) {
				missing[e.Service] = append(missing[e.Service], e)
			}
		case Leaving:
		}
	}
	for service, list := range missing {
		if len(list) > lossFactor*len(s.Endpoints[service]) {
			s.Endpoints[service] = append(s.Endpoints[service], list...)
		}
	}
	for _, list := range s.Endpoints {
		slices.SortFunc(list, func(a, b Endpoint) int { return cmp.Compare(a.VM, b.VM) })
	}
	d.snapshot.Store(s)
}
