package node

import (
	"context"
	"time"

	"github.com/lotuswing/lotuswing/coord/leaving"
)

const (
	// forgetPeriod is between two looks for marks that are no longer needed.
	forgetPeriod = time.Minute
	// keepMarks is how long a mark travels after its VM has left the list:
	// longer than any list lags.
	keepMarks = 10 * time.Minute
)

// MarkLeaving notes that an endpoint is leaving and tells a few peers at once;
// heartbeats carry the mark to the rest.
func (n *Node) MarkLeaving(m leaving.Mark) {
	if !n.members.mark(m, time.Now()) {
		return
	}
	n.log.Info("endpoint is leaving", "vm", m.VM, "source", string(m.Source))
	n.rebuild()
	go n.toSomePeers(func(ctx context.Context, addr string) { n.exchange(ctx, addr) })
}

// forget drops the marks of VMs that the list has not named for long.
func (n *Node) forget(context.Context) {
	listed := map[string]bool{}
	for _, m := range n.snapshot.Load().vms.VMs {
		listed[m.ID] = true
	}
	if n.members.forgetMarks(time.Now().Add(-keepMarks), listed) {
		n.rebuild()
	}
}
