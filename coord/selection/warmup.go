package selection

import (
	"math"
	"time"

	"github.com/lotuswing/lotuswing/coord/placement"
)

// An endpoint that warms up bears few requests, from all balancers together, and these
// know neither how many they are nor what the others send. Three rules bound what it gets:
//
//   - It is sent a request only while its own report, just asked for, shows that it holds
//     none. The report is the one account that all balancers share, so a new request
//     follows the end of the last one, whoever sent that.
//   - Where work is short, that alone would be too many: of the requests that find it idle
//     only so many are sent that it is busy for the part of the time that it bears.
//   - One that refuses or fails shows nothing running though it has just been sent
//     something. The balancer then leaves all endpoints of the service that warm up alone
//     for as long as one of them needs for a request, twice as long each time.

const (
	// warmupPause is the first pause where it is not known how many requests a second an endpoint
	// that warms up bears.
	warmupPause = 400 * time.Millisecond
	// warmupDoublings bounds the pause: 2^3 times the first one is about as long as endpoints
	// warm up.
	warmupDoublings = 3
)

// Warming is what the refusals and failures of a service's endpoints that warm up have
// shown. It is an immutable value; the zero value has seen nothing.
type Warming struct {
	until    time.Time // no request goes to them before
	failures int       // in a row
}

// Paused reports whether endpoints of the service that warm up get nothing at now.
func (w Warming) Paused(now time.Time) bool { return now.Before(w.until) }

// WithOutcome returns the state after a request to one of them ended. rate is how many
// requests a second it bears; 0 where that is not known.
func (w Warming) WithOutcome(o placement.Outcome, rate float64, now time.Time) Warming {
	switch o {
	case placement.Completed:
		return Warming{}
	case placement.Failed, placement.Shed:
		pause := warmupPause
		if rate > 0 {
			pause = time.Duration(float64(time.Second) / rate)
		}
		w.until = now.Add(pause << min(w.failures, warmupDoublings))
		w.failures++
	case placement.Unused:
	}
	return w
}

// WithWarmup returns the endpoint after it told in response to a probe how much longer it
// warms up.
func (e Endpoint) WithWarmup(left time.Duration, now time.Time) Endpoint {
	e.warmAt, e.warmTold = now.Add(left), now
	return e
}

// cold reports whether the endpoint warms up: by its own last word or by what is listed,
// of which the word that came last counts. What is listed may be older than when it came,
// so that it never takes back that an endpoint has said it is cold.
func (e *Endpoint) cold(l Listing, now time.Time) bool {
	if now.Before(e.warmAt) {
		return true
	}
	return now.Before(l.WarmAt) && !e.warmTold.After(l.WarmTold)
}

// closed reports whether an endpoint that warms up may get nothing of a request now, which
// would take it so long. One whose report is not fresh may first be probed.
func (e *Endpoint) closed(usual *Usual, index int, takes time.Duration, now time.Time) bool {
	if usual.Warming.Paused(now) || e.load.Busy(now) > 0 || !usual.drawn(index, takes) {
		return true
	}
	return usual.TellsLoad && now.Sub(e.heardAt) > usual.Fresh
}

// lotShare is for a request's looking at several endpoints before one is free for it.
const lotShare = 0.25

// drawn reports whether a request that would take so long may go to the endpoint in a place
// of the list, if that one warms up. The draw is the same however often the request looks.
func (u *Usual) drawn(index int, takes time.Duration) bool {
	if u.WarmupRate <= 0 {
		return true
	}
	const goldenRatio = 0x9e3779b9 // spreads neighbouring places
	lot := (u.Lot ^ uint32(index+1)*goldenRatio) * goldenRatio
	return float64(lot)/math.MaxUint32 < lotShare*u.WarmupRate*takes.Seconds()
}
