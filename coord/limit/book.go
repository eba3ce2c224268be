package limit

import (
	"math/rand/v2"
	"time"
)

const (
	// mostKnown is how many endpoints a book remembers; the one heard of longest ago goes.
	mostKnown = 4096
	// forgetAfter is when nothing is remembered any more of a limit of which nothing is heard,
	// or that was lifted.
	forgetAfter = 10 * time.Minute
	// noteEvery is the least time between two notes on one endpoint, and renewEvery when one
	// is told again for balancers that have started since: notes end.
	noteEvery  = time.Second
	renewEvery = 4 * time.Minute
)

// Book is what one balancer knows of the limits of endpoints: what they said, what this balancer
// may send them and, at a relay, the buckets of those that it owns. It is not safe for
// concurrent use.
type Book struct {
	known  map[Target]*entry
	askers map[string]time.Time // who asked this balancer, and when
	pruned time.Time            // when those were dropped last that ask no more
	rng    *rand.Rand
}

// entry is what is known of one endpoint.
type entry struct {
	word    Word
	probes  bool // its answers to probes name the limit, too
	account account
	told    Word // as the owner knows it, as far as this balancer does
	seen    time.Time
	sent    int64 // requests sent under its limit
	denied  int64 // asks in vain

	// At its owner.
	bucket  bucket
	noted   Word      // as the last note told it
	notedAt time.Time // when; zero for never
}

// NewBook returns an empty book. seed is a random number.
func NewBook(seed uint64) *Book {
	return &Book{known: map[Target]*entry{}, askers: map[string]time.Time{}, rng: rand.New(rand.NewPCG(seed, 1))}
}

// Len returns of how many endpoints anything is known.
func (b *Book) Len() int { return len(b.known) }

// Word returns what an endpoint last said.
func (b *Book) Word(t Target) Word {
	if e, ok := b.known[t]; ok {
		return e.word
	}
	return Word{}
}

// Answered takes what an endpoint's answer said, to a request or to a probe. An answer to a
// probe that lacks a limit says nothing unless one has named it.
func (b *Book) Answered(t Target, a Answer, probe bool) {
	e, ok := b.known[t]
	switch {
	case !ok && a.Said != Named:
		return
	case !ok:
		e = b.begin(t, a.Heard)
	}
	if probe {
		e.probes = e.probes || a.Said == Named
		a.Mute = a.Mute || !e.probes
	}
	b.learn(e, e.word.With(a), a.Heard)
}

// Learn takes what another balancer tells of an endpoint.
func (b *Book) Learn(t Target, told Told, now time.Time) {
	w := told.Word(now)
	if !w.Known() {
		return
	}
	e, ok := b.known[t]
	switch {
	case !ok:
		e = b.begin(t, now)
	case e.word.echoes(w):
		return
	}
	b.learn(e, e.word.Join(w), now)
}

// learn replaces the word on an endpoint. A looser one voids what was said of its room.
func (b *Book) learn(e *entry, w Word, now time.Time) {
	e.seen = now
	if e.word.stricter(w) && w.News(e.word) {
		e.account = e.account.opened()
	}
	e.word = w
}

// begin begins to remember an endpoint.
func (b *Book) begin(t Target, now time.Time) *entry {
	b.forget(now)
	e := &entry{seen: now}
	b.known[t] = e
	return e
}

// forget drops what is too old, and the oldest where there is no place.
func (b *Book) forget(now time.Time) {
	var oldest Target
	var seen time.Time
	for t, e := range b.known {
		if now.Sub(e.seen) > forgetAfter {
			delete(b.known, t)
			continue
		}
		if seen.IsZero() || e.seen.Before(seen) {
			oldest, seen = t, e.seen
		}
	}
	if len(b.known) >= mostKnown {
		delete(b.known, oldest)
	}
}

// Standing is what a balancer may do with an endpoint at one time.
type Standing uint8

// Admits reports whether a request may go to the endpoint.
func (s Standing) Admits() bool { return s == Free || s == Held }

// The standings.
const (
	Free     Standing = iota // there is no limit
	Held                     // a permit is there
	Askable                  // its owner may have room
	Withheld                 // nothing may go there now
)

// Standing returns it, and how long it is withheld where that is known; 0 where an ask is under
// way.
func (b *Book) Standing(t Target, now time.Time) (Standing, time.Duration) {
	e, ok := b.known[t]
	if !ok {
		return Free, 0
	}
	switch _, limited := e.word.RateAt(now); {
	case !limited:
		return Free, 0
	case e.account.holds(now):
		return Held, 0
	case e.account.asking:
		return Withheld, 0
	case now.Before(e.account.closed):
		return Withheld, e.account.closed.Sub(now)
	}
	return Askable, 0
}

// Use takes a permit for a request that goes to an endpoint now, where its limit wants one, and
// returns how the endpoint stood: the request may go where that is Free or Held.
func (b *Book) Use(t Target, now time.Time) Standing {
	s, _ := b.Standing(t, now)
	if s == Held {
		e := b.known[t]
		e.account = e.account.withUse()
		e.sent++
	}
	return s
}

// Ask begins to ask an endpoint's owner for room. ok is false where an ask is under way or in
// vain.
func (b *Book) Ask(t Target, now time.Time) (a Ask, ok bool) {
	if s, _ := b.Standing(t, now); s != Askable {
		return Ask{}, false
	}
	return b.ask(t, 1, now), true
}

// Tell begins to tell an endpoint's owner what the endpoint has said, where that is news for it.
func (b *Book) Tell(t Target, now time.Time) (a Ask, ok bool) {
	e, known := b.known[t]
	if !known || e.account.asking || !e.word.News(e.told) {
		return Ask{}, false
	}
	return b.ask(t, 0, now), true
}

func (b *Book) ask(t Target, want int, now time.Time) Ask {
	e := b.known[t]
	e.account.asking = true
	return Ask{Target: t, Want: want, Word: e.word.Told(now), Probes: e.probes}
}

// Replied takes the owner's answer to an ask. look says that the endpoint may be probed.
func (b *Book) Replied(a Ask, g Grant, askers int, now time.Time) (look bool) {
	e, ok := b.known[a.Target]
	if !ok {
		return false
	}
	e.account = e.account.withAnswer(g, askers, now)
	if a.Want > g.Permits {
		e.denied++
	}
	if a.Want == 0 {
		e.account.closed = time.Time{} // nothing was said of room
	}
	e.probes = e.probes || g.Probes
	e.told = a.Word.Word(now)
	b.Learn(a.Target, g.Word, now)
	return g.Look
}

// Unanswered notes that the owner did not answer an ask, or that nobody owns the endpoint.
func (b *Book) Unanswered(a Ask, now time.Time) {
	e, ok := b.known[a.Target]
	if !ok {
		return
	}
	rate, _ := e.word.RateAt(now)
	if a.Want == 0 {
		e.account.asking = false
		return
	}
	e.account = e.account.withoutAnswer(rate, b.rng.Float64(), now)
}

// Resume notes that the VM was suspended: nobody knows how old a permit is.
func (b *Book) Resume() {
	for _, e := range b.known {
		e.account.permits = 0
	}
}
