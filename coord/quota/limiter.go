package quota

import (
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/lotuswing/lotuswing/coord/escrow"
	"github.com/lotuswing/lotuswing/coord/tally"
)

// teamPrefix begins the keys that count the requests of teams. The name of the team follows.
const teamPrefix = "team/"

// returnedPrefix begins the keys that count requests whose tokens were given back. They are counted
// separately so that no total ever falls. If the total that a relay knows is below tally.Count.Told,
// the relay concludes that the balancer has reported the difference to another relay.
const returnedPrefix = "returned/"

// ReportAnswer is a relay's answer to a report. Package gob sends the field names.
type ReportAnswer struct {
	Taken bool          // the receiver is a relay and has applied the report
	Words []Snapshot    // snapshots of the buckets of the teams that the report named
	Pause time.Duration // minimum interval between two reports of the sender
	// Members is how many balancers in all zones the relay has heard from lately; 0 from earlier
	// versions.
	Members int
	From    string // link address of the receiver; empty from earlier versions
	// Span is what the sender holds of all quotas from now on for times without a relay.
	Span escrow.Span
}

// Limiter holds one balancer's accounts of all teams, with its own counts and, on a relay, those of
// others.
type Limiter struct {
	from         string
	zone         string
	incarnation  uint64
	counter      *tally.Counter
	aggregator   *tally.Aggregator
	relay        bool
	relaySince   time.Time // when this balancer became a relay, or stopped being one
	accounts     map[string]Account
	promised     map[string]time.Time // by team, when the last refused caller was told to return
	limits       map[string]Limit     // by team, as of its last request
	minInterval  time.Duration        // between two reports, set by the relay
	members      int                  // balancers in the fleet, as reported by the relay; 0 if unknown
	failingSince time.Time            // when reports began to fail; zero if the last one was answered
	// awaitingSince is when the oldest unanswered report was made; zero for none.
	awaitingSince time.Time
	answeredAt    time.Time   // when a report was last answered
	span          escrow.Span // what this balancer holds of all quotas
	holdUntil     time.Time   // until then relays deduct what it holds; zero while it is idle

	ledger        *escrow.Ledger // on a relay, what the balancers of its zone hold
	dividedAt     time.Time      // when the zone's span was last divided
	inheritsSpans bool           // balancers hold spans that an earlier relay has assigned

	rng *rand.Rand
}

// NewLimiter returns a limiter without accounts. from is the link address of the balancer, and
// incarnation a random number that distinguishes this run of it from other runs at the same address.
func NewLimiter(from, zone string, incarnation uint64) *Limiter {
	return &Limiter{
		from: from, zone: zone, incarnation: incarnation, counter: tally.NewCounter(from, zone, incarnation), aggregator: tally.NewAggregator(from, zone, incarnation),
		ledger: escrow.NewLedger(), accounts: map[string]Account{}, limits: map[string]Limit{}, promised: map[string]time.Time{}, rng: rand.New(rand.NewPCG(incarnation, 1)),
	}
}

// Take takes one token of a team's quota for a request. If the request must not be sent, it returns
// false and how long to wait before a retry.
func (q *Limiter) Take(team string, l Limit, t Attempt, now time.Time) (ok bool, retryAfter time.Duration) {
	if l.Unlimited() {
		return true, 0
	}
	a := q.account(team, l, now)
	switch {
	case q.isolated(l, a, now):
		a = a.WithHold(q.hold(team, l, a, now))
	case q.relay:
		a = q.withOwnShare(team, a.WithoutHold(), l, now)
	}
	a, ok = a.WithTakeBy(l, t, now)
	q.accounts[team] = a
	if !ok && a.onHold {
		q.counter.Add(teamPrefix+team, 0, now)
		q.counter.MarkUrgent() // a relay may answer again
	}
	if !ok {
		retryAfter, q.promised[team] = a.RetryAfter(l, t, q.promised[team], q.rng.Float64(), now)
		return false, retryAfter
	}
	q.counter.Add(teamPrefix+team, 1, now)
	if q.isUrgent(a, l, now) {
		q.counter.MarkUrgent()
	}
	if !a.withinAllowance(l, now) {
		q.counter.MarkImmediate() // the next request needs a new snapshot
	}
	return true, 0
}

