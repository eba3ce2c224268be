// Package quota limits how many requests per second each team may send through all balancers
// together, without consensus between them.
//
// A team's quota is a token bucket of the whole fleet. The relay of each zone maintains that bucket
// from the counts of all balancers (coord/tally). In its answer to a report it sends the balancer a
// snapshot of the bucket (Snapshot): how many tokens are left, and how fast the other balancers take
// them. Between two snapshots a balancer extrapolates: its own requests take tokens, and the other
// balancers are assumed to take tokens at the same rate as before. An isolated balancer, which gets
// no snapshots, sends the requests whose tokens were set aside for it (package escrow), and the relays
// deduct the tokens of silent balancers from their buckets. So both sides of a partition together stay
// within the quota. Where a balancer's share is only a request or two, its next request waits for a
// fresh snapshot (Limiter.RefreshIfStale). Relays of earlier versions set nothing aside: a balancer that
// was last in touch with one sends nothing while it is isolated.
//
// An Account is what one balancer, relay or not, knows of one team's bucket. It is an immutable
// value; the Limiter holds those of all teams. Neither is safe for concurrent use.
//
// # Usage
//
//	limiter := quota.NewLimiter(addr, zone, incarnation)
//	limit := quota.Limit{Rate: 20, Burst: 40}
//	if limiter.RefreshIfStale("medina", limit, now) {
//		// report, and wait for the answer or for MaxRefreshWait
//	}
//	ok, after := limiter.Take("medina", limit, quota.Attempt{}, now)
package quota

import (
	"math"
	"time"

	"github.com/lotuswing/lotuswing/coord/escrow"
)

// Limit is the quota of a team.
type Limit struct {
	Rate  float64 // requests per second; 0 for no limit
	Burst float64 // requests beyond the rate that may be sent at once, saved up while fewer are sent
	// Spare is how many requests above rate and burst the operators tolerate, because balancers
	// cannot know of each other's latest requests. A team that sends few requests through many
	// balancers is refused only beyond it.
	Spare float64
}

// capacity returns how many tokens the bucket for a share of the quota can hold: at least 1. The
// share is a fraction from 0 to 1.
func (l Limit) capacity(share float64) float64 { return max(1, share*(usableBurst*l.Burst+l.Spare)) }

// usableBurst is the fraction of the burst that buckets give out. The rest is for admitted requests
// that wait in queues, where no bucket sees them, and are then sent together.
const usableBurst = 0.9

// initialTokens returns how many requests a balancer may send that has had no snapshot yet. Each one that
// starts may, so they are few where the burst is small; one asks for the snapshot.
func (l Limit) initialTokens() float64 {
	return max(1, min(maxInitialTokens, initialBurstShare*l.Burst))
}

// Unlimited reports whether the team has no quota.
func (l Limit) Unlimited() bool { return l.Rate <= 0 }

const (
	// isolatedAfter is how long a balancer waits for a snapshot before it keeps to its own share. A
	// snapshot takes one round trip within the zone; a call takes this long only when it fails.
	isolatedAfter = 400 * time.Millisecond
	// othersRateValidFor is how long the rate of the others in a snapshot is extrapolated: twice the
	// normal report interval. A balancer that the team does not use gets no more snapshots, and a
	// high rate in its last one, from a busy moment, would make it refuse the next request.
	othersRateValidFor = 500 * time.Millisecond
	// staleAfter is the age of a snapshot from which on the bucket is assumed to hold at least the
	// initial tokens, so that the next request is sent and its report brings another snapshot.
	staleAfter = 2 * time.Second
	// initialShare is the share of a quota that a balancer gives out before its first snapshot. The
	// first snapshot takes a round trip after a start, and while no relay exists yet, all balancers
	// that were killed together may be in this state at once.
	initialShare = 0.02
	// maxInitialTokens and initialBurstShare give the least number of tokens given out before the first
	// snapshot, so that the first requests of a team need not wait for one (Limit.initialTokens).
	maxInitialTokens  = 3
	initialBurstShare = 0.2
	// initialFill is the fraction of the burst in a bucket whose earlier level is unknown: before a
	// restart of the whole fleet it may have been empty or full.
	initialFill = 0.8
	// newRelayFor is how long a new relay asks its peers for snapshots of a bucket for which it never
	// had one, and adopts lower levels from them.
	newRelayFor = time.Second
	// unconfirmedFor is how long a new relay without a snapshot gives out nothing of the earlier level:
	// until balancers have reported that exceed a quota.
	unconfirmedFor = urgentInterval
	// nearFullAllowance is the least number of requests between two snapshots while the bucket is
	// nearly full: the share of a balancer that a small team seldom uses is less than one request.
	nearFullAllowance = 6
	// partFullAllowance is the same while the bucket is filled to at least the fraction partFull.
	partFullAllowance = 4
	partFull          = 0.25
	// maxDebtSeconds limits, in seconds of the rate, how far a bucket goes below zero when balancers
	// that were partitioned from each other have given out more than it held. Without this limit a
	// team would be refused for long after a partition.
	maxDebtSeconds = 2
)

