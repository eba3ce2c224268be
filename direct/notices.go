package direct

import (
	"cmp"
	"slices"
	"time"

	"github.com/lotuswing/lotuswing/directory"
)

// EndpointNotice is what operators see of an endpoint that is leaving, or that has asked balancers
// to send no requests for a while. The field names are also the JSON names.
type EndpointNotice struct {
	Endpoint string
	Service  string
	Zone     string
	Leaving  bool          // as announced by the endpoint or the store, or because another instance answers at its address
	Backoff  time.Duration // time left of the backoff that it requested from this balancer; 0 for none
	Slow     bool          // it is in its slow start after a backoff
	Hint     time.Duration // time left of the backoff that another balancer published; 0 for none
}

// EndpointNotices returns the endpoints that are leaving, backing off or in slow start, by service
// and ID.
func (c *Chooser) EndpointNotices(now time.Time) []EndpointNotice {
	list := []EndpointNotice{}
	for _, e := range c.cfg.Directory.Leaving() {
		list = append(list, EndpointNotice{Endpoint: e.VM, Service: e.Service, Zone: e.Zone, Leaving: true})
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, endpoints := range c.cfg.Directory.Snapshot().Endpoints {
		for i := range endpoints {
			if notice, found := c.noticeOf(&endpoints[i], now); found {
				list = append(list, notice)
			}
		}
	}
	slices.SortFunc(list, func(a, b EndpointNotice) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Endpoint, b.Endpoint))
	})
	return list
}

// noticeOf returns the backoff, slow start and published backoff of a listed endpoint, and whether
// it has any of these; c.mu must be held.
func (c *Chooser) noticeOf(e *directory.Endpoint, now time.Time) (notice EndpointNotice, found bool) {
	state, ok := c.endpoints[e.VM]
	if !ok || state.start != e.Start {
		return EndpointNotice{}, false
	}
	s := state.admission
	notice = EndpointNotice{
		Endpoint: e.VM, Service: e.Service, Zone: e.Zone,
		Backoff: max(0, s.BackoffUntil().Sub(now)), Slow: s.SlowStart(now), Hint: max(0, s.HintedUntil().Sub(now)),
	}
	if s.BackoffUntil().IsZero() {
		notice.Backoff = 0
	}
	if s.HintedUntil().IsZero() {
		notice.Hint = 0
	}
	return notice, notice.Backoff > 0 || notice.Slow || notice.Hint > 0
}

// BackingOffCount returns the number of endpoints that are backing off from this balancer.
func (c *Chooser) BackingOffCount(now time.Time) int {
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