// CountRetry counts a retry of an admitted request whose earlier attempt may have run. It takes a
// token without a check.
func (q *Limiter) CountRetry(team string, now time.Time) {
	a, ok := q.accounts[team]
	if !ok {
		return // the team has no quota
	}
	q.accounts[team] = a.WithUncheckedTake(1)
	q.counter.Add(teamPrefix+team, 1, now)
}

// Refund gives back the token of a request that was not sent.
func (q *Limiter) Refund(team string, now time.Time) {
	a, ok := q.accounts[team]
	if !ok {
		return // the team had no quota
	}
	q.accounts[team] = a.WithUncheckedTake(-1)
	q.counter.Add(returnedPrefix+team, 1, now)
}

// Add adds n to the count under a key that has no quota.
func (q *Limiter) Add(key string, n int64, now time.Time) { q.counter.Add(key, n, now) }

// Sum returns the fleet's total under a key, as far as this relay knows.
func (q *Limiter) Sum(key string) int64 { return q.aggregator.Sum(key) }

// Sums returns the fleet's totals under all keys with a prefix, indexed by the rest of the key, as
// far as this relay knows.
func (q *Limiter) Sums(prefix string) map[string]int64 { return q.aggregator.Sums(prefix) }

// account returns a team's account under the limit in force, and remembers that limit.
func (q *Limiter) account(team string, l Limit, now time.Time) Account {
	q.limits[team] = l
	a, ok := q.accounts[team]
	if !ok {
		a = NewAccount(l, now)
	}
	if q.relay && !a.synced {
		a = a.AsRelay(l, 0, q.unusedSince(now), now)
		if now.Sub(q.relaySince) < unconfirmedFor && q.aggregator.HasPredecessor() {
			a = a.withUnconfirmedLevel(l)
		}
	}
	return a
}

// unusedSince returns from which time on this relay can assume that a team without an account has
// sent nothing: from when it became a relay, or from now on if a silent balancer may have admitted
// requests of the team.
func (q *Limiter) unusedSince(now time.Time) time.Time {
	if q.aggregator.NoneSilent(now) {
		return q.relaySince
	}
	return now
}

// isUrgent reports whether requests of a team should be reported soon: while the account is
// isolated, while the bucket is no longer nearly full, and on followers with a small share.
func (q *Limiter) isUrgent(a Account, l Limit, now time.Time) bool {
	return a.isolated(now) || a.tokens < nearFull*l.Burst || !q.relay && q.hasSmallShare(l)
}

const (
	// nearFull is the level, as a fraction of the burst, from which on a bucket counts as nearly
	// full. Below it, requests are reported at the urgent interval.
	nearFull = 0.7
	// normalInterval and urgentInterval are the minimum intervals between two reports. A team that
	// begins to send at four times its rate uses up a burst of one second's rate within 0.3 s; with
	// these intervals all balancers report more than once before that.
	normalInterval = 250 * time.Millisecond
	urgentInterval = 100 * time.Millisecond
	// immediateInterval is the same for a balancer that has used up its share of the last snapshot.
	immediateInterval = 20 * time.Millisecond
	// relayReportsPerSecond is how many reports per second a relay accepts, at 0.1 ms of CPU time
	// each.
	relayReportsPerSecond = 1000
)

// intervals returns the minimum intervals between two reports of this balancer.
func (q *Limiter) intervals() tally.Intervals {
	return tally.Intervals{Normal: max(normalInterval, q.minInterval), Urgent: max(urgentInterval, q.minInterval), Immediate: max(immediateInterval, q.minInterval/2)}
}

// spanRetryInterval is the longest interval between two reports of a balancer that holds no span.
const spanRetryInterval = time.Second

// Due returns when the next report is due.
func (q *Limiter) Due(now time.Time) (at time.Time, ok bool) {
	if !q.relay {
		at, ok = q.counter.Due(q.intervals(), now)
		if retry := q.counter.Reported().Add(spanRetryInterval); q.span.IsEmpty() && retry.Before(at) {
			at = retry
		}
		return at, ok
	}
	own, anyOwn := q.counter.Due(q.intervals(), now)
	zone, anyZone := q.aggregator.ZoneDue(tally.Intervals{Normal: normalInterval, Urgent: urgentInterval}, now)
	switch {
	case !anyOwn:
		return zone, anyZone
	case anyZone && zone.Before(own):
		return zone, true
	}
	return own, true
}

