package selection

import (
	"math"
	"time"

	"github.com/lotuswing/lotuswing/coord/placement"
)

const (
	// paceDecayTime is the time constant of the exponential decay of a reported pace to defaultPace.
	paceDecayTime = 150 * time.Millisecond
	// defaultPace is the expected pace of an endpoint without a recent report.
	defaultPace = 1.8
	// maxBusyAge is the age beyond which Busy ignores a report, and so the requests of other
	// balancers: an endpoint that was full when it reported counts again like one that has never
	// reported.
	maxBusyAge = 400 * time.Millisecond
)

// Load is the load of one endpoint: its last report, and this balancer's own requests there.
// It is an immutable value; the zero value has no report.
type Load struct {
	report           placement.LoadReport
	timestamp        time.Time // when the report was received; zero without one
	inFlight         int       // this balancer's requests there
	sentSinceReport  int       // this balancer's requests sent since the report
	endedSinceReport int       // this balancer's requests that ended since the report
}

// WithReport returns the load after a report. A report that is not Known, or was received before
// the last one, is ignored.
func (l Load) WithReport(r placement.LoadReport, timestamp time.Time) Load {
	if !r.Known || timestamp.Before(l.timestamp) {
		return l
	}
	l.report, l.timestamp = r, timestamp
	l.sentSinceReport, l.endedSinceReport = 0, 0
	return l
}

// WithSent returns the load after a request was sent.
func (l Load) WithSent() Load {
	l.inFlight++
	l.sentSinceReport++
	return l
}

// WithEnded returns the load after a request ended.
func (l Load) WithEnded() Load {
	l.inFlight = max(0, l.inFlight-1)
	l.endedSinceReport++
	return l
}

// InFlight returns the number of this balancer's requests at the endpoint.
func (l Load) InFlight() int { return l.inFlight }

// Report returns the last report; its Known is false if there was none.
func (l Load) Report() placement.LoadReport { return l.report }

// Age returns the age of the last report; math.MaxInt64 without one.
func (l Load) Age(now time.Time) time.Duration {
	if l.timestamp.IsZero() {
		return math.MaxInt64
	}
	return now.Sub(l.timestamp)
}

// Busy returns the estimated number of requests that the endpoint holds: those of its last
// report, corrected by this balancer's requests sent and ended since then. It is at least the
// number of this balancer's requests there, and exactly that if the report is older than
// maxBusyAge.
func (l Load) Busy(now time.Time) int {
	if l.Age(now) > maxBusyAge {
		return l.inFlight
	}
	return max(l.inFlight, l.report.InFlight+l.report.Waiting+l.sentSinceReport-l.endedSinceReport)
}

// Pace returns the expected slowdown factor of the endpoint: 1 at its usual speed, 5 if work
// takes five times as long. It decays from the reported value to defaultPace.
func (l Load) Pace(now time.Time) float64 {
	if l.timestamp.IsZero() || l.report.Pace <= 0 {
		return defaultPace
	}
	decay := math.Exp(-float64(now.Sub(l.timestamp)) / float64(paceDecayTime))
	return defaultPace + (l.report.Pace-defaultPace)*decay
}

// Slots returns how many requests the endpoint works on at once: the reported number, or
// the listed one if it has reported none.
func (l Load) Slots(listed int) int {
	if l.report.Slots > 0 {
		return l.report.Slots
	}
	return max(1, listed)
}
