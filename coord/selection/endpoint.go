package selection

import (
	"time"

	"github.com/lotuswing/lotuswing/coord/health"
	"github.com/lotuswing/lotuswing/coord/placement"
)

// shedPause is how long an endpoint counts as full after it refused a request.
const shedPause = 25 * time.Millisecond

// Endpoint is the state that a balancer keeps of one endpoint. It is an immutable value.
type Endpoint struct {
	load             Load
	health           health.State
	pausedUntil      time.Time // it counts as full until then, because it refused a request
	lastResponse     time.Time // last response to a probe, or response with a load report
	unansweredProbes int       // consecutive probes without a response
	resets           int       // resets since the last load report
	resetUntil       time.Time // end of the backoff after the last reset
	warmUntil        time.Time // end of its warm-up, as it reported; zero if it has reported none
	warmupReportedAt time.Time // when it reported warmUntil
	warmupAskedAt    time.Time // when the probe was sent whose response reported warmUntil
	proofless        int       // consecutive responses to probes that prove nothing
	proof            proof     // that it is warm; used up by a request
	joined           bool      // it was listed when other endpoints of its service were known already
}

// NewEndpoint returns the state of an endpoint of which nothing is known.
func NewEndpoint() Endpoint { return Endpoint{health: health.New(health.Options{})} }

// NewJoinedEndpoint returns the state of an endpoint that joined a service whose other endpoints
// are known already. Once it has warmed up, and until its first response, it counts as idle, at its
// usual pace and with an open connection. Otherwise it would get no request as long as the known
// endpoints are healthy.
func NewJoinedEndpoint() Endpoint {
	e := NewEndpoint()
	e.joined = true
	return e
}

// HasOpenConnection reports whether a connection to the endpoint is probably open.
func (e *Endpoint) HasOpenConnection(now time.Time) bool {
	return now.Sub(e.lastResponse) <= assumedConnectionLife
}

// untried reports whether the endpoint joined and this balancer has sent it nothing yet, so that it
// should get a request or a probe once it is warm. Only balancers in the endpoint's zone treat it so.
func (e *Endpoint) untried(l Listing) bool {
	return e.joined && e.lastResponse.IsZero() && e.unansweredProbes == 0 && e.load.inFlight == 0 && l.SameZone
}

// Load returns the endpoint's load.
func (e Endpoint) Load() Load { return e.load }

// Health returns the endpoint's health, as judged by this balancer's own requests.
func (e Endpoint) Health() health.State { return e.health }

// WithRequestSent returns the endpoint after a request was sent to it.
func (e Endpoint) WithRequestSent() Endpoint {
	e.load = e.load.WithSent()
	e.proof = proof{}
	return e
}

// WithSuspension returns the endpoint after the balancer's VM was suspended for the given time.
// The balancer's clock stood still meanwhile, so all recorded times move back by that duration:
// reports become older and pauses end earlier.
func (e Endpoint) WithSuspension(suspended time.Duration) Endpoint {
	for _, timestamp := range []*time.Time{&e.load.timestamp, &e.lastResponse, &e.pausedUntil, &e.resetUntil, &e.warmUntil, &e.warmupReportedAt, &e.warmupAskedAt, &e.proof.sentAt, &e.proof.receivedAt} {
		if !timestamp.IsZero() {
			*timestamp = timestamp.Add(-suspended)
		}
	}
	return e
}

// WithProbe returns the endpoint after the response to a probe.
func (e Endpoint) WithProbe(r placement.LoadReport, now time.Time) Endpoint {
	e.lastResponse, e.unansweredProbes = now, 0
	e.resets, e.resetUntil = 0, time.Time{}
	e.load = e.load.WithReport(r, now)
	return e
}

// WithUnansweredProbe returns the endpoint after a probe without a response.
func (e Endpoint) WithUnansweredProbe() Endpoint {
	e.unansweredProbes++
	return e
}

// WithRequestEnded returns the endpoint after a request ended there. r is the load report of its
// response, if there was one.
func (e Endpoint) WithRequestEnded(r placement.LoadReport, now time.Time) Endpoint {
	e.load = e.load.WithEnded()
	if r.Known {
		e.lastResponse, e.unansweredProbes = now, 0
		e.resets, e.resetUntil = 0, time.Time{}
	}
	e.load = e.load.WithReport(r, now)
	return e
}

// WithOutcome returns the endpoint after the outcome of a request. ratio is the time of a
// completed request relative to the usual service time. A refusal (Shed) is no failure: it means
// that the endpoint is full.
func (e Endpoint) WithOutcome(o placement.Outcome, ratio float64, now time.Time) Endpoint {
	switch o {
	case placement.Completed:
		e.health = e.health.WithCompletion(ratio)
	case placement.Failed:
		e.health = e.health.WithFailure(now)
	case placement.Shed:
		e.pausedUntil = now.Add(shedPause)
	case placement.Unused:
	}
	return e
}

// WithOvertaken returns the endpoint after a request that was canceled because another endpoint
// answered first. ratio is the time that it had taken relative to the usual service time.
func (e Endpoint) WithOvertaken(ratio float64) Endpoint {
	e.health = e.health.WithUnfinished(ratio)
	return e
}
