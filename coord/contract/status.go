package contract

import (
	"slices"
	"time"

	"github.com/lotuswing/lotuswing/coord/placement"
)

// Status is a snapshot of a ledger for operators.
type Status struct {
	Endpoints []EndpointStatus
	Waiting   map[string]int // by class
	Typical   map[string]time.Duration
}

// EndpointStatus is a snapshot of one endpoint.
type EndpointStatus struct {
	placement.Endpoint
	InFlight int
	Capacity int
	Slowness float64
	State    string // live, unconfirmed, slow, cold, trial, ejected or leaving
}

// Status returns a snapshot.
func (l *Ledger) Status(now time.Time) Status {
	st := Status{Waiting: map[string]int{}, Typical: map[string]time.Duration{}}
	for c := range placement.Classes {
		st.Waiting[c.String()] = l.queues[c].len()
		st.Typical[c.String()] = l.serviceTimes[c].typical()
	}
	for _, s := range l.order {
		st.Endpoints = append(st.Endpoints, EndpointStatus{
			Endpoint: s.Endpoint,
			InFlight: len(s.held),
			Capacity: s.capacity(now, l.opts),
			Slowness: s.health.Slowness(),
			State:    l.stateName(now, s),
		})
	}
	return st
}

func (l *Ledger) stateName(now time.Time, s *account) string {
	switch {
	case s.leaving:
		return "leaving"
	case s.health.Ejected(now):
		return "ejected"
	case s.health.OnTrial(now):
		return "trial"
	case s.cold:
		return "cold"
	}
	return [...]string{tierGood: "live", tierUnconfirmed: "unconfirmed", tierBooked: "live", tierSlow: "slow"}[s.tier(now, l.opts, l.median)]
}

// Unconfirmed returns the endpoints with nothing in flight that have shown no
// sign of staying for the given time, the longest silent first. They are the
// ones worth a measurement.
func (l *Ledger) Unconfirmed(now time.Time, silent time.Duration) []placement.Endpoint {
	var out []*account
	for _, s := range l.order {
		excluded := s.leaving || s.health.Ejected(now) // gets nothing, whatever a probe says
		if !excluded && len(s.held) == 0 && now.Sub(s.lastSign) >= silent {
			out = append(out, s)
		}
	}
	sortBySign(out)
	list := make([]placement.Endpoint, len(out))
	for i, s := range out {
		list[i] = s.Endpoint
	}
	return list
}

// Views returns how the endpoints look to a request at now.
func (l *Ledger) Views(now time.Time, r Request) []EndpointView {
	views := make([]EndpointView, len(l.order))
	for i, s := range l.order {
		views[i] = EndpointView{
			VM: s.VM, State: l.stateName(now, s), InFlight: len(s.held), Free: s.free(now, l.opts),
			Cost: s.cost(r.Zone, l.opts), Avoided: slices.Contains(r.Avoid, s.VM),
		}
	}
	return views
}
