package node

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
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
	vmListPeriod = 500 * time.Millisecond
	vmListLimit  = 16 << 20    // bytes
	fetchTimeout = time.Second // of a document from a peer, or of the list of VMs
)

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
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
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
