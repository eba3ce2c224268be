package limits

import (
	"cmp"
	"slices"
	"time"

	"github.com/lotuswing/lotuswing/coord/limit"
)

// Status is what operators are told of an endpoint that has named a limit. Its names are the
// JSON's.
type Status struct {
	Endpoint string
	Service  string `json:",omitempty"` // empty where this balancer has never sent there
	Zone     string `json:",omitempty"`
	State    string // named or lifted
	limit.Status
	Owner string // link address of the balancer that keeps its bucket; empty for none, or for this one alone
	Owns  bool   // this balancer is that one
}

// List returns what is known of all endpoints that have named a limit, by service and identity.
func (k *Keeper) List(now time.Time) []Status {
	k.mu.Lock()
	defer k.mu.Unlock()
	list := []Status{}
	for _, t := range k.book.Targets() {
		list = append(list, k.statusOf(t, now))
	}
	slices.SortFunc(list, func(a, b Status) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Endpoint, b.Endpoint))
	})
	return list
}

// statusOf returns what is known of one; k.mu is held.
func (k *Keeper) statusOf(t limit.Target, now time.Time) Status {
	e := k.endpointOf(t)
	st := Status{Endpoint: e.ID, Service: e.Service, Zone: e.Zone, State: stateOf(k.book.Observation(t)), Status: k.book.Status(t, now)}
	if k.carrier == nil {
		st.Owns = true
		return st
	}
	st.Owner, _ = limit.Owner(e.Zone, t, k.carrier.Owners())
	st.Owns = st.Owner == k.cfg.Addr
	return st
}

// Limited returns how many endpoints have a limit now.
func (k *Keeper) Limited(now time.Time) int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.book.Limited(now)
}
