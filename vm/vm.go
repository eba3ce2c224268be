// Package vm parses the platform's list of live and leaving VMs.
//
// The list can be out of date. Balancers learn from it which VMs exist and which are
// leaving, but what an endpoint reports about itself takes precedence.
//
// The package keeps no state. It depends on the JSON format in which the platform
// publishes the list.
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

// Role is what a VM is used for.
type Role string

// Roles of VMs.
const (
	Endpoint Role = "endpoint"
	Balancer Role = "balancer"
)

// State is the state of a VM as reported by the platform.
type State string

// States of VMs.
const (
	Live    State = "live"
	Leaving State = "leaving"
)

// VM is one machine of the list. Its ID is never reused for another machine.
type VM struct {
	ID      string `json:"id"`
	Role    Role   `json:"role"`
	Tenant  string `json:"tenant,omitempty"`
	Service string `json:"service,omitempty"`
	Addr    string `json:"addr"` // of the endpoint's server, or of the balancer's listener for calls from peers
	Zone    string `json:"zone"`
	State   State  `json:"state"`
}

// List is one revision of the platform's list of VMs.
type List struct {
	Revision uint64 `json:"revision"`
	VMs      []VM   `json:"vms"`
}

// Parse decodes a list. It returns an error if the list has no revision, or if a VM
// has no ID, no address, or the ID of another VM in the list.
func Parse(raw []byte) (List, error) {
	var l List
	if err := json.Unmarshal(raw, &l); err != nil {
		return List{}, fmt.Errorf("vm: decode list: %w", err)
	}
	if l.Revision == 0 {
		return List{}, fmt.Errorf("vm: list has no revision")
	}
	seen := map[string]bool{}
	for _, m := range l.VMs {
		if m.ID == "" || m.Addr == "" || seen[m.ID] {
			return List{}, fmt.Errorf("vm: entry %q has no id or no address, or its id is a duplicate", m.ID)
		}
		seen[m.ID] = true
	}
	return l, nil
}
