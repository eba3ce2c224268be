package quota

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestStartsKeepSmallQuota guards against balancers that start one after another, reach no relay yet, and each
// give out more requests of a team than its quota. In use a team of one request per second got 36 in five
// seconds, 26 allowed.
func TestStartsKeepSmallQuota(t *testing.T) {
	l := Limit{Rate: 1, Burst: 1, Spare: testSpare}
	for seed := range uint64(5) {
		f := newFleet(seed, 24, 3, l)
		f.send(10, 0, 12*time.Second, f.randomOf(24))
		for i := range 16 {
			at := 4*time.Second + time.Duration(i)*300*time.Millisecond
			f.After(at, func() {
				n := f.nodes[8+i]
				f.partitioned = func(a, b *simNode) bool { return (a == n || b == n) && f.Elapsed() < at+250*time.Millisecond }
				f.start(n)
				for range 3 {
					f.arrive(n, "team")
				}
			})
		}
		f.Run(12 * time.Second)
		assert.Assert(t, f.worstRatio(l) <= 1, "seed %d: %.2f", seed, f.worstRatio(l))
	}
}
