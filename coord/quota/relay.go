package quota

import (
	"strings"
	"time"

	"github.com/lotuswing/lotuswing/coord/escrow"
	"github.com/lotuswing/lotuswing/coord/tally"
)

// Methods of a Limiter on a relay, which maintains the fleet's buckets from the reports of others.

// ZoneReport returns the report of a relay to the relays of other zones.
func (q *Limiter) ZoneReport(isRelay tally.IsRelay, now time.Time) tally.Report {
	q.recordOwnCounts(now)
	q.applySilentRates(isRelay, now)
	r := q.aggregator.ZoneReport(isRelay, now)
	for _, a := range q.accounts {
		r.Wants = r.Wants || now.Before(a.newRelayUntil)
	}
	return r
}

// ZoneReportAnswered applies the answer from the relay of another zone.
func (q *Limiter) ZoneReportAnswered(r tally.Report, answer ReportAnswer, now time.Time) {
	if !answer.Taken {
		return
	}
	q.aggregator.AcknowledgeZone(r)
	for _, s := range answer.Words {
		team := strings.TrimPrefix(s.Key, teamPrefix)
		if a, ok := q.accounts[team]; ok {
			// The zone's next report brings what it has counted since its last one.
			known := q.aggregator.Reported(answer.From, s.Key) - q.aggregator.Reported(answer.From, returnedPrefix+team)
			s.Tokens += float64(max(0, s.ZoneTotal-known))
			q.accounts[team] = a.WithPeerSnapshot(s, now)
		}
	}
}

// recordOwnCounts adds the relay's own counts to those of its zone. Its own requests have already
// taken their tokens.
func (q *Limiter) recordOwnCounts(now time.Time) {
	r := q.counter.Report(now)
	r.Span = q.span
	q.aggregator.Apply(r, now)
	q.counter.Acknowledge(r)
	q.reportOwnSpan(r, now)
}

// applySilentRates deducts from all buckets the tokens that silent balancers may be taking.
func (q *Limiter) applySilentRates(isRelay tally.IsRelay, now time.Time) {
	unheard := q.unheardSpan(now)
	for team, a := range q.accounts {
		l := q.limits[team]
		q.aggregator.SetUnheardRate(teamPrefix+team, unheard*float64(l.escrowed())/escrow.Window.Seconds())
		q.aggregator.SetRelayFallbackRates(teamPrefix+team, float64(l.escrowed())/escrow.Window.Seconds(), now)
		_, silentRate := q.aggregator.SilentRates(teamPrefix+team, isRelay, now)
		held := silentRate*escrow.Window.Seconds() + float64(l.escrowed())*q.aggregator.UnreportedShare(teamPrefix+team, isRelay, now)
		q.accounts[team] = a.AsRelay(l, l.Rate*l.deduction(held), now, now)
	}
}

// HandleReport applies a report of another balancer and returns the answer, which is empty if this
// balancer is not a relay. limitOf returns the configured quota of a team.
func (q *Limiter) HandleReport(r tally.Report, limitOf func(team string) (Limit, bool), now time.Time) ReportAnswer {
	if !q.relay {
		return ReportAnswer{}
	}
	q.aggregator.LearnFleet(r, now)
	if !r.Relay && q.cutOff(now) {
		q.markOutdated(now)
	}
	q.adoptLevels(r, limitOf, now)
	for _, change := range q.aggregator.Apply(r, now) {
		q.applyChange(change, limitOf, now)
	}
	answer := ReportAnswer{Taken: true, From: q.from}
	if !r.Relay {
		answer.Span = q.assignSpan(r, now)
	}
	if r.Relay && !r.Wants {
		return answer
	}
	own, all := q.aggregator.Members(now)
	answer.Pause, answer.Members = time.Duration(own)*time.Second/relayReportsPerSecond, all
	for _, c := range r.Counts {
		if team, ok := strings.CutPrefix(c.Key, teamPrefix); ok {
			if s, ok := q.snapshot(team, c.Key, r.From, all, limitOf, now); ok {
				if r.Relay {
					s.ZoneTotal = q.aggregator.ZoneTotal(c.Key) - q.aggregator.ZoneTotal(returnedPrefix+team) + q.unacknowledged(team)
				}
				answer.Words = append(answer.Words, s)
			}
		}
	}
	return answer
}

