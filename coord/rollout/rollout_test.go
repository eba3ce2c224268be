package rollout

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// play lets requests come to both versions, n at a time, until the suspicion says bad or
// none are left. failing returns the part of failures at the new version after some have
// been sent there.
func play(rng *rand.Rand, total int, oldFails float64, failing func(sent int) float64) (badAfter int, proved bool) {
	var s Suspicion
	const step = 5
	for sent := 0; sent < total; sent += step {
		s = s.With(draw(rng, step, failing(sent)), draw(rng, 10*step, oldFails))
		if s.Bad() {
			return sent + step, false
		}
	}
	return 0, s.Proved()
}

func draw(rng *rand.Rand, asked int64, fails float64) Sample {
	s := Sample{Asked: asked}
	for range asked {
		if rng.Float64() < fails {
			s.Failed++
		}
	}
	return s
}

// TestErrorRates: of good versions hardly one is rolled back, of bad ones none is kept, and
// soon. 0.001 of the requests fail in any case.
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
		name     string
		old      float64
		new      func(int) float64
		mostBad  float64 // part of the versions that are rolled back
		leastBad float64
		within   int // requests that half of them needed, at the most
	}{
		{"good", 0.001, always(0.001), 0.003, 0, 0},
		{"good, both fail in part", 0.2, always(0.2), 0.003, 0, 0},
		{"good, both fail more and more", 0.4, always(0.4), 0.003, 0, 0},
		{"a third fails", 0.001, always(0.33), 1, 0.999, 30},
		{"a fifth fails", 0.001, always(0.2), 1, 0.999, 60},
		{"a tenth fails", 0.001, always(0.1), 1, 0.99, 200},
		{"a third fails later", 0.001, later(0.33), 1, 0.999, 230},
		{"half fails while the old fails in part", 0.1, always(0.5), 1, 0.999, 60},
	}
	const tries = 1000
	for _, c := range cases {
		rng := rand.New(rand.NewPCG(1, 1))
		var after []int
		proved := 0
		for range tries {
			n, ok := play(rng, 400, c.old, c.new)
			if n > 0 {
				after = append(after, n)
			}
			if ok {
				proved++
			}
		}
		share := float64(len(after)) / tries
		half := 0
		if len(after) > tries/2 {
			half = median(after)
		}
		t.Logf("%-45s rolled back %.3f, half of them within %d requests; proved %.3f", c.name, share, half, float64(proved)/tries)
		assert.Assert(t, share <= c.mostBad && share >= c.leastBad, c.name)
		assert.Assert(t, half <= c.within, c.name)
	}
}

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

// TestGoodVersionIsCompletedInTime, and what goes to it until then is a tenth of all only
// from the second stage on.
func TestGoodVersionIsCompletedInTime(t *testing.T) {
	for _, d := range []time.Duration{8 * time.Second, 12 * time.Second, 16 * time.Second, time.Minute} {
		p := Plan{Duration: d, Settle: 2500 * time.Millisecond}
		s, stage := Status{State: Running}, time.Duration(0)
		at := time.Duration(0)
		for ; s.State == Running; at += 100 * time.Millisecond {
			next := p.Next(s, Facts{Since: at, InStage: at - stage, Proved: at > 2*time.Second, New: 10, Old: 10})
			if next != s {
				stage = at
			}
			s = next
		}
		assert.Equal(t, s.State, Completed)
		assert.Assert(t, at < d, "%v of %v", at, d)
	}
}

