package rollout

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// simulateRequests sends total requests to the new version, a few at a time, and ten times as many to
// the old one, until a SequentialTest finds the version bad. failing returns the share of failures at
// the new version after sent requests. badAfter is the number of requests after which the new
// version was found bad, or 0.
func simulateRequests(rng *rand.Rand, total int, oldFails float64, failing func(sent int) float64) (badAfter int, proved bool) {
	var s SequentialTest
	const step = 5
	for sent := 0; sent < total; sent += step {
		s = s.With(drawSample(rng, step, failing(sent)), drawSample(rng, 10*step, oldFails))
		if s.Bad() {
			return sent + step, false
		}
	}
	return 0, s.Proved()
}

// drawSample returns a sample of requests that fail with the probability fails.
func drawSample(rng *rand.Rand, asked int64, fails float64) Sample {
	s := Sample{Asked: asked}
	for range asked {
		if rng.Float64() < fails {
			s.Failed++
		}
	}
	return s
}

// TestErrorRates checks that hardly any good version is rolled back, and that almost all bad
// versions are, after few requests. In most cases 0.001 of the requests at the old version fail.
func TestErrorRates(t *testing.T) {
	always := func(share float64) func(int) float64 { return func(int) float64 { return share } }
	later := func(share float64) func(int) float64 {
		return func(sent int) float64 {
			if sent < 200 {
				return 0.001
			}
			return share
		}
	}
	cases := []struct {
		name          string
		old           float64
		new           func(int) float64
		maxRolledBack float64 // bounds of the share of versions that are rolled back
		minRolledBack float64
		maxMedian     int // bound of the median number of requests before the rollback
	}{
		{"good", 0.001, always(0.001), 0.003, 0, 0},
		{"good, both fail a fifth", 0.2, always(0.2), 0.003, 0, 0},
		{"good, both fail two fifths", 0.4, always(0.4), 0.003, 0, 0},
		{"a third fails", 0.001, always(0.33), 1, 0.999, 30},
		{"a fifth fails", 0.001, always(0.2), 1, 0.999, 60},
		{"a tenth fails", 0.001, always(0.1), 1, 0.99, 200},
		{"a third fails later", 0.001, later(0.33), 1, 0.999, 230},
		{"half fails while the old fails a tenth", 0.1, always(0.5), 1, 0.999, 60},
	}
	const tries = 1000
	for _, c := range cases {
		rng := rand.New(rand.NewPCG(1, 1))
		var after []int
		proved := 0
		for range tries {
			n, ok := simulateRequests(rng, 400, c.old, c.new)
			if n > 0 {
				after = append(after, n)
			}
			if ok {
				proved++
			}
		}
		share := float64(len(after)) / tries
		medianAfter := 0
		if len(after) > tries/2 {
			medianAfter = median(after)
		}
		t.Logf("%-45s rolled back %.3f, median after %d requests; proved %.3f", c.name, share, medianAfter, float64(proved)/tries)
		assert.Assert(t, share <= c.maxRolledBack && share >= c.minRolledBack, c.name)
		assert.Assert(t, medianAfter <= c.maxMedian, c.name)
	}
}

// median returns the lower median of n.
func median(n []int) int {
	counts := map[int]int{}
	for _, v := range n {
		counts[v]++
	}
	seen := 0
	for v := 0; ; v++ {
		seen += counts[v]
		if 2*seen >= len(n) {
			return v
		}
	}
}

// TestGoodVersionIsCompletedInTime checks that the rollout of a good version is completed within the
// planned duration.
func TestGoodVersionIsCompletedInTime(t *testing.T) {
	for _, d := range []time.Duration{8 * time.Second, 12 * time.Second, 16 * time.Second, time.Minute} {
		p := Plan{Duration: d, SettleTime: 2500 * time.Millisecond}
		s, statusAt := Status{State: Running}, time.Duration(0)
		at := time.Duration(0)
		for ; s.State == Running; at += 100 * time.Millisecond {
			next := p.Next(s, Facts{Since: at, InStage: at - statusAt, Proved: at > 2*time.Second, New: 10, Old: 10})
			if next != s {
				statusAt = at
			}
			s = next
		}
		assert.Equal(t, s.State, Completed)
		assert.Assert(t, at < d, "%v of %v", at, d)
	}
}

