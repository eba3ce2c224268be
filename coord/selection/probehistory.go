package selection

import "time"

const (
	// probeHistorySize is the number of latest probes that are kept. It is small enough for a load
	// burst to show within a second at one request every 100 ms.
	probeHistorySize = 16
	// minProspects is the number of probes below which the expected gain is 0.
	minProspects = 3
	// furtherProbeCost is the assumed cost of a further probe to a request: the time that the
	// request may wait for the response.
	furtherProbeCost = 12 * time.Millisecond
)

// ProbeHistory is the history of the latest probes of a service's endpoints: the estimate for a
// request at each, relative to its usual service time. It serves as the distribution of
// what the next probe will find. It is an immutable value; the zero value is empty.
type ProbeHistory struct {
	factors [probeHistorySize]float64
	total   int // number of probes in all; factors holds the latest
}

// With returns the history after a probe. estimate is the expected time of a request at the
// probed endpoint and work the usual service time of the request; without it the probe is ignored.
func (p ProbeHistory) With(estimate, work time.Duration) ProbeHistory {
	if work <= 0 {
		return p
	}
	p.factors[p.total%probeHistorySize] = float64(estimate) / float64(work)
	p.total++
	return p
}

// ExpectedGain returns how much sooner a request is expected to end after one more probe: the mean
// over the latest probes of the time that each would have saved against best, the estimate at
// the best candidate, or 0 where it would have saved none. A further probe pays as long as the gain
// exceeds the cost of the probe (optimal stopping with recall).
func (p ProbeHistory) ExpectedGain(best, work time.Duration) time.Duration {
	n := min(p.total, probeHistorySize)
	if n < minProspects {
		return 0
	}
	sum := 0.0
	for _, f := range p.factors[:n] {
		sum += max(0, float64(best)-f*float64(work))
	}
	return time.Duration(sum / float64(n))
}

// worthFurtherProbe reports whether the expected gain of a further probe exceeds its cost. It is
// used when the best candidate is good already.
func (p *ScoringParams) worthFurtherProbe(best *Candidate) bool {
	return p.ProbeHistory.ExpectedGain(best.Estimate, p.Work) > furtherProbeCost
}
