package node

import (
	"context"
	"errors"
	"net/rpc"
	"time"

	"github.com/lotuswing/lotuswing/coord/contract"
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
	now := time.Now()
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
	now := time.Now()
	r.node.homes.get(d.Service).do(now, func(l *contract.Ledger) []contract.Decision {
		out := sign(l, now, d.VM, d.Load)
		return append(out, l.Complete(now, d.ID, d.Outcome, d.Took)...)
	})
	return nil
}

// sign tells a ledger what an endpoint said of itself.
func sign(l *contract.Ledger, now time.Time, vm string, load link.Load) []contract.Decision {
	switch {
	case !load.Known:
		return nil
	case load.State == link.Draining:
		l.Leaving(vm)
		return nil
	}
	return l.Sign(now, vm, load.State == link.Cold)
}

// Cancel takes back a request.
func (r *receiver) Cancel(a link.CancelArgs, _ *link.Empty) error {
	r.node.homes.get(a.Service).cancel(time.Now(), a.ID)
	return nil
}

// Renew extends contracts and adopts those that another home granted.
func (r *receiver) Renew(a link.RenewArgs, _ *link.Empty) error {
	now := time.Now()
	r.node.homes.get(a.Service).do(now, func(l *contract.Ledger) []contract.Decision {
		for _, held := range a.Held {
			l.Adopt(now, a.Holder, held.ID, held.VM, held.Class)
			l.Renew(now, []string{held.ID})
		}
		return nil
	})
	return nil
}

// Exchange swaps digests.
func (r *receiver) Exchange(d link.Digest, reply *link.Digest) error {
	r.node.takeIn(d)
	go r.node.fetchNewer(d.From.Addr, d.Versions)
	*reply = r.node.digest()
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

// Offer takes in a document.
func (r *receiver) Offer(a link.OfferArgs, _ *link.Empty) error {
	go r.node.offer(a.Value, "peer")
	return nil
}

// Unconfirmed lists the endpoints worth a measurement.
func (r *receiver) Unconfirmed(a link.UnconfirmedArgs, reply *link.UnconfirmedReply) error {
	now := time.Now()
	r.node.homes.get(a.Service).do(now, func(l *contract.Ledger) []contract.Decision {
		reply.Endpoints = l.Unconfirmed(now, a.Silent)
		return nil
	})
	return nil
}

// Sign notes what an endpoint said of itself.
func (r *receiver) Sign(a link.SignArgs, _ *link.Empty) error {
	now := time.Now()
	r.node.homes.get(a.Service).do(now, func(l *contract.Ledger) []contract.Decision {
		return sign(l, now, a.VM, a.Load)
	})
	return nil
}
