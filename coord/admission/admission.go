// Package admission decides whether and when an endpoint may get a request.
//
// The decision depends on four sources: whether the store lists the endpoint as usable, what the
// endpoint has said in its answers (a Signal: that it is leaving, or wants no requests for a while),
// how many requests per second it accepts, also while it warms up, and the outcome of the requests since its last backoff.
// Decide combines them. A State holds what one incarnation of an endpoint has said.
//
// After a backoff an endpoint starts slowly: it gets one request at a time until it has run
// one, and a share of its usual requests that grows to all of them.
//
// The package has no global state and reads no clock; times and random numbers are arguments.
//
// # Usage
//
//	state = state.With(admission.Signal{Backoff: 3 * time.Second}, now)
//	d := admission.Decide(admission.Facts{Usable: true, State: state, Random: rng.Float64()}, now)
//	if d.Access == admission.Open { send }
package admission

import (
	"time"

	"github.com/lotuswing/lotuswing/coord/limit"
	"github.com/lotuswing/lotuswing/coord/warmup"
)

// Facts are the inputs of Decide for one request and one incarnation of an endpoint.
type Facts struct {
	Usable bool // the store lists the endpoint as one that may get requests
	State  State
	// Limit is the endpoint's standing under the limit of requests per second that it names.
	// LimitOpens is how long it still gets no requests because of that limit; 0 if unknown.
	Limit      limit.Standing
	LimitOpens time.Duration
	// WarmingUp says that the endpoint is warming up, Warmup its standing then, and WarmupOpens how long
	// it still gets no requests because of that; 0 if unknown.
	WarmingUp   bool
	Warmup      warmup.Standing
	WarmupOpens time.Duration
	Random      float64 // random number in [0,1) for this request and endpoint
	Priority    int     // priority of the request; 0 is the most urgent
}

// Access says whether a request may be sent to an endpoint.
type Access uint8

// The values of Access.
const (
	Open     Access = iota // it may be sent
	Askable                // it may be sent if the owner of the endpoint's limit, or of its warm-up, grants a permit
	Closed                 // it may not be sent now
	Excluded               // no request may be sent to this incarnation any more
)

// Cause says why a request may not be sent to an endpoint now.
type Cause uint8

// The values of Cause.
const (
	None Cause = iota
	Unusable
	Leaving
	BackingOff
	SlowStart
	Limited
	WarmingUp
)

// String returns the name used in logs and shown to operators.
func (c Cause) String() string {
	return [...]string{"", "unusable", "leaving", "backing-off", "slow-start", "limited", "warming-up"}[c]
}

// Decision says whether, and if not when, a request may be sent to an endpoint.
type Decision struct {
	Access Access
	Cause  Cause
	Held   bool // Access is Open because the balancer holds a permit under the limit
	// Warmup says that Access is Open because the balancer holds a permit for the warm-up.
	Warmup bool
	// Deferred says that the endpoint is likely to refuse the request, so other endpoints are
	// preferred.
	Deferred bool
	OpensIn  time.Duration // if Access is Closed, the time until that may change; 0 if unknown
}

// Admits reports whether the request may be sent to the endpoint now.
func (d Decision) Admits() bool { return d.Access == Open }

// Decide returns the decision for one request and one endpoint. A backoff or leaving takes
// precedence over the warm-up, and that over the limit.
func Decide(f Facts, now time.Time) Decision {
	switch {
	case !f.Usable:
		return Decision{Access: Excluded, Cause: Unusable}
	case f.State.isEmpty():
		return f.decideFromPermits()
	}
	return f.decideFromState(now)
}

// decideFromState returns the decision for an endpoint whose state is not empty: it has asked for
// a backoff, is leaving, or a hint about it has arrived.
func (f *Facts) decideFromState(now time.Time) Decision {
	admitsAt, trialDeadline := f.State.own.admitsAt(f.Random, f.Priority), f.State.trialDeadline(now)
	switch {
	case f.State.Leaving():
		return Decision{Access: Excluded, Cause: Leaving}
	case f.State.BackingOff(now):
		return Decision{Access: Closed, Cause: BackingOff, OpensIn: admitsAt.Sub(now)}
	case now.Before(admitsAt):
		return Decision{Access: Closed, Cause: SlowStart, OpensIn: admitsAt.Sub(now)}
	case now.Before(trialDeadline):
		return Decision{Access: Closed, Cause: SlowStart, OpensIn: trialDeadline.Sub(now)}
	}
	d := f.decideFromPermits()
	d.Deferred = d.Admits() && now.Before(f.State.hinted.admitsAt(f.Random, f.Priority))
	return d
}

// decideFromPermits returns the decision that follows from the warm-up of the endpoint and its limit.
func (f *Facts) decideFromPermits() Decision {
	switch {
	case f.WarmingUp && f.Warmup == warmup.Denied:
		return Decision{Access: Closed, Cause: WarmingUp, OpensIn: f.WarmupOpens}
	case f.WarmingUp && f.Warmup == warmup.Askable:
		return Decision{Access: Askable, Cause: WarmingUp}
	}
	d := f.decideFromLimit()
	d.Warmup = f.WarmingUp && d.Admits()
	return d
}

// decideFromLimit returns the decision that follows from the limit of the endpoint alone.
func (f *Facts) decideFromLimit() Decision {
	switch f.Limit {
	case limit.Denied:
		return Decision{Access: Closed, Cause: Limited, OpensIn: f.LimitOpens}
	case limit.Askable:
		return Decision{Access: Askable, Cause: Limited}
	case limit.Unlimited, limit.Permitted:
	}
	return Decision{Held: f.Limit == limit.Permitted}
}

// AcceptsChosen reports whether an endpoint may still get a request for which it was chosen
// earlier: it is usable, not leaving and not backing off.
func AcceptsChosen(usable bool, s State, now time.Time) bool {
	return usable && !s.Leaving() && !s.BackingOff(now)
}
