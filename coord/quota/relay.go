package quota

import (
	"strings"
	"time"

	"github.com/lotuswing/lotuswing/coord/tally"
)

// What a book does at a relay: it keeps the buckets of the fleet from what others report.

// ZoneReport returns what a relay tells those of other zones.
func (b *Book) ZoneReport(isRelay tally.IsRelay, now time.Time) tally.Report {
	b.noteSelf(now)
	b.noteUnheard(isRelay, now)
	r := b.ledger.ZoneReport(isRelay, now)
	for _, a := range b.accounts {
		r.Wants = r.Wants || now.Before(a.young)
	}
	return r
}

// ZoneAnswered takes the answer of the relay of another zone.
func (b *Book) ZoneAnswered(r tally.Report, answer Answer, now time.Time) {
	if !answer.Taken {
		return
	}
	b.ledger.ZoneTaken(r)
	for _, w := range answer.Words {
		team := strings.TrimPrefix(w.Key, teamPrefix)
		if a, ok := b.accounts[team]; ok {
			b.accounts[team] = a.WithPeer(w, now)
		}
	}
}

// noteSelf notes the relay's own counts among those of its zone. Its own requests have
// taken their tokens already.
func (b *Book) noteSelf(now time.Time) {
	r := b.counter.Report(now)
	b.ledger.Note(r, now)
	b.counter.Taken(r)
}

// noteUnheard has the buckets count on for those that are not heard of, at the rate that
// they keep to then.
func (b *Book) noteUnheard(isRelay tally.IsRelay, now time.Time) {
	for team, a := range b.accounts {
		l := b.limits[team]
		b.ledger.HoldRelays(teamPrefix+team, l.Rate, now)
		_, unheard := b.ledger.Unheard(teamPrefix+team, isRelay, now)
		unheard += l.Rate * b.ledger.Untold(teamPrefix+team, isRelay, now)
		b.accounts[team] = a.AsRelay(l, min(unheard, l.Rate), now, now)
	}
}

// Hear takes a report of another balancer, where this one is a relay. limitOf returns the
// quota of a team, as it is configured.
func (b *Book) Hear(r tally.Report, limitOf func(team string) (Limit, bool), now time.Time) Answer {
	if !b.relay {
		return Answer{}
	}
	for _, change := range b.ledger.Note(r, now) {
		b.noteTaken(change, limitOf, now)
	}
	answer := Answer{Taken: true}
	if r.Relay && !r.Wants {
		return answer
	}
	own, all := b.ledger.Members(now)
	answer.Pause, answer.Members = time.Duration(own)*time.Second/callsPerSecond, all
	for _, c := range r.Counts {
		if team, ok := strings.CutPrefix(c.Key, teamPrefix); ok {
			if w, ok := b.word(team, c.Key, r.From, all, limitOf, now); ok {
				answer.Words = append(answer.Words, w)
			}
		}
	}
	return answer
}

// noteTaken takes tokens for requests of others.
func (b *Book) noteTaken(c tally.Change, limitOf func(string) (Limit, bool), now time.Time) {
	team, by, ok := takenBy(c)
	if !ok {
		return
	}
	l, ok := limitOf(team)
	if !ok || l.Unlimited() {
		return
	}
	a := b.account(team, l, now).WithTaken(float64(by))
	b.accounts[team] = a
	if b.presses(a, l, now) {
		b.ledger.Urge()
	}
}

// takenBy returns how many tokens of a team a change takes; below 0 where they are put back. ok is
// false for what has no quota.
func takenBy(c tally.Change) (team string, by int64, ok bool) {
	if team, ok = strings.CutPrefix(c.Key, teamPrefix); ok {
		return team, c.By, true
	}
	team, ok = strings.CutPrefix(c.Key, returnedPrefix)
	return team, -c.By, ok
}

// word returns what a balancer is told of a team's bucket.
func (b *Book) word(team, key, from string, members int, limitOf func(string) (Limit, bool), now time.Time) (Word, bool) {
	l, ok := limitOf(team)
	if !ok || l.Unlimited() {
		return Word{}, false
	}
	a := b.account(team, l, now).with(l, now)
	b.accounts[team] = a
	own, others := b.ledger.Rates(key, from, now)
	_, returned := b.ledger.Rates(returnedPrefix+team, from, now)
	part := tally.Part(own, own+others, 1, members)
	b.ledger.Hold(key, from, part*l.Rate) // of a relay HoldRelays sets it again
	return Word{Key: key, Tokens: a.tokens, Others: max(0, others-returned), Part: part}, true
}