// Snapshot is the state of a team's bucket, sent from a relay to a balancer. Package gob sends the
// field names.
type Snapshot struct {
	Key    string  // teamPrefix and the name of the team
	Tokens float64 // left in the bucket, with the answered report taken into account
	Others float64 // tokens per second that all other balancers take
	Part   float64 // share of the rate that the balancer may use while it is isolated
	Spent  float64 // requests that all balancers have sent in the last escrow.Window
	// ZoneTotal is how many requests the zone of the relay has sent since the relay began, as far as the relay knows. Set for relays
	// of other zones only.
	ZoneTotal int64
}

// Account is what one balancer knows of one team's bucket.
type Account struct {
	tokens          float64   // estimate of the tokens left
	updatedAt       time.Time // time for which tokens holds
	othersRate      float64   // tokens per second that other balancers take; on a relay, only the silent ones
	othersPerReport float64   // requests that others may send in one urgent report interval, even if their rate is low because they were refused
	share           float64   // fraction of the quota that is this balancer's own
	snapshotTokens  float64   // tokens in the last snapshot
	takenSince      float64   // requests taken since the last snapshot, or not reported when it was made
	jitter          float64   // random number in [0, 1) drawn with each snapshot; rounds fractions of a token up or down
	coverage        float64   // on a relay, fraction of the quota that silent balancers do not use; 1 elsewhere
	unconfirmed     float64   // on a new relay, tokens that are left unless a report of another balancer says otherwise
	takenAsNewRelay float64   // requests counted since the balancer became a relay, until newRelayUntil
	newRelayUntil   time.Time // until then peers of this relay may know the bucket better
	relay           bool      // this balancer is a relay, which receives the counts of others
	synced          bool      // a snapshot was received, or this balancer is or was a relay
	syncedAt        time.Time // when the last snapshot was received; on a relay, when it last updated the account
	ownShare        float64   // on a relay, fraction of the tokens that its own requests may take; 0 for all
	ownShareSince   time.Time // on a relay, since when its own requests may take only its share
	awaitingSince   time.Time // when the oldest unanswered report was made; zero for none
	onHold          bool      // the balancer is isolated and gives out what hold does
	hold            escrow.Hold
	recent          escrow.Recent // on a relay, requests of all balancers
	spent           float64       // requests that all balancers have sent in the escrow.Window before the last snapshot
}

// NewAccount returns the account of a team for which there was no snapshot yet.
func NewAccount(l Limit, now time.Time) Account {
	return Account{tokens: max(l.initialTokens(), initialShare*(l.Rate+l.Burst)), updatedAt: now, share: initialShare, coverage: 1}
}

// isolated reports whether the balancer has to decide without a relay: it had no snapshot yet, or
// has waited for one for longer than isolatedAfter.
func (a Account) isolated(now time.Time) bool { return a.onHold || a.lacksSnapshot(now) }

// lacksSnapshot reports whether there was no snapshot yet, or one has been awaited for longer than
// isolatedAfter.
func (a Account) lacksSnapshot(now time.Time) bool {
	return !a.synced || !a.awaitingSince.IsZero() && now.Sub(a.awaitingSince) > isolatedAfter
}

// advance returns the account as of now.
func (a Account) advance(l Limit, now time.Time) Account {
	dt := max(0, now.Sub(a.updatedAt).Seconds())
	if a.lacksSnapshot(now) {
		a.tokens += l.Rate * a.share * dt
		capacity := l.capacity(a.share)
		if !a.synced {
			capacity = max(capacity, l.initialTokens())
		}
		a.tokens = min(a.tokens, capacity)
		if a.synced && !a.relay {
			a.tokens = min(a.tokens, max(1, a.allowance(l, now))-a.takenSince)
		}
	} else {
		a.tokens += l.Rate*dt - a.othersRate*a.extrapolationTime(now).Seconds()
		if now.Sub(a.syncedAt) > staleAfter {
			a.tokens = max(a.tokens, l.initialTokens())
		}
	}
	if now.Sub(a.newRelayUntil) >= unconfirmedFor-newRelayFor {
		a.tokens, a.unconfirmed = a.tokens+a.unconfirmed, 0
	}
	a.tokens = max(-maxDebtSeconds*l.Rate, min(a.tokens, l.capacity(a.coverage)))
	a.updatedAt = now
	return a
}

