// Package quota bounds how many requests a team may have run a second, over all balancers
// together, without agreement.
//
// A team's quota is a token bucket of the whole fleet. Each zone's relay keeps that bucket
// from what all balancers count (coord/tally), and tells each balancer with the answer to
// its reports how many tokens are left and how fast the others take them (Word). Between
// two words a balancer goes on from there: its own requests take tokens, the others are
// taken to go on as fast as before. One that hears no word keeps to the part of the rate
// that was its own while it heard, and the relays count on for those that they do not hear:
// the sum stays within the quota on either side of a cut. Where a balancer's part is a request
// or two, its next request waits for a word that is new (Book.Asks).
//
// An Account is what one balancer, relay or not, knows of one team's bucket. It is an
// immutable value; the Book keeps those of all teams. Neither is safe for concurrent use.
//
// # Usage
//
//	book := quota.NewBook(addr, zone, life)
//	limit := quota.Limit{Rate: 20, Burst: 40}
//	if book.Asks("medina", limit, now) {
//		// report, and wait for the answer or for AskWithin
//	}
//	ok, after := book.Take("medina", limit, now)
package quota

import (
	"math"
	"time"
)

// Limit is the quota of a team.
type Limit struct {
	Rate  float64 // requests a second; 0 for no limit
	Burst float64 // requests above that at once, saved up while fewer are sent
	// Spare is how many requests above both the operators bear with, for what balancers
	// cannot know of one another. A team that sends few through many balancers is refused
	// only beyond it.
	Spare float64
}

// full returns the tokens of a full bucket, or of a part of one.
func (l Limit) full(part float64) float64 { return max(1, part*(givenOut*l.Burst+l.Spare)) }

// givenOut is the part of a burst that is given out. The rest is for what no bucket sees:
// requests that were let in and wait for room, and go out together.
const givenOut = 0.85

// Unlimited reports whether there is no quota.
func (l Limit) Unlimited() bool { return l.Rate <= 0 }

const (
	// silentAfter is how long a balancer waits for a word before it keeps to its own part.
	// Words come after a round trip within the zone; so long a call takes only where it
	// fails.
	silentAfter = 400 * time.Millisecond
	// believedFor is how long the others are taken to go on as fast as a word told: two
	// calm pauses. A balancer that the team does not use hears no more words, and what its
	// last one told of a busy moment would have it refuse the next request.
	believedFor = 500 * time.Millisecond
	// staleAfter is when a word counts as none, so that the next request goes out and asks
	// for another one.
	staleAfter = 2 * time.Second
	// freshPart is the part of a quota that a balancer gives out before it has heard any word:
	// after a start a first word takes a round trip, and where there is no relay yet all that
	// were killed together may be in that state at once.
	freshPart = 0.02
	// freshTokens are given out at the least before any word, so that the first requests of
	// a small team need not wait for one.
	freshTokens = 3
	// startFill is the part of its burst with which a bucket begins that nobody tells
	// anything of: before a restart of all it may have been empty or full.
	startFill = 0.8
	// youngFor is how long a relay that has heard nothing before asks others for their word.
	youngFor = time.Second
	// calmTokens may be taken at the least between two words while the bucket is nearly full:
	// the part of a balancer that a small team seldom uses is less than a request.
	calmTokens = 6
	// easyTokens are the same while the bucket is at least easyFill full, as a part.
	easyTokens = 4
	easyFill   = 0.25
	// mostDebt bounds, in seconds of the rate, how far a bucket may go below zero when more was
	// given out than it held, as balancers that did not hear of one another may. Without a bound
	// a team would be refused for long after a cut.
	mostDebt = 2
)

// Word is what a relay tells a balancer of a team's bucket. Package gob sends the names of
// the fields.
type Word struct {
	Key    string
	Tokens float64 // left in the bucket, after all that the report told
	Others float64 // rate, a second, at which all other balancers take tokens
	Part   float64 // of the rate that is the asker's own while it hears no word
}

// Account is what one balancer knows of one team's bucket.
type Account struct {
	tokens  float64
	at      time.Time // as of which
	others  float64   // taken by others, a second
	rivals  float64   // requests that others send until the relay has told of them
	part    float64   // of the quota that is this balancer's, for lack of a newer word
	word    float64   // tokens that the last word told
	taken   float64   // requests taken since
	lot     float64   // random, of the word; rounds a part of a token up or down
	heardOf float64   // part of the quota whose users a relay hears of; 1 elsewhere
	young   time.Time // until then a relay knows less of the bucket than those of other zones
	relay   bool      // it hears of others' requests as they happen
	heard   bool      // a word was heard, ever
	lost    bool      // none was heard, and nobody is
	told    time.Time // when the last word was heard
	waiting time.Time // since when a word is awaited; zero for none
}

// NewAccount returns an account of which nothing has been heard.
func NewAccount(l Limit, now time.Time) Account {
	return Account{tokens: max(freshTokens, freshPart*(l.Rate+l.Burst)), at: now, part: freshPart, heardOf: 1}
}

// silent reports whether the account has to do without the relays.
func (a Account) silent(now time.Time) bool {
	return !a.heard || !a.waiting.IsZero() && now.Sub(a.waiting) > silentAfter
}

