package quota

import (
	"time"

	"github.com/lotuswing/lotuswing/coord/escrow"
)

// A balancer that gets no answer from a relay is isolated. What it may then send of each quota is set
// aside beforehand: the tokens that lie within its span (package escrow). The relays deduct the tokens of
// balancers that have fallen silent from their buckets, so that both sides of a partition together keep
// to the quota, whichever balancers are on either side.

const (
	// spareShare is Limit.Spare as a part of what operators tolerate above rate and burst.
	spareShare = 0.25
	// reservedShare is the part of what operators tolerate above the buckets that is set aside for
	// balancers from whose quotas nothing is deducted: idle ones, and those that have been isolated for
	// longer than relays remember them.
	reservedShare = 1.0 / 3
	// holdFor is how long after the last answer of a relay a balancer may send what is set aside for it
	// and deducted elsewhere: less than relays deduct it.
	holdFor = 14 * time.Second
)

// windowTokens returns how many requests the buckets give out in one escrow.Window at most.
func (l Limit) windowTokens() float64 { return l.Rate*escrow.Window.Seconds() + l.capacity(1) }

// tolerated returns how many requests above windowTokens the operators tolerate.
func (l Limit) tolerated() float64 { return (1-usableBurst)*l.Burst + (1/spareShare-1)*l.Spare }

// undeducted returns how many tokens silent balancers may hold without a deduction from the buckets.
func (l Limit) undeducted() float64 { return (1 - reservedShare) * l.tolerated() }

// escrowed returns how many tokens of each escrow.Window are set aside for all balancers together.
func (l Limit) escrowed() int { return int(l.windowTokens() + l.undeducted()) }

// reserved returns the same for balancers from whose quotas nothing is deducted.
func (l Limit) reserved() int { return int(reservedShare * l.tolerated()) }

// deduction returns the fraction of a quota that relays deduct for silent balancers which hold a number of
// tokens: 0 to 1.
func (l Limit) deduction(held float64) float64 {
	return min(1, max(0, held-l.undeducted())/l.windowTokens())
}

// WithHold returns the account of a balancer that is isolated and may send what a hold allows.
func (a Account) WithHold(h escrow.Hold) Account {
	a.onHold, a.hold = true, h
	return a
}

// WithoutHold returns the account of a balancer that is in touch with others again.
func (a Account) WithoutHold() Account {
	a.onHold = false
	return a
}

// hold returns what this balancer may send of a team's quota while it is isolated. From its last snapshot
// on, its own requests count as sent by it, and earlier ones as sent by all balancers.
func (q *Limiter) hold(team string, l Limit, a Account, now time.Time) escrow.Hold {
	total := q.setAside(l, now)
	if a.onHold {
		return a.hold.WithTotal(total)
	}
	level, spent, since := 0.0, l.Rate*escrow.Window.Seconds(), q.answeredAt
	switch {
	case q.relay:
		level, spent, since = a.tokens, float64(a.recent.Count(now)), q.aggregator.LastHeard()
	case a.synced:
		level, spent, since = a.snapshotTokens, a.spent, a.syncedAt
	}
	h := escrow.NewHold(q.span, teamPrefix+team, total, escrow.Bucket{Level: max(0, level), Rate: l.Rate}, spent, since)
	return h.WithSent(int(a.takenSince), now)
}

// setAside returns how many tokens of a quota are set aside for all balancers that are in the state of this
// one.
func (q *Limiter) setAside(l Limit, now time.Time) int {
	if now.Before(q.holdUntil) {
		return l.escrowed()
	}
	return l.reserved()
}

// held returns how many requests of a team this balancer may send in any escrow.Window while isolated.
func (q *Limiter) held(team string, l Limit, now time.Time) int {
	return q.span.Tokens(teamPrefix+team, q.setAside(l, now))
}

// Isolated reports whether the last report was not answered.
func (q *Limiter) Isolated() bool { return !q.failingSince.IsZero() }

// isolated reports whether this balancer decides without a relay about a request of a team: its reports
// fail, or the oldest one has waited for its answer for too long. A balancer that has only a small share
// of a quota decides so as soon as its request has waited for a snapshot in vain.
func (q *Limiter) isolated(l Limit, a Account, now time.Time) bool {
	switch {
	case q.relay:
		return q.cutOff(now)
	case q.members == 0:
		return false
	case !q.failingSince.IsZero():
		return true
	case q.awaitingSince.IsZero():
		return false
	}
	wait := isolatedAfter
	if q.hasSmallShare(l) && now.Sub(a.syncedAt) >= freshFor {
		wait = MaxRefreshWait
	}
	return now.Sub(q.awaitingSince) >= wait
}

// cutOff reports whether this relay hears from nobody although others have not said that they are idle.
func (q *Limiter) cutOff(now time.Time) bool {
	silence := now.Sub(q.aggregator.LastHeard())
	return silence > cutOffAfter && silence <= aloneAfter && !q.aggregator.NoneSilent(now)
}

// cutOffAfter is how long a relay hears from nobody until it counts as isolated: as long as it takes until
// the others count as silent.
const cutOffAfter = time.Second

// ReportFailed records that a report was not answered. The balancer is isolated until one is.
func (q *Limiter) ReportFailed(now time.Time) {
	q.counter.ReportFailed()
	q.awaitingSince = time.Time{}
	if q.failingSince.IsZero() {
		q.failingSince = now
	}
}
