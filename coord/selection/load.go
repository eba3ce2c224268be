package selection

import (
	"math"
	"time"

	"github.com/lotuswing/lotuswing/coord/placement"
)

const (
	// paceMemory is the time constant with which a reported pace drifts back to meanPace.
	paceMemory = 150 * time.Millisecond
	// meanPace is the pace expected of an endpoint of which nothing fresh is known.
	meanPace = 1.8
	// busyMemory is the age from which a report says nothing of other balancers' requests: an
	// endpoint that was full then is as good as one that was never heard of.
	busyMemory = 400 * time.Millisecond
)

// Load is what is known of the load of one endpoint. It is an immutable value; the
// zero value knows nothing.
type Load struct {
	report   placement.LoadReport
	at       time.Time // when the report came; zero for never
	inFlight int       // own requests
	sent     int       // own requests sent since the report
	ended    int       // own requests ended since the report
}

// WithReport returns the load after a report that came at a time. One that is not
// known, or older than the last one, changes nothing.
func (l Load) WithReport(r placement.LoadReport, at time.Time) Load {
	if !r.Known || at.Before(l.at) {
		return l
	}
	l.report, l.at = r, at
	l.sent, l.ended = 0, 0
	return l
}

// WithSent returns the load after a request was sent.
func (l Load) WithSent() Load {
	l.inFlight++
	l.sent++
	return l
}

// WithEnded returns the load after a request ended.
func (l Load) WithEnded() Load {
	l.inFlight = max(0, l.inFlight-1)
	l.ended++
	return l
}

// InFlight returns the number of own requests.
func (l Load) InFlight() int { return l.inFlight }

// Report returns the last report.
func (l Load) Report() placement.LoadReport { return l.report }

// Age returns how old the last report is; very old where there is none.
func (l Load) Age(now time.Time) time.Duration {
	if l.at.IsZero() {
		return math.MaxInt64
	}
	return now.Sub(l.at)
}

// Busy returns how many requests the endpoint is thought to hold: its report with
// own requests that came and went since, and at least the own ones.
func (l Load) Busy(now time.Time) int {
	if l.Age(now) > busyMemory {
		return l.inFlight
	}
	return max(l.inFlight, l.report.InFlight+l.report.Waiting+l.sent-l.ended)
}

// Pace returns the slowdown factor expected now.
func (l Load) Pace(now time.Time) float64 {
	if l.at.IsZero() || l.report.Pace <= 0 {
		return meanPace
	}
	weight := math.Exp(-float64(now.Sub(l.at)) / float64(paceMemory))
	return meanPace + (l.report.Pace-meanPace)*weight
}

// Slots returns how many requests the endpoint works on at once: as it reports, or
// as listed where it has not reported.
func (l Load) Slots(listed int) int {
	if l.report.Slots > 0 {
		return l.report.Slots
	}
	return max(1, listed)
}
