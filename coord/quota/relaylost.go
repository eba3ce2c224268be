package quota

import "time"

// A balancer that has lost its relay gives out little to teams for which it never had a snapshot. It
// has never reported these teams, so relays only estimate what it gives out to them, and only for
// some seconds (tally.Aggregator.UnreportedShare).

// relayLostShare is the share of a quota that all balancers would give out together if each of them
// had lost its relay and never had a snapshot. At the same time the other balancers may give out
// the whole quota.
const relayLostShare = 0.25

// relayLostAfter is how long reports fail before the relay counts as lost. When a relay stops,
// another one is registered and followed sooner than that, and requests of small teams should not be
// refused meanwhile.
const relayLostAfter = 4 * time.Second

// newAccount returns the account of a team for which there was no snapshot yet. A balancer that has
// lost its relay will get none, and no relay learns what it gives out. Its share is then
// relayLostShare divided by the number of all known balancers, however many of them have lost their
// relay too.
func (q *Limiter) newAccount(l Limit, now time.Time) Account {
	if q.relayLost {
		return NewAccount(l, now).withRelayLost(l, q.members)
	}
	return NewAccount(l, now)
}

// withRelayLost returns the account of a balancer that has lost its relay and never had a snapshot.
// members is the number of balancers in the fleet.
func (a Account) withRelayLost(l Limit, members int) Account {
	a.share = min(a.share, relayLostShare/float64(members))
	a.tokens = min(a.tokens, a.share*(l.Rate+l.Burst))
	a.relayLost = true
	return a
}

// shrinkShares reduces the shares that this balancer may use while isolated, once it has reported
// that it is idle: relays then no longer deduct its shares. The next snapshot sets the share again.
func (q *Limiter) shrinkShares() {
	for team, a := range q.accounts {
		a.share = min(a.share, relayLostShare/float64(max(1, q.members)))
		q.accounts[team] = a
	}
}

// ReportFailed records that a report was not answered. After relayLostAfter it reduces the shares of
// teams for which there was no snapshot yet.
func (q *Limiter) ReportFailed(now time.Time) {
	q.counter.ReportFailed()
	if q.failingSince.IsZero() {
		q.failingSince = now
	}
	if q.relayLost || q.members == 0 || now.Sub(q.failingSince) < relayLostAfter {
		return
	}
	q.relayLost = true
	for team, a := range q.accounts {
		if !a.synced {
			q.accounts[team] = a.withRelayLost(q.limits[team], q.members)
		}
	}
}
