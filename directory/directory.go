// Package directory is a process's copy of the shared configuration and of the
// list of endpoints, kept up to date from a store that can be watched.
//
// The package owns that copy. The request path reads an immutable Snapshot through an
// atomic pointer and takes no lock. A Follower reads everything once,
// then follows the changes (follow.go, watch.go), and checks by cheap reads, which may return stale
// data, whether the watch can be trusted (monitor.go, watchdog.go). A Source calls the store and
// interprets its records.
//
// An operator may evacuate an availability zone: until the store records the end of the evacuation,
// the directory keeps the zone's endpoints, but they are not usable (evacuation.go).
//
// Revisions of records, changes and snapshots are positions (package coord/position): the store may be restored
// from a copy and give its revisions out again. For some seconds after a restore, what the process knows counts
// where the copy differs from it (restore.go).
//
// Two rules hold whatever the store says. The version of the configuration never
// decreases within the life of a process. An endpoint that announced that it is
// leaving gets no more requests, whatever entries of the same start are read later; a new start
// under the same identity is a different server.
//
// An endpoint whose entry was deleted gets no requests until a newer entry is read. There is one
// exception: when more than three quarters of a service's entries were deleted within some
// seconds, the store has lost them, and their endpoints stay usable as a last resort for some
// seconds. The rules for endpoints are in endpoint.go.
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

	"github.com/lotuswing/lotuswing/coord/position"
)

// Directory is a process's copy of the shared configuration and of the endpoints. It is safe for
// concurrent use.
type Directory struct {
	snapshot atomic.Pointer[Snapshot]

	mu        sync.Mutex // held by writers
	config    *Config
	endpoints map[string]Endpoint         // by VM identity
	unlisted  map[string]bool             // identities of endpoints in another state than Listed
	services  map[string]map[string]bool  // identities of endpoints, by service
	changed   map[string]changedEndpoints // since the last snapshot, by service
	zones     evacuations
	rollouts  rollouts
	badOrders map[string]badOrder // the latest rollout order whose version was found bad, by service
	notices   leavingNotices      // about endpoints whose entries are not known yet
	held      *heldRead           // nil unless the store was restored a moment ago
	revision  uint64              // position up to which all changes are applied
}

// New returns an empty directory.
func New() *Directory {
	d := &Directory{
		endpoints: map[string]Endpoint{}, unlisted: map[string]bool{}, services: map[string]map[string]bool{}, changed: map[string]changedEndpoints{},
		zones: evacuations{}, rollouts: rollouts{}, notices: leavingNotices{}, badOrders: map[string]badOrder{},
	}
	d.snapshot.Store(&Snapshot{Endpoints: map[string][]Endpoint{}})
	return d
}

// Snapshot returns the directory's present content.
func (d *Directory) Snapshot() *Snapshot { return d.snapshot.Load() }

// Apply applies changes and publishes a new snapshot. Outdated changes are ignored.
func (d *Directory) Apply(c Changes, now time.Time) Applied {
	d.mu.Lock()
	defer d.mu.Unlock()
	var applied Applied
	if c.Outdated(d.revision) {
		return applied
	}
	if d.isHeld(c) {
		applied.Restored = position.Restored(d.revision, c.Revision)
		c = d.hold(c, now)
	}
	d.apply(c, now, &applied)
	return applied
}

// apply applies changes, also those of a full read that was held, and publishes a new snapshot; d.mu is held.
func (d *Directory) apply(c Changes, now time.Time, applied *Applied) {
	d.applyConfig(c.Config, applied)
	for _, entry := range c.Entries {
		d.applyEntry(entry, now, applied)
	}
	for _, g := range c.Gone {
		d.applyGone(g, now, applied)
	}
	d.applyEvacuations(c.Evacuations, applied)
	if c.Complete {
		d.applyAbsent(c, now, applied)
		d.applyEvacuations(d.zones.impliedEnds(c.Evacuations, c.Revision), applied)
	}
	d.applyRollouts(c, applied)
	d.revision = max(d.revision, c.Revision)
	d.removeExpired(now)
	d.publish(now)
}

