package node

import (
	"context"
	"maps"
	"time"

	"github.com/lotuswing/lotuswing/coord/leaving"
	"github.com/lotuswing/lotuswing/coord/member"
	"github.com/lotuswing/lotuswing/coord/placement"
	"github.com/lotuswing/lotuswing/coord/reason"
	"github.com/lotuswing/lotuswing/coord/rendezvous"
	"github.com/lotuswing/lotuswing/tenant"
	"github.com/lotuswing/lotuswing/vm"
)

// Names of the shared documents.
const (
	configPrefix = "config/"
	vmsName      = "vms"
)

// snapshot is what the request path reads. It is never changed.
type snapshot struct {
	view      member.View
	ids       []string // of all members
	trusted   []string // of those that nobody suspects
	configs   map[string]*tenant.Config
	vms       vm.List
	endpoints map[string][]placement.Endpoint // by tenant/service
	leaving   leaving.Set
	homes     map[string]member.Member // by tenant/service
}

// rebuild makes a new snapshot from the members, the marks and the documents.
func (n *Node) rebuild() {
	n.publishing.Lock()
	defer n.publishing.Unlock()
	old := n.snapshot.Load()
	view, marks := n.members.view()
	next := &snapshot{view: view, leaving: marks, configs: map[string]*tenant.Config{}}
	if old != nil {
		next.configs, next.vms = old.configs, old.vms
	}
	n.publish(next)
	if old != nil {
		n.dropGone(old.view, next.view)
	}
}

// dropGone ends the contracts and connections of members that are gone.
func (n *Node) dropGone(old, next member.View) {
	for _, m := range old.Members {
		if _, still := next.Find(m.ID); !still {
			n.log.Info("peer is gone", "peer", m.ID)
			n.homes.dropHolder(m.ID)
			n.client.Forget(m.Addr)
		}
	}
}

// withConfig puts a tenant's configuration in force.
func (n *Node) withConfig(cfg *tenant.Config) {
	n.publishing.Lock()
	defer n.publishing.Unlock()
	next := *n.snapshot.Load()
	next.configs = map[string]*tenant.Config{cfg.Tenant: cfg}
	for name, c := range n.snapshot.Load().configs {
		if name != cfg.Tenant {
			next.configs[name] = c
		}
	}
	n.publish(&next)
}

// withVMs puts a list of VMs in force and marks those that leave.
func (n *Node) withVMs(list vm.List, now time.Time) {
	n.publishing.Lock()
	defer n.publishing.Unlock()
	next := *n.snapshot.Load()
	next.vms = list
	for _, m := range list.VMs {
		if m.Role == vm.Endpoint && m.State == vm.Leaving {
			n.members.mark(leaving.Mark{VM: m.ID, Source: leaving.List}, now)
		}
	}
	_, next.leaving = n.members.view()
	n.publish(&next)
}

// publish completes a snapshot and puts it in force. n.publishing is held.
func (n *Node) publish(next *snapshot) {
	next.ids = next.view.IDs()
	next.trusted = next.view.Trusted()
	next.endpoints = map[string][]placement.Endpoint{}
	next.homes = map[string]member.Member{}
	for name, cfg := range next.configs {
		for service := range cfg.Services {
			next.addHome(name + "/" + service)
		}
	}
	for _, m := range next.vms.VMs {
		next.addEndpoint(m)
	}
	old := n.snapshot.Swap(next)
	n.homes.update(next)
	if old != nil && !maps.Equal(old.homes, next.homes) {
		go n.renew(context.Background()) // new homes learn what is in flight
	}
}

func (s *snapshot) addHome(key string) {
	if id, ok := rendezvous.First(key, s.trusted); ok {
		s.homes[key], _ = s.view.Find(id)
	}
}

func (s *snapshot) addEndpoint(m vm.VM) {
	cfg, ok := s.configs[m.Tenant]
	if !ok || m.Role != vm.Endpoint {
		return
	}
	key := m.Tenant + "/" + m.Service
	e := placement.Endpoint{VM: m.ID, Addr: m.Addr, Zone: m.Zone, Slots: cfg.Services[m.Service].Slots}
	s.endpoints[key] = append(s.endpoints[key], e)
}

// Route finds where a request belongs among all tenants.
func (n *Node) Route(host, method, path string) (tenant.Route, reason.Code) {
	why := reason.NoTeam
	for _, cfg := range n.snapshot.Load().configs {
		route, code := cfg.Route(host, method, path)
		if code == "" {
			return route, ""
		}
		if code == reason.NoKind {
			why = code
		}
	}
	return tenant.Route{}, why
}

// Service returns the description of a service, and how many balancers share
// its endpoints.
func (n *Node) Service(tenantName, service string) (tenant.Service, int) {
	s := n.snapshot.Load()
	cfg, ok := s.configs[tenantName]
	if !ok {
		return tenant.Service{}, 0
	}
	return cfg.Services[service], max(1, len(s.ids))
}

// Ready says whether the node can serve, and if not, why.
func (n *Node) Ready() (ok bool, why string) {
	s := n.snapshot.Load()
	for _, name := range n.cfg.Settings.Tenants {
		if s.configs[name] == nil {
			return false, "no configuration of tenant " + name + " yet: neither the store nor a peer has given one"
		}
	}
	if s.vms.Revision == 0 {
		return false, "no list of VMs yet"
	}
	if !n.members.isSettled() {
		return false, "no settled peer has answered yet"
	}
	return true, ""
}
