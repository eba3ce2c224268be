package node

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/lotuswing/lotuswing/coord/member"
)

const (
	// handOverFanout is how many members a node that stops tells itself; gossip and the answers of
	// homes that have moved reach the rest.
	handOverFanout = 8
	// newHomesTold is how many of them may be new homes of its services, and seedsTold how many seeds.
	newHomesTold = 4
	seedsTold    = 2
	// releaseWait bounds the giving back of leases.
	releaseWait = time.Second
)

// HandOver announces a planned stop: a few members hear of it at once, the others by gossip or when
// they ask this node as a home. They choose other homes and send nothing new here. Calls already
// waiting here are answered. It takes at most heartbeatWait and releaseWait, however many members
// there are and however many are silent.
func (n *Node) HandOver(ctx context.Context) {
	before := n.snapshot.Load()
	n.members.leave()
	n.rebuild()
	var told sync.WaitGroup
	for _, addr := range n.handOverTargets(before, n.snapshot.Load()) {
		told.Go(func() { n.exchange(ctx, addr) })
	}
	told.Wait()
	n.homes.leave()
	n.releaseMeters(ctx)
}

// handOverTargets returns the addresses of the members that are told of a planned stop: some new homes
// of services that had theirs here, some seeds, and others at random.
func (n *Node) handOverTargets(before, now *snapshot) []string {
	var out []string
	add := func(addr string, limit int) {
		if addr != "" && addr != n.LinkAddr() && len(out) < limit && !slices.Contains(out, addr) {
			out = append(out, addr)
		}
	}
	for service, home := range before.homes {
		if home.ID == n.cfg.Settings.ID {
			add(now.homes[service].Addr, newHomesTold)
		}
	}
	others := slices.DeleteFunc(slices.Clone(now.view.Members), func(m member.Member) bool { return m.ID == n.cfg.Settings.ID })
	seeds := len(out) + seedsTold
	for _, m := range others {
		if slices.Contains(n.cfg.Settings.Peers, m.Addr) {
			add(m.Addr, seeds)
		}
	}
	for _, i := range n.members.shuffled(len(others)) {
		add(others[i].Addr, handOverFanout)
	}
	return out
}

// releaseMeters gives all leases back.
func (n *Node) releaseMeters(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, releaseWait)
	defer cancel()
	var released sync.WaitGroup
	for _, m := range n.meters {
		released.Go(func() { m.release(ctx) })
	}
	released.Wait()
}

// askWhyMoved asks a home that has moved why. A home that stops says so, which can be news here. Of
// concurrent calls one asks.
func (n *Node) askWhyMoved(ctx context.Context, home member.Member) {
	if home.ID == n.cfg.Settings.ID || !n.askingWhy.TryLock() {
		return
	}
	defer n.askingWhy.Unlock()
	n.exchange(ctx, home.Addr)
}
