package limit

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// checkBound checks that the endpoint got no more in any window between two times than the
// operators bear with for a limit.
func (f *fleet) checkBound(t *testing.T, rate float64, from, to time.Duration, name string) {
	t.Helper()
	all, told := f.worst(from, to)
	t.Logf("%s: worst window %d, of balancers that were told %d, of %v; used %.2f a second; %d calls, %d notes, %d looks",
		name, all, told, allowedFor(rate), f.rate(from, to), f.calls, f.notes, f.looks)
	assert.Check(t, float64(all) <= allowedFor(rate), name)
}

// eachFleet plays fleets of all sizes with all limits.
func eachFleet(t *testing.T, play func(f *fleet, rate float64, name string)) {
	t.Helper()
	for _, s := range sizes {
		for _, rate := range simLimits {
			for seed := range uint64(2) {
				f := newFleet(seed, s.nodes, s.zones)
				f.setAt(limitNamed, fmt.Sprint(rate))
				play(f, rate, fmt.Sprintf("%d balancers, limit %v, seed %d", s.nodes, rate, seed))
			}
		}
	}
}

// TestCutOffBalancersKeepLimit: a third of the balancers hears no other one for nine seconds,
// among them the endpoint's owner or not.
func TestCutOffBalancersKeepLimit(t *testing.T) {
	for _, third := range []int{0, 2} {
		eachFleet(t, func(f *fleet, rate float64, name string) {
			isCut := func(n *node) bool { return n.index%3 == third }
			f.cut = func(a, b *node) bool {
				at := f.Elapsed()
				return at > 8*time.Second && at < 17*time.Second && isCut(a) != isCut(b)
			}
			f.press(pressure(rate), 0, 25*time.Second, f.anyOf(len(f.nodes)))
			f.Run(25 * time.Second)
			f.checkBound(t, rate, limitKnown, 25*time.Second, fmt.Sprint(name, ", cut ", third))
		})
	}
}

// TestOwnersThatEndKeepLimit: the relays of all zones end in turn and come back as new lives, and
// messages are lost.
func TestOwnersThatEndKeepLimit(t *testing.T) {
	eachFleet(t, func(f *fleet, rate float64, name string) {
		f.loss = 0.03
		for k := range 4 {
			f.After(time.Duration(6+3*k)*time.Second, func() {
				for z := range f.zones {
					if r := f.relayOf(z); r != nil && len(f.nodes) > 3 {
						r.down = true
						f.After(2500*time.Millisecond, func() { f.begin(r) })
					}
				}
			})
		}
		f.press(pressure(rate), 0, 22*time.Second, f.anyOf(len(f.nodes)))
		f.Run(22 * time.Second)
		f.checkBound(t, rate, limitKnown, 22*time.Second, name)
	})
}

// TestIdleFleetSavesNothingUp: after a time without callers they come all at once.
func TestIdleFleetSavesNothingUp(t *testing.T) {
	eachFleet(t, func(f *fleet, rate float64, name string) {
		f.press(pressure(rate), 0, 6*time.Second, f.anyOf(len(f.nodes)))
		f.press(10*pressure(rate), 26*time.Second, 32*time.Second, f.anyOf(len(f.nodes)))
		f.Run(32 * time.Second)
		f.checkBound(t, rate, limitKnown, 32*time.Second, name)
	})
}

// TestSlowBalancersKeepLimit: a third of the balancers, the owner among them, is slow.
func TestSlowBalancersKeepLimit(t *testing.T) {
	eachFleet(t, func(f *fleet, rate float64, name string) {
		for i, n := range f.nodes {
			if i%3 == 0 {
				n.slow = time.Duration(f.rng.IntN(150)) * time.Millisecond
			}
		}
		f.press(pressure(rate), 0, 25*time.Second, f.anyOf(len(f.nodes)))
		f.Run(25 * time.Second)
		f.checkBound(t, rate, limitNamed+time.Second, 25*time.Second, name)
	})
}

// TestRestartOfAllKeepsLimit: all balancers end and start again at the same moment. What each
// sends before it has been told is bounded by one request or two; after that the limit holds.
func TestRestartOfAllKeepsLimit(t *testing.T) {
	eachFleet(t, func(f *fleet, rate float64, name string) {
		f.After(8*time.Second, func() {
			for _, n := range f.nodes {
				n.down = true
			}
		})
		f.After(9*time.Second, func() {
			for _, n := range f.nodes {
				f.begin(n)
			}
		})
		f.press(pressure(rate), 0, 25*time.Second, f.anyOf(len(f.nodes)))
		f.Run(25 * time.Second)
		f.checkBound(t, rate, limitKnown, 8*time.Second, name+", before")
		f.checkBound(t, rate, 9*time.Second+500*time.Millisecond, 25*time.Second, name+", after")
	})
}

