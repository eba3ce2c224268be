package selection

const (
	// levels is how finely an endpoint's occupancy is told apart.
	levels = 16
	// uncrowded is the level up to which requests are thought not to slow each other.
	uncrowded = levels / 2
	// firstFull is the factor of an endpoint's last slot before one has been used, and
	// priorSamples for how many samples a factor counts that is not learnt.
	firstFull    = 1.2
	priorSamples = 3
)

// Crowding is how much longer work takes at a service's endpoints the more of their
// slots are taken when it starts. Some slow down when they are nearly full: a day's
// log showed 1.65 times on the fifth and sixth of six slots and on the third of three.
// It is an immutable value; the zero value has seen nothing.
type Crowding struct {
	factors [levels + 1]float64 // by level; 0 where nothing was seen
	samples [levels + 1]int
}

// level returns an endpoint's occupancy, from 1 to levels, with so many requests.
func level(busy, slots int) int {
	return min(levels, (max(1, busy)*levels+slots-1)/slots)
}

// Factor returns how much longer work takes than on an idle endpoint if it starts as
// the last of so many requests. What was not seen yet counts as the level below.
func (c *Crowding) Factor(busy, slots int) float64 { return c.factor(level(busy, slots)) }

func (c *Crowding) factor(at int) float64 {
	for l := at; l > uncrowded; l-- {
		switch {
		case c.samples[l] > 0:
			return max(1, c.factors[l])
		case l == levels:
			return max(firstFull, c.factor(l-1))
		}
	}
	return 1
}

// Room returns how many requests an endpoint of so many slots should hold at most: as
// many as get the most work done. One more slows those that start beyond it by more
// than it adds.
func (c *Crowding) Room(slots int) int {
	best, most := 1, 0.0
	for n := max(1, slots/2); n <= slots; n++ {
		if done := float64(n) / c.Factor(n, slots); done > most {
			best, most = n, done
		}
	}
	return best
}

// with returns the crowding after a completion took so many times the usual.
func (c Crowding) with(busy, slots int, ratio float64) Crowding {
	l := level(busy, slots)
	if l <= uncrowded {
		return c
	}
	factor := c.factor(l)
	c.samples[l]++
	c.factors[l] = factor + max(sampleWeight, 1/float64(c.samples[l]+priorSamples))*(ratio-factor)
	return c
}
