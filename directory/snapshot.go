package directory

import (
	"cmp"
	"slices"
)

// Snapshot is what the request path reads. It is never changed.
type Snapshot struct {
	Config    *Config               // nil until one is known
	Endpoints map[string][]Endpoint // by service, in order of identity: listed ones, and missing ones while nearly all are; see Endpoint.Usable
	Known     int                   // endpoints that are listed, of services that are configured
	Rollouts  []Rollout             // of versions that come in, or have, in the order of the services
	Shares    map[string]float64    // by service, the part of the requests for the version that comes in, where one does
	Evacuated []string              // availability zones that are being emptied, in order; their endpoints are not usable
	At        uint64                // revision up to which all changes are known
}

// Find returns an endpoint of a service that is listed, or missing while nearly all are.
func (s *Snapshot) Find(service, id string) (*Endpoint, bool) {
	list := s.Endpoints[service]
	i, ok := slices.BinarySearchFunc(list, id, func(e Endpoint, id string) int { return cmp.Compare(e.VM, id) })
	if !ok {
		return nil, false
	}
	return &list[i], true
}
