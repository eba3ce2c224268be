// Package directory is a process's copy of the shared configuration and of the
// list of endpoints, kept up to date from a store that can be watched.
//
// It owns that copy. What the request path reads is an immutable Snapshot behind an
// atomic pointer; requests take no lock here. A Follower reads everything once,
// then follows the changes (follow.go, watch.go), and checks by cheap reads whether
// the watch can be trusted (monitor.go, watchdog.go). It relies on a Source for the
// store's calls and the meaning of its records.
//
// An operator may empty an availability zone: as long as the store says so, its
// endpoints are known and not usable (evacuation.go).
//
// Two rules hold whatever the store says: the version of the configuration never
// goes back within the life of a process, and an endpoint that has said that it
// leaves, or whose entry has gone, never comes back under the same identity as
// draining; only an entry that went while more than three quarters of its
// service's entries went is kept as a last resort for some seconds, because then
// it is the store that lost them. Another start under the same identity is another server.
// They stand in endpoint.go.
//
// # Usage
//
//	d := directory.New()
//	f := directory.NewFollower(d, source, directory.Options{Log: log})
//	go f.Run(ctx)
//	s := d.Snapshot()
package directory

import (
	"sync"
	"sync/atomic"
	"time"
)

// Directory is a process's copy. It is safe for concurrent use.
type Directory struct {
	snapshot atomic.Pointer[Snapshot]

	mu        sync.Mutex // of writers
	config    *Config
	endpoints map[string]Endpoint        // by identity
	ended     map[string]bool            // those that are not listed, by identity
	services  map[string]map[string]bool // identities by service
	changed   map[string]touched         // by service, what has changed since the last snapshot
	zones     evacuations
	rollouts  rollouts
	bad       map[string]uint64 // revisions of orders whose versions were found bad, by service
	departed  departures        // of endpoints whose entries are not known
	at        uint64
}

// New returns an empty directory.
func New() *Directory {
	d := &Directory{
		endpoints: map[string]Endpoint{}, ended: map[string]bool{}, services: map[string]map[string]bool{}, changed: map[string]touched{},
		zones: evacuations{}, rollouts: rollouts{}, departed: departures{}, bad: map[string]uint64{},
	}
	d.snapshot.Store(&Snapshot{Endpoints: map[string][]Endpoint{}})
	return d
}

// Snapshot returns what is known.
func (d *Directory) Snapshot() *Snapshot { return d.snapshot.Load() }

// Apply brings changes into force.
func (d *Directory) Apply(c Changes, now time.Time) Applied {
	d.mu.Lock()
	defer d.mu.Unlock()
	var applied Applied
	if c.Outdated(d.at) {
		return applied
	}
	d.applyConfig(c.Config, &applied)
	for _, entry := range c.Entries {
		d.applyEntry(entry, now, &applied)
	}
	for _, g := range c.Gone {
		d.applyGone(g, now, &applied)
	}
	d.applyEvacuations(c.Evacuations, &applied)
	if c.Whole {
		d.applyAbsent(c, now, &applied)
		d.applyEvacuations(d.zones.missing(c.Evacuations, c.At), &applied)
	}
	d.applyRollouts(c, &applied)
	d.at = max(d.at, c.At)
	d.forget(now)
	d.publish(now)
	return applied
}

// forget drops endpoints of which nothing has to be remembered any more. Only those that
// are not listed are looked at: of 10,000 endpoints a few.
func (d *Directory) forget(now time.Time) {
	d.departed.forget(now)
	for id := range d.ended {
		e := d.endpoints[id]
		if !e.forgotten(now) {
			continue
		}
		d.touch(e.Service, id)
		delete(d.endpoints, id)
		delete(d.ended, id)
		delete(d.services[e.Service], id)
	}
}

// applyConfig puts a newer configuration into force; the version never goes back.
func (d *Directory) applyConfig(c *Config, applied *Applied) {
	switch {
	case c == nil:
	case d.config == nil || c.Version > d.config.Version:
		d.config = c.after(d.config)
		applied.Version = c.Version
	case c.Version < d.config.Version:
		applied.Ignored = c.Version
	}
}

// applyEntry notes an endpoint's entry.
func (d *Directory) applyEntry(entry Entry, now time.Time, applied *Applied) {
	e, known := d.endpoints[entry.Endpoint.VM]
	if known {
		e = e.withEntry(entry, now)
	} else {
		e = newEndpoint(entry, now)
	}
	if d.departed.take(e.VM, e.Start) && e.State != Leaving {
		e = e.withState(Leaving, now)
	}
	d.set(e, applied)
}

// applyGone notes that an entry went.
func (d *Directory) applyGone(g Gone, now time.Time, applied *Applied) {
	if e, known := d.endpoints[g.ID]; known {
		d.set(e.withoutEntry(g, now), applied)
	}
}

// applyEvacuations notes which zones are emptied or taken back.
func (d *Directory) applyEvacuations(told []Evacuation, applied *Applied) {
	for _, e := range told {
		if d.zones.note(e) {
			applied.Zones = append(applied.Zones, e)
			for service := range d.services {
				d.touchAll(service)
			}
		}
	}
}

// applyAbsent notes as gone what a reading of everything does not name.
func (d *Directory) applyAbsent(c Changes, now time.Time, applied *Applied) {
	named := make(map[string]bool, len(c.Entries))
	for _, e := range c.Entries {
		named[e.Endpoint.VM] = true
	}
	for id := range d.endpoints {
		if !named[id] {
			d.applyGone(Gone{ID: id, Revision: c.At}, now, applied)
		}
	}
}

// set keeps an endpoint and notes whether its state has changed.
func (d *Directory) set(e Endpoint, applied *Applied) {
	old, known := d.endpoints[e.VM]
	d.keep(old, e)
	if !known || old.State != e.State {
		applied.Moved = append(applied.Moved, Change{ID: e.VM, Service: e.Service, State: e.State})
	}
}

// keep keeps what is known of an endpoint in place of what was; d.mu is held.
func (d *Directory) keep(old, e Endpoint) {
	if old.Service != e.Service && old.Service != "" {
		delete(d.services[old.Service], e.VM)
		d.touch(old.Service, e.VM)
	}
	if d.services[e.Service] == nil {
		d.services[e.Service] = map[string]bool{}
	}
	d.services[e.Service][e.VM] = true
	d.touch(e.Service, e.VM)
	d.endpoints[e.VM] = e
	if e.State == Listed {
		delete(d.ended, e.VM)
	} else {
		d.ended[e.VM] = true
	}
}

// Endpoint returns what is known of an endpoint, whether it may get requests or not.
func (d *Directory) Endpoint(id string) (Endpoint, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	e, known := d.endpoints[id]
	return e, known
}

// isConfigured reports whether a service is one that requests can go to; d.mu is held.
func (d *Directory) isConfigured(service string) bool {
	if d.config == nil {
		return true
	}
	_, ok := d.config.Services[service]
	return ok
}
