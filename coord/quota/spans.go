package quota

import (
	"maps"
	"slices"
	"time"

	"github.com/lotuswing/lotuswing/coord/escrow"
	"github.com/lotuswing/lotuswing/coord/tally"
)

const (
	// weightByNumber is the part of a zone's span that is divided evenly.
	weightByNumber = 0.25
	// divideEvery is the least time between two divisions of a zone's span.
	divideEvery = 2 * time.Second
	// firstDivideAfter is how long a relay waits before its first division, so that balancers that hold
	// spans from an earlier relay have reported them.
	firstDivideAfter = time.Second
	// inheritedFor is how long a relay divides nothing that an earlier relay may have assigned to a
	// balancer which this one has not heard of.
	inheritedFor = 15 * time.Second
)

// zoneSpan returns the part of the unit interval whose spans a zone assigns: as much as its share of all
// balancers, in the order of the zones' names.
func zoneSpan(zone string, members map[string]int) escrow.Span {
	weights := map[string]float64{}
	for name, n := range members {
		weights[name] = float64(n)
	}
	return escrow.Layout(escrow.Whole, weights)[zone]
}

// spanWeights returns the weights by which a zone divides its span: a quarter by number and the rest by
// traffic, because callers may come to another balancer once this one is isolated.
func spanWeights(traffic map[string]float64) map[string]float64 {
	total := 0.0
	for _, name := range slices.Sorted(maps.Keys(traffic)) {
		total += traffic[name]
	}
	weights := make(map[string]float64, len(traffic))
	for name, rate := range traffic {
		weights[name] = weightByNumber / float64(len(traffic))
		if total > 0 {
			weights[name] += (1 - weightByNumber) * rate / total
		}
	}
	return weights
}

// assignSpan returns the span that a balancer of this relay's zone is to hold from now on.
func (q *Limiter) assignSpan(r tally.Report, now time.Time) escrow.Span {
	age := now.Sub(q.relaySince)
	if known := q.ledger.Report(r.From, r.Span, now); !known && r.Zone == q.zone {
		q.inheritsSpans = true
	}
	switch {
	case age < firstDivideAfter, age < inheritedFor && q.inheritsSpans:
		if r.Zone != q.zone {
			return escrow.Span{}
		}
		return r.Span
	case now.Sub(q.dividedAt) >= divideEvery:
		q.divide(now)
	}
	return q.ledger.Offer(r.From)
}

// divide divides the zone's span among its balancers, by what is known of them now.
func (q *Limiter) divide(now time.Time) {
	q.dividedAt = now
	traffic := q.aggregator.Traffic()
	members := q.aggregator.ZoneMembers()
	members[q.zone] = len(traffic)
	q.ledger.ForgetBefore(now.Add(-inheritedFor))
	q.ledger.Divide(zoneSpan(q.zone, members), spanWeights(traffic))
}

// unheardSpan returns how much of the unit interval balancers of this zone may hold that an earlier relay
// knew and this one has not heard from. They may be partitioned, or relays themselves that have lost the
// store and go on.
func (q *Limiter) unheardSpan(now time.Time) float64 {
	unheard := q.aggregator.Unheard(now)
	if !q.inheritsSpans || unheard == 0 {
		return 0
	}
	members := q.aggregator.ZoneMembers()
	members[q.zone] = len(q.aggregator.Traffic())
	zone := zoneSpan(q.zone, members).Width()
	return max(0, min(zone-q.ledger.Width(), maxUnheardWeight*zone*float64(unheard)/float64(members[q.zone])))
}

// maxUnheardWeight is how many times the mean span a balancer is taken to hold at most that was never
// heard from: a part of the zone's span may be held by nobody.
const maxUnheardWeight = 4

// reportOwnSpan has this relay hold the span that it assigns to itself.
func (q *Limiter) reportOwnSpan(r tally.Report, now time.Time) {
	q.span = q.assignSpan(r, now)
	q.holdUntil = now.Add(holdFor)
}

// fallbackRate returns the rate per second at which a silent balancer may send requests of a team.
func (q *Limiter) fallbackRate(team, addr string, l Limit) float64 {
	return float64(q.ledger.Held(addr).Tokens(teamPrefix+team, l.escrowed())) / escrow.Window.Seconds()
}
