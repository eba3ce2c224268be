// Package budget bounds the cost of measuring endpoints.
//
// The cost of a measurement is the time that it takes from an endpoint. The limit of a tenant is
// a rate and a burst: in any window of length w the whole fleet spends at most Rate*w + Burst.
// Only one balancer at a time, the holder of a lease, has a Bucket. The bucket of a new holder
// starts empty, so a change of holder never adds to what was allowed before. Reserve is the part
// of Burst that no holder may spend. It covers measurements that are charged in one window and
// reach their endpoint in a later one: the measurement that the current holder is about to send,
// and one of an earlier holder whose process was paused after its last check. So it must be at
// least twice the cost of one measurement.
//
// The package has no global state: a Bucket and an Account are immutable values that their
// holder stores. Rates and costs come from the tenant's document.
//
// # Usage
//
//	b := budget.New(limit, now)
//	b, ok := b.Spend(now, cost)
//	if ok {
//		// send the measurement
//	}
package budget

import (
	"fmt"
	"time"
)

// Limit is what a tenant allows to be spent on measurements.
type Limit struct {
	Rate    time.Duration // endpoint time per second
	Burst   time.Duration // endpoint time above Rate in any window
	Reserve time.Duration // part of Burst kept for delayed measurements
}

// Validate returns an error if a value is negative or Reserve exceeds Burst.
func (l Limit) Validate() error {
	if l.Rate < 0 || l.Burst < 0 || l.Reserve < 0 {
		return fmt.Errorf("budget: rate, burst and reserve must not be negative")
	}
	if l.Reserve > l.Burst {
		return fmt.Errorf("budget: reserve %v exceeds burst %v", l.Reserve, l.Burst)
	}
	return nil
}

// Allowed returns the most endpoint time that the fleet may spend in any window of the given
// length.
func (l Limit) Allowed(window time.Duration) time.Duration {
	return scale(l.Rate, window) + l.Burst
}

// Bucket is the token bucket of one lease term. It is an immutable value.
type Bucket struct {
	limit   Limit
	tokens  time.Duration
	updated time.Time
}

// New returns the empty bucket of a term that begins at now.
func New(limit Limit, now time.Time) Bucket {
	return Bucket{limit: limit, updated: now}
}

// Limit returns the limit that the bucket enforces.
func (b Bucket) Limit() Limit { return b.limit }

// WithLimit returns the bucket under another limit. It keeps its tokens up to the new capacity.
func (b Bucket) WithLimit(limit Limit, now time.Time) Bucket {
	b = b.refill(now)
	b.limit = limit
	b.tokens = min(b.tokens, b.capacity())
	return b
}

// Spend charges the cost of a measurement. It returns the bucket afterwards, and whether the
// bucket covered the cost; if not, only the refill is applied. Call Spend before sending the
// measurement.
func (b Bucket) Spend(now time.Time, cost time.Duration) (Bucket, bool) {
	b = b.refill(now)
	if cost < 0 || cost > b.tokens {
		return b, false
	}
	b.tokens -= cost
	return b, true
}

// capacity returns the largest number of tokens, which excludes Reserve.
func (b Bucket) capacity() time.Duration { return b.limit.Burst - b.limit.Reserve }

// refill returns the bucket with the tokens earned until now.
func (b Bucket) refill(now time.Time) Bucket {
	elapsed := now.Sub(b.updated)
	if elapsed <= 0 {
		return b
	}
	earned := scale(b.limit.Rate, elapsed)
	b.tokens = min(b.tokens+earned, b.capacity())
	b.updated = now
	return b
}

// scale returns the endpoint time that rate, in endpoint time per second, allows in d, rounded
// down. It does not overflow for rates below an hour per second.
func scale(rate, d time.Duration) time.Duration {
	return time.Duration(rate.Seconds() * float64(d))
}
