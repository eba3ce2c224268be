package selection

const (
	// occupancyLevels is the number of occupancy levels that are distinguished.
	occupancyLevels = 16
	// uncontendedLevel is the highest level at which requests are assumed not to slow each other.
	uncontendedLevel = occupancyLevels / 2
	// minFullFactor is the lowest factor assumed for an endpoint's last slot before it was observed.
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
	return min(occupancyLevels, (max(1, busy)*occupancyLevels+slots-1)/slots)
}

// SlowdownFactor returns the service time of a request relative to an idle endpoint, if the request is
// the last of busy requests to start there. A level without samples has the factor of the level
// below; the highest level has at least minFullFactor then.
func (c *Crowding) SlowdownFactor(busy, slots int) float64 {
	return c.levelFactor(occupancyLevel(busy, slots))
}

// levelFactor returns the factor of an occupancy level.
func (c *Crowding) levelFactor(at int) float64 {
	for l := at; l > uncontendedLevel; l-- {
		switch {
		case c.samples[l] > 0:
			return max(1, c.factors[l])
		case l == occupancyLevels:
			return max(minFullFactor, c.levelFactor(l-1))
		}
	}
	return 1
}

// ConcurrencyLimit returns the concurrency limit of an endpoint with the given number of slots: the number
// of requests with the highest throughput. Beyond it, the slowdown by a further request costs more
// throughput than the request adds.
func (c *Crowding) ConcurrencyLimit(slots int) int {
	best, bestThroughput := 1, 0.0
	for n := max(1, slots/2); n <= slots; n++ {
		if throughput := float64(n) / c.SlowdownFactor(n, slots); throughput > bestThroughput {
			best, bestThroughput = n, throughput
		}
	}
	return best
}

// withSample returns the crowding after a completion. ratio is its service time relative to the usual
// one, and busy the number of requests at the endpoint when it started, including itself.
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
