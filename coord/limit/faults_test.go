package limit

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// checkBound checks that the endpoint got no more requests in any countWindow between two times
// than operators tolerate for a limit.
func (f *fleet) checkBound(t *testing.T, rate float64, from, to time.Duration, name string) {
	t.Helper()
	all, told := f.mostInWindow(from, to)
	t.Logf("%s: at most %d requests in a window (%d from balancers that knew the limit), tolerated %v; %.2f requests/s; %d calls, %d notes, %d probes",
		name, all, told, toleratedFor(rate), f.rate(from, to), f.callCount, f.noteCount, f.probeCount)
	assert.Check(t, float64(all) <= toleratedFor(rate), name)
}

// forEachFleet calls simulate for fleets and limits of all sizes, with two seeds each.
func forEachFleet(t *testing.T, simulate func(f *fleet, rate float64, name string)) {
	t.Helper()
	for _, s := range sizes {
		for _, rate := range testedLimits {
			for seed := range uint64(2) {
				f := newFleet(seed, s.nodes, s.zones)
				f.setHeaderAt(limitNamed, fmt.Sprint(rate))
				simulate(f, rate, fmt.Sprintf("%d balancers, limit %v, seed %d", s.nodes, rate, seed))
			}
		}
	}
}

// TestLimitHoldsDuringPartition separates a third of the balancers, with or without the owner of
// the endpoint, from the others for nine seconds.
func TestLimitHoldsDuringPartition(t *testing.T) {
	for _, third := range []int{0, 2} {
		forEachFleet(t, func(f *fleet, rate float64, name string) {
			isCut := func(n *node) bool { return n.index%3 == third }
			f.partitioned = func(a, b *node) bool {
				at := f.Elapsed()
				return at > 8*time.Second && at < 17*time.Second && isCut(a) != isCut(b)
			}
			f.generateLoad(offeredRate(rate), 0, 25*time.Second, f.randomNode(len(f.nodes)))
			f.Run(25 * time.Second)
			f.checkBound(t, rate, limitKnown, 25*time.Second, fmt.Sprint(name, ", cut ", third))
		})
	}
}

// TestLimitHoldsAcrossOwnerRestarts stops the relays of all zones several times and restarts them
// without state, while 3% of the messages are lost.
func TestLimitHoldsAcrossOwnerRestarts(t *testing.T) {
	forEachFleet(t, func(f *fleet, rate float64, name string) {
		f.loss = 0.03
		for k := range 4 {
			f.After(time.Duration(6+3*k)*time.Second, func() {
				for z := range f.zones {
					if r := f.relayOf(z); r != nil && len(f.nodes) > 3 {
						r.down = true
						f.After(2500*time.Millisecond, func() { f.start(r) })
					}
				}
			})
		}
		f.generateLoad(offeredRate(rate), 0, 22*time.Second, f.randomNode(len(f.nodes)))
		f.Run(22 * time.Second)
		f.checkBound(t, rate, limitKnown, 22*time.Second, name)
	})
}

// TestIdleFleetAccumulatesNoBurst sends a burst of requests after a time without any: the fleet
// must not have saved up permits.
func TestIdleFleetAccumulatesNoBurst(t *testing.T) {
	forEachFleet(t, func(f *fleet, rate float64, name string) {
		f.generateLoad(offeredRate(rate), 0, 6*time.Second, f.randomNode(len(f.nodes)))
		f.generateLoad(10*offeredRate(rate), 26*time.Second, 32*time.Second, f.randomNode(len(f.nodes)))
		f.Run(32 * time.Second)
		f.checkBound(t, rate, limitKnown, 32*time.Second, name)
	})
}

// TestLimitHoldsWithSlowBalancers adds latency to a third of the balancers, among them the owner.
func TestLimitHoldsWithSlowBalancers(t *testing.T) {
	forEachFleet(t, func(f *fleet, rate float64, name string) {
		for i, n := range f.nodes {
			if i%3 == 0 {
				n.slow = time.Duration(f.rng.IntN(150)) * time.Millisecond
			}
		}
		f.generateLoad(offeredRate(rate), 0, 25*time.Second, f.randomNode(len(f.nodes)))
		f.Run(25 * time.Second)
		f.checkBound(t, rate, limitNamed+time.Second, 25*time.Second, name)
	})
}

