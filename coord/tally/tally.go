// Package tally adds up over a fleet what its balancers count, such as the requests of a
// team, without agreement and without asking the store.
//
// Each balancer counts by key since its start (Counter) and reports its totals to the
// relay that it follows. A relay keeps the last total of each of its balancers (Ledger) and
// tells the relays of other zones the sum of its zone. What is handed on are totals of one
// life of one balancer, so that a report which comes twice, late or out of order changes
// nothing, and one that is lost is made good by the next. Who starts again begins a new
// life, whose totals begin at 0.
//
// A balancer that a relay stops hearing of may be gone, or cut off and still counting: for
// a while its rate of before counts on (Ledger.Unheard).
//
// Nothing here is safe for concurrent use, and the present time is always an argument. What
// is decided from the sums is the matter of others, see coord/quota and coord/rollout.
//
// # Usage
//
//	c := tally.NewCounter(addr, zone, life)
//	c.Add("team/medina", 1, now)
//	changes := ledger.Note(c.Report(now), now) // at the relay
package tally

import (
	"math"
	"time"
)

// Count is what was counted under one key in one life of a balancer, or of a zone's relay.
// Package gob sends the names of the fields.
type Count struct {
	Key   string
	Total int64
	// Told is how much of Total some relay has taken already: a relay that hears of this
	// life, or of this key of it, for the first time adds only what is beyond it.
	Told int64
	// Unheard is the rate, a second, at which balancers of the zone count that the relay
	// has stopped hearing of. Only relays tell it.
	Unheard float64
}

// Report tells what one balancer has counted or, from a relay, what its zone has. Package
// gob sends the names of the fields.
type Report struct {
	From    string // link address
	Zone    string
	Life    uint64 // which start of it, a random number
	Number  uint64 // counts the reports of the life
	Relay   bool   // the counts are sums of the zone
	Members int    // balancers of the zone that were heard of; only relays tell it
	Wants   bool   // the reporter is a relay that has just become one, and wants to hear what others know
	// Rests: the reporter has counted nothing lately, and reports no more before it counts again. It
	// is not one that went on counting and is no longer heard of.
	Rests  bool
	Counts []Count
}

// Change is by how much more has been counted under a key than was known.
type Change struct {
	Key string
	By  int64
}

// smoothing is the time constant of rates: long enough that two reports a second show no jumps,
// short enough that a team which sends four times as much is seen to before its burst is used up.
const smoothing = 500 * time.Millisecond

// rate is a smoothed rate a second. It is an immutable value.
type rate struct {
	perSecond float64
	at        time.Time
}

// with returns the rate after n more were counted since it was last told.
func (r rate) with(n int64, now time.Time) rate {
	dt := now.Sub(r.at).Seconds()
	if dt <= 0 {
		return r // a first report tells no rate
	}
	weight := 1 - math.Exp(-dt/smoothing.Seconds())
	return rate{perSecond: r.perSecond + weight*(float64(n)/dt-r.perSecond), at: now}
}
