package directory

import (
	"cmp"
	"slices"
)

// Snapshot is the immutable copy that the request path reads.
type Snapshot struct {
	Config      *Config               // nil until one is applied
	Endpoints   map[string][]Endpoint // by service, sorted by identity: listed ones, and missing ones while more than three quarters are missing; see Endpoint.Usable
	ListedCount int                   // number of listed endpoints of configured services
	Rollouts    []Rollout             // the latest of each service, sorted by service
	Shares      map[string]float64    // share of the requests for the version being rolled out, by service; only services with such a share
	Evacuated   []string              // evacuated availability zones, sorted; their endpoints are not usable
	Revision    uint64                // revision up to which all changes are applied
}

// Find returns the endpoint of a service with the given identity, if it is in the snapshot.
func (s *Snapshot) Find(service, id string) (*Endpoint, bool) {
	list := s.Endpoints[service]
	i, ok := slices.BinarySearchFunc(list, id, func(e Endpoint, id string) int { return cmp.Compare(e.VM, id) })
	if !ok {
		return nil, false
	}
	return &list[i], true
}
