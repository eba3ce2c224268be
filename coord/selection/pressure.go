package selection

import (
	"math"
	"time"

	"github.com/lotuswing/lotuswing/coord/placement"
)

const (
	// pressureDuration is how long one sign of pressure counts. It is longer than the longest reset
	// backoff, so that a service whose endpoints reset all probes stays under pressure.
	pressureDuration = time.Second
	// pressureShare is the least share of signs of pressure among what endpoints have shown lately. Of
	// endpoints with four slots of which 0.3 are taken, one in thirty is full at any time; under overload
	// most are. pressureDecayTime is the time constant of the exponential decay of what they have shown.
	pressureShare     = 0.25
	pressureDecayTime = 500 * time.Millisecond
	// maxAgeUnderPressure is the maximum age of a load report that is relied on while the service is
	// under pressure. At three times the usual rate, all balancers together send an endpoint half a
	// request in this time. It is the age up to which a connection used by a probe is reused.
	maxAgeUnderPressure = 50 * time.Millisecond
	// initialResetBackoff is the backoff from an endpoint after its first reset: about the time in
	// which one of four slots becomes free. It doubles with each further reset in a row, up to
	// 2^maxResetDoublings times; a hundred balancers then send a full endpoint no more probes in a
	// second than it accepts, if a third of them are in its zone.
	initialResetBackoff = 50 * time.Millisecond
	maxResetDoublings   = 4
)

// Pressure records whether many endpoints of a service were full or did not answer a moment ago. Without
// pressure an endpoint with an old load report most likely has room. Under pressure it most likely
// has none, and a request that is sent there anyway may be reset, which leaves open whether it ran.
// It is an immutable value; the zero value is no pressure.
type Pressure struct {
	lastSign    time.Time
	signs, calm float64   // decayed numbers of signs of pressure and of reports without one
	updated     time.Time // when they were last updated
}

// WithSign returns the pressure after an endpoint refused or reset a request, did not answer a probe,
// or reported that it is full.
func (p Pressure) WithSign(now time.Time) Pressure {
	p = p.decayed(now)
	p.signs++
	p.lastSign = now
	return p
}

// WithReport returns the pressure after a load report.
func (p Pressure) WithReport(r placement.LoadReport, now time.Time) Pressure {
	switch {
	case !r.Known || r.Slots <= 0:
		return p
	case r.InFlight+r.Waiting >= r.Slots:
		return p.WithSign(now)
	}
	p = p.decayed(now)
	p.calm++
	return p
}

// decayed returns the pressure with its numbers as of now.
func (p Pressure) decayed(now time.Time) Pressure {
	decay := math.Exp(-max(0, now.Sub(p.updated).Seconds()) / pressureDecayTime.Seconds())
	p.signs, p.calm, p.updated = p.signs*decay, p.calm*decay, now
	return p
}

// Lasts reports whether the service is under pressure at now.
func (p Pressure) Lasts(now time.Time) bool {
	return p.signs > 0 && now.Sub(p.lastSign) < pressureDuration && p.signs >= pressureShare*(p.signs+p.calm)
}

// WithReset returns the endpoint after it reset a probe or a request at once, which full endpoints
// do. It gets neither probes nor requests until the end of a backoff.
func (e Endpoint) WithReset(now time.Time) Endpoint {
	e.resetUntil = now.Add(initialResetBackoff << min(e.resets, maxResetDoublings))
	e.resets++
	return e
}

// Resets returns the number of resets since the last load report.
func (e Endpoint) Resets() int { return e.resets }

// unproven reports whether the endpoint must not get a request because its service is under pressure
// and it has no load report that is recent enough. Endpoints that cannot be probed are exempt.
func (e *Endpoint) unproven(params *ScoringParams, now time.Time) bool {
	return params.Pressed && params.Probeable && e.load.Age(now) > maxAgeUnderPressure
}

// ReliedOnUnderPressure reports whether a load report was recent enough when the endpoint was chosen
// to be relied on under pressure, and showed a free slot.
func ReliedOnUnderPressure(c placement.Choice, slots int) bool {
	return c.Age >= 0 && c.Age <= maxAgeUnderPressure && c.Busy <= slots
}