// with returns the account as of now.
func (a Account) with(l Limit, now time.Time) Account {
	dt := max(0, now.Sub(a.at).Seconds())
	if a.silent(now) {
		a.tokens += l.Rate * a.part * dt
		full := l.full(a.part)
		if !a.heard && !a.lost {
			full = max(full, freshTokens)
		}
		a.tokens = min(a.tokens, full)
		if a.heard && !a.relay {
			a.tokens = min(a.tokens, max(1, a.share(l, now))-a.taken)
		}
	} else {
		a.tokens += l.Rate*dt - a.others*a.believed(now).Seconds()
		if now.Sub(a.told) > staleAfter {
			a.tokens = max(a.tokens, freshTokens)
		}
	}
	a.tokens = max(-mostDebt*l.Rate, min(a.tokens, l.full(a.heardOf)))
	a.at = now
	return a
}

// believed returns for how much of the time up to now the others are taken to go on as the
// last word told.
func (a Account) believed(now time.Time) time.Duration {
	end := a.told.Add(believedFor)
	if now.Before(end) {
		end = now
	}
	return max(0, end.Sub(a.at))
}

// WithTake returns the account after one more request, if it may be sent.
func (a Account) WithTake(l Limit, now time.Time) (Account, bool) {
	a = a.with(l, now)
	if a.tokens < 1 || !a.mayTake(l, now) {
		return a, false
	}
	a.tokens--
	a.taken++
	return a, true
}

// mayTake reports whether one more request is within what a balancer may take before it hears the
// next word: its part of the tokens that the last one told and of what came since. All see the same
// tokens: if each took all of them, many times the quota would be sent. Of a team that sends little
// that part is less than a request, but hardly anybody else asks for the same tokens meanwhile.
func (a Account) mayTake(l Limit, now time.Time) bool {
	if a.told.IsZero() || a.silent(now) || a.relay {
		return true
	}
	mine := a.share(l, now)
	switch {
	case a.word >= calmFill*l.Burst:
		mine = max(mine, calmTokens)
	case a.word >= easyFill*l.Burst:
		mine = max(mine, easyTokens+a.lot)
	default:
		mine = max(mine, 1/max(1, a.rivals))
	}
	return a.taken+a.lot <= mine
}

// WithTaken returns the account after requests of others were counted, or taken back.
func (a Account) WithTaken(n float64) Account {
	a.tokens -= n
	return a
}

// WithAsked returns the account after a word was asked for.
func (a Account) WithAsked(now time.Time) Account {
	if a.waiting.IsZero() {
		a.waiting = now
	}
	return a
}

// share returns this balancer's part of the tokens that the last word told and of what came since.
func (a Account) share(l Limit, now time.Time) float64 {
	return a.part * (max(0, a.word) + l.Rate*now.Sub(a.told).Seconds())
}

// certain returns the rate that is certain where a rate was seen for a second: of a few requests
// that came together by chance, two standard deviations are left out.
func certain(perSecond float64) float64 { return max(0, perSecond-2*math.Sqrt(max(0, perSecond))) }

// WithWord returns the account after a relay's word to a report. unreported is how many
// requests were counted here since the report was made.
// lot is a random number from 0 to 1.
func (a Account) WithWord(l Limit, w Word, unreported, lot float64, now time.Time) Account {
	return Account{
		tokens: w.Tokens - unreported, at: now, others: certain(w.Others), part: w.Part, heardOf: 1, heard: true, told: now,
		rivals: w.Others * urgentPause.Seconds(),
		word:   w.Tokens, taken: unreported, lot: lot,
	}.with(l, now)
}

// AsRelay returns the account of a relay, which hears of the others' requests as they
// happen; unheard is the rate of those of which it does not. These hold their part of the
// burst as well, which is taken off and given back. A bucket of which it has heard nothing has filled since a time.
func (a Account) AsRelay(l Limit, unheard float64, since, now time.Time) Account {
	if !a.heard {
		a = Account{tokens: startFill * l.Burst, at: since, heardOf: 1, heard: true, told: now, young: now.Add(youngFor)}
	}
	a.waiting, a.relay = time.Time{}, true
	a.others, a.told = unheard, now
	heardOf := 1 - min(1, unheard/l.Rate)
	a.tokens += (heardOf - a.heardOf) * (givenOut*l.Burst + l.Spare) // those hold their part of the burst, too
	a.heardOf = heardOf
	return a.with(l, now)
}

// AsFollower returns the account of a balancer that is no relay any more.
func (a Account) AsFollower() Account {
	a.relay = false
	return a
}

// WithPeer returns a relay's account after the word of a relay of another zone: while it is
// young it knows nothing of what was taken before.
func (a Account) WithPeer(w Word, now time.Time) Account {
	if now.Before(a.young) {
		a.tokens = min(a.tokens, w.Tokens)
	}
	return a
}

// RetryAfter returns when a request that was refused may find room, if nobody else takes it.
// spread is a random number from 0 to 1: those that are refused at once come back one after
// the other.
func (a Account) RetryAfter(l Limit, spread float64) time.Duration {
	missing := max(0, 1-a.tokens) + spread*l.Rate*retrySpread
	return time.Duration(missing / l.Rate * float64(time.Second))
}

// retrySpread is over how many seconds those come back that were refused: one request for each
// token that comes meanwhile, if all tokens went to them.
const retrySpread = 0.5
