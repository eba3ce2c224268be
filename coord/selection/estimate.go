package selection

import "time"

// coldPace is the slowdown factor of an endpoint that still warms up. Chosen
// without a measurement.
const coldPace = 2

// Conditions are what an estimate needs to know beside the load.
type Conditions struct {
	Slots    int     // as listed
	Warm     bool    // no longer warming up
	Slowness float64 // of the endpoint's completions against the usual time, 1 as usual
	LastSlot float64 // factor of the work on the last free slot, 1 where it makes no difference
}

// Estimate returns how long a request would take if it were sent now, given how
// long its work usually takes. The pace at the start decides the whole work, and
// the last free slot slows it: see "What decides the time of work" in
// docs/MEASUREMENTS.md.
func (l Load) Estimate(c Conditions, work time.Duration, now time.Time) time.Duration {
	slots := l.Slots(c.Slots)
	pace := l.Pace(now) * max(1, c.Slowness)
	if !c.Warm {
		pace *= coldPace
	}
	busy := l.Busy(now)
	if busy+1 >= slots {
		pace *= max(1, c.LastSlot)
	}
	served := float64(work) * pace
	if waiting := busy - slots + 1; waiting > 0 {
		served += float64(work) * pace * float64(waiting) / float64(slots)
	}
	return time.Duration(served)
}

// Room returns how many requests an endpoint should hold at most. The last slot is
// left free where it slows all work by more than the slot adds.
func (l Load) Room(c Conditions) int {
	slots := l.Slots(c.Slots)
	if slots > 1 && c.LastSlot > float64(slots)/float64(slots-1) {
		return slots - 1
	}
	return slots
}