// removeExpired removes the endpoints and leaving notices that need not be remembered any longer.
// It looks only at endpoints that are not listed, which are few even among 10,000 endpoints.
func (d *Directory) removeExpired(now time.Time) {
	d.notices.removeExpired(now)
	for id := range d.unlisted {
		e := d.endpoints[id]
		if !e.expired(now) {
			continue
		}
		d.markChanged(e.Service, id)
		delete(d.endpoints, id)
		delete(d.unlisted, id)
		delete(d.services[e.Service], id)
	}
}

// applyConfig applies a configuration if its version is higher than the present one.
func (d *Directory) applyConfig(c *Config, applied *Applied) {
	switch {
	case c == nil:
	case d.config == nil || c.Version > d.config.Version:
		d.config = c.withWithdrawnKeys(d.config)
		applied.Version, applied.Faults = c.Version, c.Faults
	case c.Version < d.config.Version:
		applied.Ignored = c.Version
	}
}

// applyEntry applies the entry of one endpoint.
func (d *Directory) applyEntry(entry Entry, now time.Time, applied *Applied) {
	e, known := d.endpoints[entry.Endpoint.VM]
	if known {
		e = e.withEntry(entry, now)
	} else {
		e = newEndpoint(entry, now)
	}
	if d.notices.take(e.VM, e.Start) && e.State != Leaving {
		e = e.withState(Leaving, now)
	}
	d.setEndpoint(e, applied)
}

// applyGone applies the deletion of an endpoint's entry, or an entry that cannot be read.
func (d *Directory) applyGone(g RemovedEntry, now time.Time, applied *Applied) {
	if e, known := d.endpoints[g.ID]; known {
		d.setEndpoint(e.withoutEntry(g, now), applied)
	}
}

// applyEvacuations applies evacuations that began or ended.
func (d *Directory) applyEvacuations(changes []Evacuation, applied *Applied) {
	for _, e := range changes {
		if d.zones.apply(e) {
			applied.Zones = append(applied.Zones, e)
			for service := range d.services {
				d.markAllChanged(service)
			}
		}
	}
}

// applyAbsent treats each endpoint that a full read does not name as deleted. The read names an endpoint
// whose entry cannot be read.
func (d *Directory) applyAbsent(c Changes, now time.Time, applied *Applied) {
	named := make(map[string]bool, len(c.Entries))
	for _, e := range c.Entries {
		named[e.Endpoint.VM] = true
	}
	for _, g := range c.Gone {
		named[g.ID] = named[g.ID] || g.Unreadable
	}
	for id := range d.endpoints {
		if !named[id] {
			d.applyGone(RemovedEntry{ID: id, Revision: c.Revision}, now, applied)
		}
	}
}

// setEndpoint stores an endpoint and adds it to applied if its state has changed.
func (d *Directory) setEndpoint(e Endpoint, applied *Applied) {
	old, known := d.endpoints[e.VM]
	d.store(old, e)
	if !known || old.State != e.State {
		applied.StateChanges = append(applied.StateChanges, Change{ID: e.VM, Service: e.Service, State: e.State})
	}
}

// store replaces the old value of an endpoint by e and updates the indexes; d.mu is held.
func (d *Directory) store(old, e Endpoint) {
	if old.Service != e.Service && old.Service != "" {
		delete(d.services[old.Service], e.VM)
		d.markChanged(old.Service, e.VM)
	}
	if d.services[e.Service] == nil {
		d.services[e.Service] = map[string]bool{}
	}
	d.services[e.Service][e.VM] = true
	d.markChanged(e.Service, e.VM)
	d.endpoints[e.VM] = e
	if e.State == Listed {
		delete(d.unlisted, e.VM)
	} else {
		d.unlisted[e.VM] = true
	}
}

// Endpoint returns what is known of an endpoint, usable or not.
func (d *Directory) Endpoint(id string) (Endpoint, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	e, known := d.endpoints[id]
	return e, known
}

// isConfigured reports whether the present configuration has the service; it returns true while
// there is no configuration. d.mu is held.
func (d *Directory) isConfigured(service string) bool {
	if d.config == nil {
		return true
	}
	_, ok := d.config.Services[service]
	return ok
}