// markOutdated has this relay adopt levels as a new one does: while it heard from nobody, another relay may
// have counted what balancers of its zone sent.
func (q *Limiter) markOutdated(now time.Time) {
	for team, a := range q.accounts {
		q.accounts[team] = a.asOutdated(now)
	}
}

// adoptLevels adopts the levels of buckets that a follower was told by another relay, if this relay is new
// or does not know what that one has counted. Only the first report of a follower has them: later ones
// have what this relay has told.
func (q *Limiter) adoptLevels(r tally.Report, limitOf func(string) (Limit, bool), now time.Time) {
	first, returned := q.aggregator.Arrival(r, now)
	if r.Relay || !first && !returned {
		return
	}
	for _, c := range r.Counts {
		team, ok := strings.CutPrefix(c.Key, teamPrefix)
		if l, known := limitOf(team); ok && known && c.Missing > 0 && !l.Unlimited() {
			q.accounts[team] = q.account(team, l, now).WithMissing(l, c.Missing, now)
		}
	}
}

// withOwnShare sets the share of the tokens that a relay's own requests may take. While the bucket is
// partly full, all balancers take from it at once, and a relay keeps to its share as they do. Below that
// it takes what others leave, unless it hears nothing from them: they may then be taking the same tokens.
func (q *Limiter) withOwnShare(team string, a Account, l Limit, now time.Time) Account {
	silence := now.Sub(q.aggregator.LastHeard())
	quiet := silence >= relayQuietAfter
	switch {
	case silence > aloneAfter, !quiet && a.tokens < nearlyEmpty*l.Burst:
		return a.WithoutOwnShare()
	case a.ownShare > 0 && (quiet || now.Sub(a.ownShareSince) < urgentInterval):
		return a
	}
	own, others := q.aggregator.Rates(teamPrefix+team, q.from, now)
	_, all := q.aggregator.Members(now)
	return a.WithOwnShare(l, tally.Share(own, own+others, 1, all), now)
}

const (
	// aloneAfter is how long after the last report of another balancer a relay takes itself for the
	// only balancer.
	aloneAfter = 15 * time.Second
	// relayQuietAfter is how long a relay hears from nobody until it keeps to its own share: two
	// intervals of those who report urgently.
	relayQuietAfter = 2 * urgentInterval
	// nearlyEmpty is the level, as a fraction of the burst, below which a relay takes what others leave.
	// Without it the unused shares of others stay in the bucket.
	nearlyEmpty = 0.1
)

// applyChange takes tokens from a team's bucket for requests that others have counted.
func (q *Limiter) applyChange(c tally.Change, limitOf func(string) (Limit, bool), now time.Time) {
	team, by, ok := tokensTaken(c)
	if !ok {
		return
	}
	l, ok := limitOf(team)
	if !ok || l.Unlimited() {
		return
	}
	a := q.account(team, l, now).WithUncheckedTake(float64(by)).withRecent(int(by), now)
	q.accounts[team] = a
	if q.isUrgent(a, l, now) {
		q.aggregator.MarkUrgent()
	}
}

// tokensTaken returns how many tokens of a team a change takes, negative if it gives tokens back. ok
// is false for counts that have no quota.
func tokensTaken(c tally.Change) (team string, by int64, ok bool) {
	if team, ok = strings.CutPrefix(c.Key, teamPrefix); ok {
		return team, c.By, true
	}
	team, ok = strings.CutPrefix(c.Key, returnedPrefix)
	return team, -c.By, ok
}

// snapshot returns the state of a team's bucket for the balancer at the address from. It returns
// false if the team has no quota, or this relay does not know the level yet.
func (q *Limiter) snapshot(team, key, from string, members int, limitOf func(string) (Limit, bool), now time.Time) (Snapshot, bool) {
	l, ok := limitOf(team)
	if !ok || l.Unlimited() {
		return Snapshot{}, false
	}
	a := q.account(team, l, now).advance(l, now)
	q.accounts[team] = a
	if a.unconfirmed > 0 {
		return Snapshot{}, false // the sender knows more
	}
	own, others := q.aggregator.Rates(key, from, now)
	_, returned := q.aggregator.Rates(returnedPrefix+team, from, now)
	share := tally.Share(own, own+others, 1, members)
	q.aggregator.SetFallbackRate(key, from, q.fallbackRate(team, from, l)) // for a relay, SetRelayFallbackRates overwrites it
	return Snapshot{Key: key, Tokens: a.tokens, Others: max(0, others-returned), Part: share, Spent: float64(a.recent.Count(now))}, true
}
