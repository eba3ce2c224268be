package directory

import (
	"cmp"
	"slices"
	"time"

	"github.com/lotuswing/lotuswing/coord/placement"
)

// The lists of endpoints by service that the request path reads, and how they are made anew
// where something has changed.

// touched is what has changed of a service's endpoints since the last snapshot.
type touched struct {
	all bool     // anything may have
	ids []string // otherwise these have
}

// touch notes that an endpoint of a service has changed; d.mu is held.
func (d *Directory) touch(service, id string) {
	t := d.changed[service]
	t.ids = append(t.ids, id)
	d.changed[service] = t
}

// touchAll notes that all endpoints of a service may have changed; d.mu is held.
func (d *Directory) touchAll(service string) { d.changed[service] = touched{all: true} }

// publish brings what is known into force for the request path; d.mu is held. Only the lists of
// services are made anew of which something has changed, or of which endpoints went missing,
// since it depends on the time whether these are used.
func (d *Directory) publish(now time.Time) {
	before := d.snapshot.Load()
	s := &Snapshot{
		Config: d.config, Endpoints: make(map[string][]Endpoint, len(d.services)), At: d.at,
		Evacuated: d.zones.zones(), Rollouts: d.rollouts.all(), Shares: map[string]float64{},
	}
	for id := range d.ended {
		if e := d.endpoints[id]; e.State == Missing {
			d.touchAll(e.Service)
		}
	}
	for service, ids := range d.services {
		if t, ok := d.changed[service]; !ok {
			s.Endpoints[service] = before.Endpoints[service]
			s.share(service, before.Shares[service])
		} else if list := d.listOf(t, before.Endpoints[service], ids, now); len(list) > 0 {
			s.Endpoints[service] = list
			s.share(service, d.markAll(service, list))
		}
		if d.isConfigured(service) {
			s.Known += countListed(s.Endpoints[service])
		}
	}
	clear(d.changed)
	d.snapshot.Store(s)
}

// share notes the part of a service's requests for the version that comes in.
func (s *Snapshot) share(service string, share float64) {
	if share > 0 {
		s.Shares[service] = share
	}
}

// markAll marks endpoints of zones that are emptied and of versions that come in, and
// returns the part of the requests for the latter; d.mu is held.
func (d *Directory) markAll(service string, list []Endpoint) (share float64) {
	for i := range list {
		list[i].Evacuated, list[i].Side = d.zones.inForce(list[i].Zone), placement.AnySide
	}
	if r, ok := d.rollouts[service]; ok {
		return r.divide(list)
	}
	return 0
}

// countListed returns how many endpoints are listed.
func countListed(list []Endpoint) int {
	n := 0
	for i := range list {
		if list[i].State == Listed {
			n++
		}
	}
	return n
}

// listOf returns the endpoints of a service that may be used, given those that were; d.mu is
// held.
func (d *Directory) listOf(t touched, before []Endpoint, ids map[string]bool, now time.Time) []Endpoint {
	if t.all || len(t.ids) > len(before)/mergeShare {
		return d.usedEndpoints(ids, now)
	}
	slices.Sort(t.ids)
	return d.merged(before, slices.Compact(t.ids), ids)
}

// mergeShare is the part of a list, one in so many, up to which changes are merged into it:
// making it anew costs about as much as merging as many.
const mergeShare = 4

// merged returns a list with the changes of some endpoints, both in order of identity; d.mu
// is held. No endpoint of the service is missing.
func (d *Directory) merged(before []Endpoint, changed []string, ids map[string]bool) []Endpoint {
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

// usedEndpoints returns, in order of identity, the listed endpoints of a service and those
// that went missing together, because the store lost them; d.mu is held.
func (d *Directory) usedEndpoints(ids map[string]bool, now time.Time) []Endpoint {
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
