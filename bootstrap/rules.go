package bootstrap

import (
	"slices"
	"time"
)

// The rules of handing a first copy on, as functions of their arguments.

const (
	// givingTime is of how long its link a balancer gives to copies for others within
	// recipientsFor; whoever comes later is sent on. Wide links give more copies than narrow ones.
	givingTime = 100 * time.Millisecond
	// unknownFanOut is to how many others a balancer gives its copy whose link is not known, and
	// fewest and most bound the number for any link: with one only, the copies would go along a
	// chain.
	unknownFanOut = 8
	fewestGiven   = 2
	mostGiven     = 64
	// recipientsFor is how long those that were given a copy are remembered: a fleet that starts
	// at once has its copies well within it.
	recipientsFor = time.Second
	// alternatives is how many recipients are named to whoever is sent on: one may be gone.
	alternatives = 2
)

// fanOut returns to how many others a balancer gives copies of a size, in bytes, at the
// rate of its link, in bytes a second; 0 where that is not known.
func fanOut(size int, rate float64) int {
	if rate <= 0 || size <= 0 {
		return unknownFanOut
	}
	return max(fewestGiven, min(mostGiven, int(rate*givingTime.Seconds())/size))
}

// Recipients are the balancers that were given a copy lately. It is an immutable
// value; the zero value is empty.
type Recipients struct {
	given []recipient // in the order of the times
	turn  int         // so many were sent on
}

type recipient struct {
	addr string
	at   time.Time
}

// WithQuestion returns the recipients after a balancer asked for a copy, of which so many
// are given at most, and where it is sent on to; nowhere means that it is given one.
func (r Recipients) WithQuestion(addr string, most int, now time.Time) (next Recipients, instead []string) {
	next.turn = r.turn
	again := false
	for _, known := range r.given {
		if now.Sub(known.at) < recipientsFor {
			next.given = append(next.given, known)
			again = again || known.addr == addr
		}
	}
	switch {
	case again: // its copy may have been lost on the way
		return next, nil
	case len(next.given) < most:
		next.given = append(next.given, recipient{addr: addr, at: now})
		return next, nil
	}
	for i := range min(alternatives, len(next.given)) {
		instead = append(instead, next.given[(next.turn+i)%len(next.given)].addr)
	}
	next.turn++
	return next, instead
}

// Order is whom a balancer that starts asks for a copy: those to whom it is sent on,
// the relay of its own zone, the relays of others, the seeds of its settings. It is an
// immutable value.
type Order struct {
	self  Peer
	turn  uint64        // where the relays of other zones begin, so that balancers spread
	again time.Duration // after which a balancer may be asked again
	next  []Peer
	seeds []Peer               // asked when nobody else is left, and again
	asked map[string]time.Time // when a balancer was asked last
}

// NewOrder returns an order of a balancer that knows nobody but its seeds. turn is a
// random number.
func NewOrder(self Peer, seeds []string, turn uint64, again time.Duration) Order {
	o := Order{self: self, turn: turn, again: again}
	var peers []Peer
	for _, addr := range seeds {
		peers = append(peers, Peer{Addr: addr})
	}
	o.seeds = rotated(o.distinct(peers), turn)
	return o
}

// rotated returns a list that begins at a place.
func rotated(list []Peer, place uint64) []Peer {
	if len(list) == 0 {
		return nil
	}
	first := int(place % uint64(len(list)))
	return slices.Concat(list[first:], list[:first])
}

// WithRelays returns the order with the registered relays behind those that are asked
// anyway.
func (o Order) WithRelays(relays []Peer) Order {
	others := slices.DeleteFunc(slices.Clone(relays), func(p Peer) bool { return p.Zone == o.self.Zone })
	own := slices.DeleteFunc(slices.Clone(relays), func(p Peer) bool { return p.Zone != o.self.Zone })
	o.next = o.distinct(slices.Concat(o.next, own, rotated(others, o.turn)))
	return o
}

// WithRedirect returns the order with those first to whom another balancer sent this
// one on.
func (o Order) WithRedirect(addrs []string) Order {
	var first []Peer
	for _, addr := range addrs {
		first = append(first, Peer{Addr: addr})
	}
	o.next = o.distinct(slices.Concat(first, o.next))
	return o
}

// distinct keeps the first one of each address, and none of this balancer's own.
func (o Order) distinct(peers []Peer) []Peer {
	seen := map[string]bool{o.self.Addr: true}
	return slices.DeleteFunc(peers, func(p Peer) bool {
		known := seen[p.Addr]
		seen[p.Addr] = true
		return known
	})
}

// WithNext returns the balancer to ask at now, and the order without it. One that was
// asked a moment ago is passed over.
func (o Order) WithNext(now time.Time) (Peer, Order, bool) {
	for _, p := range slices.Concat(o.next, o.seeds) {
		if at, ok := o.asked[p.Addr]; ok && now.Sub(at) < o.again {
			continue
		}
		asked := map[string]time.Time{p.Addr: now}
		for addr, at := range o.asked {
			if addr != p.Addr {
				asked[addr] = at
			}
		}
		o.asked = asked
		o.next = slices.DeleteFunc(slices.Clone(o.next), func(q Peer) bool { return q.Addr == p.Addr })
		return p, o, true
	}
	return Peer{}, o, false
}

const (
	// referenceCores is the processor share, in cores, of a VM that leaves a duty to others for
	// just the time given.
	referenceCores = 0.2
	// smallestCores bounds the time that a small VM leaves it to larger ones.
	smallestCores = 0.1
	// relaysFactor lengthens the wait while relays are known to ask: their copies are
	// on the way, and each reading of everything delays them.
	relaysFactor = 4
)

// BySize returns how long a balancer with a processor share, in cores, leaves a duty to
// others that a VM of referenceCores leaves to them for d: larger ones take it first.
func BySize(d time.Duration, cores float64) time.Duration {
	return time.Duration(float64(d) * referenceCores / max(cores, smallestCores))
}

// ReadAfter returns how long after its start a balancer with a processor share, in
// cores, reads the store itself, if no copy has come before. Those whom others ask first
// do so at once: a registered relay, and where none is known, a seed. random is from 0
// to 1.
func (o Options) ReadAfter(isRelay, isSeed, relaysKnown bool, random, cores float64) time.Duration {
	if isRelay || isSeed && !relaysKnown {
		return 0
	}
	wait := BySize(time.Duration(random*float64(o.ReadSpread)), cores)
	if !relaysKnown {
		return wait
	}
	return o.ReadSpread/2 + relaysFactor*wait
}
