package selection

import "time"

// coldPace is the slowdown factor of an endpoint that still warms up.
const coldPace = 2

// Conditions are what an estimate needs to know beside the load.
type Conditions struct {
	Slots    int       // as listed
	Warm     bool      // no longer warming up
	Untried  bool      // thought to be at its usual pace
	Slowness float64   // of the endpoint's completions against the usual time, 1 as usual
	Crowding *Crowding // of the service
}

// Estimate returns how long a request would take if it were sent now, given how
// long its work usually takes. The pace and the crowding at the start decide the whole
// work: see "What decides the time of work" in docs/MEASUREMENTS.md.
func (l Load) Estimate(c Conditions, work time.Duration, now time.Time) time.Duration {
	slots := l.Slots(c.Slots)
	pace := l.Pace(now) * max(1, c.Slowness)
	if c.Untried {
		pace = 1
	}
	if !c.Warm {
		pace *= coldPace
	}
	busy := l.Busy(now)
	pace *= c.Crowding.Factor(busy+1, slots)
	served := float64(work) * pace
	if waiting := busy - slots + 1; waiting > 0 {
		served += float64(work) * pace * float64(waiting) / float64(slots)
	}
	return time.Duration(served)
}
