package tally

import (
	"math"
	"slices"
	"strings"
	"time"
)

const (
	// silentAfter is how long after its last report a balancer counts as silent, unless it is idle.
	// An active balancer reports at least twice in this time.
	silentAfter = time.Second
	// extrapolateFor is how long after its last report a silent balancer is assumed to continue
	// counting at its fallback rate.
	extrapolateFor = 15 * time.Second
	// goneRelayExtrapolateFor is the same for a relay that is no longer registered: after this time
	// its balancers report to another relay.
	goneRelayExtrapolateFor = 4 * time.Second
	// forgetAfter is how long after its last report the state of a balancer is dropped.
	forgetAfter = time.Minute
	// announceFor is how long a relay names a balancer that has begun to report to it: two normal
	// report intervals, so that one lost message does not matter.
	announceFor = 500 * time.Millisecond
	// trafficSmoothing is the time constant of a balancer's traffic: longer than a burst of one team.
	trafficSmoothing = 5 * time.Second
	// fleetKnownFor is how long a new aggregator relies on the fleet size that balancers were told by
	// earlier relays. Within this time all active balancers have reported to it.
	fleetKnownFor = 2 * time.Second
)

// Aggregator is a relay's aggregate of the counts that it receives.
type Aggregator struct {
	reporters   map[string]*reporter // by link address
	sums        map[string]int64     // of the fleet, by key
	zoneCounter *Counter             // sums of the own zone
	rates       map[string]rate      // cached rates of the fleet, by key
	prunedAt    time.Time            // when old reporters were last dropped
	heardAt     time.Time            // when the last report of another balancer came
	followerAt  time.Time            // when the last report of another balancer of the own zone came
	followed    bool                 // some of those have not said since that they are idle
	begunAt     time.Time            // when the first report came
	fleet       int                  // highest fleet size in the reports until fleetKnownFor
	unheard     int                  // result of the last call of Unheard
	unheardAt   time.Time            // when that was; zero for never
	// unheardRates are the rates per second of balancers that were never heard from, by key.
	unheardRates map[string]float64
}

// reporter is the state of one sender of reports: one incarnation of a balancer of the own zone, or
// of the relay of another zone.
type reporter struct {
	incarnation, number uint64 // of its last report
	relay               bool
	zone                string
	members             int // balancers of its zone; set for relays only
	lastReport          time.Time
	joinedAt            time.Time // when it last began to report here
	idle                bool      // its last report said that it sends no further one until it counts again
	moved               bool      // since its last report, another relay has taken over its counts
	counts              map[string]*keyState
	traffic             rate // of all keys together, smoothed over trafficSmoothing
}

// keyState is what a reporter has reported of one key.
type keyState struct {
	total        int64
	rate         rate
	silentRate   float64   // rate per second of silent balancers in its zone; set for relays only
	reportedAt   time.Time // when the key was last reported
	fallbackRate float64   // rate per second at which it may continue to count while it is silent
}

// NewAggregator returns the empty aggregator of a relay. from is its link address, and incarnation a
// random number that distinguishes this run of the relay from others.
func NewAggregator(from, zone string, incarnation uint64) *Aggregator {
	return &Aggregator{reporters: map[string]*reporter{}, sums: map[string]int64{}, rates: map[string]rate{}, unheardRates: map[string]float64{}, zoneCounter: NewCounter(from, zone, incarnation)}
}

// Apply applies a report and returns the increases that it adds to the sums. A report that is no
// newer than the last one of its incarnation changes nothing.
func (a *Aggregator) Apply(r Report, now time.Time) []Change {
	a.prune(now)
	rep := a.reporterOf(r, now)
	if r.Number <= rep.number {
		return nil
	}
	a.noteHeard(r, now)
	a.LearnFleet(r, now)
	a.markMoved(r)
	if rep.moved || now.Sub(rep.lastReport) > silentAfter {
		rep.joinedAt = now
	}
	extrapolatedFor := min(now.Sub(rep.lastReport), extrapolateFor) - silentAfter
	if rep.idle || rep.moved {
		extrapolatedFor = 0
	}
	rep.number, rep.lastReport, rep.idle, rep.moved, rep.zone, rep.members = r.Number, now, r.Rests, false, r.Zone, r.Members
	var changes []Change
	counted := int64(0)
	for _, c := range r.Counts {
		counted += rep.increase(c)
		by := rep.add(c, extrapolatedFor, now)
		if by == 0 {
			continue
		}
		changes = append(changes, Change{Key: c.Key, By: by})
		a.sums[c.Key] += by
		if !r.Relay {
			a.zoneCounter.Add(c.Key, by, now)
		}
	}
	rep.traffic = rep.traffic.updatedOver(counted, trafficSmoothing, now)
	return changes
}

