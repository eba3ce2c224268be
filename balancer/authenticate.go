package balancer

import (
	"context"
	"fmt"
	"time"

	"github.com/go-kit/kit/endpoint"
	"github.com/lotuswing/lotuswing/access"
	"github.com/lotuswing/lotuswing/coord/placement"
	"github.com/lotuswing/lotuswing/coord/quota"
	"github.com/lotuswing/lotuswing/coord/reason"
)

// authenticate finds the team that holds the caller's key, if the configuration has teams. Only a
// digest of the key is kept.
func (b *Balancer) authenticate(next endpoint.Endpoint) endpoint.Endpoint {
	return func(ctx context.Context, request any) (any, error) {
		x := request.(*exchange)
		if table := b.teams(); table != nil {
			x.teamsConfigured = true
			if err := b.checkKey(x, table, time.Now()); err != nil {
				return nil, err
			}
		}
		return next(ctx, x)
	}
}

// teams returns the teams of the active configuration; nil if callers need no keys.
func (b *Balancer) teams() *access.Table {
	if b.cfg.Access == nil {
		return nil
	}
	return b.cfg.Access.Teams()
}

// checkKey admits a request by its key and sets the team. A public route needs no key: there a key
// that a team holds sets the team, and any other key is ignored.
func (b *Balancer) checkKey(x *exchange, table *access.Table, now time.Time) error {
	key, err := access.BearerToken(x.r.Header)
	public := x.route.Kind.Public
	switch {
	case err != nil && public:
		return nil
	case err != nil:
		return refusal{reason: reason.KeyRefused, message: err.Error()}
	}
	digest := access.DigestOf(key)
	team, state := table.Find(digest)
	if state == access.Valid {
		x.key, x.team = digest, team.Name
		return nil
	}
	if public {
		return nil
	}
	return b.keyRefusal(digest, state, now)
}

// keyRefusal returns the refusal for a key that no usable team holds. A key that may have been added too
// recently for this balancer to know gets a Retry-After.
func (b *Balancer) keyRefusal(digest access.Digest, s access.KeyState, now time.Time) error {
	message := fmt.Sprintf("key with the salted digest %s", digest)
	if s == access.Unusable {
		return refusal{reason: reason.ConfigUnusable, message: "the team of the " + message}
	}
	since := b.unknownKeys.FirstSeen(digest, now)
	if access.Decide(s, since, b.cfg.KeyPropagationTime, b.cfg.Access.ReceivesChanges(now), now) == access.RetryLater {
		return refusal{reason: reason.KeyUnknown, message: message, retryAfter: b.cfg.KeyPropagationTime}
	}
	return refusal{reason: reason.KeyRefused, message: message}
}

// recheckKey checks the key again just before the request is sent, because it may have been
// withdrawn while the request waited for an endpoint. On a public route the team is updated
// instead.
func (b *Balancer) recheckKey(x *exchange, now time.Time) error {
	if x.team == "" {
		return nil
	}
	team, state := b.teams().Find(x.key)
	switch {
	case state == access.Valid && team.Name == x.team:
		return nil
	case x.route.Kind.Public:
		x.team = team.Name // empty if no team holds the key any more
		x.replaceKeyWithTeam(b.cfg.Policy.Dialect.Team)
		return nil
	case state == access.Unusable:
		return b.keyRefusal(x.key, state, now)
	}
	return b.keyRefusal(x.key, access.Revoked, now)
}

// allowedRegions returns the regions that both the route and the team of the request allow.
func (x *exchange) allowedRegions(table *access.Table) placement.Regions {
	regions := x.route.Kind.Regions
	if table == nil || x.team == "" {
		return regions
	}
	team, _ := table.Team(x.team)
	return regions.Intersect(placement.NewRegions(team.Regions))
}

// priority returns the priority of the request; 0 is the most urgent. The team's priority
// overrides the route's.
func (x *exchange) priority(table *access.Table) int {
	if table == nil || x.team == "" {
		return x.route.Kind.Priority
	}
	team, _ := table.Team(x.team)
	return team.Priority
}

// weight returns the weight of the request's team among others: the rate of its quota, or 0 if it has
// none.
func (x *exchange) weight(table *access.Table) float64 {
	team, _ := table.Team(x.team)
	return team.Quota.Rate
}

// replaceKeyWithTeam removes the caller's key from the headers and sets the given header to the
// name of the team. A value that the caller sent in that header is removed, also if there is no
// team. An empty header name means that endpoints do not get the team. Without teams in the
// configuration, nothing changes.
func (x *exchange) replaceKeyWithTeam(header string) {
	if !x.teamsConfigured {
		return
	}
	x.r.Header.Del(access.AuthorizationHeader)
	if header == "" {
		return
	}
	x.r.Header.Del(header)
	if x.team != "" {
		x.r.Header.Set(header, x.team)
	}
}

// chargeRetry charges a retry to the team's quota if an earlier attempt may have run, because the
// quota limits what endpoints run.
func (b *Balancer) chargeRetry(x *exchange, now time.Time) {
	if b.cfg.Quotas != nil && x.team != "" && x.mayHaveRun {
		b.cfg.Quotas.CountRetry(x.team, now)
	}
}

// ResponseAges is implemented by a Chooser that learns how long callers wait. Only with such a Chooser
// do late requests yield the tokens of a team's quota to others.
type ResponseAges interface {
	// ResponseAge returns how old a request of a kind will be when it is answered if an endpoint gets
	// it now: the time since the first attempt of its caller, as far as wait, the time that the caller
	// said it waits, shows it, and the usual time until a response.
	ResponseAge(kind string, target, wait time.Duration) time.Duration
}

// quotaAttempt returns what is known of the request that asks for a token of its team's quota. Its age
// is known only where requests are ordered by urgency.
func (b *Balancer) quotaAttempt(x *exchange) quota.Attempt {
	a := quota.Attempt{Target: x.route.Kind.Target}
	ages, ok := b.cfg.Chooser.(ResponseAges)
	if order := b.hedges.order; ok && order != nil && order.OrdersByUrgency() {
		a.Age = ages.ResponseAge(x.kindKey(), a.Target, x.callerWait)
	}
	return a
}

// enforceQuota refuses a request beyond the quota of its team at once. It refunds a request that
// no endpoint ran or may have run.
func (b *Balancer) enforceQuota(next endpoint.Endpoint) endpoint.Endpoint {
	return func(ctx context.Context, request any) (any, error) {
		x := request.(*exchange)
		team, ok := b.teams().Team(x.team)
		if b.cfg.Quotas == nil || !ok || team.Quota.Unlimited() {
			return next(ctx, x)
		}
		b.cfg.Quotas.AwaitSnapshot(ctx, team.Name, team.Quota)
		if ok, after := b.cfg.Quotas.Take(team.Name, team.Quota, b.quotaAttempt(x), time.Now()); !ok {
			return nil, refusal{reason: reason.QuotaExceeded, message: "team " + team.Name, retryAfter: after}
		}
		response, err := next(ctx, x)
		if !x.mayHaveRun && !x.ran {
			b.cfg.Quotas.Refund(team.Name, time.Now())
		}
		return response, err
	}
}