// TestLimitHoldsAfterRestartOfAll restarts all balancers at the same time. Each may send one or two
// requests before it learns the limit; after that the limit must hold.
func TestLimitHoldsAfterRestartOfAll(t *testing.T) {
	forEachFleet(t, func(f *fleet, rate float64, name string) {
		f.After(8*time.Second, func() {
			for _, n := range f.nodes {
				n.down = true
			}
		})
		f.After(9*time.Second, func() {
			for _, n := range f.nodes {
				f.start(n)
			}
		})
		f.generateLoad(offeredRate(rate), 0, 25*time.Second, f.randomNode(len(f.nodes)))
		f.Run(25 * time.Second)
		f.checkBound(t, rate, limitKnown, 8*time.Second, name+", before")
		f.checkBound(t, rate, 9*time.Second+500*time.Millisecond, 25*time.Second, name+", after")
	})
}

// TestLimitChanges lowers, raises, lifts and again sets a limit.
func TestLimitChanges(t *testing.T) {
	for _, s := range sizes {
		f := newFleet(1, s.nodes, s.zones)
		f.setHeaderAt(2*time.Second, "20")
		f.setHeaderAt(10*time.Second, "2")
		f.setHeaderAt(20*time.Second, "10")
		f.setHeaderAt(30*time.Second, "")
		f.setHeaderAt(40*time.Second, "3")
		f.generateLoad(100, 0, 50*time.Second, f.randomNode(s.nodes))
		f.Run(50 * time.Second)
		name := fmt.Sprint(s.nodes, " balancers")
		f.checkBound(t, 20, limitKnown, 10*time.Second, name+", 20")
		f.checkBound(t, 2, 10500*time.Millisecond, 20*time.Second, name+", lowered to 2")
		f.checkBound(t, 10, 20*time.Second, 30*time.Second, name+", raised to 10")
		f.checkBound(t, 3, 40500*time.Millisecond, 50*time.Second, name+", named again")
		assert.Check(t, f.rate(22*time.Second, 30*time.Second) >= 0.85*10, "%s: %v of 10 after it was raised", name, f.rate(22*time.Second, 30*time.Second))
		assert.Check(t, f.rate(34*time.Second, 40*time.Second) >= 0.9*100, "%s: %v of 100 after it was lifted", name, f.rate(34*time.Second, 40*time.Second))
	}
}

// TestLiftedLowLimitIsDetected checks that balancers notice the end of a limit near 0, although
// hardly any request is sent: by probes if their answers name the limit, and otherwise by a trial
// request now and then.
func TestLiftedLowLimitIsDetected(t *testing.T) {
	for _, s := range sizes {
		for _, probesHaveHeader := range []bool{true, false} {
			for _, header := range []string{"0", "0.05"} {
				f := newFleet(1, s.nodes, s.zones)
				f.probesHaveHeader = probesHaveHeader
				f.setHeaderAt(limitNamed, header)
				f.After(limitKnown, func() { f.probe(f.nodes[0]) })
				f.setHeaderAt(12*time.Second, "")
				f.generateLoad(20, 0, 50*time.Second, f.randomNode(s.nodes))
				f.Run(50 * time.Second)
				free := 12*time.Second + 6*time.Second
				if !probesHaveHeader {
					free = 12*time.Second + 20*time.Second
				}
				name := fmt.Sprintf("%d balancers, limit %s, probes tell it: %v", s.nodes, header, probesHaveHeader)
				f.checkBound(t, 0.05, limitKnown, 12*time.Second, name)
				assert.Check(t, f.rate(free, 50*time.Second) >= 0.9*20, "%s: %v of 20", name, f.rate(free, 50*time.Second))
				if probesHaveHeader && header == "0" {
					all, _ := f.mostInWindow(limitKnown, 12*time.Second)
					assert.Check(t, all == 0, "%s: %d requests", name, all)
				}
			}
		}
	}
}

