// Package admission decides whether and from when an endpoint may get a request.
//
// Four sources bear on that: what the store lists, what the endpoint says in its answers (a Word:
// that it leaves, or wants no requests for a while), how many requests a second it takes, and what
// became of the requests since it last wanted none. Decide is the one rule that puts them together.
// A State keeps what one start of an endpoint has said.
//
// After a backoff an endpoint starts slowly: one request at a time until one has run, and a share of
// the usual requests that grows to all of them.
//
// The package owns no state and has no clock; times and random numbers are arguments.
//
// # Usage
//
//	state = state.With(admission.Word{Backoff: 3 * time.Second}, now)
//	d := admission.Decide(admission.Facts{Usable: true, State: state, Lot: rng.Float64()}, now)
//	if d.Access == admission.Open { send }
package admission

import (
	"time"

	"github.com/lotuswing/lotuswing/coord/limit"
)

// Facts are what is known of one start of an endpoint when a request might go there.
type Facts struct {
	Usable bool // it is listed as one that may get requests
	State  State
	// Limit is whether it may be sent anything, where it names how many requests a second it takes,
	// and LimitOpens for how long it may not; 0 where that is not known.
	Limit      limit.Standing
	LimitOpens time.Duration
	Lot        float64 // random, in [0,1), of the request and the endpoint
	Priority   int     // of the request, 0 the most urgent
}

// Access says whether a request may go to an endpoint.
type Access uint8

// The accesses.
const (
	Open    Access = iota // it may
	Askable               // it may if the owner of the endpoint's limit has room
	Shut                  // not now
	Never                 // not any more
)

// Cause says why a request may not go to an endpoint now.
type Cause uint8

// The causes.
const (
	None Cause = iota
	Unusable
	Leaving
	BackingOff
	SlowStart
	Limited
)

// String returns the name used in logs and for operators.
func (c Cause) String() string {
	return [...]string{"", "unusable", "leaving", "backing-off", "slow-start", "limited"}[c]
}

// Decision is whether and from when a request may go to an endpoint.
type Decision struct {
	Access Access
	Cause  Cause
	Held   bool // it is Open because the owner of the endpoint's limit has given room
	// Deferred: the endpoint is likely to refuse the request, so that others go before it.
	Deferred bool
	OpensIn  time.Duration // where it is Shut: for how long; 0 where that is not known
}

// Admits reports whether the request may go there now.
func (d Decision) Admits() bool { return d.Access == Open }

// Decide is the rule for one request and one endpoint. What the endpoint says of all requests
// comes before what it says of how many.
func Decide(f Facts, now time.Time) Decision {
	switch {
	case !f.Usable:
		return Decision{Access: Never, Cause: Unusable}
	case f.State.silent():
		return f.underLimit()
	}
	return f.afterWords(now)
}

// afterWords decides where the endpoint, or another balancer, has said something.
func (f *Facts) afterWords(now time.Time) Decision {
	opens, tried := f.State.own.opens(f.Lot, f.Priority), f.State.tried(now)
	switch {
	case f.State.Leaving():
		return Decision{Access: Never, Cause: Leaving}
	case f.State.BackingOff(now):
		return Decision{Access: Shut, Cause: BackingOff, OpensIn: opens.Sub(now)}
	case now.Before(opens):
		return Decision{Access: Shut, Cause: SlowStart, OpensIn: opens.Sub(now)}
	case now.Before(tried):
		return Decision{Access: Shut, Cause: SlowStart, OpensIn: tried.Sub(now)}
	}
	d := f.underLimit()
	d.Deferred = d.Admits() && now.Before(f.State.others.opens(f.Lot, f.Priority))
	return d
}

// underLimit decides by how many requests a second the endpoint takes.
func (f *Facts) underLimit() Decision {
	switch f.Limit {
	case limit.Withheld:
		return Decision{Access: Shut, Cause: Limited, OpensIn: f.LimitOpens}
	case limit.Askable:
		return Decision{Access: Askable, Cause: Limited}
	case limit.Free, limit.Held:
	}
	return Decision{Held: f.Limit == limit.Held}
}

// Willing reports whether the endpoint still may get a request that was chosen for it before: no
// word of it speaks against that.
func Willing(usable bool, s State, now time.Time) bool {
	return usable && !s.Leaving() && !s.BackingOff(now)
}
