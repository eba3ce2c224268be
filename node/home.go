package node

import (
	"context"
	"time"

	"github.com/lotuswing/lotuswing/coord/member"
	"github.com/lotuswing/lotuswing/coord/placement"
	"github.com/lotuswing/lotuswing/link"
)

// lateReport bounds calls that tell a home what is already decided.
const lateReport = time.Second

// call calls a method of a member; of this node itself, without the network.
func (n *Node) call(ctx context.Context, m member.Member, bound time.Duration, method string, args, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, bound)
	defer cancel()
	if m.ID == n.cfg.Settings.ID {
		return n.callSelf(method, args, reply)
	}
	return n.client.Call(ctx, m.Addr, method, args, reply)
}

func (n *Node) callSelf(method string, args, reply any) error {
	r := &receiver{n}
	switch method {
	case link.Acquire:
		return r.Acquire(args.(link.AcquireArgs), reply.(*link.AcquireReply))
	case link.Await:
		return r.Await(args.(link.AwaitArgs), reply.(*link.AcquireReply))
	case link.Complete:
		return r.Complete(args.(link.Done), reply.(*link.Empty))
	case link.Cancel:
		return r.Cancel(args.(link.CancelArgs), reply.(*link.Empty))
	case link.Renew:
		return r.Renew(args.(link.RenewArgs), reply.(*link.Empty))
	case link.Unconfirmed:
		return r.Unconfirmed(args.(link.UnconfirmedArgs), reply.(*link.UnconfirmedReply))
	case link.Sign:
		return r.Sign(args.(link.SignArgs), reply.(*link.Empty))
	}
	panic("node: unreachable method " + method)
}

// tell calls a method of a home whose reply is empty. A failure is logged and no
// more: the home's ledger is soft state, which renewals and lapses put right.
func (n *Node) tell(ctx context.Context, home member.Member, bound time.Duration, method string, args any) {
	if err := n.call(ctx, home, bound, method, args, &link.Empty{}); err != nil {
		n.log.Debug("home not told", "method", method, "home", home.ID, "error", err)
	}
}

// cancelAt takes back a request at a home, so that it keeps no slot for it. Where
// that fails, the contract lapses.
func (n *Node) cancelAt(home member.Member, r placement.Request) {
	args := link.CancelArgs{Service: r.Service, ID: r.ID}
	n.tell(context.Background(), home, lateReport, link.Cancel, args)
}

// checkHome checks a home that did not answer, without waiting for its turn in the
// heartbeats.
func (n *Node) checkHome(home member.Member) {
	ctx, cancel := context.WithTimeout(context.Background(), lateReport)
	defer cancel()
	if home.ID != n.cfg.Settings.ID {
		n.checkMember(ctx, home)
	}
}
