package limits

import (
	"context"
	"errors"

	"github.com/lotuswing/lotuswing/coord/limit"
)

// How asking fails.
var (
	errNoOwner  = errors.New("limits: no relay is registered")
	errNotTaken = errors.New("limits: the one that was asked is no relay, or of an earlier version")
)

// carry asks the owner of an endpoint, which may be this balancer itself.
func (k *Keeper) carry(ctx context.Context, e Endpoint, a limit.Ask) (limit.Reply, error) {
	k.mu.Lock()
	c := k.carrier
	k.mu.Unlock()
	if c == nil {
		return k.answer(k.cfg.Addr, []limit.Ask{a}, true), nil
	}
	addr, ok := limit.Owner(e.Zone, a.Target, c.Owners())
	switch {
	case !ok:
		return limit.Reply{}, errNoOwner
	case addr == k.cfg.Addr:
		return k.answer(addr, []limit.Ask{a}, c.InTouch()), nil
	}
	r, err := c.Ask(ctx, addr, []limit.Ask{a})
	if err == nil && (!r.Taken || len(r.Grants) != 1) {
		err = errNotTaken
	}
	return r, err
}

// tell tells an endpoint's owner what the endpoint has said, where that is news for it; k.mu is
// held.
func (k *Keeper) tell(e Endpoint, a limit.Answer) {
	if ask, ok := k.book.Report(e.target(), a.Heard); ok {
		go k.ask(context.Background(), e, ask)
	}
}
