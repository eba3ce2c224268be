package leaving_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/lotuswing/lotuswing/coord/leaving"
	"gotest.tools/v3/assert"
)

// TestMarksReachEveryBalancer spreads one mark by heartbeats in virtual time:
// each balancer exchanges marks with two others every 300 ms, and a third of the
// exchanges are lost. Every balancer must know the mark within three seconds.
func TestMarksReachEveryBalancer(t *testing.T) {
	const (
		period = 300 * time.Millisecond
		fanout = 2
		limit  = 3 * time.Second
	)
	for _, size := range []int{3, 16, 128} {
		worst := time.Duration(0)
		for seed := range uint64(200) {
			rng := rand.New(rand.NewPCG(seed, 1))
			sets := make([]leaving.Set, size)
			now := time.Unix(1e9, 0)
			sets[0] = sets[0].With(leaving.Mark{VM: "e", Source: leaving.Answer}, now)
			took := time.Duration(0)
			for known := 1; known < size; took += period {
				for i := range sets {
					for range fanout {
						exchange(sets, i, rng, now)
					}
				}
				known = 0
				for _, s := range sets {
					if s.Has("e") {
						known++
					}
				}
			}
			worst = max(worst, took)
		}
		t.Logf("%d balancers: worst %v", size, worst)
		assert.Assert(t, worst <= limit, "%d balancers: %v", size, worst)
	}
}

// exchange swaps marks between balancer i and a random other one; one exchange in three is lost.
func exchange(sets []leaving.Set, i int, rng *rand.Rand, now time.Time) {
	j := (i + 1 + rng.IntN(len(sets)-1)) % len(sets)
	if rng.IntN(3) == 0 {
		return
	}
	sets[j], _ = sets[j].Merge(sets[i].Marks(), now)
	sets[i], _ = sets[i].Merge(sets[j].Marks(), now)
}

// TestMergeKeepsAllMarks checks that merging keeps all marks in either set, and that adding a
// mark leaves the earlier set unchanged.
func TestMergeKeepsAllMarks(t *testing.T) {
	now := time.Unix(1e9, 0)
	var a, b leaving.Set
	for i := range 20 {
		a = a.With(leaving.Mark{VM: fmt.Sprint(i), Source: leaving.List}, now)
		b = b.With(leaving.Mark{VM: fmt.Sprint(19 - i), Source: leaving.Probe}, now)
	}
	ab, fresh := a.Merge(b.Marks(), now)
	assert.Equal(t, len(fresh), 0)
	assert.Equal(t, ab.Len(), 20)
	old := a
	a = a.With(leaving.Mark{VM: "new"}, now)
	assert.Assert(t, a.Has("new") && !old.Has("new"))
}

// TestForgetKeepsListedAndRecentMarks checks that a mark is dropped only if its VM is not
// listed and the mark is not recent.
func TestForgetKeepsListedAndRecentMarks(t *testing.T) {
	then := time.Unix(1e9, 0)
	s := leaving.Set{}.With(leaving.Mark{VM: "listed"}, then).With(leaving.Mark{VM: "gone"}, then)
	s = s.With(leaving.Mark{VM: "fresh"}, then.Add(time.Hour))
	s = s.Forget(then.Add(time.Minute), func(vm string) bool { return vm == "listed" })
	assert.Assert(t, s.Has("listed") && s.Has("fresh") && !s.Has("gone"))
}