// TestNext: what each fact does.
func TestNext(t *testing.T) {
	p := Plan{Duration: 10 * time.Second, Settle: 2 * time.Second}
	cases := []struct {
		name string
		from Status
		f    Facts
		want Status
	}{
		{"too early", Status{Running, 0}, Facts{Since: 3 * time.Second, Proved: true, New: 9, Old: 9}, Status{Running, 0}},
		{"proved", Status{Running, 0}, Facts{Since: 4 * time.Second, Proved: true, New: 9, Old: 9}, Status{Running, 1}},
		{"too few requests", Status{Running, 0}, Facts{Since: 5 * time.Second, New: 9, Old: 9}, Status{Running, 0}},
		{"no time left for more", Status{Running, 0}, Facts{Since: 5500 * time.Millisecond, New: 9, Old: 9}, Status{Running, 1}},
		{"bad", Status{Running, 1}, Facts{Since: 6 * time.Second, Bad: true, Proved: true, New: 9, Old: 9}, Status{State: RolledBack}},
		{"bad in the last stage", Status{Running, 2}, Facts{Since: 6 * time.Second, InStage: time.Hour, Bad: true, New: 9, Old: 9}, Status{State: RolledBack}},
		{"too few endpoints for a quarter", Status{Running, 0}, Facts{Since: 5 * time.Second, Proved: true, New: 1, Old: 9}, Status{Running, 0}},
		{"too few endpoints for all", Status{Running, 1}, Facts{Since: 9 * time.Second, InStage: 2 * time.Second, Proved: true, New: 4, Old: 9}, Status{Running, 1}},
		{"nobody runs it", Status{Running, 0}, Facts{Since: 9 * time.Second, Old: 0}, Status{Running, 0}},
		{"all, not settled", Status{Running, 2}, Facts{InStage: time.Second, New: 9}, Status{Running, 2}},
		{"all, settled", Status{Running, 2}, Facts{InStage: 2 * time.Second, New: 9}, Status{State: Completed}},
		{"completed stays", Status{State: Completed}, Facts{Bad: true}, Status{State: Completed}},
		{"rolled back stays", Status{State: RolledBack}, Facts{Since: time.Hour, Proved: true, New: 9}, Status{State: RolledBack}},
	}
	for _, c := range cases {
		assert.Equal(t, p.Next(c.from, c.f), c.want, c.name)
	}
}

// TestBadVersionStaysBelowItsShare: of a service of some hundred requests a second, what a
// version gets that is bad from the start, that turns bad, or whose fault shows in a quarter
// of its requests, in the time that news of it take.
func TestBadVersionStaysBelowItsShare(t *testing.T) {
	const news = 1500 * time.Millisecond // until all balancers act on what they saw
	for _, rate := range []int{60, 370, 2000} {
		for _, turns := range []time.Duration{0, 3 * time.Second, 6 * time.Second} {
			t.Run(fmt.Sprintf("%d a second, bad from %v", rate, turns), func(t *testing.T) {
				rng := rand.New(rand.NewPCG(uint64(rate), uint64(turns)))
				p := Plan{Duration: 16 * time.Second, Settle: 2500 * time.Millisecond}
				var s Suspicion
				status, stage := Status{State: Running}, time.Duration(0)
				var shares []float64 // in force, by tick
				const tick = 100 * time.Millisecond
				exposed, owed := 0, 0.0
				for at := time.Duration(0); at < p.Duration; at += tick {
					shares = append(shares, status.Share())
					inForce := shares[max(0, len(shares)-1-int(news/tick))]
					owed += inForce * float64(rate) * tick.Seconds()
					n := int64(owed)
					owed -= float64(n)
					exposed += int(n)
					fails := 0.001
					if at >= turns {
						fails = 0.3
					}
					s = s.With(draw(rng, n, fails), draw(rng, int64(float64(rate)*tick.Seconds()), 0.001))
					next := p.Next(status, Facts{Since: at, InStage: at - stage, Bad: s.Bad(), Proved: s.Proved(), New: 10, Old: 10})
					if next != status {
						stage = at
					}
					status = next
				}
				allowed := rate*16/10 + 50
				t.Logf("%v, %d requests of %d allowed", status.State, exposed, allowed)
				assert.Equal(t, status.State, RolledBack)
				assert.Assert(t, exposed <= allowed)
			})
		}
	}
}
