package limits

import (
	"context"
	"errors"

	"github.com/lotuswing/lotuswing/coord/limit"
)

// Errors of asks that got no reply from an owner.
var (
	errNoOwner  = errors.New("limits: no relay is registered")
	errNotRelay = errors.New("limits: the balancer that was asked is not a relay, or runs an earlier version")
)

// askOwner sends an ask to the owner of an endpoint, which may be this balancer, and returns its
// reply. Without a transport this balancer owns all endpoints.
func (k *Keeper) askOwner(ctx context.Context, e Endpoint, a limit.Ask) (limit.Reply, error) {
	k.mu.Lock()
	c := k.transport
	k.mu.Unlock()
	if c == nil {
		return k.answerAsks(k.cfg.Addr, []limit.Ask{a}, true), nil
	}
	addr, ok := limit.Owner(e.Zone, a.Target, c.LimitOwners())
	switch {
	case !ok:
		return limit.Reply{}, errNoOwner
	case addr == k.cfg.Addr:
		return k.answerAsks(addr, []limit.Ask{a}, c.IsOnlyRelay()), nil
	}
	r, err := c.Ask(ctx, addr, []limit.Ask{a})
	if err == nil && (!r.Taken || len(r.Grants) != 1) {
		err = errNotRelay
	}
	return r, err
}

// reportToOwner sends what the endpoint has said to its owner, if that is news to the owner. k.mu
// must be held.
func (k *Keeper) reportToOwner(e Endpoint, a limit.Answer) {
	if ask, ok := k.limiter.Report(e.target(), a.ReceivedAt); ok {
		go k.ask(context.Background(), e, ask)
	}
}
