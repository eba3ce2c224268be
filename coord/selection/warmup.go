package selection

import (
	"math"
	"time"

	"github.com/lotuswing/lotuswing/coord/placement"
)

// An endpoint that is warming up can take only a few requests, from all balancers together.
// The balancers know neither their own number nor what the others send. Three rules limit the
// requests to such an endpoint:
//
//   - A balancer sends a request only if a fresh report of the endpoint shows that it holds
//     none. All balancers see the same reports, so a new request follows the end of the
//     previous one, whichever balancer sent that.
//   - If the service time is short, that alone would allow too many requests. Of the requests
//     that find the endpoint idle, only a random share is sent there, so that it is busy for no
//     larger part of the time than with WarmupRate requests per second.
//   - After it refuses or fails a request, an endpoint reports no request in flight although it
//     was just sent one. The balancer therefore sends nothing to any endpoint in warm-up of the
//     service for a pause of 1/WarmupRate, doubled with each further refusal or failure in a row.

const (
	// defaultWarmupPause is the first pause if the request rate that an endpoint in warm-up can take is
	// not known.
	defaultWarmupPause = 400 * time.Millisecond
	// maxWarmupDoublings limits the pause: 2^3 times the first one is about the length of a
	// warm-up.
	maxWarmupDoublings = 3
)

// WarmupBackoff is a balancer's backoff from the endpoints of a service that are warming up, after
// refusals and failures there. It is an immutable value; the zero value is no backoff.
type WarmupBackoff struct {
	pausedUntil time.Time // end of the pause
	failures    int       // consecutive refusals and failures
}

// Paused reports whether endpoints of the service that are warming up get no requests at now.
func (w WarmupBackoff) Paused(now time.Time) bool { return now.Before(w.pausedUntil) }

// WithOutcome returns the backoff after a request to an endpoint in warm-up ended. rate is the
// number of requests per second that one such endpoint can take; 0 if unknown.
func (w WarmupBackoff) WithOutcome(o placement.Outcome, rate float64, now time.Time) WarmupBackoff {
	switch o {
	case placement.Completed:
		return WarmupBackoff{}
	case placement.Failed, placement.Shed:
		pause := defaultWarmupPause
		if rate > 0 {
			pause = time.Duration(float64(time.Second) / rate)
		}
		w.pausedUntil = now.Add(pause << min(w.failures, maxWarmupDoublings))
		w.failures++
	case placement.Unused:
	}
	return w
}

// WithWarmup returns the endpoint after its response to a probe, which was sent at sentAt, reported
// the time left of its warm-up.
func (e Endpoint) WithWarmup(left time.Duration, sentAt, now time.Time) Endpoint {
	e.warmUntil, e.warmupReportedAt = now.Add(left), now
	if left <= 0 && sentAt.After(e.provenWarmAt) {
		e.provenWarmAt = sentAt
	}
	return e
}

// WarmAge returns how old the endpoint's last proof that it is warm is, counted from when the probe
// was sent that it responded to; below 0 without one.
func (e *Endpoint) WarmAge(now time.Time) time.Duration {
	if e.provenWarmAt.IsZero() {
		return -1
	}
	return now.Sub(e.provenWarmAt)
}

// isWarmingUp reports whether the endpoint is warming up, as it reported itself or as listed. Of
// these two, the later one counts, with one exception: the content of a listing may be older than
// the time it was received, so a listing never overrides the endpoint's own report of a warm-up.
func (e *Endpoint) isWarmingUp(l Listing, now time.Time) bool {
	if now.Before(e.warmUntil) {
		return true
	}
	return now.Before(l.WarmUntil) && !e.warmupReportedAt.After(l.WarmupReceivedAt)
}

// blockedInWarmup reports whether the endpoint, which is warming up, must not get the request now.
// requestTime is the expected time of the request there. An endpoint that can be probed is also
// blocked while its report is not fresh; a probe can change that.
func (e *Endpoint) blockedInWarmup(params *ScoringParams, index int, requestTime time.Duration, now time.Time) bool {
	if params.WarmupBackoff.Paused(now) || e.load.Busy(now) > 0 || !params.mayUseInWarmup(index, requestTime) {
		return true
	}
	return params.Probeable && now.Sub(e.lastResponse) > params.MaxFreshAge
}

// drawFactor lowers the probability that mayUseInWarmup selects an endpoint, because a request
// evaluates several endpoints before it finds one that is free for it.
const drawFactor = 0.25

// mayUseInWarmup reports whether the request's random number (Random) selects the endpoint at
// index, which is warming up. The probability is proportional to requestTime, the expected time of
// the request there. The result is the same in all search rounds of a request.
func (p *ScoringParams) mayUseInWarmup(index int, requestTime time.Duration) bool {
	if p.WarmupRate <= 0 {
		return true
	}
	const hashMultiplier = 0x9e3779b9 // 2^32 divided by the golden ratio; spreads adjacent indices
	draw := (p.Random ^ uint32(index+1)*hashMultiplier) * hashMultiplier
	return float64(draw)/math.MaxUint32 < drawFactor*p.WarmupRate*requestTime.Seconds()
}
