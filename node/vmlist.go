package node

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/lotuswing/lotuswing/coord/document"
	"github.com/lotuswing/lotuswing/vm"
)

const (
	vmListPeriod = 500 * time.Millisecond
	vmListLimit  = 16 << 20 // bytes
)

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
	defer func() { _ = resp.Body.Close() }() // read to its end, or given up
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("node: list of VMs: status %s", resp.Status)
	}
	raw, err := io.ReadAll(io.LimitReader(resp.Body, vmListLimit))
	if err != nil {
		return nil, fmt.Errorf("node: list of VMs: %w", err)
	}
	return raw, nil
}
