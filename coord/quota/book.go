package quota

import (
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/lotuswing/lotuswing/coord/tally"
)

// teamPrefix begins the keys under which the requests of teams are counted; the team's name
// follows.
const teamPrefix = "team/"

// returnedPrefix begins those under which the requests are counted that were put back. They are
// counted apart so that no total ever falls: a relay takes a total that is below one that was told
// before for that of a balancer which has counted elsewhere meanwhile.
const returnedPrefix = "returned/"

// Answer is what a relay says to a report. Package gob sends the names of the fields.
type Answer struct {
	Taken bool          // the one that was asked is a relay, and counts what it was told
	Words []Word        // on the teams that the report named
	Pause time.Duration // between two reports of the asker, at the least
	// Members is how many balancers the relay has heard of lately, in all zones; 0 from
	// earlier versions.
	Members int
}

// Book has the accounts of all teams of one balancer, with what it and, at a relay, others
// have counted.
type Book struct {
	from    string
	zone    string
	life    uint64
	counter *tally.Counter
	ledger  *tally.Ledger
	relay   bool
	// relaySince is when this balancer became a relay.
	relaySince time.Time
	accounts   map[string]Account
	limits     map[string]Limit // as of the last request
	pause      time.Duration    // as told by the relay
	members    int              // balancers that there are, as told by the relay; 0 for not known
	failing    time.Time        // since when no report was answered; zero while they are
	lost       bool             // none was for so long that nothing will be heard
	rng        *rand.Rand
}

// NewBook returns the book of one life of a balancer, which a random number tells from
// others of the same address.
func NewBook(from, zone string, life uint64) *Book {
	return &Book{
		from: from, zone: zone, life: life, counter: tally.NewCounter(from, zone, life), ledger: tally.NewLedger(from, zone, life),
		accounts: map[string]Account{}, limits: map[string]Limit{}, rng: rand.New(rand.NewPCG(life, 1)),
	}
}

// Take takes one request out of a team's quota, or says when there may be room.
func (b *Book) Take(team string, l Limit, now time.Time) (ok bool, retryAfter time.Duration) {
	if l.Unlimited() {
		return true, 0
	}
	a := b.account(team, l, now)
	a, ok = a.WithTake(l, now)
	b.accounts[team] = a
	if !ok {
		return false, a.RetryAfter(l, b.rng.Float64())
	}
	b.counter.Add(teamPrefix+team, 1, now)
	if b.presses(a, l, now) {
		b.counter.Urge()
	}
	if !a.mayTake(l, now) {
		b.counter.Hurry() // the next request needs another word
	}
	return true, 0
}

// Repeat counts a request of a team that is sent once more, after an attempt that may have
// run: it has been let in already.
func (b *Book) Repeat(team string, now time.Time) {
	a, ok := b.accounts[team]
	if !ok {
		return // it has no quota
	}
	b.accounts[team] = a.WithTaken(1)
	b.counter.Add(teamPrefix+team, 1, now)
}

// Return puts a request back that was not sent.
func (b *Book) Return(team string, now time.Time) {
	a, ok := b.accounts[team]
	if !ok {
		return // it had no quota
	}
	b.accounts[team] = a.WithTaken(-1)
	b.counter.Add(returnedPrefix+team, 1, now)
}

// Add counts something that has no quota.
func (b *Book) Add(key string, n int64, now time.Time) { b.counter.Add(key, n, now) }

// Sum returns what the fleet has counted under a key, as far as this relay knows.
func (b *Book) Sum(key string) int64 { return b.ledger.Sum(key) }

// Sums returns what the fleet has counted under all keys that begin with a prefix, by what
// follows it, as far as this relay knows.
func (b *Book) Sums(prefix string) map[string]int64 { return b.ledger.Sums(prefix) }

// account returns a team's account under a limit that is in force.
func (b *Book) account(team string, l Limit, now time.Time) Account {
	b.limits[team] = l
	a, ok := b.accounts[team]
	if !ok {
		a = b.newAccount(l, now)
	}
	if b.relay && !a.heard {
		a = a.AsRelay(l, 0, b.unusedSince(now), now)
	}
	return a
}

// unusedSince returns since when nobody has used a team's quota of which this relay has heard nothing.
// Those that it does not hear of may have.
func (b *Book) unusedSince(now time.Time) time.Time {
	if b.ledger.HearsAll(now) {
		return b.relaySince
	}
	return now
}

