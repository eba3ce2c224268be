package node

import (
	"context"
	"errors"
	"time"

	"github.com/lotuswing/lotuswing/coord/contract"
	"github.com/lotuswing/lotuswing/coord/member"
	"github.com/lotuswing/lotuswing/coord/placement"
	"github.com/lotuswing/lotuswing/coord/reason"
	"github.com/lotuswing/lotuswing/internal/pause"
	"github.com/lotuswing/lotuswing/link"
)

const (
	// homeWait bounds the first answer of a home; zones are milliseconds apart.
	homeWait = 100 * time.Millisecond
	// awaitSlice bounds one call that waits in the home's queue, so that a home that was paused
	// is noticed.
	awaitSlice = 250 * time.Millisecond
	// avoidHome is how long a silent home is not asked again.
	avoidHome = 300 * time.Millisecond
	// defaultRetryAfter is when a caller may come back where nothing better is known.
	defaultRetryAfter = time.Second
)

// Acquire gets a grant from the home of the service, waiting as long as the
// patience allows, or chooses alone while no home can be reached. A request that
// found only busy endpoints alone goes back to the queue of a home that can be
// reached again: endpoints shed what is sent to them beside the home's grants.
func (n *Node) Acquire(ctx context.Context, r placement.Request) (placement.Grant, *placement.Refusal) {
	end := time.Now().Add(r.Patience)
	for {
		home, ok := n.snapshot.Load().homes[r.Service]
		if !ok || n.local.isSilent(home.ID, time.Now()) {
			g, refusal, decided := n.alone(ctx, r, end)
			if decided {
				return g, refusal
			}
			r.Avoid = nil // another may have had time to recover
			continue
		}
		r.Patience = time.Until(end)
		reply, err := n.askHome(ctx, home, r)
		switch {
		case ctx.Err() != nil:
			go n.cancelAt(home, r)
			return placement.Grant{}, &placement.Refusal{Reason: reason.CallerLeft}
		case errors.Is(err, errMoved) || isRemote(err, errMoved):
			n.askWhyMoved(ctx, home)
			if !n.pauseForMove(ctx, end) {
				return placement.Grant{}, &placement.Refusal{Reason: reason.Expired, RetryAfter: defaultRetryAfter}
			}
			continue
		case err != nil:
			n.log.Debug("home does not answer", "service", r.Service, "home", home.ID, "error", err)
			n.local.setSilent(home.ID, time.Now().Add(avoidHome))
			go n.checkHome(home)
			go n.cancelAt(home, r)
			continue // the home may have moved: calls that wait at one that stops are cut
		case reply.Kind == contract.Refused:
			return placement.Grant{}, &placement.Refusal{Reason: reply.Reason, RetryAfter: reply.RetryAfter}
		}
		g := placement.Grant{ID: r.ID, Service: r.Service, Endpoint: reply.Endpoint, HomeAddr: home.Addr, HomeID: home.ID, Class: r.Class}
		n.local.begin(g)
		return g, nil
	}
}

// pauseForMove gives the fleet a moment to agree on the new home.
func (n *Node) pauseForMove(ctx context.Context, end time.Time) bool {
	pause.For(ctx, tickPeriod)
	return time.Now().Before(end)
}

func (n *Node) askHome(ctx context.Context, home member.Member, r placement.Request) (link.AcquireReply, error) {
	args := link.AcquireArgs{
		Service:   r.Service,
		ID:        r.ID,
		Holder:    n.cfg.Settings.ID,
		Zone:      n.cfg.Settings.Zone,
		Class:     r.Class,
		Patience:  r.Patience,
		Remaining: time.Until(r.Deadline),
		Avoid:     r.Avoid,
	}
	var reply link.AcquireReply
	err := n.call(ctx, home, homeWait, link.Acquire, args, &reply)
	for err == nil && reply.Kind == contract.Queued && ctx.Err() == nil {
		wait := link.AwaitArgs{Service: r.Service, ID: r.ID, Wait: awaitSlice}
		reply = link.AcquireReply{}
		err = n.call(ctx, home, awaitSlice+homeWait, link.Await, wait, &reply)
	}
	return reply, err
}
