package relay

import (
	"context"

	"github.com/lotuswing/lotuswing/bootstrap"
	"github.com/lotuswing/lotuswing/directory"
)

// Begin brings a first copy of what the store holds into force, from other balancers
// or from the store; give it to the follower.
func (g *Group) Begin(ctx context.Context) {
	first := bootstrap.New(bootstrap.Config{
		Self: bootstrap.Peer{Addr: g.cfg.Addr, Zone: g.cfg.Zone}, Seeds: g.cfg.Seeds, Cores: g.cfg.Cores,
		State: firstState{g}, Store: g.follower, Peers: firstPeers{g}, Giver: g.giver,
		Log: g.cfg.Log.Named("bootstrap"), Options: g.opts.Bootstrap,
	}).Run(ctx)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.first = first
}

// copyGiver returns the balancer that handed the first copy on, if one did.
func (g *Group) copyGiver() (Relay, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	from := g.first.From
	return Relay{ID: from, Addr: from}, from != "" && from != bootstrap.FromStore
}

// firstState is the group's replica as package bootstrap sees it.
type firstState struct{ group *Group }

// Known is closed as soon as a first copy is in force.
func (s firstState) Known() <-chan struct{} { return s.group.replica.known }

// Partly is closed as soon as a part is known that is enough to serve, or everything.
func (s firstState) Partly() <-chan struct{} { return s.group.replica.partly }

// Part returns such a part.
func (s firstState) Part() []directory.Record { return s.group.replica.part() }

// Whole reports whether a part would be everything, or nearly.
func (s firstState) Whole() bool { return s.group.replica.isSmall() }

// ApplyPart brings a part of what another balancer knew into force.
func (s firstState) ApplyPart(records []directory.Record) {
	changes := s.group.cfg.Decoder.Decode(records, 0, false)
	changes.Part = true
	s.group.follower.Apply(changes)
}

// Records returns everything, with the revision up to which all is known.
func (s firstState) Records() ([]directory.Record, uint64) {
	d := s.group.replica.since(0)
	return d.records, d.at
}

// Apply brings everything that another balancer knew into force.
func (s firstState) Apply(records []directory.Record, at uint64) {
	s.group.follower.Apply(s.group.cfg.Decoder.Decode(records, at, true))
}

// Relays returns the registered relays.
func (s firstState) Relays() []bootstrap.Peer {
	var peers []bootstrap.Peer
	for _, r := range s.group.replica.allRelays() {
		peers = append(peers, bootstrap.Peer{Addr: r.Addr, Zone: r.Zone})
	}
	return peers
}

// firstPeers asks other balancers over the group's links.
type firstPeers struct{ group *Group }

// Copy asks the balancer at addr for its copy.
func (p firstPeers) Copy(ctx context.Context, addr string, args bootstrap.CopyArgs) (bootstrap.CopyReply, error) {
	var reply bootstrap.CopyReply
	err := p.group.client.Call(ctx, addr, methodCopy, args, &reply)
	return reply, err
}
