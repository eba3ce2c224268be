package quota

import "time"

// Attempt is what is known of a request that asks for a token.
type Attempt struct {
	Age    time.Duration // time from the caller's first attempt until the expected response; 0 if unknown
	Target time.Duration // time after its first attempt by which the caller needs a response; 0 for none
}

// Late reports whether the request can no longer be answered within its target.
func (t Attempt) Late() bool { return t.Target > 0 && t.Age > t.Target }

// WithTakeBy is like WithTake for a request of which more is known. A late request gets a token only
// from a bucket that is partly full: a new request gains more from the tokens of an exhausted one.
func (a Account) WithTakeBy(l Limit, t Attempt, now time.Time) (Account, bool) {
	a = a.advance(l, now)
	if t.Late() && a.tokens < partFull*a.capacityNow(l, now) {
		return a, false
	}
	return a.WithTake(l, now)
}

// capacityNow returns how many tokens the bucket can hold now: on an isolated balancer, those of its
// share.
func (a Account) capacityNow(l Limit, now time.Time) float64 {
	if a.isolated(now) {
		return l.capacity(a.share)
	}
	return l.capacity(a.coverage)
}

const (
	// maxRetryAfter is the longest time that refused callers are told. A caller that waits for 3 s and
	// honours a third of that comes back within it.
	maxRetryAfter = time.Second
	// minRetryShare is the least share of the rate from which the times of refused callers are computed,
	// so that a balancer without a share names a time, too.
	minRetryShare = 0.001
)

// RetryAfter returns how long to wait until a refused request may be admitted. promised is the time
// that the last refused caller of the team was told by this balancer. Each further caller is told a time
// that is later by the time in which the balancer's share of the rate adds a token, so that they do not
// come back together. Beyond maxRetryAfter, and for late requests, times are spread over the second half
// of it. spread is a random number in [0, 1).
func (a Account) RetryAfter(l Limit, t Attempt, promised time.Time, spread float64, now time.Time) (after time.Duration, next time.Time) {
	missing := max(0, 1-a.tokens)
	perToken := seconds(1 / (l.Rate * max(a.share, minRetryShare)))
	free := now.Add(seconds(missing / l.Rate))
	if promised.After(free) {
		free = promised
	}
	at := free.Add(time.Duration(spread * float64(perToken)))
	if t.Late() || at.Sub(now) > maxRetryAfter {
		return time.Duration((1 + spread) / 2 * float64(maxRetryAfter)), promised
	}
	return at.Sub(now), free.Add(perToken)
}

// seconds returns a number of seconds, at most an hour, as a duration.
func seconds(s float64) time.Duration {
	return time.Duration(min(s, 3600) * float64(time.Second))
}
