package node

import (
	"context"
	"time"

	"github.com/lotuswing/lotuswing/coord/contract"
	"github.com/lotuswing/lotuswing/coord/member"
	"github.com/lotuswing/lotuswing/coord/placement"
	"github.com/lotuswing/lotuswing/link"
)

// Complete ends a grant and tells the home, without keeping the caller.
func (n *Node) Complete(g placement.Grant, r placement.Result) {
	n.local.end(g, r, time.Now())
	done := link.Done{Service: g.Service, ID: g.ID, VM: g.Endpoint.VM, Outcome: r.Outcome, Took: r.Took, Load: r.Load, Backoff: r.Backoff}
	home, ok := n.snapshot.Load().homes[g.Service]
	if ok {
		n.report(home, done)
	}
	if g.HomeAddr != "" && home.ID != g.HomeID { // the home has moved meanwhile
		n.report(member.Member{ID: g.HomeID, Addr: g.HomeAddr}, done)
	}
}

// report tells a home how a contract ended, without keeping the caller.
func (n *Node) report(home member.Member, done link.Done) {
	if home.ID == n.cfg.Settings.ID {
		n.tell(context.Background(), home, lateReport, link.Complete, done) // a call without the network
		return
	}
	go n.tell(context.Background(), home, lateReport, link.Complete, done)
}

// renew extends the grants in use with the home that the fleet now sees.
func (n *Node) renew(ctx context.Context) {
	s := n.snapshot.Load()
	byService := map[string][]contract.Held{}
	n.local.mu.Lock()
	for _, g := range n.local.held {
		byService[g.Service] = append(byService[g.Service], contract.Held{ID: g.ID, VM: g.Endpoint.VM, Class: g.Class})
	}
	n.local.mu.Unlock()
	for service, held := range byService {
		home, ok := s.homes[service]
		if !ok {
			continue
		}
		args := link.RenewArgs{Service: service, Holder: n.cfg.Settings.ID, Held: held}
		n.tell(ctx, home, lateReport, link.Renew, args)
	}
}
