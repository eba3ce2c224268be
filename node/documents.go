package node

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/lotuswing/lotuswing/coord/document"
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
	fetchTimeout = time.Second // of a document from a peer, or of the list of VMs
)

// offer puts a document into force if it is newer and, if so, passes it on. Peers
// that it does not reach hear of its version in heartbeats.
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
		if err := n.client.Call(ctx, addr, link.Offer, link.OfferArgs{Value: v}, &link.Empty{}); err != nil {
			n.log.Debug("document not offered", "name", v.Name, "addr", addr, "error", err)
		}
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

// fetchNewer gets the documents of which a peer has a higher version and
// reports whether all of them arrived.
func (n *Node) fetchNewer(addr string, versions map[string]uint64) bool {
	all := true
	for name, version := range versions {
		if !n.replica.Wants(name, version) {
			continue
		}
		ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
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
