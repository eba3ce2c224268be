package tally

import "time"

// What a relay does not hear of: who has fallen silent, and what they may count meanwhile.

// unheardAt returns the rate at which those of an origin's zone count that it does not hear
// of, where it has told that lately.
func (n *noted) unheardAt(now time.Time) float64 {
	if now.Sub(n.at) > 2*unheardAfter {
		return 0
	}
	return n.unheard
}

// IsRelay reports whether an address is that of a relay that is registered.
type IsRelay func(addr string) bool

// Hold notes the rate at which a balancer may go on counting while nobody hears of it,
// because it was told so.
func (l *Ledger) Hold(key, from string, perSecond float64) {
	if o, ok := l.origins[from]; ok {
		if n, ok := o.counts[key]; ok {
			n.hold = perSecond
		}
	}
}

// heldAfter is how long after its last report a relay's hold is still noted: two calm pauses of
// reports, less than it takes to notice that it is not heard of. What others count from then on
// changes nothing of what its zone was told.
const heldAfter = 300 * time.Millisecond

// HoldRelays notes the same of the relays of other zones that are heard of: each goes on at
// the part of a rate of the fleet that its zone has.
func (l *Ledger) HoldRelays(key string, perSecond float64, now time.Time) {
	total := l.total(key, now)
	_, members := l.Members(now)
	for _, o := range l.origins {
		if n, ok := o.counts[key]; ok && o.relay && now.Sub(o.heard) <= heldAfter {
			n.hold = perSecond * Part(n.rate.perSecond+n.unheardAt(now), total, o.members, members)
		}
	}
}

// Part returns which part of what all count some balancers have while nobody hears of them:
// half of it as many as they are, and half as much as they counted. Rates of a moment alone
// add up to more than all in one moment and to less in the next, and who has counted nothing
// yet may have to.
func Part(own, total float64, members, all int) float64 {
	part := float64(members) / float64(max(1, all))
	if total > 0 {
		part = (part + own/total) / 2
	}
	return part
}

// Unheard returns the rate at which balancers may count under a key that are not heard of:
// in the own zone, and in all.
func (l *Ledger) Unheard(key string, isRelay IsRelay, now time.Time) (own, all float64) {
	for addr, o := range l.origins {
		n, ok := o.counts[key]
		if !ok || o.rests {
			continue
		}
		age := now.Sub(o.heard)
		switch {
		case o.relay && age <= unheardAfter:
			all += n.unheardAt(now)
		case o.relay && (isRelay(addr) && age <= unheardFor || age <= relayGoneFor):
			all += n.hold
		case !o.relay && age > unheardAfter && age <= unheardFor:
			own += n.hold
		}
	}
	return own, own + all
}

// Untold returns which part of what all may count under a key those may count that are not heard of
// and have told nothing of it.
func (l *Ledger) Untold(key string, isRelay IsRelay, now time.Time) (part float64) {
	members := 0
	for addr, o := range l.origins {
		age := now.Sub(o.heard)
		if _, told := o.counts[key]; told || o.rests || age <= unheardAfter || age > unheardFor {
			continue
		}
		switch {
		case !o.relay:
			members++
		case isRelay(addr) || age <= relayGoneFor:
			members += o.members
		}
	}
	if members == 0 {
		return 0
	}
	_, all := l.Members(now)
	return Part(0, l.total(key, now), members, all)
}

// HearsAll reports whether every balancer is heard of that has been, but for those that rest.
func (l *Ledger) HearsAll(now time.Time) bool {
	for _, o := range l.origins {
		if !o.rests && now.Sub(o.heard) > unheardAfter {
			return false
		}
	}
	return true
}

// Members returns how many balancers have been heard of lately: in the own zone, and in all.
func (l *Ledger) Members(now time.Time) (own, all int) {
	for _, o := range l.origins {
		switch {
		case now.Sub(o.heard) > unheardFor:
		case o.relay:
			all += o.members
		default:
			own++
		}
	}
	return own, own + all
}