// noteHeard records that another balancer has reported.
func (a *Aggregator) noteHeard(r Report, now time.Time) {
	if r.From == a.zoneCounter.from {
		return
	}
	a.heardAt = now
	if !r.Relay {
		a.followerAt = now
		a.followed = a.followed || !r.Rests
	}
}

// LearnFleet records the fleet size that a balancer was told by an earlier relay.
func (a *Aggregator) LearnFleet(r Report, now time.Time) {
	if a.begunAt.IsZero() {
		a.begunAt = now
	}
	if now.Sub(a.begunAt) <= fleetKnownFor {
		a.fleet = max(a.fleet, r.Fleet)
	}
}

// markMoved records that the balancers named in a report now report to its sender.
func (a *Aggregator) markMoved(r Report) {
	for _, from := range r.Joined {
		if rep, ok := a.reporters[from]; ok && !rep.relay {
			rep.moved = true
		}
	}
}

// joined returns the balancers that have begun to report here within announceFor, sorted.
func (a *Aggregator) joined(now time.Time) []string {
	var joined []string
	for from, rep := range a.reporters {
		if !rep.relay && !rep.moved && now.Sub(rep.joinedAt) <= announceFor {
			joined = append(joined, from)
		}
	}
	slices.Sort(joined)
	return joined
}

// reporterOf returns the state of the incarnation that sent a report. It drops an earlier
// incarnation at the same address. A new relay takes over the balancers of an earlier relay of its
// zone, until that one reports again: a relay without connection to the store goes on reporting
// after another one was registered in its place, and its totals must not count twice.
func (a *Aggregator) reporterOf(r Report, now time.Time) *reporter {
	if rep, ok := a.reporters[r.From]; ok && rep.incarnation == r.Life && rep.relay == r.Relay {
		return rep
	}
	if r.Relay {
		for _, rep := range a.reporters {
			if rep.relay && rep.zone == r.Zone {
				rep.moved = true
			}
		}
	}
	rep := &reporter{incarnation: r.Life, relay: r.Relay, counts: map[string]*keyState{}, traffic: rate{at: now}}
	a.reporters[r.From] = rep
	return rep
}

// increase returns by how much the total of one key exceeds the last known one.
func (rep *reporter) increase(c Count) int64 {
	known := c.Told
	if k, ok := rep.counts[c.Key]; ok {
		known = max(known, k.total)
	}
	return max(0, c.Total-known)
}

// add records the total of one key and returns its increase, without the part that another relay has
// already taken into account (Count.Told: a balancer may have followed another relay meanwhile), and
// without the part that was extrapolated. extrapolatedFor is for how long the silent reporter was
// assumed to count at its fallback rate.
func (rep *reporter) add(c Count, extrapolatedFor time.Duration, now time.Time) int64 {
	k, known := rep.counts[c.Key]
	if !known {
		k = &keyState{total: c.Told, rate: rate{at: now}}
		rep.counts[c.Key] = k
	}
	if !rep.relay {
		k.total = max(k.total, c.Told)
	}
	by := c.Total - k.total
	k.total, k.silentRate, k.reportedAt = c.Total, c.Unheard, now
	k.rate = k.rate.updated(by, now)
	if extrapolated := int64(math.Round(k.fallbackRate * extrapolatedFor.Seconds())); extrapolated > 0 && by > 0 {
		by = max(0, by-extrapolated)
	}
	return by
}

// HasPredecessor reports whether balancers were told of the fleet by an earlier relay, as far as they have
// reported.
func (a *Aggregator) HasPredecessor() bool { return a.fleet > 0 }

// Arrival reports whether a report, which is not applied yet, is the first one of its sender here, or the
// first one after it was silent here and reported to another relay.
func (a *Aggregator) Arrival(r Report, now time.Time) (first, returned bool) {
	rep, ok := a.reporters[r.From]
	if !ok || rep.incarnation != r.Life {
		return true, false
	}
	if now.Sub(rep.lastReport) <= silentAfter {
		return false, false
	}
	return false, slices.ContainsFunc(r.Counts, func(c Count) bool {
		k, known := rep.counts[c.Key]
		return known && c.Told > k.total
	})
}

// Traffic returns the rates per second at which the balancers of the own zone count under all keys
// together, by link address. Balancers that have reported to another relay since are left out.
func (a *Aggregator) Traffic() map[string]float64 {
	rates := map[string]float64{}
	for from, rep := range a.reporters {
		if !rep.relay && !rep.moved {
			rates[from] = rep.traffic.perSecond
		}
	}
	return rates
}

