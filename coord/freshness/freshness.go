// Package freshness divides the time that a change may take, from the store's acknowledgement until a
// balancer decides by it, among the steps on the way.
//
// A balancer learns of a change by a watch of the store. It checks the store's revision now and then,
// because a watch may be silent, and reads everything if a check has seen more than the watch brings. The
// steps draw on one Budget, so that none of them can make the whole path too long: what a check has seen
// must be known a fixed time after the last moment at which nothing was missing, and each later step gets
// what is left of that.
//
// The package keeps no state but Costs, an immutable value; the time is an argument.
//
// # Usage
//
//	b := freshness.Budget{Within: 1860 * time.Millisecond, Patience: 550 * time.Millisecond}
//	costs = costs.WithCheck(took)
//	next := b.CheckPeriod(850*time.Millisecond, costs)
//	readAt := b.ReadAt(confirmed, now, costs)
package freshness

import "time"

// Budget is the time from the store's acknowledgement of a change until a balancer must know it.
type Budget struct {
	Within time.Duration
	// Patience is how long a watch may lack what a check has seen, if Within allows it.
	Patience time.Duration
}

// Costs are the recent durations of calls to the store, each at most maxCostShare of a budget when it is
// used. It is an immutable value; the zero value stands for calls that take no time.
type Costs struct {
	Check time.Duration // a read of the store's revision
	Read  time.Duration // a full read, until it is applied
}

const (
	// maxCostShare bounds the part of a budget that is set aside for one call.
	maxCostShare = 0.25
	// decay is the part of the way by which a cost approaches a call that took less. It takes over a call
	// that took more at once.
	decay = 4
	// leastPeriodShare bounds the rate of checks, however slow the calls are.
	leastPeriodShare = 0.125
	// reserveShare is the part of a budget that is left for applying changes and for late timers.
	reserveShare = 0.05
)

// WithCheck returns the costs after a check took d, and WithRead after a full read did.
func (c Costs) WithCheck(d time.Duration) Costs {
	c.Check = next(c.Check, d)
	return c
}

// WithRead returns the costs after a full read took d.
func (c Costs) WithRead(d time.Duration) Costs {
	c.Read = next(c.Read, d)
	return c
}

// next returns a cost after a call took d.
func next(cost, d time.Duration) time.Duration {
	if d >= cost {
		return d
	}
	return cost - (cost-d)/decay
}

// share returns a part of the budget.
func (b Budget) share(part float64) time.Duration { return time.Duration(part * float64(b.Within)) }

// check and read return the part of the budget that is set aside for a call.
func (b Budget) check(c Costs) time.Duration { return min(c.Check, b.share(maxCostShare)) }
func (b Budget) read(c Costs) time.Duration  { return min(c.Read, b.share(maxCostShare)) }

// CheckPeriod returns the time from the start of a check to that of the next, at most longest. A change just
// after a check must be seen by the next one, confirmed by an exact check if cheap ones lag, and read.
func (b Budget) CheckPeriod(longest time.Duration, c Costs) time.Duration {
	return b.period(longest, 2*b.check(c)+b.read(c))
}

// ExactCheckPeriod is CheckPeriod for exact checks, which nothing needs to confirm.
func (b Budget) ExactCheckPeriod(longest time.Duration, c Costs) time.Duration {
	return b.period(longest, b.check(c)+b.read(c))
}

// CheapFits reports whether the budget has room for a cheap check that an exact one confirms. Where calls are too
// slow for that, checks are exact from the start.
func (b Budget) CheapFits(c Costs) bool {
	return b.Within-b.share(reserveShare)-2*c.Check-c.Read > b.share(leastPeriodShare)
}

// period returns a period that leaves the budget the given time for calls.
func (b Budget) period(longest, calls time.Duration) time.Duration {
	return min(longest, max(b.share(leastPeriodShare), b.Within-b.share(reserveShare)-calls))
}

// ReadAt returns when everything must be read if the watch has not brought by then what a check saw at now.
// confirmed is the latest time at which nothing was missing, zero if that is unknown.
func (b Budget) ReadAt(confirmed, now time.Time, c Costs) time.Time {
	patient := now.Add(b.Patience)
	if confirmed.IsZero() {
		return patient
	}
	latest := confirmed.Add(b.Within - b.share(reserveShare) - b.read(c))
	if latest.Before(patient) {
		return latest
	}
	return patient
}

// WatchAt returns when a pause must end in which a check saw at now more than is known: the watch then has
// its patience left before everything must be read.
func (b Budget) WatchAt(confirmed, now time.Time, c Costs) time.Time {
	if confirmed.IsZero() {
		return now
	}
	return confirmed.Add(b.Within - b.share(reserveShare) - b.read(c) - b.Patience)
}

// RereadPeriod returns the pause before the n-th full read in a row, counted from 1, while the store refuses
// every watch. It grows from first, and full reads alone keep the budget in the end.
func (b Budget) RereadPeriod(n int, first time.Duration, c Costs) time.Duration {
	if n <= 1 {
		return 0
	}
	longest := max(b.share(leastPeriodShare), b.Within-b.share(reserveShare)-2*b.read(c))
	return min(first<<min(n-2, maxDoublings), longest)
}

// maxDoublings keeps the doubled pause from overflowing.
const maxDoublings = 10
