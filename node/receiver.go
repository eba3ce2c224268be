package node

import (
	"context"
	"errors"
	"net/rpc"
	"time"

	"github.com/lotuswing/lotuswing/coord/contract"
	"github.com/lotuswing/lotuswing/coord/placement"
	"github.com/lotuswing/lotuswing/link"
)

// receiver answers the peers' calls; net/rpc wants exported methods of this
// form.
type receiver struct {
	node *Node
}

// isRemote reports whether err is the peer's form of a local error.
func isRemote(err, want error) bool {
	var answered rpc.ServerError
	return errors.As(err, &answered) && string(answered) == want.Error()
}

// Acquire decides about a request.
func (r *receiver) Acquire(a link.AcquireArgs, reply *link.AcquireReply) error {
	now := r.node.now()
	d, err := r.node.homes.get(a.Service).acquire(now, contract.Request{
		ID:        a.ID,
		Holder:    a.Holder,
		Zone:      a.Zone,
		Class:     a.Class,
		WaitUntil: now.Add(a.Patience),
		Deadline:  now.Add(a.Remaining),
		Avoid:     a.Avoid,
	})
	if err != nil {
		return err
	}
	*reply = replyOf(d)
	return nil
}

// Await waits for the decision about a queued request.
func (r *receiver) Await(a link.AwaitArgs, reply *link.AcquireReply) error {
	d, err := r.node.homes.get(a.Service).await(context.Background(), a.ID, min(a.Wait, awaitSlice))
	if err != nil {
		return err
	}
	*reply = replyOf(d)
	return nil
}

func replyOf(d contract.Decision) link.AcquireReply {
	return link.AcquireReply{Kind: d.Kind, Endpoint: d.Endpoint, Reason: d.Reason, RetryAfter: d.RetryAfter}
}

// Complete ends a contract.
func (r *receiver) Complete(d link.Done, _ *link.Empty) error {
	h := r.node.homes.get(d.Service)
	now := r.node.now()
	applyLoad(h, now, d.VM, d.Load)
	if d.Backoff > 0 { // before its slot is granted again
		h.apply(contract.Step{At: now, Op: contract.OpBackoff, VM: d.VM, For: d.Backoff})
	}
	h.apply(contract.Step{At: now, Op: contract.OpComplete, ID: d.ID, Outcome: d.Outcome, Took: d.Took})
	return nil
}

// applyLoad tells a ledger what an endpoint said of itself.
func applyLoad(h *host, now time.Time, vm string, load placement.LoadReport) {
	switch {
	case !load.Known:
	case load.State == placement.Draining:
		h.apply(contract.Step{At: now, Op: contract.OpLeaving, VM: vm})
	default:
		h.apply(contract.Step{At: now, Op: contract.OpSign, VM: vm, Cold: load.State == placement.Cold})
	}
}

// Cancel takes back a request.
func (r *receiver) Cancel(a link.CancelArgs, _ *link.Empty) error {
	r.node.homes.get(a.Service).cancel(time.Now(), a.ID)
	return nil
}

// Renew extends contracts and adopts those that another home granted.
func (r *receiver) Renew(a link.RenewArgs, _ *link.Empty) error {
	r.node.homes.get(a.Service).apply(contract.Step{At: r.node.now(), Op: contract.OpRenew, Holder: a.Holder, Held: a.Held})
	return nil
}

// Exchange swaps digests.
func (r *receiver) Exchange(d link.Digest, reply *link.Digest) error {
	joins := !r.node.members.knows(d.From.ID)
	r.node.merge(d)
	go r.node.fetchNewer(d.From.Addr, d.Versions)
	*reply = r.node.members.digest(r.node.replica.Versions)
	if joins {
		reply.Members = r.node.members.all()
	}
	return nil
}

// Reach tries a member for a peer that cannot reach it.
func (r *receiver) Reach(a link.ReachArgs, _ *link.Empty) error {
	if !r.node.exchange(context.Background(), a.Addr) {
		return errors.New("node: not reached either")
	}
	return nil
}

// Fetch returns a document.
func (r *receiver) Fetch(a link.FetchArgs, reply *link.FetchReply) error {
	reply.Value, reply.Found = r.node.replica.Get(a.Name)
	return nil
}

// Offer puts a document into force, if it is newer.
func (r *receiver) Offer(a link.OfferArgs, _ *link.Empty) error {
	go r.node.offer(a.Value, "peer")
	return nil
}

// Unconfirmed lists the endpoints worth a measurement.
func (r *receiver) Unconfirmed(a link.UnconfirmedArgs, reply *link.UnconfirmedReply) error {
	reply.Endpoints = r.node.homes.get(a.Service).unconfirmed(r.node.now(), a.Silent)
	return nil
}

// Sign notes what an endpoint said of itself.
func (r *receiver) Sign(a link.SignArgs, _ *link.Empty) error {
	applyLoad(r.node.homes.get(a.Service), r.node.now(), a.VM, a.Load)
	return nil
}
