package node

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/lotuswing/lotuswing/coord/document"
	"github.com/lotuswing/lotuswing/coord/leaving"
	"github.com/lotuswing/lotuswing/coord/member"
	"github.com/lotuswing/lotuswing/coord/rendezvous"
	"github.com/lotuswing/lotuswing/coord/store"
	"github.com/lotuswing/lotuswing/link"
	"github.com/lotuswing/lotuswing/tenant"
	"github.com/lotuswing/lotuswing/vm"
)

const (
	watchers     = 2 // balancers that watch the store for one document
	watchWait    = 2 * time.Second
	watchPause   = 250 * time.Millisecond
	vmListPeriod = 500 * time.Millisecond
	vmListLimit  = 16 << 20
	vmTimeout    = time.Second
	alone        = 3 * time.Second // after which a balancer that finds no settled peer serves
)

// heartbeat exchanges digests with a few peers, chosen in turn. The number of
// messages does not depend on the size of the fleet.
func (n *Node) heartbeat(ctx context.Context) {
	n.mu.Lock()
	changed := n.table.Tick(time.Now())
	var targets []member.Member
	for range heartbeatFanout {
		if m, ok := n.table.Next(n.rng); ok {
			targets = append(targets, m)
		}
	}
	n.mu.Unlock()
	if changed {
		n.rebuild()
	}
	for _, m := range targets {
		if !n.exchange(ctx, m.Addr) && !n.reachThroughOthers(ctx, m) {
			n.unreachable(m)
		}
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
	if !knowsPeers && listed && len(seeds) == 0 || time.Since(n.started) > alone {
		n.settle()
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
	if err := n.client.Call(ctx, addr, link.Exchange, n.digest(), &reply); err != nil {
		n.log.Debug("heartbeat failed", "addr", addr, "error", err)
		return false
	}
	n.takeIn(reply)
	if n.fetchNewer(reply.From.Addr, reply.Versions) && reply.Settled {
		n.settle()
	}
	return true
}

// settle notes that this node has the versions of the fleet, so that what it
// reads from a lagging store cannot bring an older one back into force.
func (n *Node) settle() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.settled = true
}

func (n *Node) digest() link.Digest {
	n.mu.Lock()
	defer n.mu.Unlock()
	return link.Digest{
		From:     n.table.Self(),
		Members:  n.table.Digest(),
		Leaving:  n.marks.Marks(),
		Versions: n.replica.Versions(),
		Settled:  n.settled,
	}
}

func (n *Node) knows(id string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.table.Knows(id)
}

func (n *Node) allMembers() []member.Member {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.table.All()
}

const (
	// forgetPeriod is between two looks for marks that are no longer needed.
	forgetPeriod = time.Minute
	// keepMarks is how long a mark travels after its VM has left the list:
	// longer than any list lags.
	keepMarks = 10 * time.Minute
)

// forget drops the marks of VMs that the list has not named for long.
func (n *Node) forget(context.Context) {
	listed := map[string]bool{}
	for _, m := range n.snapshot.Load().vms.VMs {
		listed[m.ID] = true
	}
	n.mu.Lock()
	before := n.marks.Len()
	n.marks = n.marks.Forget(time.Now().Add(-keepMarks), func(vm string) bool { return listed[vm] })
	changed := n.marks.Len() != before
	n.mu.Unlock()
	if changed {
		n.rebuild()
	}
}

// takeIn merges what a peer said of members and leaving endpoints.
func (n *Node) takeIn(d link.Digest) {
	now := time.Now()
	n.mu.Lock()
	changed := n.table.Heard(now, d.From)
	changed = n.table.Merge(now, d.Members) || changed
	marks, fresh := n.marks.Merge(d.Leaving, now)
	n.marks = marks
	n.mu.Unlock()
	if changed || len(fresh) > 0 {
		n.rebuild()
	}
}

// fetchNewer gets the documents of which a peer has a higher version and
// reports whether all of them arrived.
func (n *Node) fetchNewer(addr string, versions map[string]uint64) bool {
	all := true
	for name, version := range versions {
		if !n.replica.Wants(name, version) {
			continue
		}
		ctx, cancel := context.WithTimeout(context.Background(), vmTimeout)
		var reply link.FetchReply
		err := n.client.Call(ctx, addr, link.Fetch, link.FetchArgs{Name: name}, &reply)
		cancel()
		if err != nil || !reply.Found {
			all = false
			continue
		}
		n.offer(reply.Value, "peer "+addr)
	}
	return all
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
	n.mu.Lock()
	changed := n.table.Unreachable(time.Now(), m.ID)
	n.mu.Unlock()
	n.client.Forget(m.Addr)
	if changed {
		n.rebuild()
		n.log.Info("peer is suspected", "peer", m.ID, "addr", m.Addr)
		go n.toSomePeers(func(ctx context.Context, addr string) { n.exchange(ctx, addr) })
	}
}

// MarkLeaving notes that an endpoint is leaving and tells a few peers at once;
// heartbeats carry the mark to the rest.
func (n *Node) MarkLeaving(m leaving.Mark) {
	n.mu.Lock()
	known := n.marks.Has(m.VM)
	n.marks = n.marks.With(m, time.Now())
	n.mu.Unlock()
	if known {
		return
	}
	n.log.Info("endpoint is leaving", "vm", m.VM, "source", string(m.Source))
	n.rebuild()
	go n.toSomePeers(func(ctx context.Context, addr string) { n.exchange(ctx, addr) })
}

// toSomePeers calls f for a few members chosen at random.
func (n *Node) toSomePeers(f func(ctx context.Context, addr string)) {
	n.mu.Lock()
	members := n.snapshot.Load().view.Members
	order := n.rng.Perm(len(members))
	n.mu.Unlock()
	told := 0
	for _, i := range order {
		if members[i].ID == n.cfg.Settings.ID {
			continue
		}
		ctx, cancel := context.WithTimeout(context.Background(), 2*heartbeatWait)
		f(ctx, members[i].Addr)
		cancel()
		if told++; told == offerFanout {
			return
		}
	}
}

// offer takes in a document and, if it was new, passes it on.
func (n *Node) offer(v document.Value, source string) {
	changed, err := n.replica.Offer(v, n.putInForce)
	if err != nil {
		n.log.Error("document rejected; the last good version stays", "name", v.Name, "version", v.Version, "source", source, "error", err)
		return
	}
	if !changed {
		return
	}
	n.log.Info("document in force", "name", v.Name, "version", v.Version, "source", source)
	go n.toSomePeers(func(ctx context.Context, addr string) {
		_ = n.client.Call(ctx, addr, link.Offer, link.OfferArgs{Value: v}, &link.Empty{})
	})
}

// putInForce checks a document and makes it part of the snapshot.
func (n *Node) putInForce(v document.Value) error {
	if v.Name == vmsName {
		list, err := vm.Parse(v.Raw)
		if err != nil {
			return err
		}
		n.withVMs(list, time.Now())
		return nil
	}
	doc, err := document.Parse(v.Raw)
	if err != nil {
		return err
	}
	cfg, err := tenant.Parse(fmt.Sprintf("%s@%d", v.Name, v.Version), doc.Body)
	if err != nil {
		return err
	}
	if configPrefix+cfg.Tenant != v.Name {
		return fmt.Errorf("node: document of tenant %q under the name %q", cfg.Tenant, v.Name)
	}
	n.withConfig(cfg)
	return nil
}

// watch waits for a change of a tenant's document in the store, if this
// balancer is one of the few that do, and otherwise leaves the store alone.
func (n *Node) watch(ctx context.Context, tenantName string) {
	name := configPrefix + tenantName
	current, have := n.replica.Get(name)
	if have && !n.isWatcher(name) {
		return
	}
	entry, err := n.store.Get(ctx, name)
	if err == nil && have && !n.newer(entry, current) {
		entry, err = n.store.Watch(ctx, name, entry.Revision, watchWait)
	}
	if err != nil {
		if !errors.Is(err, store.ErrNotFound) && ctx.Err() == nil {
			n.log.Debug("store does not answer", "name", name, "error", err)
		}
		return
	}
	doc, err := document.Parse(entry.Value)
	if err != nil {
		n.log.Error("store holds an unreadable document", "name", name, "error", err)
		return
	}
	n.offer(document.Value{Name: name, Version: doc.Version, Raw: entry.Value}, "store")
}

// newer reports whether an entry of the store has a version above the present.
func (n *Node) newer(entry store.Entry, current document.Value) bool {
	doc, err := document.Parse(entry.Value)
	return err == nil && n.replica.Wants(current.Name, doc.Version)
}

func (n *Node) isWatcher(name string) bool {
	ranked := rendezvous.Rank("watch/"+name, n.snapshot.Load().ids)
	for _, id := range ranked[:min(watchers, len(ranked))] {
		if id == n.cfg.Settings.ID {
			return true
		}
	}
	return false
}

// pollVMs reads the platform's list, if this balancer is one of the few.
func (n *Node) pollVMs(ctx context.Context) {
	if _, have := n.replica.Get(vmsName); have && !n.isWatcher(vmsName) {
		return
	}
	raw, err := n.readVMs(ctx)
	if err != nil {
		n.log.Debug("list of VMs not read", "error", err)
		return
	}
	list, err := vm.Parse(raw)
	if err != nil {
		n.log.Error("list of VMs unreadable", "error", err)
		return
	}
	n.offer(document.Value{Name: vmsName, Version: list.Revision, Raw: raw}, "platform")
}

func (n *Node) readVMs(ctx context.Context) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, vmTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, n.cfg.Settings.Store.VMs, nil)
	if err != nil {
		return nil, fmt.Errorf("node: %w", err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, fmt.Errorf("node: %w", err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("node: list of VMs: status %s", resp.Status)
	}
	raw, err := io.ReadAll(io.LimitReader(resp.Body, vmListLimit))
	if err != nil {
		return nil, fmt.Errorf("node: list of VMs: %w", err)
	}
	return raw, nil
}
