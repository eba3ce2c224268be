package quota

import "time"

// A team may send so little that each balancer hardly ever sees it. What such a balancer was told of
// the team's bucket is old then, and if each let a request go on an old word, as many would be sent
// as there are balancers. Those teams' requests wait for a word that is new.

const (
	// AskWithin is how long a request waits for a word at most: several round trips within a zone.
	AskWithin = 25 * time.Millisecond
	// recent is how old a word may be that needs no other one.
	recent = urgentPause
	// fewRequests is how many requests a balancer's part of a quota holds, over a second with its
	// burst, where the team counts as one that each balancer seldom sees.
	fewRequests = 2
)

// Asks reports whether the next request of a team should wait for a word, and has one asked for.
func (b *Book) Asks(team string, l Limit, now time.Time) bool {
	if b.relay || b.lost || !b.failing.IsZero() || l.Unlimited() || !b.seldom(l) {
		return false
	}
	a := b.account(team, l, now)
	if now.Sub(a.told) < recent || a.unanswered(now) {
		return false
	}
	b.accounts[team] = a
	b.counter.Add(teamPrefix+team, 0, now)
	b.counter.Hurry()
	return true
}

// seldom reports whether each balancer's part of a quota is little. Before any report was answered
// nothing is known of the others, which may be many.
func (b *Book) seldom(l Limit) bool {
	return b.members == 0 || l.Rate+l.Burst < fewRequests*float64(b.members)
}

// unanswered reports whether a word is awaited for longer than requests wait.
func (a Account) unanswered(now time.Time) bool {
	return !a.waiting.IsZero() && now.Sub(a.waiting) > AskWithin
}
