package limit

import (
	"math"
	"time"
)

const (
	// burstFor is for how long a bucket saves up requests, and leastBurst how many it saves
	// at the least: with one, what comes until somebody asks for the saved one would be lost.
	burstFor   = 500 * time.Millisecond
	leastBurst = 3
	// trialRate is at which rate, a second, a request goes to an endpoint that takes none:
	// nothing else may tell that its limit is over.
	trialRate = 0.1
	// lookEvery is between two probes that ask an endpoint of a low limit whether it still
	// holds, and lookBelow the rate, a second, from which on requests tell it often enough.
	lookEvery = time.Second
	lookBelow = 1
	// asksEach is how often the owner wants to be asked for each request that it lets go, so
	// that one asks soon after there is room and few ask in vain.
	asksEach = 4
	// leastSpread and mostSpread bound over which time those come back that asked in vain,
	// and spreadStep is the factor by which an ask changes it.
	leastSpread = 20 * time.Millisecond
	mostSpread  = 5 * time.Second
	spreadStep  = 1.1
	// asksOver is the time constant of the rate at which the owner is asked.
	asksOver = time.Second
)

// bucket is the room that an endpoint's owner gives out. It is an immutable value; the zero
// value is empty.
type bucket struct {
	tokens float64
	at     time.Time     // as of which; zero for never
	spread time.Duration // over which those come back that asked in vain
	asks   float64       // rate, a second, at which it is asked
	asked  time.Time
	looked time.Time // when somebody was last let probe the endpoint
	given  int64     // requests let go, ever
}

// decision is what an owner tells one that asks.
type decision struct {
	permits int
	after   time.Duration // until there may be room
	look    bool          // the endpoint may be probed, to hear whether its limit still holds
}

// refilled returns the bucket as of now, at a rate a second that holds since it was last looked
// at.
func (b bucket) refilled(rate float64, now time.Time) bucket {
	if !b.at.IsZero() {
		b.tokens += rate * max(0, now.Sub(b.at).Seconds())
	}
	b.tokens = min(b.tokens, max(leastBurst, rate*burstFor.Seconds()))
	b.at = now
	return b
}

// withAsk returns the bucket after it was asked for room for some requests at a rate a second.
// random is a number from 0 to 1.
func (b bucket) withAsk(rate float64, want int, random float64, now time.Time) (bucket, decision) {
	b = b.refilled(rate, now).counted(rate, now)
	d := decision{permits: min(want, int(b.tokens))}
	b.tokens -= float64(d.permits)
	b.given += int64(d.permits)
	if d.permits < want {
		d.after = b.until(rate) + time.Duration(random*float64(b.spread))
		d.look = rate < lookBelow && now.Sub(b.looked) >= lookEvery
	}
	if d.look {
		b.looked = now
	}
	return b, d
}

// until returns when there is room for a request again.
func (b bucket) until(rate float64) time.Duration {
	if rate <= 0 {
		return lookEvery
	}
	return min(mostSpread, time.Duration(max(0, 1-b.tokens)/rate*float64(time.Second)))
}

// asksAt returns the rate, a second, at which the owner is asked as of now.
func (b bucket) asksAt(now time.Time) float64 {
	if b.asked.IsZero() {
		return 0
	}
	return b.asks * math.Exp(-now.Sub(b.asked).Seconds()/asksOver.Seconds())
}

// counted returns the bucket with one more ask in the rate of asks, and those that ask in vain
// spread over more time where it is asked too often, over less where too seldom.
func (b bucket) counted(rate float64, now time.Time) bucket {
	b.asks = b.asksAt(now) + 1/asksOver.Seconds()
	b.asked = now
	step := 1 / spreadStep
	if b.asks > asksEach*rate {
		step = spreadStep
	}
	b.spread = min(mostSpread, max(leastSpread, time.Duration(float64(b.spread)*step)))
	return b
}
