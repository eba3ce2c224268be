package selection

import "time"

// warmupPace is the slowdown factor of an endpoint that is warming up.
const warmupPace = 2

// Conditions are the inputs of an estimate beside the load.
type Conditions struct {
	Slots    int       // as listed; used until the endpoint reports its own
	Warm     bool      // the endpoint is not warming up
	Untried  bool      // the endpoint is assumed to have a pace of 1
	Slowness float64   // factor for slow completions of the endpoint; 1 if they are not slow
	Crowding *Crowding // of the service
}

// Estimate returns the expected time until the response to a request that is sent now. work is its
// usual service time. The pace and the occupancy when the request starts determine its whole service
// time: see "What decides the time of work" in docs/MEASUREMENTS.md.
func (l Load) Estimate(c Conditions, work time.Duration, now time.Time) time.Duration {
	slots := l.Slots(c.Slots)
	pace := l.Pace(now) * max(1, c.Slowness)
	if c.Untried {
		pace = 1
	}
	if !c.Warm {
		pace *= warmupPace
	}
	busy := l.Busy(now)
	pace *= c.Crowding.CrowdingFactor(busy+1, slots)
	total := float64(work) * pace
	if waiting := busy - slots + 1; waiting > 0 {
		total += float64(work) * pace * float64(waiting) / float64(slots)
	}
	return time.Duration(total)
}
