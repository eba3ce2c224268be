package selection

import (
	"time"

	"github.com/lotuswing/lotuswing/coord/placement"
)

// Where the request rate that an endpoint in warm-up takes is known, a request to it needs a permit
// (package warmup), and a request to any other endpoint needs a proof that this one is warm. A proof is
// the response to a probe, serves one request, and soon expires, so an endpoint that turns cold while it
// is in use gets at most one request more of each balancer that has just probed it.
// Elsewhere two rules limit the requests that one balancer sends there:
//
//   - A balancer sends a request only if a fresh report of the endpoint shows that it holds none.
//   - After it refuses or fails a request, an endpoint reports no request in flight although it
//     was just sent one. The balancer therefore sends nothing to any endpoint in warm-up of the
//     service for a pause, doubled with each further refusal or failure in a row.

const (
	// proofTTL is how long a proof that an endpoint is warm may be used after it was received.
	proofTTL = 10 * time.Millisecond
	// MaxWarmAge is how old it may be when the request is written, counted from when the probe was sent.
	MaxWarmAge = 400 * time.Millisecond
	// warmupPause is the first pause after a refusal or failure.
	warmupPause = 400 * time.Millisecond
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

// WithOutcome returns the backoff after a request to an endpoint in warm-up ended.
func (w WarmupBackoff) WithOutcome(o placement.Outcome, now time.Time) WarmupBackoff {
	switch o {
	case placement.Completed:
		return WarmupBackoff{}
	case placement.Failed, placement.Shed:
		w.pausedUntil = now.Add(warmupPause << min(w.failures, maxWarmupDoublings))
		w.failures++
	case placement.Unused:
	}
	return w
}

// proof is the last response to a probe that says that an endpoint is warm; zero for none.
type proof struct {
	sentAt, receivedAt time.Time // of the probe and of its response
}

// WithWarmup returns the endpoint after its response to a probe, which was sent at sentAt, reported
// the time left of its warm-up. A response to an earlier probe than the last one that counted is ignored.
func (e Endpoint) WithWarmup(left time.Duration, sentAt, now time.Time) Endpoint {
	if sentAt.Before(e.warmupAskedAt) {
		return e
	}
	e.warmupAskedAt, e.warmUntil, e.warmupReportedAt = sentAt, now.Add(left), now
	e.proof, e.proofless = proof{}, 0
	if left <= 0 {
		e.proof = proof{sentAt: sentAt, receivedAt: now}
	}
	return e
}

// WithoutWarmupReport returns the endpoint after a response to a probe, which was sent at sentAt, that says
// nothing about a warm-up. Its listing decides then, unless the response is doubtful.
func (e Endpoint) WithoutWarmupReport(doubtful bool, sentAt, now time.Time) Endpoint {
	switch {
	case doubtful:
		e.proofless++
	case !sentAt.Before(e.warmupAskedAt):
		e.proof, e.proofless = proof{sentAt: sentAt, receivedAt: now}, 0
	}
	return e
}

// WarmAge returns how old the endpoint's proof that it is warm is, counted from when the probe was sent
// that it responded to; below 0 without one.
func (e *Endpoint) WarmAge(now time.Time) time.Duration {
	if e.proof.sentAt.IsZero() {
		return -1
	}
	return now.Sub(e.proof.sentAt)
}

// ProofUntil returns until when a request may be written that relies on the endpoint's proof.
func (e *Endpoint) ProofUntil() time.Time { return e.proof.sentAt.Add(MaxWarmAge) }

// IsWarmingUp reports whether the endpoint is warming up, as it reported itself or as listed. Of
// these two, the later one counts, with one exception: the content of a listing may be older than
// the time it was received, so a listing never overrides the endpoint's own report of a warm-up.
func (e *Endpoint) IsWarmingUp(l Listing, now time.Time) bool {
	if now.Before(e.warmUntil) {
		return true
	}
	return now.Before(l.WarmUntil) && !e.warmupReportedAt.After(l.WarmupReceivedAt)
}

// IsProvenWarm reports whether the endpoint has a proof that it is warm.
func (e *Endpoint) IsProvenWarm(now time.Time) bool {
	return !e.proof.sentAt.IsZero() && now.Sub(e.proof.receivedAt) <= proofTTL && now.Before(e.ProofUntil())
}

// maxUnprovenProbes is the number of consecutive probes without a response, or with doubtful ones, from
// which on an endpoint is treated like one in warm-up.
const maxUnprovenProbes = 3

// MayBeWarmingUp reports whether the endpoint is warming up as far as the balancer knows, or gives no
// proof of the opposite.
func (e *Endpoint) MayBeWarmingUp(l Listing, now time.Time) bool {
	return e.IsWarmingUp(l, now) || max(e.unansweredProbes, e.proofless) >= maxUnprovenProbes
}

// blockedInWarmup reports whether the endpoint, which is warming up, must not get the request now. An
// endpoint that can be probed is also blocked while its report is not fresh; a probe can change that.
func (e *Endpoint) blockedInWarmup(params *ScoringParams, now time.Time) bool {
	if params.WarmupBackoff.Paused(now) || e.load.Busy(now) > 0 {
		return true
	}
	return params.Probeable && now.Sub(e.lastResponse) > params.MaxFreshAge
}
