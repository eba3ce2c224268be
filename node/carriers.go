package node

import (
	"context"
	"math/rand/v2"
	"net"
	"time"

	"github.com/lotuswing/lotuswing/coord/reach"
)

// maxCarriers is the number of members that are named as carriers.
const maxCarriers = 12

// Carriers returns members that may carry connections to endpoints for this balancer.
func (n *Node) Carriers(context.Context) []reach.Carrier {
	s := n.snapshot.Load()
	list := make([]reach.Carrier, 0, len(s.trusted))
	for _, id := range s.trusted {
		if m, ok := s.view.Find(id); ok && id != n.cfg.Settings.ID {
			list = append(list, reach.Carrier{Addr: m.Addr, Near: m.Zone == n.cfg.Settings.Zone})
		}
	}
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(maxCarriers, len(list))]
}

// OpenStream opens a stream to another balancer.
func (n *Node) OpenStream(ctx context.Context, addr string) (net.Conn, error) {
	return n.client.OpenStream(ctx, addr)
}

// CountEndpoints returns the number of endpoints of a service that do not leave.
func (n *Node) CountEndpoints(service string, _ time.Time) (count int) {
	s := n.snapshot.Load()
	for _, e := range s.endpoints[service] {
		if !s.leaving.Has(e.VM) {
			count++
		}
	}
	return count
}

// FindEndpoint returns the service of the endpoint at an address, and false if there is none or it
// leaves.
func (n *Node) FindEndpoint(addr string, _ time.Time) (service string, ok bool) {
	s := n.snapshot.Load()
	for service, list := range s.endpoints {
		for _, e := range list {
			if e.Addr == addr {
				return service, !s.leaving.Has(e.VM)
			}
		}
	}
	return "", false
}
