package tally

import (
	"strings"
	"time"
)

const (
	// unheardAfter is after which a balancer that was counting counts as not heard of.
	// Reports come twice within it even where nothing presses.
	unheardAfter = time.Second
	// unheardFor is how long one that is not heard of is taken to count on at its rate of before.
	unheardFor = 15 * time.Second
	// relayGoneFor is the same for a relay that is not registered any more: its balancers
	// report elsewhere by then.
	relayGoneFor = 4 * time.Second
	// forgetAfter is when nothing more is remembered of a balancer.
	forgetAfter = time.Minute
)

// Ledger is what a relay knows of what others have counted.
type Ledger struct {
	origins   map[string]*origin
	sums      map[string]int64 // of the fleet, by key
	zone      *Counter         // of the own zone
	rates     map[string]rate  // of the fleet, by key, as of when they were added up
	forgotten time.Time        // when balancers were last dropped
}

// origin is one life of a balancer of the zone, or of the relay of another one.
type origin struct {
	life, number uint64
	relay        bool
	zone         string
	members      int
	heard        time.Time
	rests        bool // it said that it reports no more before it counts again
	counts       map[string]*noted
}

// noted is what an origin has told of one key.
type noted struct {
	total   int64
	rate    rate
	unheard float64   // in its zone, a second
	at      time.Time // when it told that
	hold    float64   // rate, a second, at which it may go on while it is not heard of
}

// NewLedger returns the empty ledger of a zone's relay.
func NewLedger(from, zone string, life uint64) *Ledger {
	return &Ledger{origins: map[string]*origin{}, sums: map[string]int64{}, rates: map[string]rate{}, zone: NewCounter(from, zone, life)}
}

// Note takes a report and returns what it tells beyond what was known. One that is older
// than the last one of its life tells nothing.
func (l *Ledger) Note(r Report, now time.Time) []Change {
	l.forget(now)
	o := l.originOf(r)
	if r.Number <= o.number {
		return nil
	}
	silent := min(now.Sub(o.heard), unheardFor) - unheardAfter
	if o.rests {
		silent = 0
	}
	o.number, o.heard, o.rests, o.zone, o.members = r.Number, now, r.Rests, r.Zone, r.Members
	var changes []Change
	for _, c := range r.Counts {
		by := o.note(c, silent, now)
		if by == 0 {
			continue
		}
		changes = append(changes, Change{Key: c.Key, By: by})
		l.sums[c.Key] += by
		if !r.Relay {
			l.zone.Add(c.Key, by, now)
		}
	}
	return changes
}

// originOf returns what is known of the life that a report comes from. Another life of the
// same balancer is over, as is that of another relay of the same zone.
func (l *Ledger) originOf(r Report) *origin {
	if o, ok := l.origins[r.From]; ok && o.life == r.Life && o.relay == r.Relay {
		return o
	}
	if r.Relay {
		for from, o := range l.origins {
			if o.relay && o.zone == r.Zone {
				delete(l.origins, from)
			}
		}
	}
	o := &origin{life: r.Life, relay: r.Relay, counts: map[string]*noted{}}
	l.origins[r.From] = o
	return o
}

// note notes a total and returns what it adds: what no relay has taken before, less what
// was counted in its place while it was not heard of. A balancer that comes back from
// another relay has told that one what it counted meanwhile.
func (o *origin) note(c Count, silent time.Duration, now time.Time) int64 {
	n, known := o.counts[c.Key]
	if !known {
		n = &noted{total: c.Told, rate: rate{at: now}}
		o.counts[c.Key] = n
	}
	if !o.relay {
		n.total = max(n.total, c.Told)
	}
	by := c.Total - n.total
	n.total, n.unheard, n.at = c.Total, c.Unheard, now
	n.rate = n.rate.with(by, now)
	if held := int64(n.hold * silent.Seconds()); held > 0 && by > 0 {
		by = max(0, by-held)
	}
	return by
}

// Sum returns what the fleet has counted under a key, as far as is known, since this ledger
// began.
func (l *Ledger) Sum(key string) int64 { return l.sums[key] }

// Sums returns the sums of all keys that begin with a prefix, by what follows it.
func (l *Ledger) Sums(prefix string) map[string]int64 {
	sums := map[string]int64{}
	for key, sum := range l.sums {
		if rest, ok := strings.CutPrefix(key, prefix); ok {
			sums[rest] = sum
		}
	}
	return sums
}

// Rates returns the rates, a second, at which one balancer and all others count under a
// key, those included that are not heard of.
func (l *Ledger) Rates(key, from string, now time.Time) (own, others float64) {
	if o, ok := l.origins[from]; ok {
		if n, ok := o.counts[key]; ok {
			own = n.rate.perSecond
		}
	}
	return own, max(0, l.total(key, now)-own)
}

// addEvery is between two times that the rates of a key are added up: a relay is asked for
// them with each report, by hundreds of balancers.
const addEvery = 50 * time.Millisecond

// total returns the rate at which all balancers count under a key.
func (l *Ledger) total(key string, now time.Time) float64 {
	if known, ok := l.rates[key]; ok && now.Sub(known.at) < addEvery {
		return known.perSecond
	}
	total := 0.0
	for _, o := range l.origins {
		if n, ok := o.counts[key]; ok && now.Sub(o.heard) <= unheardFor {
			total += n.rate.perSecond + n.unheardAt(now)
		}
	}
	l.rates[key] = rate{perSecond: total, at: now}
	return total
}

// ZoneDue returns when the next report to the relays of other zones is due.
func (l *Ledger) ZoneDue(p Pauses, now time.Time) (at time.Time, ok bool) { return l.zone.Due(p, now) }

// Urge has the next report to the relays of other zones made soon.
func (l *Ledger) Urge() { l.zone.Urge() }

// ZoneReport returns the counts of the own zone, for the relays of others.
func (l *Ledger) ZoneReport(isRelay IsRelay, now time.Time) Report {
	for key := range l.zone.counts {
		if unheard, _ := l.Unheard(key, isRelay, now); unheard > 0 {
			l.zone.Touch(key, now)
		}
	}
	r := l.zone.Report(now)
	r.Relay = true
	r.Members, _ = l.Members(now)
	for i := range r.Counts {
		r.Counts[i].Unheard, _ = l.Unheard(r.Counts[i].Key, isRelay, now)
	}
	return r
}

// ZoneTaken notes that the relay of another zone has taken a report.
func (l *Ledger) ZoneTaken(r Report) { l.zone.Taken(r) }

// forget drops balancers that have not been heard of for long, seldom, because it looks at
// all.
func (l *Ledger) forget(now time.Time) {
	if now.Sub(l.forgotten) < unheardAfter {
		return
	}
	l.forgotten = now
	for from, o := range l.origins {
		if now.Sub(o.heard) > forgetAfter {
			delete(l.origins, from)
		}
	}
}
