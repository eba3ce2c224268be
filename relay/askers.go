package relay

import (
	"cmp"
	"context"
	"maps"
	"time"
)

// askerTTL is how long a balancer counts as an asker after it requested changes.
const askerTTL = 2 * time.Second

// askers are the balancers that requested changes from this one within the last askerTTL. The zero
// value is empty. It is not safe for concurrent use.
type askers struct {
	lastAsked map[string]time.Time // time of the last call, by address
	pathsLost map[string]bool      // by address: its last call said that it has lost its paths to endpoints
	prunedAt  time.Time            // when expired askers were last removed
	inTouch   string               // address of the last asker that was in touch with the store
	inTouchAt time.Time            // when that asker reported it
}

// record records a request for changes and reports whether its sender is in touch with the store.
// Requests of an earlier version, which carry no address, are ignored.
func (a *askers) record(args ChangesArgs, now time.Time) bool {
	if args.From == "" {
		return false
	}
	if a.lastAsked == nil {
		a.lastAsked, a.pathsLost = map[string]time.Time{}, map[string]bool{}
	}
	a.lastAsked[args.From] = now
	if args.PathsLost {
		a.pathsLost[args.From] = true
	} else {
		delete(a.pathsLost, args.From)
	}
	if now.Sub(a.prunedAt) >= askerTTL {
		a.prunedAt = now
		maps.DeleteFunc(a.lastAsked, func(_ string, at time.Time) bool { return now.Sub(at) >= askerTTL })
		maps.DeleteFunc(a.pathsLost, func(addr string, _ bool) bool { return a.lastAsked[addr].IsZero() })
	}
	switch {
	case args.InTouch:
		a.inTouch, a.inTouchAt = args.From, now
	case a.inTouch == args.From:
		a.inTouch = ""
	}
	return args.InTouch
}

// lastInTouch returns the address of the asker that was the last to report that it is in touch with
// the store. It is empty if that asker has withdrawn the report or not repeated it for askerTTL.
func (a *askers) lastInTouch(now time.Time) string {
	if now.Sub(a.inTouchAt) >= askerTTL {
		return ""
	}
	return a.inTouch
}

// withPaths returns the addresses of the askers that have not lost their paths to endpoints.
func (a *askers) withPaths(now time.Time) []string {
	list := make([]string, 0, len(a.lastAsked))
	for addr, at := range a.lastAsked {
		if now.Sub(at) < askerTTL && !a.pathsLost[addr] {
			list = append(list, addr)
		}
	}
	return list
}

// recordAsker records a request for changes. If its sender is in touch with the store, recordAsker
// wakes the calls that wait for this balancer to become settled, so that they are referred to the
// sender.
func (g *Group) recordAsker(args ChangesArgs, now time.Time) {
	g.mu.Lock()
	callerInTouch := g.askers.record(args, now)
	g.mu.Unlock()
	if callerInTouch {
		g.wakeSettleWaiters()
	}
}

// askerInTouch is askers.lastInTouch under the lock.
func (g *Group) askerInTouch(now time.Time) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.askers.lastInTouch(now)
}

// unsettledReply returns the reply of this balancer while it is not settled: whether it lost the
// store, and which balancer to ask instead. That is an asker in touch with the store, the relay
// that this balancer follows or, while it starts, the relay that it will ask next.
func (g *Group) unsettledReply(now time.Time) ChangesReply {
	lost := g.follower.Active() // it watches the store but is not settled
	g.mu.Lock()
	defer g.mu.Unlock()
	alternative := cmp.Or(g.askers.lastInTouch(now), g.currentRelay.Addr)
	if alternative == "" && g.starting.Load() {
		next, _ := nextRelay(g.replica.allRelays(), Relay{Addr: g.cfg.Addr, Zone: g.cfg.Zone}, g.penalized, g.relayOffset, now)
		alternative = next.Addr
	}
	return ChangesReply{StoreLost: lost, Askers: len(g.askers.lastAsked), Instead: alternative}
}

// waitSettled waits for at most limit until this balancer is settled or knows changes that the caller does not,
// until another balancer than the caller has reported that it is in touch with the store, or until news reports
// true.
func (g *Group) waitSettled(args ChangesArgs, limit time.Duration, news func() bool) {
	g.settleWaiters.Add(1)
	defer g.settleWaiters.Add(-1)
	deadline := time.Now().Add(limit)
	for now := time.Now(); now.Before(deadline); now = time.Now() {
		alternative := g.askerInTouch(now)
		known, _ := g.replica.revision()
		if g.follower.UpToDate(now) || known > args.After || alternative != "" && alternative != args.From || news() {
			return
		}
		g.replica.waitChange(context.Background(), deadline.Sub(now))
	}
}

// OnAnswer wakes the calls that wait for this balancer to become settled, because the store has
// answered. Pass it to the follower as its OnAnswer option.
func (g *Group) OnAnswer() { g.wakeSettleWaiters() }

// OnFailure wakes all waiting calls if a failed call to the store has left this balancer unsettled.
// Calls that wait for changes then return at once, not at the end of their wait, because the callers
// must get changes elsewhere in the meantime. Pass it to the follower as its OnFailure option.
func (g *Group) OnFailure() {
	if !g.follower.UpToDate(time.Now()) {
		g.replica.wakeWaiters()
	}
}

// wakeSettleWaiters makes the calls that wait for this balancer to become settled check again.
func (g *Group) wakeSettleWaiters() {
	if g.settleWaiters.Load() > 0 {
		g.replica.wakeWaiters()
	}
}
