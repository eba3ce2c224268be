package limit

import (
	"math"
	"time"
)

const (
	// rampDoublingTime is the time in which the allowed rate doubles after a limit is lifted, and
	// rampDuration how long that continues before the endpoint is unlimited. Without the ramp, all
	// balancers would send to the idle endpoint at once.
	rampDoublingTime = 500 * time.Millisecond
	rampDuration     = 4 * rampDoublingTime
	// minRampRate is the lowest rate, in requests per second, at which the ramp starts.
	minRampRate = 1
	// significantChange is the factor by which a limit must change to be reported to other
	// balancers at once.
	significantChange = 1.25
)

// Answer is what one answer of an endpoint said about its limit.
type Answer struct {
	Said       HeaderState
	Rate       float64   // requests per second, if Said is HeaderNamed
	SentAt     time.Time // when the request was sent
	ReceivedAt time.Time // when the header of the answer arrived
	// MayLackHeader says that an answer of this kind may lack the header while a limit is in force.
	MayLackHeader bool
}

// Observation is what an endpoint last said about its limit. It is an immutable value; the zero
// value says that the endpoint has never named one.
type Observation struct {
	rate   float64 // requests per second; of a lifted limit, the last value
	lifted bool
	asked  time.Time // when the request was sent whose answer said it
	heard  time.Time // when that answer arrived
}

// Known reports whether the endpoint has ever named a limit.
func (o Observation) Known() bool { return !o.heard.IsZero() }

// Lifted reports whether the endpoint has stopped naming the limit that it had.
func (o Observation) Lifted() bool { return o.lifted }

// Rate returns the limit in requests per second; of a lifted limit, the last value.
func (o Observation) Rate() float64 { return o.rate }

// Heard returns when the answer arrived that named or lifted the limit.
func (o Observation) Heard() time.Time { return o.heard }

// With returns the observation after an answer. An answer without a limit lifts a limit only if
// its request was sent after the limit was observed: otherwise the answer may have been written
// before the limit was set.
func (o Observation) With(a Answer) Observation {
	switch {
	case a.Said == HeaderNamed:
		return o.Merge(Observation{rate: a.Rate, asked: a.SentAt, heard: a.ReceivedAt})
	case a.Said == HeaderUnreadable || a.MayLackHeader || !o.Known() || o.lifted || a.SentAt.Before(o.heard):
		return o
	}
	return o.Merge(Observation{rate: o.rate, lifted: true, asked: a.SentAt, heard: a.ReceivedAt})
}

// Merge returns which of two observations of one endpoint is in force: the one whose request was
// sent after the answer of the other one had arrived. If the two overlapped in time, it is unknown
// which one the endpoint said last. Then the lower limit is in force, until a later request is
// answered. But between a limit and its lifting, the answer that arrived last counts: a limit is
// lifted only by a request that was sent after the limit was observed.
func (o Observation) Merge(other Observation) Observation {
	switch {
	case !o.Known(), other.Known() && !other.asked.Before(o.heard):
		return other
	case !other.Known(), !o.asked.Before(other.heard):
		return o
	case o.lifted == other.lifted && o.rate != other.rate:
		return lower(o, other)
	case other.heard.After(o.heard):
		return other
	}
	return o
}

// lower returns the observation with the lower rate.
func lower(o, other Observation) Observation {
	if other.rate < o.rate {
		return other
	}
	return o
}

// stricterThan reports whether o allows fewer requests than other.
func (o Observation) stricterThan(other Observation) bool {
	if o.lifted != other.lifted {
		return other.lifted
	}
	return o.rate < other.rate
}

// echoTolerance bounds how much later than the original an observation seems to be after another
// balancer has sent it back, because the transmitted ages do not include the time in transit.
const echoTolerance = 250 * time.Millisecond

// isEchoOf reports whether o and other, which was received from another balancer, are the same
// observation.
func (o Observation) isEchoOf(other Observation) bool {
	return o.rate == other.rate && o.lifted == other.lifted && other.heard.Sub(o.heard).Abs() < echoTolerance
}

// RateAt returns how many requests per second the endpoint may get from all balancers together at
// now; limited is false if there is no bound. After a limit is lifted the rate ramps up for
// rampDuration before the bound is removed.
func (o Observation) RateAt(now time.Time) (perSecond float64, limited bool) {
	switch {
	case !o.Known():
		return 0, false
	case !o.lifted:
		return o.rate, true
	}
	since := max(0, now.Sub(o.heard))
	if since >= rampDuration {
		return 0, false
	}
	return max(minRampRate, o.rate) * math.Exp2(float64(since)/float64(rampDoublingTime)), true
}

// IsNewsTo reports whether o should be sent at once to balancers whose latest observation is the
// argument known: a limit was named for the first time, lifted or named again, or its rate has
// changed by more than the factor significantChange.
func (o Observation) IsNewsTo(known Observation) bool {
	switch {
	case o.Known() != known.Known() || o.lifted != known.lifted:
		return true
	case o.lifted:
		return false
	}
	return max(o.rate, known.rate) > significantChange*min(o.rate, known.rate)
}

// WireObservation is an Observation as balancers exchange it. It holds ages instead of times,
// because their clocks differ. Packages gob, in asks, and json, in notes, write the field names.
// The zero value is no observation.
type WireObservation struct {
	Known    bool
	Rate     float64
	Lifted   bool
	AskedAge time.Duration
	HeardAge time.Duration
}

// WireObservation returns the observation as it is sent at now.
func (o Observation) WireObservation(now time.Time) WireObservation {
	if !o.Known() {
		return WireObservation{}
	}
	return WireObservation{Known: true, Rate: o.rate, Lifted: o.lifted, AskedAge: now.Sub(o.asked), HeardAge: now.Sub(o.heard)}
}

// Observation returns the observation that was received at now; the zero value if it is invalid.
func (w WireObservation) Observation(now time.Time) Observation {
	finite := !math.IsNaN(w.Rate) && !math.IsInf(w.Rate, 0) && w.Rate >= 0
	if !w.Known || !finite || w.HeardAge < 0 || w.AskedAge < w.HeardAge {
		return Observation{}
	}
	return Observation{rate: w.Rate, lifted: w.Lifted, asked: now.Add(-w.AskedAge), heard: now.Add(-w.HeardAge)}
}
