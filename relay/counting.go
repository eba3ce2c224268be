package relay

import (
	"context"
	"errors"
	"time"

	"github.com/lotuswing/lotuswing/coord/limit"
	"github.com/lotuswing/lotuswing/coord/quota"
	"github.com/lotuswing/lotuswing/coord/tally"
	"github.com/lotuswing/lotuswing/coord/warmup"
	"github.com/lotuswing/lotuswing/link"
)

// CountArgs reports the counts that a balancer, or the relay of another zone, keeps with package
// tally, and asks for capacity at endpoints. Package gob sends the names of the fields.
type CountArgs struct {
	Report tally.Report
	From   string      // address of the caller
	Asks   []limit.Ask // requests for capacity at endpoints that the called relay owns
	// Warmups are asks for permits for endpoints in warm-up.
	Warmups []warmup.Ask
}

// CountReply holds the relay's knowledge of the same counts, and the capacity that it grants.
type CountReply struct {
	Answer quota.ReportAnswer
	Limits limit.Reply
	// Warmups are the replies to CountArgs.Warmups, in order.
	Warmups []warmup.Reply
}

// methodCount is the net/rpc name of rpcService.Count.
const methodCount = link.Service + ".Count"

// Count handles the counts and requests of another balancer.
func (r *rpcService) Count(args CountArgs, reply *CountReply) error {
	cfg := r.group.cfg
	if cfg.OnReport != nil && args.Report.From != "" {
		reply.Answer = cfg.OnReport(args.Report)
	}
	if cfg.OnAsk != nil && len(args.Asks) > 0 {
		reply.Limits = cfg.OnAsk(args.From, args.Asks)
	}
	if cfg.OnWarmupAsk != nil {
		for _, a := range args.Warmups[:min(len(args.Warmups), maxWarmupAsks)] {
			reply.Warmups = append(reply.Warmups, cfg.OnWarmupAsk(a))
		}
	}
	return nil
}

// maxWarmupAsks bounds the asks for warm-up permits in one call. A balancer sends one.
const maxWarmupAsks = 16

// errNoRelay is returned by SendReport without an address.
var errNoRelay = errors.New("relay: no relay is followed")

// errNoOwner is returned by AskWarmup if the zone has no registered relay.
var errNoOwner = errors.New("relay: the availability zone has no relay")

// SendReport reports the counts of this balancer, or of its zone, to the balancer at addr and
// returns its answer.
func (g *Group) SendReport(ctx context.Context, addr string, r tally.Report) (quota.ReportAnswer, error) {
	if addr == "" {
		return quota.ReportAnswer{}, errNoRelay
	}
	reply, err := g.count(ctx, addr, CountArgs{Report: r, From: g.cfg.Addr})
	return reply.Answer, err
}

// Ask asks the relay at addr for capacity at endpoints that it owns.
func (g *Group) Ask(ctx context.Context, addr string, asks []limit.Ask) (limit.Reply, error) {
	reply, err := g.count(ctx, addr, CountArgs{From: g.cfg.Addr, Asks: asks})
	return reply.Limits, err
}

// AskWarmup sends an ask for warm-up permits to the relay of the zone, and returns its reply.
func (g *Group) AskWarmup(ctx context.Context, a warmup.Ask) (warmup.Reply, error) {
	owner, ok := g.replica.relay(a.Zone)
	switch {
	case !ok:
		return warmup.Reply{}, errNoOwner
	case owner.Addr == g.cfg.Addr:
		return g.cfg.OnWarmupAsk(a), nil
	}
	reply, err := g.count(ctx, owner.Addr, CountArgs{From: g.cfg.Addr, Warmups: []warmup.Ask{a}})
	if err != nil || len(reply.Warmups) != 1 {
		return warmup.Reply{}, err
	}
	return reply.Warmups[0], nil
}

// count calls Count of the balancer at addr.
func (g *Group) count(ctx context.Context, addr string, args CountArgs) (CountReply, error) {
	ctx, cancel := context.WithTimeout(ctx, g.opts.Wait+g.opts.Slack)
	defer cancel()
	var reply CountReply
	err := g.client.Call(ctx, addr, methodCount, args, &reply)
	return reply, err
}

// FollowedRelay returns the address of the balancer that last answered a call for changes. Before the
// first answer it returns the registered relay that will be asked first, and an empty string if
// there is none, so that counts are reported early: a balancer that has just started serves before
// it follows a relay, and until it is told what is left of a quota it grants part of it again.
func (g *Group) FollowedRelay() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.lastResponder != "" {
		return g.lastResponder
	}
	next, _ := nextRelay(g.replica.allRelays(), Relay{Addr: g.cfg.Addr, Zone: g.cfg.Zone}, g.penalized, g.relayOffset, time.Now())
	return next.Addr
}

// PeerRelays returns the addresses of all registered relays other than this balancer.
func (g *Group) PeerRelays() []string {
	var others []string
	for _, r := range g.replica.allRelays() {
		if r.Addr != g.cfg.Addr {
			others = append(others, r.Addr)
		}
	}
	return others
}

// IsRelay reports whether addr belongs to a registered relay.
func (g *Group) IsRelay(addr string) bool { return g.replica.isRelay(addr) }

// LimitOwners returns the registered relays, each of which owns the limits of its zone's endpoints.
func (g *Group) LimitOwners() []limit.Relay {
	var owners []limit.Relay
	for _, r := range g.replica.allRelays() {
		owners = append(owners, limit.Relay{Zone: r.Zone, Addr: r.Addr})
	}
	return owners
}

// IsOnlyRelay reports whether this balancer is certain to be the only relay of its zone.
func (g *Group) IsOnlyRelay() bool { return g.Tenure(g.cfg.Zone).Contains(time.Now()) }

// RelayZones returns the zones that have a registered relay, sorted.
func (g *Group) RelayZones() []string {
	var zones []string
	for _, r := range g.replica.allRelays() {
		zones = append(zones, r.Zone)
	}
	return zones
}
