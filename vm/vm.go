// Package vm is the platform's list of live and leaving VMs.
//
// The list lags behind reality: it adds machines and marks them as leaving,
// but what an endpoint says of itself goes before it.
//
// It owns no state and relies on the form in which the platform publishes the list.
//
// # Usage
//
//	list, err := vm.Parse(raw)
//	for _, m := range list.VMs { ... }
package vm

import (
	"encoding/json"
	"fmt"
)

// Role of a VM.
type Role string

// The roles.
const (
	Endpoint Role = "endpoint"
	Balancer Role = "balancer"
)

// State of a VM as the platform sees it.
type State string

// The states.
const (
	Live    State = "live"
	Leaving State = "leaving"
)

// VM is one machine. Its ID is never used again for another machine.
type VM struct {
	ID      string `json:"id"`
	Role    Role   `json:"role"`
	Tenant  string `json:"tenant,omitempty"`
	Service string `json:"service,omitempty"`
	Addr    string `json:"addr"` // where an endpoint serves, or a balancer's link listens
	Zone    string `json:"zone"`
	State   State  `json:"state"`
}

// List is one revision of the list.
type List struct {
	Revision uint64 `json:"revision"`
	VMs      []VM   `json:"vms"`
}

// Parse decodes and checks a list.
func Parse(raw []byte) (List, error) {
	var l List
	if err := json.Unmarshal(raw, &l); err != nil {
		return List{}, fmt.Errorf("vm: %w", err)
	}
	if l.Revision == 0 {
		return List{}, fmt.Errorf("vm: list has no revision")
	}
	seen := map[string]bool{}
	for _, m := range l.VMs {
		if m.ID == "" || m.Addr == "" || seen[m.ID] {
			return List{}, fmt.Errorf("vm: entry %q has no id, no address, or stands twice", m.ID)
		}
		seen[m.ID] = true
	}
	return l, nil
}
