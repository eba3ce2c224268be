package quota

import "time"

// What a balancer gives out that has lost its relay, of teams on which it has never heard a word.
// Relays count on for those that they have heard of; of these teams they know nothing.

// lostPart is the part of a quota that all balancers together give out which are in that state:
// others may give out the whole.
const lostPart = 0.25

// lostAfter is how long no report is answered before a balancer counts as one that has lost its
// relay: another one is registered and followed sooner than that where a relay ends, and callers of
// small teams should not be refused for it.
const lostAfter = 4 * time.Second

// newAccount returns the account of a team of which nothing was heard. A balancer that has lost
// its relay will hear nothing of it, and nobody counts on for what it gives out: its part is then
// that of one among all that it knows of, however many of them are cut off with it.
func (b *Book) newAccount(l Limit, now time.Time) Account {
	if b.lost {
		return NewAccount(l, now).withLostPart(l, b.members)
	}
	return NewAccount(l, now)
}

// withLostPart returns the account of a balancer that has heard nothing of a team and hears of
// nobody, one of so many.
func (a Account) withLostPart(l Limit, members int) Account {
	a.part = min(a.part, lostPart/float64(members))
	a.tokens = min(a.tokens, a.part*(l.Rate+l.Burst))
	a.lost = true
	return a
}

// rest makes little of what this balancer gives out once it hears no word: relays count on for it no
// longer. The next word tells its part anew.
func (b *Book) rest() {
	for team, a := range b.accounts {
		a.part = min(a.part, lostPart/float64(max(1, b.members)))
		b.accounts[team] = a
	}
}

// Failed notes that a report was not answered. What a balancer gives out of teams on which it has
// heard no word is little from then on.
func (b *Book) Failed(now time.Time) {
	b.counter.Failed()
	if b.failing.IsZero() {
		b.failing = now
	}
	if b.lost || b.members == 0 || now.Sub(b.failing) < lostAfter {
		return
	}
	b.lost = true
	for team, a := range b.accounts {
		if !a.heard {
			b.accounts[team] = a.withLostPart(b.limits[team], b.members)
		}
	}
}
