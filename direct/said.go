package direct

import (
	"cmp"
	"slices"
	"time"

	"github.com/lotuswing/lotuswing/directory"
)

// Said is what operators are told of an endpoint that has said that it leaves, or wants no requests
// for a while. Its names are the JSON's.
type Said struct {
	Endpoint string
	Service  string
	Zone     string
	Leaving  bool          // it leaves, by its own word, by the store's or because another instance has its place
	Backoff  time.Duration // for how much longer it wants no request from this balancer
	Slow     bool          // it gets requests again little by little
	Hint     time.Duration // for how much longer it wants none from another balancer, as that one told
}

// Said returns what endpoints have said, by service and identity.
func (c *Chooser) Said(now time.Time) []Said {
	list := []Said{}
	for _, e := range c.cfg.Directory.Leaving() {
		list = append(list, Said{Endpoint: e.VM, Service: e.Service, Zone: e.Zone, Leaving: true})
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, endpoints := range c.cfg.Directory.Snapshot().Endpoints {
		for i := range endpoints {
			if said, anything := c.saidBy(&endpoints[i], now); anything {
				list = append(list, said)
			}
		}
	}
	slices.SortFunc(list, func(a, b Said) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Endpoint, b.Endpoint))
	})
	return list
}

// saidBy returns what a listed endpoint has said, and whether that is anything; c.mu is held.
func (c *Chooser) saidBy(e *directory.Endpoint, now time.Time) (said Said, anything bool) {
	known, ok := c.endpoints[e.VM]
	if !ok || known.start != e.Start {
		return Said{}, false
	}
	s := known.admission
	said = Said{
		Endpoint: e.VM, Service: e.Service, Zone: e.Zone,
		Backoff: max(0, s.Until().Sub(now)), Slow: s.SlowStart(now), Hint: max(0, s.HintedUntil().Sub(now)),
	}
	if s.Until().IsZero() {
		said.Backoff = 0
	}
	if s.HintedUntil().IsZero() {
		said.Hint = 0
	}
	return said, said.Backoff > 0 || said.Slow || said.Hint > 0
}

// BackingOff returns how many endpoints want no requests from this balancer.
func (c *Chooser) BackingOff(now time.Time) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, e := range c.endpoints {
		if e.admission.BackingOff(now) {
			n++
		}
	}
	return n
}
