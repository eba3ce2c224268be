package quota

import (
	"container/heap"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/lotuswing/lotuswing/coord/escrow"
	"gotest.tools/v3/assert"
)

// TestLeastRefusedWhereQuotaHoldsForEveryCut works out how many requests of the scenario "a third is
// partitioned and has callers" any rule must refuse that keeps the operators' bound whichever balancers are
// isolated: then no more than the bound may be set aside for all balancers together. The tokens are given to
// the balancers where they serve most, which no balancer could know.
func TestLeastRefusedWhereQuotaHoldsForEveryCut(t *testing.T) {
	f := newFleet(1, 107, 3, Limit{})
	pick := f.unevenly()
	traffic := make([]float64, len(f.nodes))
	const draws = 200_000
	for range draws {
		traffic[pick().index] += 1.0 / draws
	}
	f.sendManyTeams(0, pick)
	rng := rand.New(rand.NewPCG(1, 1))
	all, refused := 0, 0
	for _, team := range slices.Sorted(maps.Keys(f.limits)) {
		l := f.limits[team]
		perSecond := l.Rate / 1.6
		expected := make([]float64, len(traffic))
		for i := range traffic {
			expected[i] = perSecond * traffic[i] * escrow.Window.Seconds()
		}
		bound := int((l.Rate*escrow.Window.Seconds()+l.Burst)*1.1 + 4*l.Spare)
		for i, tokens := range mostServing(expected, bound) {
			if i%3 != 2 {
				continue
			}
			a, r := refusedByWindow(rng, perSecond*traffic[i], tokens)
			all, refused = all+a, refused+r
		}
	}
	t.Logf("at least %d of %d requests at isolated balancers are refused", refused, all)
	assert.Assert(t, refused > 24_000/1000)
}

// refusedByWindow returns how many requests arrive in the time of the partition at a balancer that admits a
// number of them in each window, and how many it refuses.
func refusedByWindow(rng *rand.Rand, perSecond float64, tokens int) (all, refused int) {
	var sent []time.Duration
	for at := time.Duration(0); ; all++ {
		at += time.Duration(rng.ExpFloat64() / perSecond * float64(time.Second))
		if at > cutTo-cutFrom {
			return all, refused
		}
		for len(sent) > 0 && sent[0] <= at-escrow.Window {
			sent = sent[1:]
		}
		if len(sent) >= tokens {
			refused++
			continue
		}
		sent = append(sent, at)
	}
}

// mostServing gives tokens one by one to the balancer where the next one most probably serves a request.
// expected are the requests that arrive at each balancer in a window.
func mostServing(expected []float64, tokens int) []int {
	given, queue := make([]int, len(expected)), servingHeap{}
	for i, e := range expected {
		queue = append(queue, serving{i, atLeast(e, 1)})
	}
	heap.Init(&queue)
	for range tokens {
		best := queue[0].balancer
		given[best]++
		queue[0].probability = atLeast(expected[best], given[best]+1)
		heap.Fix(&queue, 0)
	}
	return given
}

// atLeast returns the probability that n or more requests arrive where a number of them is expected.
func atLeast(expected float64, n int) float64 {
	below, term := 0.0, math.Exp(-expected)
	for i := range n {
		below += term
		term *= expected / float64(i+1)
	}
	return 1 - below
}

// serving is the probability with which one more token of a balancer serves a request.
type serving struct {
	balancer    int
	probability float64
}

// servingHeap is a heap with the highest probability first.
type servingHeap []serving

func (h servingHeap) Len() int           { return len(h) }
func (h servingHeap) Less(i, j int) bool { return h[i].probability > h[j].probability }
func (h servingHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *servingHeap) Push(x any)        { *h = append(*h, x.(serving)) }
func (h *servingHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}
