package relay

import (
	"context"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/lotuswing/lotuswing/coord/reach"
	"github.com/lotuswing/lotuswing/link"
)

const (
	// maxCarriers is the number of balancers that a relay names as carriers. A balancer asks few
	// carriers at a time, and each balancer is named others.
	maxCarriers = 6
	// otherRelays is the number of relays of other zones that are asked for carriers.
	otherRelays = 2
)

// CarriersArgs asks a relay for balancers that may carry connections to endpoints. Package gob sends
// the names of the fields.
type CarriersArgs struct {
	From string // address of the caller, which is not named
}

// CarriersReply is the answer to CarriersArgs.
type CarriersReply struct {
	Addrs []string
}

// methodCarriers is the net/rpc name of rpcService.Carriers.
const methodCarriers = link.Service + ".Carriers"

// Carriers returns balancers that may carry connections to endpoints.
func (r *rpcService) Carriers(args CarriersArgs, reply *CarriersReply) error {
	reply.Addrs = r.group.localCarriers(args.From, time.Now())
	return nil
}

// localCarriers returns some of the balancers that follow this one and have not lost their paths to
// endpoints, and this balancer under the same condition, except the one at asker.
func (g *Group) localCarriers(asker string, now time.Time) []string {
	g.mu.Lock()
	list := g.askers.withPaths(now)
	g.mu.Unlock()
	if !g.pathsLost() {
		list = append(list, g.cfg.Addr)
	}
	list = slices.DeleteFunc(list, func(addr string) bool { return addr == asker })
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(maxCarriers, len(list))]
}

// pathsLost reports whether this balancer has lost its paths to all endpoints.
func (g *Group) pathsLost() bool { return g.cfg.PathsLost != nil && g.cfg.PathsLost() }

// Carriers returns balancers that may carry connections to endpoints for this one. It asks the relay of
// its own zone, relays of some other zones and, if there is no relay, the seeds.
func (g *Group) Carriers(ctx context.Context) []reach.Carrier {
	near, others := g.carrierSources()
	found := newCarrierList(g.cfg.Addr)
	var calls sync.WaitGroup
	for _, addr := range near {
		calls.Go(func() { found.add(g.carriersAt(ctx, addr), true) })
	}
	for _, addr := range others {
		calls.Go(func() { found.add(g.carriersAt(ctx, addr), false) })
	}
	calls.Wait()
	return found.carriers()
}

// carrierSources returns the balancers to ask for carriers: those of this balancer's zone, and others.
func (g *Group) carrierSources() (near, others []string) {
	for _, r := range g.replica.allRelays() {
		if r.Zone == g.cfg.Zone {
			near = append(near, r.Addr)
		} else {
			others = append(others, r.Addr)
		}
	}
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	others = others[:min(otherRelays, len(others))]
	if len(near)+len(others) == 0 {
		others = slices.DeleteFunc(slices.Clone(g.cfg.Seeds), func(addr string) bool { return addr == g.cfg.Addr })
	}
	return near, others
}

// carriersAt returns the carriers that a balancer names. One that does not answer names none.
func (g *Group) carriersAt(ctx context.Context, addr string) []string {
	if addr == g.cfg.Addr {
		return g.localCarriers(addr, time.Now())
	}
	var reply CarriersReply
	if err := g.client.Call(ctx, addr, methodCarriers, CarriersArgs{From: g.cfg.Addr}, &reply); err != nil {
		g.cfg.Log.Debug("no carriers named", "relay", addr, "error", err)
		return nil
	}
	return reply.Addrs[:min(maxCarriers, len(reply.Addrs))]
}

// carrierList collects carriers that several balancers name. It is safe for concurrent use.
type carrierList struct {
	own  string // address that is left out
	mu   sync.Mutex
	list []reach.Carrier
}

func newCarrierList(own string) *carrierList { return &carrierList{own: own} }

// add adds carriers that are not in the list yet.
func (c *carrierList) add(addrs []string, near bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, addr := range addrs {
		known := slices.ContainsFunc(c.list, func(k reach.Carrier) bool { return k.Addr == addr })
		if addr != c.own && !known {
			c.list = append(c.list, reach.Carrier{Addr: addr, Near: near})
		}
	}
}

// carriers returns what was added.
func (c *carrierList) carriers() []reach.Carrier {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.list)
}

// OpenStream opens a stream to another balancer.
func (g *Group) OpenStream(ctx context.Context, addr string) (net.Conn, error) {
	return g.client.OpenStream(ctx, addr)
}
