package selection

import "time"

const (
	// prospects is how many of the last probes are remembered: few enough that a burst shows
	// within a second at a request every 100 ms.
	prospects = 16
	// fewestProspects is from how many on they are relied on.
	fewestProspects = 3
	// furtherCost is what another probe is thought to cost a request: the time for which
	// it may wait for the response.
	furtherCost = 12 * time.Millisecond
)

// Prospect is what the endpoints of a service that were probed lately looked like: how
// long a request would have taken there, against the usual time of its work. It tells
// what may be expected of the next one that is probed. It is an immutable value; the
// zero value has seen nothing.
type Prospect struct {
	factors [prospects]float64
	seen    int // so many in all; the last ones are kept
}

// With returns the prospect after a probed endpoint's estimate for a kind whose work
// usually takes so long.
func (p Prospect) With(estimate, work time.Duration) Prospect {
	if work <= 0 {
		return p
	}
	p.factors[p.seen%prospects] = float64(estimate) / float64(work)
	p.seen++
	return p
}

// Gain returns how much sooner a request is expected to end for one more probe: the mean
// over the endpoints seen lately of how much better than the best one each is, where it
// is. Looking further pays as long as that is more than a probe costs (optimal stopping
// with recall).
func (p Prospect) Gain(best, work time.Duration) time.Duration {
	n := min(p.seen, prospects)
	if n < fewestProspects {
		return 0
	}
	sum := 0.0
	for _, f := range p.factors[:n] {
		sum += max(0, float64(best)-f*float64(work))
	}
	return time.Duration(sum / float64(n))
}

// looksFurther reports whether another probe is worth its time though the best
// candidate will do.
func (u *Usual) looksFurther(best *Candidate) bool {
	return u.Prospect.Gain(best.Estimate, u.Work) > furtherCost
}
