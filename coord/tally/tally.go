// Package tally aggregates counters of all balancers of a fleet, such as the requests of each team,
// without consensus and without access to the store.
//
// Each balancer counts events by key since its start (Counter) and reports its totals to the relay
// that it follows. A relay keeps the last total of each balancer of its zone (Aggregator) and
// reports the sums of its zone to the relays of the other zones. Reports carry cumulative totals of
// one incarnation (one run of a balancer or relay), so that a duplicate, late or reordered report
// changes nothing, and a lost report is made up for by the next one. A restarted balancer begins a
// new incarnation, whose totals start at 0.
//
// A balancer whose reports stop may be gone, or may be partitioned from the relay and still
// counting. For a while the relay assumes that it continues to count at its fallback rate
// (Aggregator.SilentRates).
//
// Nothing here is safe for concurrent use, and the current time is always an argument. Packages
// coord/quota and coord/rollout decide what follows from the sums.
//
// # Usage
//
//	c := tally.NewCounter(addr, zone, incarnation)
//	c.Add("team/medina", 1, now)
//	changes := aggregator.Apply(c.Report(now), now) // at the relay
package tally

import (
	"math"
	"time"

	"github.com/lotuswing/lotuswing/coord/escrow"
)

// Count is the total counted under one key in one incarnation of a balancer, or of a relay for its
// zone. Package gob sends the field names.
type Count struct {
	Key   string
	Total int64
	// Told is how much of Total some relay has already taken into account and passed on. A relay
	// that sees this incarnation, or this key of it, for the first time adds only the rest.
	Told int64
	// Missing is how many tokens of a quota are missing from the full bucket, as the sender was last
	// told. A relay that has just begun does not know what was taken before.
	Missing float64
	// Unheard is the rate per second at which silent balancers of the zone may be counting. Only
	// relays set it.
	Unheard float64
}

// Report carries the totals of one balancer or, from a relay, the sums of its zone. Package gob
// sends the field names.
type Report struct {
	From    string // link address of the sender
	Zone    string
	Life    uint64 // the sender's incarnation, a random number
	Number  uint64 // sequence number of the report within the incarnation
	Relay   bool   // the sender is a relay, and the counts are sums of its zone
	Members int    // balancers of the zone that report to the relay; set by relays only
	Wants   bool   // the sender has just become a relay and asks for the state of its peers
	// Rests says that the sender is idle: it has counted nothing lately, and sends no further report
	// until it counts again. Its silence is then no sign of a failure.
	Rests bool
	// Joined are the balancers that have begun to report to the sender lately. Their silence towards
	// another relay is then no sign of a failure. Set by relays only.
	Joined []string
	// Fleet is how many balancers the fleet has, as the sender was last told by a relay; 0 if it does
	// not know. A relay that has just begun has not heard from most of them.
	Fleet int
	// Span is what the sender holds of all limits for times without a relay. Relays leave it empty.
	Span   escrow.Span
	Counts []Count
}

// Change is an increase of the total under a key.
type Change struct {
	Key string
	By  int64
}

// smoothingTime is the time constant of rates. It is long enough that two reports per second cause
// no jumps, and short enough that a team which sends at four times its rate is noticed before its
// burst is used up.
const smoothingTime = 500 * time.Millisecond

// rate is an exponentially smoothed rate per second. It is an immutable value.
type rate struct {
	perSecond float64
	at        time.Time
}

// updated returns the rate after n more events since the last update.
func (r rate) updated(n int64, now time.Time) rate { return r.updatedOver(n, smoothingTime, now) }

// updatedOver is like updated with another time constant.
func (r rate) updatedOver(n int64, timeConstant time.Duration, now time.Time) rate {
	dt := now.Sub(r.at).Seconds()
	if dt <= 0 {
		return r // two reports are needed for a rate
	}
	weight := 1 - math.Exp(-dt/timeConstant.Seconds())
	return rate{perSecond: r.perSecond + weight*(float64(n)/dt-r.perSecond), at: now}
}
