package tally

import "time"

// Estimates of what silent balancers and zones may be counting.

// currentSilentRate returns the rate per second at which silent balancers of the reporter's zone may
// be counting, as last reported; 0 if that report is older than twice silentAfter.
func (k *keyState) currentSilentRate(now time.Time) float64 {
	if now.Sub(k.reportedAt) > 2*silentAfter {
		return 0
	}
	return k.silentRate
}

// IsRelay reports whether an address is that of a registered relay.
type IsRelay func(addr string) bool

// SetFallbackRate sets the rate per second at which a balancer may continue to count while it is
// silent. The balancer has been told its share of the quota, and keeps to it.
func (a *Aggregator) SetFallbackRate(key, from string, perSecond float64) {
	if rep, ok := a.reporters[from]; ok {
		if k, ok := rep.counts[key]; ok {
			k.fallbackRate = perSecond
		}
	}
}

// fallbackFrozenAfter is how long after its last report a relay's fallback rate is still updated:
// more than the normal interval between two reports, and less than silentAfter. After that, counts
// of other zones must not change the rate, because the silent zone doesn't see them.
const fallbackFrozenAfter = 300 * time.Millisecond

// SetRelayFallbackRates sets the fallback rates of the relays of other zones that have reported
// within fallbackFrozenAfter. perSecond is a rate of the whole fleet; each relay gets its zone's
// share of it, by the number of balancers.
func (a *Aggregator) SetRelayFallbackRates(key string, perSecond float64, now time.Time) {
	_, members := a.Members(now)
	for _, rep := range a.reporters {
		if k, ok := rep.counts[key]; ok && rep.relay && now.Sub(rep.lastReport) <= fallbackFrozenAfter {
			k.fallbackRate = perSecond * float64(rep.members) / float64(max(1, members))
		}
	}
}

// Share returns the fraction of a fleet-wide limit that a group of balancers is entitled to while it
// is partitioned from the others: the mean of its fraction of all balancers (members of all) and its
// fraction of the total rate (own of total). Instantaneous rates alone add up to more than the total
// at one moment and to less at the next, and a balancer that has counted nothing yet may have to
// count later.
func Share(own, total float64, members, all int) float64 {
	share := float64(members) / float64(max(1, all))
	if total > 0 {
		share = (share + own/total) / 2
	}
	return share
}

// unheardAfter is how long a new aggregator waits for the reports of all balancers: longer than the
// longest interval between two reports of one.
const unheardAfter = 2500 * time.Millisecond

// Unheard returns how many balancers of the fleet a new aggregator has not heard from, of those that
// earlier relays knew. The number never rises: a balancer that changes its relay may be counted by two
// relays or by none for a moment. It is 0 while their reports may still be due, and after extrapolateFor.
func (a *Aggregator) Unheard(now time.Time) int {
	if age := now.Sub(a.begunAt); a.begunAt.IsZero() || age < unheardAfter || age > extrapolateFor {
		return 0
	}
	heard, before := 0, a.unheard
	for _, rep := range a.reporters {
		switch {
		case now.Sub(rep.lastReport) > extrapolateFor:
		case !rep.relay:
			heard++
		case !rep.moved:
			heard += rep.members
		}
	}
	a.unheard = max(0, a.fleet-heard)
	if !a.unheardAt.IsZero() {
		a.unheard = min(a.unheard, before)
	}
	a.unheardAt = now
	return a.unheard
}

// SetUnheardRate sets the rate per second at which balancers of the own zone may be counting under a key
// that the aggregator has not heard from. SilentRates includes it.
func (a *Aggregator) SetUnheardRate(key string, perSecond float64) { a.unheardRates[key] = perSecond }

// SilentRates returns the rates per second at which silent balancers may be counting under a key: in
// the own zone, and in all zones.
func (a *Aggregator) SilentRates(key string, isRelay IsRelay, now time.Time) (own, all float64) {
	own = a.unheardRates[key]
	for addr, rep := range a.reporters {
		k, ok := rep.counts[key]
		if !ok || rep.idle || rep.moved {
			continue
		}
		age := now.Sub(rep.lastReport)
		switch {
		case rep.relay && age <= silentAfter:
			all += k.currentSilentRate(now)
		case rep.relay && (isRelay(addr) && age <= extrapolateFor || age <= goneRelayExtrapolateFor):
			all += k.fallbackRate
		case !rep.relay && age > silentAfter && age <= extrapolateFor:
			own += k.fallbackRate
		}
	}
	return own, own + all
}

// UnreportedShare returns which part of all balancers is silent and has never reported a key, but may be
// counting under it.
func (a *Aggregator) UnreportedShare(key string, isRelay IsRelay, now time.Time) (share float64) {
	members := 0
	for addr, rep := range a.reporters {
		age := now.Sub(rep.lastReport)
		if _, reported := rep.counts[key]; reported || rep.idle || rep.moved || age <= silentAfter || age > extrapolateFor {
			continue
		}
		switch {
		case !rep.relay:
			members++
		case isRelay(addr) || age <= goneRelayExtrapolateFor:
			members += rep.members
		}
	}
	_, all := a.Members(now)
	return float64(members) / float64(max(1, all))
}

// NoneSilent reports whether no known balancer or relay is silent. Idle ones do not count as silent.
func (a *Aggregator) NoneSilent(now time.Time) bool {
	for _, rep := range a.reporters {
		if !rep.idle && !rep.moved && now.Sub(rep.lastReport) > silentAfter {
			return false
		}
	}
	return true
}

// ownMembers returns how many balancers have reported here within extrapolateFor.
func (a *Aggregator) ownMembers(now time.Time) int {
	own, _ := a.Members(now)
	return own
}

// Members returns how many balancers have reported within extrapolateFor: in the own zone, and in
// all zones. A new aggregator has not heard from all yet, and relies on what balancers were told.
func (a *Aggregator) Members(now time.Time) (own, all int) {
	for _, rep := range a.reporters {
		switch {
		case rep.moved:
		case now.Sub(rep.lastReport) > extrapolateFor:
		case rep.relay:
			all += rep.members
		default:
			own++
		}
	}
	all += own
	if now.Sub(a.begunAt) <= fleetKnownFor {
		all = max(all, a.fleet)
	}
	return own, all
}
