// Package warmup bounds how many requests all balancers together send to an endpoint that is warming up.
//
// Reports of the endpoint cannot bound that: all balancers see the same report and act on it later, so
// what they send grows with their number, the demand and each delay in between. Here a request to such an
// endpoint needs a permit, which exactly one balancer grants at any time: the owner, which holds its
// availability zone under a lease for the time of a Tenure. The owner keeps a token bucket for each
// endpoint (Ledger), and a permit expires PermitTTL after it was asked for (Permits).
//
// # Bound
//
// A request that is written at t has a permit that was granted after t - PermitTTL. Owners follow one
// another without overlap, and the bucket of each begins in debt, so in any time d no more than
// Burst + rate * d permits are granted for an endpoint. In any second it therefore gets at most
// MaxPerSecond(rate) requests, whatever the number of balancers, the delays, the demand and the cuts
// between them. Without an owner it gets none.
//
// The bound covers endpoints that the sender knows, or must assume, to be warming up. Package selection
// requires a recent proof that an endpoint is warm before it is used without a permit.
//
// The package keeps no clock, does no input or output and starts no goroutine; times and random numbers
// are arguments.
//
// # Usage
//
//	reply := ledger.Handle(ask, rate, tenure, random, now)  // at the owner
//	permits.HandleReply(ask, reply, sentAt, now)            // at the balancer that asked
//	if until, ok := permits.Take(target, now); ok { ... }   // send before until
package warmup

import "time"

const (
	// PermitTTL is how long a permit may be used, counted from when the ask for it was sent.
	PermitTTL = 250 * time.Millisecond
	// Burst is how many tokens a bucket saves.
	Burst = 2
	// MaxTargets is the number of endpoints that one ask may name.
	MaxTargets = 16
	// MaxPermits is the number of permits that one ask may get.
	MaxPermits = 16
	// maxBuckets bounds the number of endpoints for which an owner keeps a bucket.
	maxBuckets = 1 << 15
	// bucketTTL is how long a bucket is kept for which nobody asks.
	bucketTTL = time.Minute
)

// MaxPerSecond returns the most requests that an endpoint with a rate, in requests per second, gets within
// one second.
func MaxPerSecond(rate float64) float64 { return Burst + rate*(time.Second+PermitTTL).Seconds() }

// Target is one incarnation of an endpoint.
type Target struct {
	ID    string
	Start int64 // identifies the start, as listed in the directory
}

// Ask asks the owner of an availability zone for permits for endpoints of a service that are warming up.
// Package gob writes the field names of this and the following types.
type Ask struct {
	Service string
	Zone    string
	Targets []Target // best first; each permit is for one of them
	Want    int      // permits wanted; 0 in an ask that only reports failures
	Failed  []Target // endpoints that refused or failed a request since the last ask
}

// Reply is the answer to an Ask.
type Reply struct {
	Owner      bool     // the balancer that was asked owns the zone
	Granted    []Target // one permit for each
	RetryAfter time.Duration
}

// Tenure is the time for which a balancer is certain to be the only owner of its zone. The zero value
// contains no time.
type Tenure struct {
	Since, Until time.Time
}

// Contains reports whether the tenure contains a time.
func (t Tenure) Contains(now time.Time) bool { return !now.Before(t.Since) && now.Before(t.Until) }

// WithRenewal returns the tenure after a lease was renewed with a call that was sent at sent and accepted.
// ttl is the lease's time to live. The tenure ends before the lease, by a margin for the drift of clocks.
func (t Tenure) WithRenewal(sent time.Time, ttl time.Duration) Tenure {
	const marginDivisor = 8
	if until := sent.Add(ttl - ttl/marginDivisor); until.After(t.Until) {
		t.Until = until
	}
	return t
}