// TestChangesOfALimit: it is lowered, raised, lifted and named again.
func TestChangesOfALimit(t *testing.T) {
	for _, s := range sizes {
		f := newFleet(1, s.nodes, s.zones)
		f.setAt(2*time.Second, "20")
		f.setAt(10*time.Second, "2")
		f.setAt(20*time.Second, "10")
		f.setAt(30*time.Second, "")
		f.setAt(40*time.Second, "3")
		f.press(100, 0, 50*time.Second, f.anyOf(s.nodes))
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

// TestEndOfALowLimitIsNoticed, though hardly a request goes there: by probes where these name the
// limit, by a rare request where they do not.
func TestEndOfALowLimitIsNoticed(t *testing.T) {
	for _, s := range sizes {
		for _, probes := range []bool{true, false} {
			for _, says := range []string{"0", "0.05"} {
				f := newFleet(1, s.nodes, s.zones)
				f.probes = probes
				f.setAt(limitNamed, says)
				f.After(limitKnown, func() { f.probe(f.nodes[0]) })
				f.setAt(12*time.Second, "")
				f.press(20, 0, 50*time.Second, f.anyOf(s.nodes))
				f.Run(50 * time.Second)
				free := 12*time.Second + 6*time.Second
				if !probes {
					free = 12*time.Second + 20*time.Second
				}
				name := fmt.Sprintf("%d balancers, limit %s, probes tell it: %v", s.nodes, says, probes)
				f.checkBound(t, 0.05, limitKnown, 12*time.Second, name)
				assert.Check(t, f.rate(free, 50*time.Second) >= 0.9*20, "%s: %v of 20", name, f.rate(free, 50*time.Second))
				if probes && says == "0" {
					all, _ := f.worst(limitKnown, 12*time.Second)
					assert.Check(t, all == 0, "%s: %d requests", name, all)
				}
			}
		}
	}
}

// TestAnotherStartHasNoLimit until it names one.
func TestAnotherStartHasNoLimit(t *testing.T) {
	f := newFleet(1, 18, 4)
	f.setAt(limitNamed, "1")
	f.After(10*time.Second, func() {
		f.target, f.says = Target{ID: "i-1", Start: 2}, ""
	})
	f.press(30, 0, 20*time.Second, f.anyOf(18))
	f.Run(20 * time.Second)
	f.checkBound(t, 1, limitKnown, 10*time.Second, "first start")
	assert.Check(t, f.rate(10*time.Second, 20*time.Second) >= 0.9*30, "%v", f.rate(10*time.Second, 20*time.Second))
}

// TestModel draws fleets, limits and troubles, and checks the bound in every window in which the
// limit did not change. Balancers that were told of it, and had not started anew, keep it.
func TestModel(t *testing.T) {
	for seed := range uint64(60) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { playModel(t, seed) })
	}
}

// modelStep is between two changes of a drawn limit.
const modelStep = 9 * time.Second

func playModel(t *testing.T, seed uint64) {
	draw := rand.New(rand.NewPCG(seed, 99))
	s := sizes[draw.IntN(len(sizes)-1)]
	f := newFleet(seed, s.nodes, s.zones)
	f.probes = draw.IntN(2) == 0
	f.loss = [...]float64{0, 0.02, 0.1}[draw.IntN(3)]
	const steps = 4
	var rates [steps]float64
	for i := range steps {
		rates[i] = [...]float64{0, 0.2, 1, 2.1, 3.5, 12}[draw.IntN(6)]
		at := limitNamed + time.Duration(i)*modelStep
		f.setAt(at, fmt.Sprint(rates[i]))
		f.After(at+time.Duration(draw.IntN(int(modelStep))), func() { f.trouble(draw) })
	}
	end := limitNamed + steps*modelStep
	f.press(40, 0, end, f.anyOf(s.nodes))
	f.Run(end)
	for i, rate := range rates {
		from := limitNamed + time.Duration(i)*modelStep
		_, told := f.worst(from+time.Second, from+modelStep)
		before := rate
		if i > 0 {
			before = max(rate, rates[i-1])
		}
		t.Logf("%d balancers, limit %v: worst window %d of %v", s.nodes, rate, told, allowedFor(rate))
		if rate < before { // the higher one may still be in the window
			_, told = f.worst(from+windowFor, from+modelStep)
		}
		assert.Check(t, float64(told) <= allowedFor(rate), "%d balancers, limit %v, step %d: %d", s.nodes, rate, i, told)
	}
}

// trouble strikes once.
func (f *fleet) trouble(draw *rand.Rand) {
	n := f.nodes[draw.IntN(len(f.nodes))]
	lasts := time.Duration(500+draw.IntN(3500)) * time.Millisecond
	switch draw.IntN(5) {
	case 0: // one ends and starts again
		n.down = true
		f.After(lasts, func() { f.begin(n) })
	case 1: // the owner does
		if o := f.owner(); o != nil && len(f.nodes) > 3 {
			o.down = true
			f.After(lasts, func() { f.begin(o) })
		}
	case 2: // a part is cut off
		part := 2 + draw.IntN(3)
		until := f.Elapsed() + lasts
		f.cut = func(a, b *node) bool { return f.Elapsed() < until && (a.index%part == 0) != (b.index%part == 0) }
	case 3: // one is slow
		n.slow = time.Duration(draw.IntN(400)) * time.Millisecond
		f.After(lasts, func() { n.slow = 0 })
	case 4: // one stands still
		n.down = true
		f.After(lasts, func() { n.down = false })
	}
}
