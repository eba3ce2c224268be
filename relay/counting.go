package relay

import (
	"context"
	"errors"
	"time"

	"github.com/lotuswing/lotuswing/coord/limit"
	"github.com/lotuswing/lotuswing/coord/quota"
	"github.com/lotuswing/lotuswing/coord/tally"
	"github.com/lotuswing/lotuswing/link"
)

// CountArgs tells a relay what a balancer, or the relay of another zone, has counted.
// Package gob sends the names of the fields.
type CountArgs struct {
	Report tally.Report
	From   string      // link address of the one that asks
	Asks   []limit.Ask // for room at endpoints that the relay owns
}

// CountReply says what the relay knows of the same counts, and what it lets the asker send.
type CountReply struct {
	Answer quota.Answer
	Limits limit.Reply
}

// methodCount is the name under which net/rpc knows receiver.Count.
const methodCount = link.Service + ".Count"

// Count takes what another balancer has counted.
func (r *receiver) Count(args CountArgs, reply *CountReply) error {
	cfg := r.group.cfg
	if cfg.OnReport != nil && args.Report.From != "" {
		reply.Answer = cfg.OnReport(args.Report)
	}
	if cfg.OnAsk != nil && len(args.Asks) > 0 {
		reply.Limits = cfg.OnAsk(args.From, args.Asks)
	}
	return nil
}

// errNoRelay says that no relay is followed just now.
var errNoRelay = errors.New("relay: no relay is followed")

// Count tells a balancer what this one, or its zone, has counted.
func (g *Group) Count(ctx context.Context, addr string, r tally.Report) (quota.Answer, error) {
	if addr == "" {
		return quota.Answer{}, errNoRelay
	}
	reply, err := g.count(ctx, addr, CountArgs{Report: r, From: g.cfg.Addr})
	return reply.Answer, err
}

// Ask asks a relay for room at endpoints that it owns.
func (g *Group) Ask(ctx context.Context, addr string, asks []limit.Ask) (limit.Reply, error) {
	reply, err := g.count(ctx, addr, CountArgs{From: g.cfg.Addr, Asks: asks})
	return reply.Limits, err
}

// count calls Count at another balancer.
func (g *Group) count(ctx context.Context, addr string, args CountArgs) (CountReply, error) {
	ctx, cancel := context.WithTimeout(ctx, g.opts.Wait+g.opts.Slack)
	defer cancel()
	var reply CountReply
	err := g.client.Call(ctx, addr, methodCount, args, &reply)
	return reply, err
}

// Followed returns the address of the balancer that last answered a question for changes and,
// before any has, that of the registered relay that will be asked first; empty for none. A
// balancer that has just started serves before it follows anybody, and until it is told what
// is left of a quota it gives out some of it anew.
func (g *Group) Followed() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.asked != "" {
		return g.asked
	}
	next, _ := nextRelay(g.replica.allRelays(), Relay{Addr: g.cfg.Addr, Zone: g.cfg.Zone}, g.penalized, g.turn, time.Now())
	return next.Addr
}

// Others returns the addresses of the registered relays but this balancer's own.
func (g *Group) Others() []string {
	var others []string
	for _, r := range g.replica.allRelays() {
		if r.Addr != g.cfg.Addr {
			others = append(others, r.Addr)
		}
	}
	return others
}

// IsRelay reports whether an address is that of a registered relay.
func (g *Group) IsRelay(addr string) bool { return g.replica.isRelay(addr) }

// Owners returns the registered relays, each of which owns the limits of its zone's endpoints.
func (g *Group) Owners() []limit.Relay {
	var owners []limit.Relay
	for _, r := range g.replica.allRelays() {
		owners = append(owners, limit.Relay{Zone: r.Zone, Addr: r.Addr})
	}
	return owners
}

// InTouch reports whether this balancer hears of the store's present state.
func (g *Group) InTouch() bool { return g.follower.Settled(time.Now()) }

// RelayZones returns the zones that have a registered relay, in order.
func (g *Group) RelayZones() []string {
	var zones []string
	for _, r := range g.replica.allRelays() {
		zones = append(zones, r.Zone)
	}
	return zones
}
