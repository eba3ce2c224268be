package relay

import (
	"context"
	"time"

	"github.com/lotuswing/lotuswing/bootstrap"
	"github.com/lotuswing/lotuswing/directory"
)

// Bootstrap obtains a first copy of the store's content from other balancers or from the store, and
// applies it. Pass it to the follower as its Bootstrap option.
func (g *Group) Bootstrap(ctx context.Context) {
	bootstrapResult := bootstrap.New(bootstrap.Config{
		Self: bootstrap.Peer{Addr: g.cfg.Addr, Zone: g.cfg.Zone}, Seeds: g.cfg.Seeds, Cores: g.cfg.Cores,
		State: bootstrapState{g}, Store: g.follower, Peers: bootstrapPeers{g}, Server: g.copyServer,
		Log: g.cfg.Log.Named("bootstrap"), Options: g.opts.Bootstrap,
	}).Run(ctx)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.bootstrapResult = bootstrapResult
}

// bootstrapSource returns the balancer that provided the first copy, and false if the store did or
// there is none yet.
func (g *Group) bootstrapSource() (Relay, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	from := g.bootstrapResult.Source
	return Relay{ID: from, Addr: from}, from != "" && from != bootstrap.FromStore
}

// bootstrapState implements bootstrap.State on the group's replica.
type bootstrapState struct{ group *Group }

// Complete returns a channel that is closed once a complete copy has been applied.
func (s bootstrapState) Complete() <-chan struct{} { return s.group.replica.complete }

// Servable returns a channel that is closed once enough is known to serve requests.
func (s bootstrapState) Servable() <-chan struct{} { return s.group.replica.servable }

// Part returns the records that a balancer needs to begin to serve.
func (s bootstrapState) Part() []directory.Record { return s.group.replica.part() }

// PartIsComplete reports whether the content is complete and so small that a part would be nearly all of it.
func (s bootstrapState) PartIsComplete() bool { return s.group.replica.isSmall() }

// ApplyPart applies a partial copy from another balancer.
func (s bootstrapState) ApplyPart(records []directory.Record) {
	changes := s.group.cfg.Decoder.Decode(records, 0, false)
	changes.Partial, changes.Via = true, directory.ViaCopy
	s.group.follower.Apply(changes)
}

// Records returns all records and the revision up to which all changes are known.
func (s bootstrapState) Records() ([]directory.Record, uint64) {
	d := s.group.replica.since(0)
	return d.records, d.knownRevision
}

// Apply applies a complete copy from another balancer.
func (s bootstrapState) Apply(records []directory.Record, at uint64) {
	changes := s.group.cfg.Decoder.Decode(records, at, true)
	changes.Via = directory.ViaCopy
	s.group.follower.Apply(changes)
}

// Relays returns the registered relays.
func (s bootstrapState) Relays() []bootstrap.Peer {
	var peers []bootstrap.Peer
	for _, r := range s.group.replica.allRelays() {
		peers = append(peers, bootstrap.Peer{Addr: r.Addr, Zone: r.Zone, ByUrgency: r.ByUrgency})
	}
	return peers
}

// bootstrapPeers implements bootstrap.Peers over the group's connections.
type bootstrapPeers struct{ group *Group }

// Copy calls the balancer at addr for its copy.
func (p bootstrapPeers) Copy(ctx context.Context, addr string, connect time.Duration, args bootstrap.CopyArgs) (bootstrap.CopyReply, error) {
	var reply bootstrap.CopyReply
	if connect > 0 {
		if err := p.group.client.Connect(ctx, addr, connect); err != nil {
			return reply, err
		}
	}
	err := p.group.client.Call(ctx, addr, methodCopy, args, &reply)
	return reply, err
}