// SetRelay sets whether this balancer is a relay. A change discards the counts of others, and
// converts all accounts.
func (q *Limiter) SetRelay(relay bool, now time.Time) {
	if relay == q.relay {
		return
	}
	q.relay, q.relaySince = relay, now
	q.incarnation++ // the zone's totals start at 0: its balancers reported to another relay meanwhile
	q.aggregator = tally.NewAggregator(q.from, q.zone, q.incarnation)
	q.ledger, q.dividedAt, q.inheritsSpans = escrow.NewLedger(), time.Time{}, false
	for team, a := range q.accounts {
		switch {
		case !relay:
			q.accounts[team] = a.AsFollower()
		case !a.synced && q.members > 0:
			q.accounts[team] = a.AsRelay(q.limits[team], 0, now, now).withUnconfirmedLevel(q.limits[team])
		default:
			q.accounts[team] = a.AsRelay(q.limits[team], 0, now, now)
		}
	}
}

// IsRelay reports whether this balancer is a relay.
func (q *Limiter) IsRelay() bool { return q.relay }

// Report returns the report of a follower to its relay. The accounts of the teams that the report
// names then await a snapshot.
func (q *Limiter) Report(now time.Time) tally.Report {
	r := q.counter.Report(now)
	r.Fleet, r.Span = q.members, q.span
	if q.awaitingSince.IsZero() {
		q.awaitingSince = now
	}
	for i, c := range r.Counts {
		if team, ok := strings.CutPrefix(c.Key, teamPrefix); ok {
			l := q.limits[team]
			a := q.accounts[team].advance(l, now).WithRefreshRequested(now)
			q.accounts[team] = a
			r.Counts[i].Missing = a.missing(l, now)
		}
	}
	return r
}

// ReportAnswered applies a relay's answer to a report.
func (q *Limiter) ReportAnswered(r tally.Report, answer ReportAnswer, now time.Time) {
	if !answer.Taken {
		q.ReportFailed(now)
		return
	}
	q.counter.Acknowledge(r)
	q.minInterval, q.members = answer.Pause, answer.Members
	q.failingSince, q.awaitingSince = time.Time{}, time.Time{}
	q.span, q.answeredAt, q.holdUntil = answer.Span, now, now.Add(holdFor)
	if r.Rests {
		q.holdUntil = time.Time{}
	}
	for _, s := range answer.Words {
		team := strings.TrimPrefix(s.Key, teamPrefix)
		if l, ok := q.limits[team]; ok && !q.relay {
			q.accounts[team] = q.accounts[team].WithSnapshot(l, s, float64(q.unacknowledged(team)), q.rng.Float64(), now)
		}
	}
}

// unacknowledged returns how many tokens of a team were taken here, less those given back, that no
// relay has acknowledged.
func (q *Limiter) unacknowledged(team string) int64 {
	return q.counter.Unacknowledged(teamPrefix+team) - q.counter.Unacknowledged(returnedPrefix+team)
}

// Status is the state of a team's bucket as known to one balancer, for operators.
type Status struct {
	Team   string
	Limit  Limit
	Tokens float64 // estimate of the tokens left
	Others float64 // requests per second of all other balancers
	Alone  bool    // the balancer is isolated and keeps to its own share
	Part   float64 // this balancer's share of the quota
	Held   int     // requests that this balancer may send in any escrow.Window while isolated
	Total  int64   // requests sent by this balancer since its start
}

// Status returns the states of all teams that this balancer has an account of, sorted by name.
func (q *Limiter) Status(now time.Time) []Status {
	var all []Status
	for _, team := range slices.Sorted(maps.Keys(q.accounts)) {
		l := q.limits[team]
		a := q.accounts[team].advance(l, now)
		all = append(all, Status{
			Team: team, Limit: l, Tokens: a.tokens, Others: a.othersRate, Alone: a.isolated(now), Part: a.share, Held: q.held(team, l, now),
			Total: q.counter.Total(teamPrefix+team) - q.counter.Total(returnedPrefix+team),
		})
	}
	return all
}
