package node

import (
	"context"
	"errors"
	"time"

	"github.com/lotuswing/lotuswing/coord/contract"
	"github.com/lotuswing/lotuswing/coord/leaving"
	"github.com/lotuswing/lotuswing/coord/member"
	"github.com/lotuswing/lotuswing/coord/placement"
	"github.com/lotuswing/lotuswing/coord/reason"
	"github.com/lotuswing/lotuswing/internal/pause"
	"github.com/lotuswing/lotuswing/link"
)

const (
	// homeWait bounds the first answer of a home; zones are milliseconds apart.
	homeWait = 100 * time.Millisecond
	// awaitSlice bounds one call that waits in the home's queue, so that a
	// home that was paused is noticed.
	awaitSlice = 250 * time.Millisecond
	// avoidHome is how long a silent home is not asked again.
	avoidHome = 300 * time.Millisecond
	// lateReport bounds calls that tell a home what is already decided.
	lateReport = time.Second
)

// Acquire gets a grant from the home of the service, waiting as long as the
// patience allows, or chooses alone when no home can be reached.
func (n *Node) Acquire(ctx context.Context, a placement.Request) (placement.Grant, *placement.Refusal) {
	end := time.Now().Add(a.Patience)
	for {
		home, ok := n.snapshot.Load().homes[a.Service]
		if !ok || n.local.isSilent(home.ID, time.Now()) {
			return n.alone(ctx, a, end)
		}
		a.Patience = time.Until(end)
		reply, err := n.askHome(ctx, home, a)
		switch {
		case ctx.Err() != nil:
			go n.cancelAt(home, a)
			return placement.Grant{}, &placement.Refusal{Reason: reason.CallerLeft}
		case errors.Is(err, errMoved) || isRemote(err, errMoved):
			if !n.pauseForMove(ctx, end) {
				return placement.Grant{}, &placement.Refusal{Reason: reason.Expired, RetryAfter: time.Second}
			}
			continue
		case err != nil:
			n.log.Debug("home does not answer", "service", a.Service, "home", home.ID, "error", err)
			n.local.setSilent(home.ID, time.Now().Add(avoidHome))
			go n.check(home)
			go n.cancelAt(home, a)
			return n.alone(ctx, a, end)
		case reply.Kind == contract.Refused:
			return placement.Grant{}, &placement.Refusal{Reason: reply.Reason, RetryAfter: reply.RetryAfter}
		}
		g := placement.Grant{ID: a.ID, Service: a.Service, Endpoint: reply.Endpoint, Home: home.Addr, HomeID: home.ID, Class: a.Class}
		n.local.begin(g)
		return g, nil
	}
}

// pauseForMove gives the fleet a moment to agree on the new home.
func (n *Node) pauseForMove(ctx context.Context, end time.Time) bool {
	pause.For(ctx, tickPeriod)
	return time.Now().Before(end)
}

func (n *Node) askHome(ctx context.Context, home member.Member, a placement.Request) (link.AcquireReply, error) {
	args := link.AcquireArgs{
		Service:   a.Service,
		ID:        a.ID,
		Holder:    n.cfg.Settings.ID,
		Zone:      n.cfg.Settings.Zone,
		Class:     a.Class,
		Patience:  a.Patience,
		Remaining: time.Until(a.Deadline),
		Avoid:     a.Avoid,
	}
	var reply link.AcquireReply
	err := n.call(ctx, home, homeWait, link.Acquire, args, &reply)
	for err == nil && reply.Kind == contract.Queued && ctx.Err() == nil {
		wait := link.AwaitArgs{Service: a.Service, ID: a.ID, Wait: awaitSlice}
		reply = link.AcquireReply{}
		err = n.call(ctx, home, awaitSlice+homeWait, link.Await, wait, &reply)
	}
	return reply, err
}

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

func (n *Node) cancelAt(home member.Member, a placement.Request) {
	args := link.CancelArgs{Service: a.Service, ID: a.ID}
	_ = n.call(context.Background(), home, lateReport, link.Cancel, args, &link.Empty{})
}

// check probes a home that did not answer, without waiting for its turn in the
// heartbeats.
func (n *Node) check(home member.Member) {
	ctx, cancel := context.WithTimeout(context.Background(), lateReport)
	defer cancel()
	if home.ID != n.cfg.Settings.ID {
		n.probe(ctx, home)
	}
}

// Complete ends a grant and tells the home, without keeping the caller.
func (n *Node) Complete(g placement.Grant, e placement.Result) {
	n.local.end(g, e, time.Now())
	if e.Load.Known && e.Load.State == placement.Draining {
		n.MarkLeaving(leaving.Mark{VM: g.Endpoint.VM, Source: leaving.Answer})
	}
	done := link.Done{Service: g.Service, ID: g.ID, VM: g.Endpoint.VM, Outcome: e.Outcome, Took: e.Took, Load: e.Load}
	now, ok := n.snapshot.Load().homes[g.Service]
	if ok {
		n.report(now, done)
	}
	if g.Home != "" && now.ID != g.HomeID { // the home has moved meanwhile
		n.report(member.Member{ID: g.HomeID, Addr: g.Home}, done)
	}
}

// report tells a home how a contract ended.
func (n *Node) report(home member.Member, done link.Done) {
	if home.ID == n.cfg.Settings.ID {
		_ = n.callSelf(link.Complete, done, &link.Empty{})
		return
	}
	go func() { _ = n.call(context.Background(), home, lateReport, link.Complete, done, &link.Empty{}) }()
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
		_ = n.call(ctx, home, lateReport, link.Renew, args, &link.Empty{})
	}
}
