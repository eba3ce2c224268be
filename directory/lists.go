package directory

import (
	"cmp"
	"slices"
	"time"

	"github.com/lotuswing/lotuswing/coord/placement"
)

// This file builds the snapshots' lists of endpoints by service, and rebuilds those in which
// something has changed.

// changedEndpoints says which endpoints of a service may have changed since the last snapshot.
type changedEndpoints struct {
	all bool     // all of the service's endpoints
	ids []string // otherwise only these
}

// markChanged marks an endpoint of a service as changed since the last snapshot; d.mu is held.
func (d *Directory) markChanged(service, id string) {
	marks := d.changed[service]
	marks.ids = append(marks.ids, id)
	d.changed[service] = marks
}

// markAllChanged marks all endpoints of a service as changed; d.mu is held.
func (d *Directory) markAllChanged(service string) { d.changed[service] = changedEndpoints{all: true} }

// publish stores a new Snapshot for the request path; d.mu is held. It rebuilds only the lists of
// services in which something has changed, or which have missing endpoints, whose use depends on
// the time.
func (d *Directory) publish(now time.Time) {
	before := d.snapshot.Load()
	s := &Snapshot{
		Config: d.config, Endpoints: make(map[string][]Endpoint, len(d.services)), Revision: d.revision,
		Evacuated: d.zones.evacuatedZones(), Rollouts: d.rollouts.sorted(), Shares: map[string]float64{},
	}
	for id := range d.unlisted {
		if e := d.endpoints[id]; e.State == Missing {
			d.markAllChanged(e.Service)
		}
	}
	for service, ids := range d.services {
		if marks, ok := d.changed[service]; !ok {
			s.Endpoints[service] = before.Endpoints[service]
			s.setShare(service, before.Shares[service])
		} else if list := d.updatedList(marks, before.Endpoints[service], ids, now); len(list) > 0 {
			s.Endpoints[service] = list
			s.setShare(service, d.setEvacuatedAndSide(service, list))
		}
		if d.isConfigured(service) {
			s.ListedCount += countListed(s.Endpoints[service])
		}
	}
	clear(d.changed)
	d.snapshot.Store(s)
}

// setShare sets the share of a service's requests that goes to the version being rolled out, if
// there is such a share.
func (s *Snapshot) setShare(service string, share float64) {
	if share > 0 {
		s.Shares[service] = share
	}
}

// setEvacuatedAndSide sets Evacuated and Side of a service's endpoints, and returns the share of
// requests for the version being rolled out; d.mu is held.
func (d *Directory) setEvacuatedAndSide(service string, list []Endpoint) (share float64) {
	for i := range list {
		list[i].Evacuated, list[i].Side = d.zones.isEvacuated(list[i].Zone), placement.AnySide
	}
	if r, ok := d.rollouts[service]; ok {
		return r.assignSides(list)
	}
	return 0
}

// countListed returns the number of listed endpoints.
func countListed(list []Endpoint) int {
	n := 0
	for i := range list {
		if list[i].State == Listed {
			n++
		}
	}
	return n
}

// updatedList returns a service's list for the next snapshot, sorted by identity. before is the
// list of the last snapshot, changed says what has changed since, and ids are the identities of the
// service's endpoints; d.mu is held.
func (d *Directory) updatedList(changed changedEndpoints, before []Endpoint, ids map[string]bool, now time.Time) []Endpoint {
	if changed.all || len(changed.ids) > len(before)/mergeDivisor {
		return d.rebuiltList(ids, now)
	}
	slices.Sort(changed.ids)
	return d.mergeChanges(before, slices.Compact(changed.ids), ids)
}

// mergeDivisor bounds the changes that are merged into a list: at most one in mergeDivisor of its
// endpoints. Merging more costs about as much as rebuilding the list.
const mergeDivisor = 4

// mergeChanges returns a copy of before in which the changed endpoints are replaced, added or
// removed. before and changed are sorted by identity, and ids are the identities of the service's
// endpoints, none of which may be in state Missing; d.mu is held.
func (d *Directory) mergeChanges(before []Endpoint, changed []string, ids map[string]bool) []Endpoint {
	list := make([]Endpoint, 0, len(before)+len(changed))
	for _, id := range changed {
		at, found := slices.BinarySearchFunc(before, id, func(e Endpoint, id string) int { return cmp.Compare(e.VM, id) })
		list = append(list, before[:at]...)
		before = before[at:]
		if found {
			before = before[1:]
		}
		if e := d.endpoints[id]; ids[id] && e.State == Listed {
			list = append(list, e)
		}
	}
	return append(list, before...)
}

// rebuiltList returns, sorted by identity, the listed endpoints of a service and those
// that went missing together because the store lost their entries. ids are the identities of the
// service's endpoints; d.mu is held.
func (d *Directory) rebuiltList(ids map[string]bool, now time.Time) []Endpoint {
	used := make([]Endpoint, 0, len(ids))
	var missing []Endpoint
	for id := range ids {
		switch e := d.endpoints[id]; e.State {
		case Listed:
			used = append(used, e)
		case Missing:
			if e.Usable(now) {
				missing = append(missing, e)
			}
		case Leaving:
		}
	}
	if len(missing) > lossFactor*len(used) {
		used = append(used, missing...)
	}
	slices.SortFunc(used, func(a, b Endpoint) int { return cmp.Compare(a.VM, b.VM) })
	return used
}
