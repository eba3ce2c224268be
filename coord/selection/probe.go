package selection

import (
	"time"

	"github.com/lotuswing/lotuswing/coord/admission"
)

const (
	// probeRounds is how often in one look other endpoints are probed when those probed before
	// will not do.
	probeRounds = 12
	// fewestRounds is the same for a request that has sent mostProbes.
	fewestRounds = 2
	mostProbes   = 24
)

// ProbeRounds returns how often in one look endpoints may be probed, after so many probes
// of the request in earlier ones.
func ProbeRounds(before int) int {
	return max(fewestRounds, min(probeRounds, mostProbes-before))
}

// NeedsProbe reports whether an endpoint should be probed before a decision: the
// best candidate is not good, its report is no longer fresh, or another one is likely to
// be better by more than the probe costs.
func (o Options) NeedsProbe(list *Ranking, usual *Usual) bool {
	if list.Len() == 0 {
		return false
	}
	best := list.Best()
	if best.Admission.Access == admission.Askable {
		return false // there may be no room for the request
	}
	return !best.Good || best.Age > o.ProbeFresh || usual.looksFurther(best)
}

// NextProbe returns the best candidate whose report is not fresh and that mayProbe allows, by
// its index in the list that the candidates were made of. An endpoint that wants no requests is
// spared probes as well.
func (o Options) NextProbe(list *Ranking, mayProbe func(index int) bool) (index int, ok bool) {
	for i := range list.Len() {
		c := list.At(i)
		if c.Age > o.ProbeFresh && c.Admission.Admits() && mayProbe(c.Index) {
			return c.Index, true
		}
	}
	return 0, false
}

// ProbeBudget is a token bucket that bounds the probes of one endpoint. It is an
// immutable value.
type ProbeBudget struct {
	tokens  float64
	updated time.Time // when they were last counted; zero for never
}

// NewProbeBudget returns a full budget.
func (o Options) NewProbeBudget() ProbeBudget { return ProbeBudget{tokens: o.ProbeBurst} }

// WithProbe returns the budget after a probe, and whether it covers that.
func (b ProbeBudget) WithProbe(o Options, now time.Time) (ProbeBudget, bool) {
	if !b.updated.IsZero() {
		b.tokens = min(o.ProbeBurst, b.tokens+o.ProbeRate*now.Sub(b.updated).Seconds())
	}
	b.updated = now
	if b.tokens < 1 {
		return b, false
	}
	b.tokens--
	return b, true
}
