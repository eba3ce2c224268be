package selection

import "math/bits"

const (
	// occupancyLevels is the number of levels by which the share of occupied slots is measured.
	occupancyLevels = 16
	// uncontendedLevel is the highest level at which requests are assumed not to slow each other.
	uncontendedLevel = occupancyLevels / 2
	// minFullFactor is the lowest factor assumed for the highest level while it has no samples.
	// priorSamples is the weight, in samples, of the initial value of a factor.
	minFullFactor = 1.2
	priorSamples  = 3
)

// Crowding is the learned slowdown of a service's endpoints under contention, by the
// occupancy of their slots when a request starts. Some endpoints slow down when they are
// nearly full: one day's log showed a factor of 1.65 on the fifth and sixth of six slots
// and on the third of three. It is an immutable value; the zero value has no samples.
type Crowding struct {
	factors [occupancyLevels + 1]float64 // by level; 0 without samples
	samples [occupancyLevels + 1]int
}

// occupancyLevel returns the occupancy level, from 1 to occupancyLevels, of an endpoint that holds
// busy requests.
func occupancyLevel(busy, slots int) int {
	if busy >= slots {
		return occupancyLevels
	}
	hi, lo := bits.Mul64(uint64(max(1, busy)), occupancyLevels) // a product of 64 bits may overflow
	lo, carry := bits.Add64(lo, uint64(slots-1), 0)
	level, _ := bits.Div64(hi+carry, lo, uint64(slots))
	return int(level)
}

// CrowdingFactor returns the service time of a request that starts at an endpoint, relative to the
// service time at an idle endpoint. busy is the number of requests there, including this one. A
// level without samples has the factor of the level below. The highest level without samples has
// at least minFullFactor.
func (c *Crowding) CrowdingFactor(busy, slots int) float64 {
	return c.levelFactor(occupancyLevel(busy, slots))
}

// levelFactor returns the factor of an occupancy level.
func (c *Crowding) levelFactor(level int) float64 {
	for l := level; l > uncontendedLevel; l-- {
		switch {
		case c.samples[l] > 0:
			return max(1, c.factors[l])
		case l == occupancyLevels:
			return max(minFullFactor, c.levelFactor(l-1))
		}
	}
	return 1
}

// ConcurrencyLimit returns the concurrency limit of an endpoint with the given number of slots: the
// number of requests with the highest throughput. Beyond it, the slowdown by a further request costs
// more throughput than the request adds.
//
// Within a level the throughput grows with the number of requests, so that only the highest number of each
// level is compared: the time does not depend on the number of slots, which endpoints report.
func (c *Crowding) ConcurrencyLimit(slots int) int {
	best, bestThroughput := 1, 0.0
	for level := uncontendedLevel; level <= occupancyLevels; level++ {
		n := max(1, slots/occupancyLevels*level+slots%occupancyLevels*level/occupancyLevels)
		if throughput := float64(n) / c.CrowdingFactor(n, slots); throughput > bestThroughput {
			best, bestThroughput = n, throughput
		}
	}
	return best
}

// withSample returns the crowding after a completion. ratio is the request's service time relative
// to the usual service time, and busy the number of requests at the endpoint when the request
// started, including itself.
func (c Crowding) withSample(busy, slots int, ratio float64) Crowding {
	l := occupancyLevel(busy, slots)
	if l <= uncontendedLevel {
		return c
	}
	levelFactor := c.levelFactor(l)
	c.samples[l]++
	c.factors[l] = levelFactor + max(minSampleWeight, 1/float64(c.samples[l]+priorSamples))*(ratio-levelFactor)
	return c
}