// extrapolationTime returns for how much of the time since the last update the other balancers are
// assumed to take tokens at othersRate.
func (a Account) extrapolationTime(now time.Time) time.Duration {
	end := a.syncedAt.Add(othersRateValidFor)
	if now.Before(end) {
		end = now
	}
	return max(0, end.Sub(a.updatedAt))
}

// WithTake returns the account after one more request, and true. If the request must not be sent, it
// takes no token and returns false.
func (a Account) WithTake(l Limit, now time.Time) (Account, bool) {
	a = a.advance(l, now)
	if !a.admits(l, now) {
		return a, false
	}
	if a.onHold {
		a.hold = a.hold.WithSent(1, now)
		return a, true
	}
	a.tokens--
	a.takenSince++
	if a.relay {
		a.takenAsNewRelay++
		a.recent = a.recent.With(1, now)
	}
	return a, true
}

// admits reports whether there is a token for one more request.
func (a Account) admits(l Limit, now time.Time) bool {
	if a.onHold {
		return a.hold.Left(now) > 0
	}
	return a.tokens >= 1 && a.withinAllowance(l, now)
}

// withinAllowance reports whether one more request is within what a balancer may take before its
// next snapshot: its share of the tokens in the last snapshot and of those added since. All
// balancers see the same tokens; if each took all of them, many times the quota would be sent. For a
// team that sends little the share is less than one request. The balancer may then take more than
// its share, because hardly any other balancer wants the same tokens meanwhile.
func (a Account) withinAllowance(l Limit, now time.Time) bool {
	if a.syncedAt.IsZero() || a.isolated(now) || a.relay && a.ownShare == 0 {
		return true
	}
	mine := a.allowance(l, now)
	switch {
	case a.snapshotTokens >= nearFull*l.Burst:
		mine = max(mine, nearFullAllowance)
	case a.snapshotTokens >= partFull*l.Burst:
		mine = max(mine, partFullAllowance+a.jitter)
	default:
		mine = max(mine, 1/max(1, a.othersPerReport))
	}
	return a.takenSince+a.jitter <= mine
}

// WithUncheckedTake returns the account after n tokens were taken by requests that were not checked
// here, such as those of other balancers. A negative n gives tokens back.
func (a Account) WithUncheckedTake(n float64) Account {
	a.tokens -= n
	a.takenAsNewRelay += n
	return a
}

// WithRefreshRequested returns the account after a report was made, whose answer will bring a
// snapshot.
func (a Account) WithRefreshRequested(now time.Time) Account {
	if a.awaitingSince.IsZero() {
		a.awaitingSince = now
	}
	return a
}

// allowance returns this balancer's share of the tokens in the last snapshot and of those added
// since.
func (a Account) allowance(l Limit, now time.Time) float64 {
	share, at := a.share, a.syncedAt
	if a.relay {
		share, at = a.ownShare, a.ownShareSince
	}
	return share * max(0, a.snapshotTokens+l.Rate*now.Sub(at).Seconds())
}

// rateLowerBound returns a rate reduced by two standard deviations of the number of requests in one
// second, so that a few requests that coincide by chance are not extrapolated.
func rateLowerBound(perSecond float64) float64 {
	return max(0, perSecond-2*math.Sqrt(max(0, perSecond)))
}

// WithSnapshot returns the account after a snapshot from a relay. unacknowledged is how many tokens
// were taken here since the answered report. jitter is a random number in [0, 1).
func (a Account) WithSnapshot(l Limit, s Snapshot, unacknowledged, jitter float64, now time.Time) Account {
	return Account{
		tokens: s.Tokens - unacknowledged, updatedAt: now, othersRate: rateLowerBound(s.Others), share: s.Part, coverage: 1, synced: true, syncedAt: now,
		othersPerReport: s.Others * urgentInterval.Seconds(),
		snapshotTokens:  s.Tokens, takenSince: unacknowledged, jitter: jitter, spent: s.Spent,
	}.advance(l, now)
}
