package limit

import "time"

const (
	// permitLife is how long a permit may be used: one that was given out and waits is room
	// that the endpoint has kept free.
	permitLife = 500 * time.Millisecond
	// alonePart is the part of a limit that all balancers together take that get no answer
	// from an endpoint's owner: it may let others have the whole.
	alonePart = 0.5
	// strangers is for how many balancers one holds itself that has not been told lately how
	// many ask, and askersFor how long that word counts.
	strangers = 100
	askersFor = 30 * time.Second
	// openFor is how long a balancer that gets no answer may use a moment that was drawn for
	// it. Moments are not saved up: all balancers would have one at the same time.
	openFor = time.Second
	// askAgain is when it asks once more.
	askAgain = 500 * time.Millisecond
)

// account is what one balancer may send to one endpoint. It is an immutable value.
type account struct {
	permits int
	until   time.Time // the permits may be used
	closed  time.Time // before it asking is in vain
	askers  int       // balancers that ask, as told
	told    time.Time // when that was told
	opens   time.Time // the moment drawn for a balancer without an answer; zero for none
	asking  bool      // an ask is under way
}

// holds reports whether a permit is there.
func (a account) holds(now time.Time) bool { return a.permits > 0 && !now.After(a.until) }

// withAnswer returns the account after the owner's answer.
func (a account) withAnswer(g Grant, askers int, now time.Time) account {
	if !a.holds(now) {
		a.permits = 0
	}
	a.permits += g.Permits
	a.until, a.closed = now.Add(permitLife), now.Add(g.After)
	a.askers, a.told = askers, now
	a.asking, a.opens = false, time.Time{}
	return a
}

// withoutAnswer returns the account after the owner did not answer, of an endpoint that takes so
// many requests a second. random is a number from 0 to 1.
func (a account) withoutAnswer(rate, random float64, now time.Time) account {
	a.asking = false
	if a.opens.IsZero() || now.Sub(a.opens) > openFor {
		a.opens = now.Add(a.drawn(rate, random, now))
	}
	a.closed = now.Add(askAgain)
	if now.Before(a.opens) {
		return a
	}
	a.permits, a.until = 1, now.Add(permitLife)
	a.opens = now.Add(a.drawn(rate, random, now))
	return a
}

// drawn returns the time to the next moment that is this balancer's own: at random, so that the
// moments of all balancers are spread, and as often as its part of the limit.
func (a account) drawn(rate, random float64, now time.Time) time.Duration {
	askers := a.askers
	if askers == 0 || now.Sub(a.told) > askersFor {
		askers = max(strangers, askers)
	}
	mean := float64(askers) / (alonePart * max(rate, trialRate))
	return time.Duration(2 * random * mean * float64(time.Second))
}

// withUse returns the account after a request was sent under a permit.
func (a account) withUse() account {
	a.permits--
	return a
}

// opened returns the account after the limit has changed: what was said of room is void.
func (a account) opened() account {
	a.closed, a.opens = time.Time{}, time.Time{}
	return a
}