// presses reports whether the relay should hear soon of requests of a team: while nothing
// was heard of it, while its bucket is no longer nearly full, and where balancers seldom see it.
func (b *Book) presses(a Account, l Limit, now time.Time) bool {
	return a.silent(now) || a.tokens < calmFill*l.Burst || !b.relay && b.seldom(l)
}

const (
	// calmFill is how full a bucket is, as a part, for balancers to report seldom.
	calmFill = 0.7
	// calmPause and urgentPause are between two reports. A team that begins to send four times
	// its rate takes a burst of one second's rate within 0.3 s, so that all report often before
	// it is used up.
	calmPause   = 250 * time.Millisecond
	urgentPause = 100 * time.Millisecond
	// hurryPause is the same for a balancer that has taken its part of what the last word told.
	hurryPause = 20 * time.Millisecond
	// callsPerSecond is how many reports a relay takes, of 0.1 ms of its processor each.
	callsPerSecond = 1000
)

// pauses returns the pauses between two reports of this balancer.
func (b *Book) pauses() tally.Pauses {
	return tally.Pauses{Calm: max(calmPause, b.pause), Urgent: max(urgentPause, b.pause), Hurry: max(hurryPause, b.pause/2)}
}

// Due returns when the next report is due; ok is false while there is nothing to tell.
func (b *Book) Due(now time.Time) (at time.Time, ok bool) {
	if !b.relay {
		return b.counter.Due(b.pauses(), now)
	}
	own, anyOwn := b.counter.Due(b.pauses(), now)
	zone, anyZone := b.ledger.ZoneDue(tally.Pauses{Calm: calmPause, Urgent: urgentPause}, now)
	switch {
	case !anyOwn:
		return zone, anyZone
	case anyZone && zone.Before(own):
		return zone, true
	}
	return own, true
}

// SetRelay says whether this balancer is a relay.
func (b *Book) SetRelay(relay bool, now time.Time) {
	if relay == b.relay {
		return
	}
	b.relay, b.relaySince = relay, now
	b.life++ // what others have told meanwhile was told to others
	b.ledger = tally.NewLedger(b.from, b.zone, b.life)
	for team, a := range b.accounts {
		if relay {
			b.accounts[team] = a.AsRelay(b.limits[team], 0, now, now)
		} else {
			b.accounts[team] = a.AsFollower()
		}
	}
}

// IsRelay reports whether this balancer is one.
func (b *Book) IsRelay() bool { return b.relay }

// Report returns what a follower tells its relay, which is then waited for.
func (b *Book) Report(now time.Time) tally.Report {
	r := b.counter.Report(now)
	for _, c := range r.Counts {
		if team, ok := strings.CutPrefix(c.Key, teamPrefix); ok {
			b.accounts[team] = b.accounts[team].with(b.limits[team], now).WithAsked(now)
		}
	}
	if r.Rests {
		b.rest()
	}
	return r
}

// Answered takes a relay's answer to a report.
func (b *Book) Answered(r tally.Report, answer Answer, now time.Time) {
	if !answer.Taken {
		b.Failed(now)
		return
	}
	b.counter.Taken(r)
	b.pause, b.members = answer.Pause, answer.Members
	b.failing, b.lost = time.Time{}, false
	for _, w := range answer.Words {
		team := strings.TrimPrefix(w.Key, teamPrefix)
		if l, ok := b.limits[team]; ok && !b.relay {
			b.accounts[team] = b.accounts[team].WithWord(l, w, float64(b.unreported(team)), b.rng.Float64(), now)
		}
	}
}

// unreported returns how many requests of a team were taken here, less those put back, that no
// relay knows of.
func (b *Book) unreported(team string) int64 {
	return b.counter.Unreported(teamPrefix+team) - b.counter.Unreported(returnedPrefix+team)
}

// Status is what is known of a team's bucket, for operators.
type Status struct {
	Team   string
	Limit  Limit
	Tokens float64 // left, as far as is known here
	Others float64 // rate of all other balancers, a second
	Alone  bool    // no word is heard: the balancer keeps to its own part
	Part   float64 // of the quota that is its own then
	Total  int64   // requests sent here since the start
}

// Status returns what is known of all teams that have sent anything here, by name.
func (b *Book) Status(now time.Time) []Status {
	var all []Status
	for _, team := range slices.Sorted(maps.Keys(b.accounts)) {
		l := b.limits[team]
		a := b.accounts[team].with(l, now)
		all = append(all, Status{
			Team: team, Limit: l, Tokens: a.tokens, Others: a.others, Alone: a.silent(now), Part: a.part,
			Total: b.counter.Total(teamPrefix+team) - b.counter.Total(returnedPrefix+team),
		})
	}
	return all
}
