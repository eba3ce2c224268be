package node

import (
	"context"
	"time"

	"github.com/lotuswing/lotuswing/coord/member"
	"github.com/lotuswing/lotuswing/link"
	"github.com/lotuswing/lotuswing/vm"
)

// settleAlone is after which time a balancer that finds no settled peer serves.
const settleAlone = 3 * time.Second

// heartbeat exchanges digests with a few peers, chosen in turn. The number of
// messages does not depend on the size of the fleet.
func (n *Node) heartbeat(ctx context.Context) {
	changed, targets := n.members.tick(time.Now(), heartbeatFanout)
	if changed {
		n.rebuild()
	}
	for _, m := range targets {
		n.checkMember(ctx, m)
	}
	n.meetSeeds(ctx, len(targets) > 0)
}

// meetSeeds finds peers from settings and the list of VMs while none is known.
// With none to be found, or none that has settled itself, the node settles
// alone after a while.
func (n *Node) meetSeeds(ctx context.Context, knowsPeers bool) {
	seeds := n.seeds()
	if !knowsPeers {
		for _, addr := range seeds {
			n.exchange(ctx, addr)
		}
	}
	listed := n.snapshot.Load().vms.Revision > 0
	if !knowsPeers && listed && len(seeds) == 0 || time.Since(n.started) > settleAlone {
		n.members.settle()
	}
}

func (n *Node) seeds() []string {
	self := n.cfg.Listener.Addr().String()
	var out []string
	for _, addr := range n.cfg.Settings.Peers {
		if addr != self {
			out = append(out, addr)
		}
	}
	for _, m := range n.snapshot.Load().vms.VMs {
		if m.Role == vm.Balancer && m.State == vm.Live && m.Addr != self && m.ID != n.cfg.Settings.ID {
			out = append(out, m.Addr)
		}
	}
	return out
}

// exchange swaps digests with one peer and reports whether it answered.
func (n *Node) exchange(ctx context.Context, addr string) bool {
	ctx, cancel := context.WithTimeout(ctx, heartbeatWait)
	defer cancel()
	var reply link.Digest
	if err := n.client.Call(ctx, addr, link.Exchange, n.members.digest(n.replica.Versions), &reply); err != nil {
		n.log.Debug("heartbeat failed", "addr", addr, "error", err)
		return false
	}
	n.merge(reply)
	if n.fetchNewer(reply.From.Addr, reply.Versions) && reply.Settled {
		n.members.settle()
	}
	return true
}

// merge merges what a peer said of members and leaving endpoints.
func (n *Node) merge(d link.Digest) {
	if n.members.merge(d, time.Now()) {
		n.rebuild()
	}
}

// checkMember exchanges digests with a member, and suspects it when neither this node
// nor others reach it.
func (n *Node) checkMember(ctx context.Context, m member.Member) {
	if !n.exchange(ctx, m.Addr) && !n.reachThroughOthers(ctx, m) {
		n.unreachable(m)
	}
}

// reachThroughOthers asks two other members, at the same time, to try one that
// did not answer.
func (n *Node) reachThroughOthers(ctx context.Context, target member.Member) bool {
	ctx, cancel := context.WithTimeout(ctx, 2*heartbeatWait)
	defer cancel()
	var helpers []string
	for _, m := range n.snapshot.Load().view.Members {
		if m.ID != target.ID && m.ID != n.cfg.Settings.ID && len(helpers) < heartbeatFanout {
			helpers = append(helpers, m.Addr)
		}
	}
	reached := make(chan bool, len(helpers))
	for _, addr := range helpers {
		go func() {
			err := n.client.Call(ctx, addr, link.Reach, link.ReachArgs{Addr: target.Addr}, &link.Empty{})
			reached <- err == nil
		}()
	}
	for range helpers {
		if <-reached {
			return true
		}
	}
	return false
}

func (n *Node) unreachable(m member.Member) {
	changed := n.members.unreachable(m.ID, time.Now())
	n.client.Forget(m.Addr)
	if changed {
		n.rebuild()
		n.log.Info("peer is suspected", "peer", m.ID, "addr", m.Addr)
		go n.toSomePeers(func(ctx context.Context, addr string) { n.exchange(ctx, addr) })
	}
}

// toSomePeers calls f for a few members chosen at random.
func (n *Node) toSomePeers(f func(ctx context.Context, addr string)) {
	members := n.snapshot.Load().view.Members
	called := 0
	for _, i := range n.members.shuffled(len(members)) {
		if members[i].ID == n.cfg.Settings.ID {
			continue
		}
		ctx, cancel := context.WithTimeout(context.Background(), 2*heartbeatWait)
		f(ctx, members[i].Addr)
		cancel()
		if called++; called == offerFanout {
			return
		}
	}
}
