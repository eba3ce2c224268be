package contract

import "time"

// overbooking says whether endpoints take requests beyond their slots. It is
// learnt: one that sheds such a request ends it for a while.
type overbooking struct {
	off   time.Time // none before this time
	times int       // that it was switched off
}

func (o overbooking) depth(now time.Time, opts Options) int {
	if now.Before(o.off) {
		return 0
	}
	return max(0, opts.Overbook)
}

// mostDoublings bounds the doubling of Options.OverbookOff.
const mostDoublings = 6

func (o overbooking) withShed(now time.Time, opts Options) overbooking {
	if now.Before(o.off) {
		return o
	}
	o.off = now.Add(opts.OverbookOff << min(o.times, mostDoublings))
	o.times++
	return o
}