// TestNewIncarnationHasNoLimit checks that an endpoint that has restarted has no limit until it
// names one.
func TestNewIncarnationHasNoLimit(t *testing.T) {
	f := newFleet(1, 18, 4)
	f.setHeaderAt(limitNamed, "1")
	f.After(10*time.Second, func() {
		f.target, f.header = Target{ID: "i-1", Start: 2}, ""
	})
	f.generateLoad(30, 0, 20*time.Second, f.randomNode(18))
	f.Run(20 * time.Second)
	f.checkBound(t, 1, limitKnown, 10*time.Second, "first start")
	assert.Check(t, f.rate(10*time.Second, 20*time.Second) >= 0.9*30, "%v", f.rate(10*time.Second, 20*time.Second))
}

// TestModel simulates random fleets, limits and faults, and checks the bound in every window in
// which the limit did not change, for balancers that know the limit and have not restarted since.
func TestModel(t *testing.T) {
	for seed := range uint64(60) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { runModel(t, seed) })
	}
}

// modelStepDuration is the time between two changes of the limit in TestModel.
const modelStepDuration = 9 * time.Second

func runModel(t *testing.T, seed uint64) {
	draw := rand.New(rand.NewPCG(seed, 99))
	s := sizes[draw.IntN(len(sizes)-1)]
	f := newFleet(seed, s.nodes, s.zones)
	f.probesHaveHeader = draw.IntN(2) == 0
	f.loss = [...]float64{0, 0.02, 0.1}[draw.IntN(3)]
	const steps = 4
	var rates [steps]float64
	for i := range steps {
		rates[i] = [...]float64{0, 0.2, 1, 2.1, 3.5, 12}[draw.IntN(6)]
		at := limitNamed + time.Duration(i)*modelStepDuration
		f.setHeaderAt(at, fmt.Sprint(rates[i]))
		f.After(at+time.Duration(draw.IntN(int(modelStepDuration))), func() { f.injectFault(draw) })
	}
	end := limitNamed + steps*modelStepDuration
	f.generateLoad(40, 0, end, f.randomNode(s.nodes))
	f.Run(end)
	for i, rate := range rates {
		from := limitNamed + time.Duration(i)*modelStepDuration
		_, told := f.mostInWindow(from+time.Second, from+modelStepDuration)
		before := rate
		if i > 0 {
			before = max(rate, rates[i-1])
		}
		t.Logf("%d balancers, limit %v: at most %d requests in a window, tolerated %v", s.nodes, rate, told, toleratedFor(rate))
		if rate < before { // requests under the higher limit may still be in the window
			_, told = f.mostInWindow(from+countWindow, from+modelStepDuration)
		}
		assert.Check(t, float64(told) <= toleratedFor(rate), "%d balancers, limit %v, step %d: %d", s.nodes, rate, i, told)
	}
}

// injectFault injects one random fault.
func (f *fleet) injectFault(draw *rand.Rand) {
	n := f.nodes[draw.IntN(len(f.nodes))]
	lasts := time.Duration(500+draw.IntN(3500)) * time.Millisecond
	switch draw.IntN(5) {
	case 0: // a node restarts
		n.down = true
		f.After(lasts, func() { f.start(n) })
	case 1: // the owner restarts
		if o := f.owner(); o != nil && len(f.nodes) > 3 {
			o.down = true
			f.After(lasts, func() { f.start(o) })
		}
	case 2: // some nodes are cut off from the others
		part := 2 + draw.IntN(3)
		until := f.Elapsed() + lasts
		f.partitioned = func(a, b *node) bool { return f.Elapsed() < until && (a.index%part == 0) != (b.index%part == 0) }
	case 3: // a node is slow
		n.slow = time.Duration(draw.IntN(400)) * time.Millisecond
		f.After(lasts, func() { n.slow = 0 })
	case 4: // a node is paused
		n.down = true
		f.After(lasts, func() { n.down = false })
	}
}
