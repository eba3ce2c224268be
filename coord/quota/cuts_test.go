package quota

import (
	"fmt"
	"testing"
	"time"
)

// isolateShare has every message from or to a share of the balancers, drawn at random, lost between two times.
func (f *fleet) isolateShare(share float64, from, to time.Duration) {
	isolated := map[int]bool{}
	for _, i := range f.rng.Perm(len(f.nodes))[:int(share*float64(len(f.nodes)))] {
		isolated[i] = true
	}
	f.partitioned = func(a, b *simNode) bool {
		at := f.Elapsed()
		return at > from && at < to && (isolated[a.index] || isolated[b.index])
	}
}

// TestQuotaHoldsForCutsOfAnySize guards against balancers that each give out a token, or their share of the
// rate, beside the whole quota of the others.
func TestQuotaHoldsForCutsOfAnySize(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		nodes, zones int
		limit        Limit
	}{{30, 3, smallLimit}, {107, 3, smallLimit}, {300, 6, smallLimit}, {30, 3, Limit{100, 100, testSpare}}, {107, 3, Limit{429, 429, testSpare}}} {
		for _, share := range []float64{0.1, 0.5, 0.8} {
			t.Run(fmt.Sprint(c.nodes, " balancers, ", share, " isolated, rate ", c.limit.Rate), func(t *testing.T) {
				t.Parallel()
				for seed := range uint64(3) {
					f := newFleet(seed, c.nodes, c.zones, c.limit)
					f.isolateShare(share, 6*time.Second, 15*time.Second)
					f.send(0.62*c.limit.Rate, 0, 7*time.Second, f.randomOf(c.nodes))
					f.send(6*c.limit.Rate, 7*time.Second, 18*time.Second, f.randomOf(c.nodes))
					f.Run(18 * time.Second)
					if worst := f.worstRatio(c.limit); worst > 1 {
						t.Errorf("seed %d: worst window %.2f of what is allowed", seed, worst)
					}
				}
			})
		}
	}
}
