package relay

import (
	"context"
	"time"

	"github.com/lotuswing/lotuswing/bootstrap"
	"github.com/lotuswing/lotuswing/link"
)

// ChangesArgs asks a relay for what changed after a revision. It answers after
// Wait at the latest. Package gob sends the names of the fields.
type ChangesArgs struct {
	After uint64
	Wait  time.Duration
}

// ChangesReply tells it.
type ChangesReply struct {
	Settled bool   // the relay follows the store and is up to date
	Whole   bool   // the records are all there are
	At      uint64 // revision up to which the relay knows all changes
	Packed  []byte // records of the store, see packer; empty for none
}

// methodChanges is the name under which net/rpc knows receiver.Changes.
const methodChanges = link.Service + ".Changes"

// methodCopy is the name under which net/rpc knows receiver.Copy.
const methodCopy = link.Service + ".Copy"

// maxWait bounds how long a call waits for changes, whatever it asks for.
const maxWait = 30 * time.Second

// receiver answers other balancers, in the form that net/rpc asks for.
type receiver struct{ group *Group }

// Changes waits for changes and tells them.
func (r *receiver) Changes(args ChangesArgs, reply *ChangesReply) error {
	g := r.group
	if !g.follower.Settled(time.Now()) {
		return nil
	}
	g.replica.waitAfter(context.Background(), args.After, min(args.Wait, maxWait))
	d := g.replica.since(args.After)
	packed, err := g.packer.pack(d)
	if err != nil {
		return err
	}
	*reply = ChangesReply{Settled: g.follower.Settled(time.Now()), Whole: d.whole, At: d.at, Packed: packed}
	return nil
}

// Copy hands everything that is known to a balancer that starts.
func (r *receiver) Copy(args bootstrap.CopyArgs, reply *bootstrap.CopyReply) error {
	answer, err := r.group.giver.Answer(context.Background(), args)
	if err != nil {
		return err
	}
	*reply = answer
	return nil
}
