package direct

import (
	"github.com/lotuswing/lotuswing/coord/placement"
	"github.com/lotuswing/lotuswing/coord/subset"
	"github.com/lotuswing/lotuswing/directory"
)

// pool is the endpoints of a service among which this process chooses, by their indices in
// the list that it was drawn from.
type pool struct {
	from    []directory.Endpoint
	members []int
}

// isOf reports whether a pool was drawn from a list. Lists are never changed, only replaced.
func (p pool) isOf(listed []directory.Endpoint) bool {
	return len(p.from) == len(listed) && (len(listed) == 0 || &p.from[0] == &listed[0])
}

// poolOf returns the pool of a service, drawn anew where its list has changed; c.mu is held.
func (c *Chooser) poolOf(service string, listed []directory.Endpoint) []int {
	p, ok := c.pools[service]
	if !ok || !p.isOf(listed) {
		p = pool{from: listed, members: c.draw(listed)}
		c.pools[service] = p
	}
	return p.members
}

// draw draws a pool from a list.
func (c *Chooser) draw(listed []directory.Endpoint) []int {
	members := make([]subset.Member, len(listed))
	for i := range listed {
		e := &listed[i]
		members[i] = subset.Member{
			ID: e.VM, Near: e.Zone == c.cfg.Zone, Trial: e.Side == placement.NewSide, Out: e.Evacuated || e.Side == placement.HeldSide,
		}
	}
	return subset.Draw(c.cfg.ID, members, c.cfg.PoolSize)
}
