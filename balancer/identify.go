package balancer

import (
	"context"
	"fmt"
	"time"

	"github.com/go-kit/kit/endpoint"
	"github.com/lotuswing/lotuswing/access"
	"github.com/lotuswing/lotuswing/coord/placement"
	"github.com/lotuswing/lotuswing/coord/reason"
)

// identify finds the team whose key the caller sends, where the configuration has teams. The
// key goes no further than this: what is kept of it is a digest.
func (b *Balancer) identify(next endpoint.Endpoint) endpoint.Endpoint {
	return func(ctx context.Context, request any) (any, error) {
		x := request.(*exchange)
		if table := b.teams(); table != nil {
			x.keyed = true
			if err := b.admit(x, table, time.Now()); err != nil {
				return nil, err
			}
		}
		return next(ctx, x)
	}
}

// teams returns the teams of the configuration in force; nil where callers need no keys.
func (b *Balancer) teams() *access.Table {
	if b.cfg.Access == nil {
		return nil
	}
	return b.cfg.Access.Teams()
}

// admit lets a request in by the key that it carries. A route that needs none takes a key
// that a team holds for what it is, and passes over any other one.
func (b *Balancer) admit(x *exchange, table *access.Table, now time.Time) error {
	key, err := access.Bearer(x.r.Header)
	public := x.route.Kind.Public
	switch {
	case err != nil && public:
		return nil
	case err != nil:
		return refusal{reason: reason.KeyRefused, message: err.Error()}
	}
	digest := access.DigestOf(key)
	team, standing := table.Find(digest)
	if standing == access.Held {
		x.key, x.team = digest, team.Name
		return nil
	}
	if public {
		return nil
	}
	return b.refuseKey(digest, standing, now)
}

// refuseKey returns the refusal of a key that no team holds.
func (b *Balancer) refuseKey(digest access.Digest, s access.Standing, now time.Time) error {
	since := b.doubts.Since(digest, now)
	message := fmt.Sprintf("key with the salted digest %s", digest)
	if access.Judge(s, since, b.cfg.KeysWithin, b.cfg.Access.InTouch(now), now) == access.ComeBack {
		return refusal{reason: reason.KeyUnknown, message: message, retryAfter: b.cfg.KeysWithin}
	}
	return refusal{reason: reason.KeyRefused, message: message}
}

// stillHeld checks once more, when a request is about to be sent, that its team holds the
// key: it may have waited for room meanwhile.
func (b *Balancer) stillHeld(x *exchange, now time.Time) error {
	if x.team == "" {
		return nil
	}
	team, standing := b.teams().Find(x.key)
	switch {
	case standing == access.Held && team.Name == x.team:
		return nil
	case x.route.Kind.Public:
		x.team = team.Name // empty where no team holds the key any more
		x.nameTeam(b.cfg.Policy.Dialect.Team)
		return nil
	}
	return b.refuseKey(x.key, access.Withdrawn, now)
}

// regions returns in which regions the request may be served: its route and its team both bind.
func (x *exchange) regions(table *access.Table) placement.Regions {
	regions := x.route.Kind.Regions
	if table == nil || x.team == "" {
		return regions
	}
	team, _ := table.Team(x.team)
	return regions.With(placement.Within(team.Regions))
}

// priority returns how urgent the request is, 0 the most: that of its team goes before that of its
// route.
func (x *exchange) priority(table *access.Table) int {
	if table == nil || x.team == "" {
		return x.route.Kind.Priority
	}
	team, _ := table.Team(x.team)
	return team.Priority
}

// nameTeam names the team to the endpoint and keeps the key from it, whatever the caller
// sent.
func (x *exchange) nameTeam(header string) {
	if !x.keyed {
		return
	}
	x.r.Header.Del(access.Header)
	if header == "" {
		return
	}
	x.r.Header.Del(header)
	if x.team != "" {
		x.r.Header.Set(header, x.team)
	}
}

// countRepeat counts an attempt that follows one which may have run: the team's quota is of
// what endpoints run.
func (b *Balancer) countRepeat(x *exchange, now time.Time) {
	if b.cfg.Quotas != nil && x.team != "" && x.mayHaveRun {
		b.cfg.Quotas.Repeat(x.team, now)
	}
}

// limit refuses at once what is beyond the quota of the request's team. A request that no
// endpoint has run, nor may have, is put back.
func (b *Balancer) limit(next endpoint.Endpoint) endpoint.Endpoint {
	return func(ctx context.Context, request any) (any, error) {
		x := request.(*exchange)
		team, ok := b.teams().Team(x.team)
		if b.cfg.Quotas == nil || !ok || team.Quota.Unlimited() {
			return next(ctx, x)
		}
		b.cfg.Quotas.Await(ctx, team.Name, team.Quota)
		if ok, after := b.cfg.Quotas.Take(team.Name, team.Quota, time.Now()); !ok {
			return nil, refusal{reason: reason.QuotaExceeded, message: "team " + team.Name, retryAfter: after}
		}
		response, err := next(ctx, x)
		if !x.mayHaveRun && !x.ran {
			b.cfg.Quotas.Return(team.Name, time.Now())
		}
		return response, err
	}
}
