package selection

import (
	"time"

	"github.com/lotuswing/lotuswing/coord/health"
	"github.com/lotuswing/lotuswing/coord/placement"
)

// shedPause is how long an endpoint that refused a request counts as full.
const shedPause = 25 * time.Millisecond

// Endpoint is what a balancer remembers of one endpoint. It is an immutable value.
type Endpoint struct {
	load        Load
	health      health.State
	pausedUntil time.Time // it refused a request and counts as full until then
	heardAt     time.Time // last response or probe that told its load
	unanswered  int       // probes in a row without a response
	warmAt      time.Time // until then it warms up by its own word; zero where it told nothing
	warmTold    time.Time // when it told that
	joined      bool      // it joined a service that was known already
}

// NewEndpoint returns what is known of an endpoint at first: nothing.
func NewEndpoint() Endpoint { return Endpoint{health: health.New(health.Options{})} }

// NewJoined returns what is known of an endpoint that joined a service whose others
// are known already. It is tried once it has warmed up: as long as nothing has been
// heard of it, it counts as idle at its usual pace with a connection open. Otherwise
// those that are known would be chosen before it for as long as they are well.
func NewJoined() Endpoint {
	e := NewEndpoint()
	e.joined = true
	return e
}

// InUse reports whether a connection to the endpoint is probably open.
func (e *Endpoint) InUse(now time.Time) bool { return now.Sub(e.heardAt) <= connectionLife }

// untried reports whether a request or a probe should find out how the endpoint is, if it
// is warm.
func (e *Endpoint) untried(l Listing) bool {
	return e.joined && e.heardAt.IsZero() && e.unanswered == 0 && e.load.inFlight == 0 && l.SameZone
}

// Load returns what is known of the endpoint's load.
func (e Endpoint) Load() Load { return e.load }

// Health returns what its own requests have shown.
func (e Endpoint) Health() health.State { return e.health }

// WithSent returns the endpoint after a request was sent to it.
func (e Endpoint) WithSent() Endpoint {
	e.load = e.load.WithSent()
	return e
}

// WithSuspension returns the endpoint after the balancer's VM was suspended for a while, in
// which its clock stood still: what it knew is so much older, and what it waited for so much
// nearer.
func (e Endpoint) WithSuspension(slept time.Duration) Endpoint {
	for _, at := range []*time.Time{&e.load.at, &e.heardAt, &e.pausedUntil, &e.warmAt, &e.warmTold} {
		if !at.IsZero() {
			*at = at.Add(-slept)
		}
	}
	return e
}

// WithProbe returns the endpoint after the response to a probe.
func (e Endpoint) WithProbe(r placement.LoadReport, now time.Time) Endpoint {
	e.heardAt, e.unanswered = now, 0
	e.load = e.load.WithReport(r, now)
	return e
}

// WithoutProbe returns the endpoint after a probe that got no response.
func (e Endpoint) WithoutProbe() Endpoint {
	e.unanswered++
	return e
}

// WithEnded returns the endpoint after a request ended there, with the load that
// its response told, if any.
func (e Endpoint) WithEnded(r placement.LoadReport, now time.Time) Endpoint {
	e.load = e.load.WithEnded()
	if r.Known {
		e.heardAt, e.unanswered = now, 0
	}
	e.load = e.load.WithReport(r, now)
	return e
}

// WithOutcome returns the endpoint after what a request showed of it. ratio is how
// long a completed one took against the usual time. A refusal is no failure: it
// says that the endpoint is full.
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
