package node

import (
	"time"

	"github.com/lotuswing/lotuswing/coord/contract"
	"github.com/lotuswing/lotuswing/coord/leaving"
	"github.com/lotuswing/lotuswing/tenant"
)

// MeasuringStatus is a meter's account for operators.
type MeasuringStatus struct {
	Tenant  string
	Holds   bool
	Spent   time.Duration
	Probes  int64
	Allowed time.Duration // in one second
}

func (m *meter) status(cfg *tenant.Config, now time.Time) MeasuringStatus {
	m.mu.Lock()
	defer m.mu.Unlock()
	st := MeasuringStatus{
		Tenant: m.tenant,
		Holds:  m.account.TermValid(now),
		Spent:  time.Duration(m.spent.Count()) * time.Microsecond,
		Probes: m.probes.Count(),
	}
	if cfg != nil {
		st.Allowed = cfg.Measuring.Limit().Allowed(time.Second)
	}
	return st
}

// Status is a node's account for operators.
type Status struct {
	ID        string
	Zone      string
	Ready     bool
	Why       string `json:",omitempty"`
	Members   []string
	Versions  map[string]uint64
	Rejected  map[string]uint64 `json:",omitempty"`
	Leaving   []leaving.Mark
	Homes     map[string]string
	Services  map[string]contract.Status // of which this node is the home
	Held      int                        // grants in use here
	Measuring []MeasuringStatus
}

// Status returns the account.
func (n *Node) Status() Status {
	s := n.snapshot.Load()
	now := time.Now()
	st := Status{
		ID: n.cfg.Settings.ID, Zone: n.cfg.Settings.Zone, Members: s.ids, Versions: n.replica.Versions(),
		Leaving: s.leaving.Marks(), Homes: map[string]string{}, Services: map[string]contract.Status{}, Rejected: map[string]uint64{},
	}
	st.Ready, st.Why = n.Ready()
	for key, home := range s.homes {
		st.Homes[key] = home.ID
	}
	for service, host := range n.homes.all() {
		st.Services[service] = host.status(n.now())
	}
	for name := range st.Versions {
		if v := n.replica.Rejected(name); v > 0 {
			st.Rejected[name] = v
		}
	}
	for _, name := range n.cfg.Settings.Tenants {
		st.Measuring = append(st.Measuring, n.meters[name].status(s.configs[name], now))
	}
	n.local.mu.Lock()
	st.Held = len(n.local.held)
	n.local.mu.Unlock()
	return st
}