// ZoneMembers returns how many balancers the other zones have, by zone.
func (a *Aggregator) ZoneMembers() map[string]int {
	members := map[string]int{}
	for _, rep := range a.reporters {
		if rep.relay && !rep.moved {
			members[rep.zone] = rep.members
		}
	}
	return members
}

// LastHeard returns when the last report came from another balancer of the own zone; where those are idle
// or there are none, from any other balancer. It is zero if there was none.
func (a *Aggregator) LastHeard() time.Time {
	if a.followed {
		return a.followerAt
	}
	return a.heardAt
}

// Sum returns the sum of the known counts of the fleet under a key, since this aggregator was
// created.
func (a *Aggregator) Sum(key string) int64 { return a.sums[key] }

// Sums returns the sums of all keys with a prefix, indexed by the rest of the key.
func (a *Aggregator) Sums(prefix string) map[string]int64 {
	sums := map[string]int64{}
	for key, sum := range a.sums {
		if rest, ok := strings.CutPrefix(key, prefix); ok {
			sums[rest] = sum
		}
	}
	return sums
}

// Rates returns the rates per second at which one balancer and all others count under a key, silent
// ones included.
func (a *Aggregator) Rates(key, from string, now time.Time) (own, others float64) {
	if rep, ok := a.reporters[from]; ok {
		if k, ok := rep.counts[key]; ok {
			own = k.rate.perSecond
		}
	}
	return own, max(0, a.totalRate(key, now)-own)
}

// rateCacheFor is how long the total rate of a key is cached: hundreds of balancers need it with
// each of their reports.
const rateCacheFor = 50 * time.Millisecond

// totalRate returns the rate per second at which all balancers count under a key.
func (a *Aggregator) totalRate(key string, now time.Time) float64 {
	if known, ok := a.rates[key]; ok && now.Sub(known.at) < rateCacheFor {
		return known.perSecond
	}
	total := 0.0
	for _, rep := range a.reporters {
		if k, ok := rep.counts[key]; ok && !rep.moved && now.Sub(rep.lastReport) <= extrapolateFor {
			total += k.rate.perSecond + k.currentSilentRate(now)
		}
	}
	a.rates[key] = rate{perSecond: total, at: now}
	return total
}

// ZoneDue returns when the next report to the relays of other zones is due.
func (a *Aggregator) ZoneDue(intervals Intervals, now time.Time) (at time.Time, ok bool) {
	return a.zoneCounter.Due(intervals, now)
}

// MarkUrgent makes the next report to the relays of other zones due after the urgent interval.
func (a *Aggregator) MarkUrgent() { a.zoneCounter.MarkUrgent() }

// ZoneReport returns the sums of the own zone, for the relays of other zones.
func (a *Aggregator) ZoneReport(isRelay IsRelay, now time.Time) Report {
	for key := range a.zoneCounter.counts {
		if silentRate, _ := a.SilentRates(key, isRelay, now); silentRate > 0 {
			a.zoneCounter.Touch(key, now)
		}
	}
	r := a.zoneCounter.Report(now)
	r.Relay = true
	r.Members, r.Joined = a.ownMembers(now), a.joined(now)
	for i := range r.Counts {
		r.Counts[i].Unheard, _ = a.SilentRates(r.Counts[i].Key, isRelay, now)
	}
	return r
}

// ZoneTotal returns the own zone's sum under a key.
func (a *Aggregator) ZoneTotal(key string) int64 { return a.zoneCounter.Total(key) }

// Reported returns the total under a key in the last report of a relay or balancer.
func (a *Aggregator) Reported(from, key string) int64 {
	if rep, ok := a.reporters[from]; ok {
		if k, ok := rep.counts[key]; ok {
			return k.total
		}
	}
	return 0
}

// AcknowledgeZone records that the relay of another zone has accepted a report.
func (a *Aggregator) AcknowledgeZone(r Report) { a.zoneCounter.Acknowledge(r) }

// prune drops reporters that have not reported for forgetAfter. It visits all reporters, so it runs
// at most once per silentAfter.
func (a *Aggregator) prune(now time.Time) {
	if now.Sub(a.prunedAt) < silentAfter {
		return
	}
	a.prunedAt, a.followed = now, false
	for from, rep := range a.reporters {
		if now.Sub(rep.lastReport) > forgetAfter {
			delete(a.reporters, from)
		}
		a.followed = a.followed || !rep.relay && !rep.idle && !rep.moved && from != a.zoneCounter.from && now.Sub(rep.lastReport) <= forgetAfter
	}
}
