package quota

import "time"

// A team may send so little that each balancer seldom sees its requests. The balancer's snapshot of
// the team's bucket is then old, and if each balancer admitted one request on an old snapshot, as
// many would be sent as there are balancers. Requests of such teams wait for a fresh snapshot.

const (
	// MaxRefreshWait is the longest that a request waits for a snapshot: several round trips within
	// a zone.
	MaxRefreshWait = 25 * time.Millisecond
	// freshFor is the age up to which a snapshot needs no refresh.
	freshFor = urgentInterval
	// smallShareRequests is the number of requests below which a balancer's share of a quota (the
	// burst and one second of the rate) counts as small: the balancer then seldom sees the team.
	smallShareRequests = 2
)

// RefreshIfStale reports whether the next request of a team should wait for a fresh snapshot. If so,
// it makes a report due that brings one.
func (q *Limiter) RefreshIfStale(team string, l Limit, now time.Time) bool {
	if q.relay || !q.failingSince.IsZero() || l.Unlimited() || !q.hasSmallShare(l) {
		return false
	}
	a := q.account(team, l, now)
	if now.Sub(a.syncedAt) < freshFor || a.refreshOverdue(now) {
		return false
	}
	q.accounts[team] = a
	q.counter.Add(teamPrefix+team, 0, now)
	q.counter.MarkImmediate()
	return true
}

// hasSmallShare reports whether each balancer's share of a quota is small. Before the first answer
// of a relay the number of balancers is unknown, and the share counts as small.
func (q *Limiter) hasSmallShare(l Limit) bool {
	return q.members == 0 || l.Rate+l.Burst < smallShareRequests*float64(q.members)
}

// refreshOverdue reports whether a snapshot has been awaited for longer than MaxRefreshWait.
func (a Account) refreshOverdue(now time.Time) bool {
	return !a.awaitingSince.IsZero() && now.Sub(a.awaitingSince) > MaxRefreshWait
}
