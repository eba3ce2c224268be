package limits

import (
	"cmp"
	"slices"
	"time"

	"github.com/lotuswing/lotuswing/coord/limit"
)

// Status is what operators see of the limit of one endpoint. The field names are also the JSON
// names.
type Status struct {
	Endpoint string
	Service  string `json:",omitempty"` // empty if this balancer has not got an answer from the endpoint
	Zone     string `json:",omitempty"`
	State    string // named or lifted
	limit.Status
	Owner string // link address of the balancer that owns the endpoint; empty if there is none, or no Transport
	Owns  bool   // this balancer is the owner
}

// List returns the status of all endpoints that have named a limit, ordered by service and ID.
func (k *Keeper) List(now time.Time) []Status {
	k.mu.Lock()
	defer k.mu.Unlock()
	list := []Status{}
	for _, t := range k.limiter.Targets() {
		list = append(list, k.statusOf(t, now))
	}
	slices.SortFunc(list, func(a, b Status) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Endpoint, b.Endpoint))
	})
	return list
}

// statusOf returns the status of one endpoint. k.mu must be held.
func (k *Keeper) statusOf(t limit.Target, now time.Time) Status {
	e := k.endpointOf(t)
	st := Status{Endpoint: e.ID, Service: e.Service, Zone: e.Zone, State: stateName(k.limiter.Observation(t)), Status: k.limiter.Status(t, now)}
	if k.transport == nil {
		st.Owns = true
		return st
	}
	st.Owner, _ = limit.Owner(e.Zone, t, k.transport.LimitOwners())
	st.Owns = st.Owner == k.cfg.Addr
	return st
}

// Limited returns the number of endpoints with a limit at now.
func (k *Keeper) Limited(now time.Time) int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.limiter.Limited(now)
}
