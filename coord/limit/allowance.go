package limit

import "time"

const (
	// permitTTL is how long a permit may be used. While it is unused, capacity of the endpoint that
	// other balancers could use stays idle.
	permitTTL = 500 * time.Millisecond
	// fallbackShare is the fraction of a limit that all balancers without a reply from the owner
	// use together. The owner may be granting the whole limit to others.
	fallbackShare = 0.5
	// defaultAskers is the number of asking balancers that is assumed when the owner has not
	// reported it within askersTTL.
	defaultAskers = 100
	askersTTL     = 30 * time.Second
	// fallbackTTL is how long a balancer without a reply may use a send time that was drawn for
	// it. Unused send times expire rather than accumulate, because all balancers would use them at
	// once.
	fallbackTTL = time.Second
	// askRetryDelay is how long a balancer waits after an unanswered ask before it asks again.
	askRetryDelay = 500 * time.Millisecond
)

// allowance is what one balancer may currently send to one endpoint. It is an immutable value.
type allowance struct {
	permits    int
	expires    time.Time // when the permits expire
	retryAt    time.Time // no ask before this time: the owner has no tokens until then, or did not reply
	askers     int       // number of balancers that ask the owner, as it last reported
	askersAt   time.Time // when askers was reported
	fallbackAt time.Time // send time drawn while the owner does not reply; zero for none
	askPending bool      // an ask is in flight
}

// hasPermit reports whether an unexpired permit is left.
func (a allowance) hasPermit(now time.Time) bool { return a.permits > 0 && !now.After(a.expires) }

// withReply returns the allowance after the owner's reply.
func (a allowance) withReply(g Grant, askers int, now time.Time) allowance {
	if !a.hasPermit(now) {
		a.permits = 0
	}
	a.permits += g.Permits
	a.expires, a.retryAt = now.Add(permitTTL), now.Add(g.After)
	a.askers, a.askersAt = askers, now
	a.askPending, a.fallbackAt = false, time.Time{}
	return a
}

// withoutReply returns the allowance after an ask to the owner failed. It contains one permit if
// the drawn send time has come. rate is the limit of the endpoint in requests per second, and
// random a number in [0,1).
func (a allowance) withoutReply(rate, random float64, now time.Time) allowance {
	a.askPending = false
	if a.fallbackAt.IsZero() || now.Sub(a.fallbackAt) > fallbackTTL {
		a.fallbackAt = now.Add(a.fallbackDelay(rate, random, now))
	}
	a.retryAt = now.Add(askRetryDelay)
	if now.Before(a.fallbackAt) {
		return a
	}
	a.permits, a.expires = 1, now.Add(permitTTL)
	a.fallbackAt = now.Add(a.fallbackDelay(rate, random, now))
	return a
}

// fallbackDelay returns the time until the next request that this balancer may send without a
// permit from the owner. It is drawn at random, so that the balancers do not send together, and
// its mean gives all of them together fallbackShare of the limit. random is a number in [0,1).
func (a allowance) fallbackDelay(rate, random float64, now time.Time) time.Duration {
	askers := a.askers
	if askers == 0 || now.Sub(a.askersAt) > askersTTL {
		askers = max(defaultAskers, askers)
	}
	mean := float64(askers) / (fallbackShare * max(rate, minTrialRate))
	return time.Duration(2 * random * mean * float64(time.Second))
}

// withPermitUsed returns the allowance after a request was sent under a permit.
func (a allowance) withPermitUsed() allowance {
	a.permits--
	return a
}

// withLimitRaised returns the allowance after the limit was raised or lifted. Delays that were
// based on the old limit no longer apply.
func (a allowance) withLimitRaised() allowance {
	a.retryAt, a.fallbackAt = time.Time{}, time.Time{}
	return a
}
