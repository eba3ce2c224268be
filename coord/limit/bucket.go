package limit

import (
	"math"
	"time"
)

const (
	// burstWindow is the time over which a bucket accumulates unused tokens, and minBurst the
	// smallest capacity of a bucket. With a capacity of 1, tokens that accrue before the next ask
	// would be lost.
	burstWindow = 500 * time.Millisecond
	minBurst    = 3
	// minTrialRate is the lowest rate, in requests per second, at which the owner grants permits
	// for an endpoint whose answers to probes do not name the limit, even if the limit is lower or
	// 0: only an answer to a request shows that it is lifted. Balancers whose owner does not reply
	// assume at least this rate, too.
	minTrialRate = 0.1
	// probeInterval is the minimum time between probes that check whether a low limit still holds.
	// probeBelowRate is the limit, in requests per second, below which such probes are sent; above
	// it, requests are frequent enough for their answers to show it.
	probeInterval  = time.Second
	probeBelowRate = 1
	// targetAsksPerPermit is the number of asks that the owner aims to get for each permit: enough
	// that a free permit is asked for soon, and few enough that few asks are denied.
	targetAsksPerPermit = 4
	// minRetrySpread and maxRetrySpread bound the random delay after which denied askers retry.
	// Each ask multiplies or divides the upper bound of that delay by retrySpreadFactor.
	minRetrySpread    = 20 * time.Millisecond
	maxRetrySpread    = 5 * time.Second
	retrySpreadFactor = 1.1
	// askRateTimeConstant is the time constant of the exponentially decaying average of the ask
	// rate.
	askRateTimeConstant = time.Second
)

// bucket is the token bucket from which the owner of an endpoint grants permits. It is an
// immutable value; the zero value is empty.
type bucket struct {
	tokens      float64
	refilledAt  time.Time     // when tokens was last updated; zero for never
	retrySpread time.Duration // upper bound of the random delay after which denied askers retry
	askRate     float64       // asks per second, as of askedAt
	askedAt     time.Time     // when the last ask was counted
	probedAt    time.Time     // when an asker was last allowed to probe the endpoint
	granted     int64         // permits granted since the bucket was created
}

// decision is the owner's decision about one ask.
type decision struct {
	permits    int
	retryAfter time.Duration // until a further permit may be available
	probe      bool          // the asker may probe the endpoint to check whether its limit still holds
}

// withRefill returns the bucket as of now, refilled at rate tokens per second since the last
// refill and capped at its capacity.
func (b bucket) withRefill(rate float64, now time.Time) bucket {
	if !b.refilledAt.IsZero() {
		b.tokens += rate * max(0, now.Sub(b.refilledAt).Seconds())
	}
	b.tokens = min(b.tokens, max(minBurst, rate*burstWindow.Seconds()))
	b.refilledAt = now
	return b
}

// withAsk returns the bucket after an ask for want permits and the decision about it. rate is the
// refill rate in tokens per second, and random a number in [0,1).
func (b bucket) withAsk(rate float64, want int, random float64, now time.Time) (bucket, decision) {
	b = b.withRefill(rate, now).withAskCounted(rate, now)
	d := decision{permits: min(want, int(b.tokens))}
	b.tokens -= float64(d.permits)
	b.granted += int64(d.permits)
	if d.permits < want {
		d.retryAfter = b.timeToNextToken(rate) + time.Duration(random*float64(b.retrySpread))
		d.probe = rate < probeBelowRate && now.Sub(b.probedAt) >= probeInterval
	}
	if d.probe {
		b.probedAt = now
	}
	return b, d
}

// timeToNextToken returns how long it takes until a whole token is available, at most
// maxRetrySpread; probeInterval if the rate is 0.
func (b bucket) timeToNextToken(rate float64) time.Duration {
	if rate <= 0 {
		return probeInterval
	}
	return min(maxRetrySpread, time.Duration(max(0, 1-b.tokens)/rate*float64(time.Second)))
}

// askRateAt returns the average rate of asks per second as of now.
func (b bucket) askRateAt(now time.Time) float64 {
	if b.askedAt.IsZero() {
		return 0
	}
	return b.askRate * math.Exp(-now.Sub(b.askedAt).Seconds()/askRateTimeConstant.Seconds())
}

// withAskCounted returns the bucket with one more ask in the ask rate. It raises
// retrySpread if there are more than targetAsksPerPermit asks for each permit, and lowers it
// otherwise.
func (b bucket) withAskCounted(rate float64, now time.Time) bucket {
	b.askRate = b.askRateAt(now) + 1/askRateTimeConstant.Seconds()
	b.askedAt = now
	step := 1 / retrySpreadFactor
	if b.askRate > targetAsksPerPermit*rate {
		step = retrySpreadFactor
	}
	b.retrySpread = min(maxRetrySpread, max(minRetrySpread, time.Duration(float64(b.retrySpread)*step)))
	return b
}