// TestNext checks the effect of each fact on the next status.
func TestNext(t *testing.T) {
	p := Plan{Duration: 10 * time.Second, SettleTime: 2 * time.Second}
	cases := []struct {
		name string
		from Status
		f    Facts
		want Status
	}{
		{"too early", Status{Running, 0}, Facts{Since: 3 * time.Second, Proved: true, New: 9, Old: 9}, Status{Running, 0}},
		{"proved", Status{Running, 0}, Facts{Since: 4 * time.Second, Proved: true, New: 9, Old: 9}, Status{Running, 1}},
		{"too few requests", Status{Running, 0}, Facts{Since: 5 * time.Second, New: 9, Old: 9}, Status{Running, 0}},
		{"too few requests, but no time left", Status{Running, 0}, Facts{Since: 5500 * time.Millisecond, New: 9, Old: 9}, Status{Running, 1}},
		{"bad", Status{Running, 1}, Facts{Since: 6 * time.Second, Bad: true, Proved: true, New: 9, Old: 9}, Status{State: RolledBack}},
		{"bad in the last stage", Status{Running, 2}, Facts{Since: 6 * time.Second, InStage: time.Hour, Bad: true, New: 9, Old: 9}, Status{State: RolledBack}},
		{"too few endpoints for a quarter", Status{Running, 0}, Facts{Since: 5 * time.Second, Proved: true, New: 1, Old: 9}, Status{Running, 0}},
		{"too few endpoints for all", Status{Running, 1}, Facts{Since: 9 * time.Second, InStage: 2 * time.Second, Proved: true, New: 4, Old: 9}, Status{Running, 1}},
		{"no endpoint of the new version", Status{Running, 0}, Facts{Since: 9 * time.Second, Old: 0}, Status{Running, 0}},
		{"all, not settled", Status{Running, 2}, Facts{InStage: time.Second, New: 9}, Status{Running, 2}},
		{"all, settled", Status{Running, 2}, Facts{InStage: 2 * time.Second, New: 9}, Status{State: Completed}},
		{"completed stays", Status{State: Completed}, Facts{Bad: true}, Status{State: Completed}},
		{"rolled back stays", Status{State: RolledBack}, Facts{Since: time.Hour, Proved: true, New: 9}, Status{State: RolledBack}},
	}
	for _, c := range cases {
		assert.Equal(t, p.Next(c.from, c.f), c.want, c.name)
	}
}

// TestBadVersionStaysBelowItsShare checks that a version that is bad from the start, or turns bad
// later, is rolled back before it has had more than a tenth of the requests of the planned
// duration, plus 50. The simulation includes the time until all balancers apply a status.
func TestBadVersionStaysBelowItsShare(t *testing.T) {
	const propagationDelay = 1500 * time.Millisecond // time until all balancers apply a new status
	for _, rate := range []int{60, 370, 2000} {
		for _, badFrom := range []time.Duration{0, 3 * time.Second, 6 * time.Second} {
			t.Run(fmt.Sprintf("%d a second, bad from %v", rate, badFrom), func(t *testing.T) {
				rng := rand.New(rand.NewPCG(uint64(rate), uint64(badFrom)))
				p := Plan{Duration: 16 * time.Second, SettleTime: 2500 * time.Millisecond}
				var s SequentialTest
				status, statusAt := Status{State: Running}, time.Duration(0)
				var shares []float64 // share by tick
				const tick = 100 * time.Millisecond
				sentToNew, pending := 0, 0.0
				for at := time.Duration(0); at < p.Duration; at += tick {
					shares = append(shares, status.Share())
					appliedShare := shares[max(0, len(shares)-1-int(propagationDelay/tick))]
					pending += appliedShare * float64(rate) * tick.Seconds()
					n := int64(pending)
					pending -= float64(n)
					sentToNew += int(n)
					fails := 0.001
					if at >= badFrom {
						fails = 0.3
					}
					s = s.With(drawSample(rng, n, fails), drawSample(rng, int64(float64(rate)*tick.Seconds()), 0.001))
					next := p.Next(status, Facts{Since: at, InStage: at - statusAt, Bad: s.Bad(), Proved: s.Proved(), New: 10, Old: 10})
					if next != status {
						statusAt = at
					}
					status = next
				}
				allowed := rate*16/10 + 50
				t.Logf("%v, %d requests of %d allowed", status.State, sentToNew, allowed)
				assert.Equal(t, status.State, RolledBack)
				assert.Assert(t, sentToNew <= allowed)
			})
		}
	}
}
