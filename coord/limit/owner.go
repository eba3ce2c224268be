package limit

import (
	"maps"
	"time"
)

// What a book does at a relay: it keeps the buckets of endpoints from what others ask.

const (
	// askerFor is how long a balancer counts among those that ask.
	askerFor = 15 * time.Second
	// doubtfulPart is the part of a limit that an owner gives out which does not hear of the
	// store: another balancer may have become the relay in its place, and gives out the whole.
	doubtfulPart = 0.5
)

// Asked answers another balancer's asks, or this one's own. settled says that this relay hears of
// the store.
func (b *Book) Asked(from string, asks []Ask, settled bool, now time.Time) Reply {
	r := Reply{Taken: true, Askers: b.countAsker(from, now)}
	for _, a := range asks {
		b.Learn(a.Target, a.Word, now)
		if e, ok := b.known[a.Target]; ok {
			e.probes = e.probes || a.Probes
			r.Grants = append(r.Grants, b.grant(e, a, settled, now))
		}
	}
	return r
}

// grant decides about one ask.
func (b *Book) grant(e *entry, a Ask, settled bool, now time.Time) Grant {
	want := max(0, a.Want) // less than none would fill the bucket
	g := Grant{Target: a.Target, Permits: want, Word: e.word.Told(now), Probes: e.probes}
	rate, limited := e.word.RateAt(now)
	if !limited || want == 0 {
		return g
	}
	if !e.probes {
		rate = max(rate, trialRate)
	}
	if !settled {
		rate *= doubtfulPart
	}
	var d decision
	e.bucket, d = e.bucket.withAsk(rate, want, b.rng.Float64(), now)
	g.Permits, g.After, g.Look = d.permits, d.after, d.look && e.probes
	return g
}

// countAsker notes who asks and returns how many have lately. Those that ask no more are dropped
// seldom, because that looks at all.
func (b *Book) countAsker(from string, now time.Time) int {
	b.askers[from] = now
	if now.Sub(b.pruned) > askerFor/10 {
		b.pruned = now
		maps.DeleteFunc(b.askers, func(_ string, at time.Time) bool { return now.Sub(at) > askerFor })
	}
	return len(b.askers)
}

// Note returns what all balancers should hear of an endpoint from its owner, where there is
// something. It is told then.
func (b *Book) Note(t Target, now time.Time) (told Told, ok bool) {
	e, known := b.known[t]
	if !known {
		return Told{}, false
	}
	since := now.Sub(e.notedAt)
	renew := !e.word.Lifted() && since >= renewEvery
	if !e.notedAt.IsZero() && since < noteEvery || !e.word.News(e.noted) && !renew {
		return Told{}, false
	}
	e.noted, e.notedAt = e.word, now
	return e.word.Told(now), true
}

// NoteDue returns when there may be something to tell all balancers of an endpoint that was told
// of too lately; ok is false where there is nothing.
func (b *Book) NoteDue(t Target, now time.Time) (after time.Duration, ok bool) {
	e, known := b.known[t]
	if !known || !e.word.News(e.noted) {
		return 0, false
	}
	return max(0, noteEvery-now.Sub(e.notedAt)), true
}
