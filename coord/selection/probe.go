package selection

import (
	"time"

	"github.com/lotuswing/lotuswing/coord/admission"
)

const (
	// maxProbesPerRound is the maximum number of probes in one search round.
	maxProbesPerRound = 12
	// A search round sends no more probes than are left of softProbeLimit for the request, but may
	// always send minProbesPerRound.
	minProbesPerRound = 2
	softProbeLimit    = 24
)

// MaxProbes returns the maximum number of probes in one search round. before is the number of
// probes that the request has sent in earlier rounds.
func MaxProbes(before int) int {
	return max(minProbesPerRound, min(maxProbesPerRound, softProbeLimit-before))
}

// NeedsProbe reports whether an endpoint should be probed before a decision. That is the case if
// the best candidate is not good, if its report is no longer fresh, or if the expected gain from
// probing another endpoint exceeds the cost of the probe.
func (o Options) NeedsProbe(list *Ranking, params *ScoringParams) bool {
	if list.Len() == 0 {
		return false
	}
	best := list.Best()
	if best.Admission.Access == admission.Askable {
		return false // the limit's owner has to be asked first; it may have no room for the request
	}
	return !best.Good || best.Age > o.MaxFreshAge || params.worthFurtherProbe(best)
}

// NextProbe returns the Index of the best candidate whose report is not fresh and that mayProbe
// allows. Endpoints that do not admit the request are not probed either, nor are those in a backoff
// after a reset.
func (o Options) NextProbe(list *Ranking, mayProbe func(index int) bool) (index int, ok bool) {
	for i := range list.Len() {
		c := list.At(i)
		if (c.Age > o.MaxFreshAge || c.Unproven) && (c.Admission.Admits() || c.AssumedCold) && !c.Resetting && mayProbe(c.Index) {
			return c.Index, true
		}
	}
	return 0, false
}

// ProbeBudget is a token bucket that limits the probes of one endpoint, or of a service while
// the probes to all its endpoints are limited. It is an immutable value.
type ProbeBudget struct {
	tokens  float64
	updated time.Time // when tokens was last updated; zero before the first probe
}

// NewProbeBudget returns a full budget.
func (o Options) NewProbeBudget() ProbeBudget { return ProbeBudget{tokens: o.ProbeBurst} }

// WithCredit returns the budget with a token more.
func (b ProbeBudget) WithCredit(o Options) ProbeBudget {
	b.tokens = min(o.ProbeBurst, b.tokens+1)
	return b
}

// WithProbe takes a token for a probe, and reports whether there was one.
func (b ProbeBudget) WithProbe(o Options, now time.Time) (ProbeBudget, bool) {
	if !b.updated.IsZero() {
		b.tokens += o.ProbeRate * now.Sub(b.updated).Seconds()
	}
	b.tokens, b.updated = min(o.ProbeBurst, b.tokens), now
	if b.tokens < 1 {
		return b, false
	}
	b.tokens--
	return b, true
}
