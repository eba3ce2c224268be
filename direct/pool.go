package direct

import (
	"github.com/lotuswing/lotuswing/coord/placement"
	"github.com/lotuswing/lotuswing/coord/subset"
	"github.com/lotuswing/lotuswing/directory"
)

// pool is the subset of a service's endpoints among which this process chooses.
type pool struct {
	source  []directory.Endpoint // the list that the pool was drawn from
	indices []int                // of the endpoints of the pool in source
	size    int                  // that it was drawn with
}

// drawnFrom reports whether the pool was drawn from a list. Lists are never changed, only replaced.
func (p pool) drawnFrom(listed []directory.Endpoint) bool {
	return len(p.source) == len(listed) && (len(listed) == 0 || &p.source[0] == &listed[0])
}

// poolOf returns the indices in listed of the endpoints in a service's pool. It draws a new pool if
// the list has changed, or the size of pools because this process is starting. Endpoints that are new
// in a larger pool have not joined the service. c.mu must be held.
func (c *Chooser) poolOf(service string, listed []directory.Endpoint, size int) []int {
	p, ok := c.pools[service]
	if ok && p.size != size {
		c.listed[service] = false
	}
	if !ok || p.size != size || !p.drawnFrom(listed) {
		p = pool{source: listed, indices: c.drawPool(listed, size), size: size}
		c.pools[service] = p
	}
	return p.indices
}

// drawPool draws a pool of about size endpoints from a list, and returns their indices in the list.
func (c *Chooser) drawPool(listed []directory.Endpoint, size int) []int {
	members := make([]subset.Member, len(listed))
	for i := range listed {
		e := &listed[i]
		members[i] = subset.Member{
			ID: e.VM, SameZone: e.Zone == c.cfg.Zone, NewVersion: e.Side == placement.NewSide, Excluded: e.Evacuated || e.Side == placement.ExcludedSide,
		}
	}
	return subset.Draw(c.cfg.ID, members, size)
}
