package bootstrap

import (
	"maps"
	"math"
	"slices"
	"time"
)

// The rules by which first copies spread, as functions of their arguments alone.

const (
	// linkTimeBudget is how long the copies that a balancer sends within recipientTTL may occupy its
	// link; further requests are redirected. Faster links therefore send more copies.
	linkTimeBudget = 100 * time.Millisecond
	// defaultFanOut is the number of balancers that a balancer with an unknown link rate sends its copy
	// to. minFanOut and maxFanOut bound the number for known rates; with a fan-out of one, the copies
	// would spread along a chain.
	defaultFanOut = 8
	minFanOut     = 2
	maxFanOut     = 64
	// recipientTTL is how long the recipients of a copy are remembered. A fleet whose balancers start
	// together has its copies well within it.
	recipientTTL = time.Second
	// redirectAddrs is the number of recipients named in a redirect; one of them may be gone.
	redirectAddrs = 2
)

// fanOut returns the number of balancers to send a copy of size bytes to, over a link with a rate in
// bytes per second; 0 means that the rate is unknown.
func fanOut(size int, rate float64) int {
	if rate <= 0 || size <= 0 {
		return defaultFanOut
	}
	return max(minFanOut, min(maxFanOut, int(rate*linkTimeBudget.Seconds())/size))
}

// Recipients are the balancers that were sent a copy within recipientTTL. It is an immutable value;
// the zero value is empty.
type Recipients struct {
	entries   []recipient // oldest first
	redirects int         // number of requests redirected so far; selects the recipients to name in the next redirect
}

// recipient is a balancer that was sent a copy.
type recipient struct {
	addr string
	at   time.Time // when the copy was sent
}

// WithRequest returns the recipients after a request from the balancer at addr, and the addresses to
// redirect it to. Without such addresses, the balancer is to be sent a copy. limit is the maximum
// number of recipients.
func (r Recipients) WithRequest(addr string, limit int, now time.Time) (next Recipients, instead []string) {
	next.redirects = r.redirects
	repeated := false
	for _, entry := range r.entries {
		if now.Sub(entry.at) < recipientTTL {
			next.entries = append(next.entries, entry)
			repeated = repeated || entry.addr == addr
		}
	}
	switch {
	case repeated: // the first copy may have been lost
		return next, nil
	case len(next.entries) < limit:
		next.entries = append(next.entries, recipient{addr: addr, at: now})
		return next, nil
	}
	for i := range min(redirectAddrs, len(next.entries)) {
		instead = append(instead, next.entries[(next.redirects+i)%len(next.entries)].addr)
	}
	next.redirects++
	return next, instead
}

// Candidates are the balancers that a starting balancer asks for a copy, in this order: those to which
// it was redirected, the relay in its own zone, the relays in other zones, and the seeds from its
// settings. It is an immutable value.
type Candidates struct {
	self       Peer
	rotation   uint64             // random offset at which the seeds and the relays of other zones begin; spreads the load
	retryAfter time.Duration      // time after which a balancer may be asked again
	queue      []Peer             // added and not yet asked
	seeds      []Peer             // asked, repeatedly, when no other candidate is left
	relays     []Peer             // the registered relays; asked again like the seeds once retryAfterFailure is set
	asked      map[string]lastAsk // by address

	// retryAfterFailure is the time after which a balancer may be asked again that has failed or had no
	// copy yet; 0 for retryAfter.
	retryAfterFailure time.Duration
}

// lastAsk is the last request to a balancer, and what became of it and of those before.
type lastAsk struct {
	at      time.Time
	pending bool       // the request has not ended
	outcome AskOutcome // of the last request that has ended
}

// AskOutcome is what became of a request to a balancer.
type AskOutcome uint8

// The outcomes.
const (
	NotAsked   AskOutcome = iota // no request has ended
	Answered                     // with a copy, or with other balancers to ask
	WithoutYet                   // it has no copy yet
	Failed                       // it could not be reached, or did not answer in time
)

// NewCandidates returns the candidates of a balancer that knows only its seeds. rotation is a random
// number; a balancer may be asked again after retryAfter.
func NewCandidates(self Peer, seeds []string, rotation uint64, retryAfter time.Duration) Candidates {
	c := Candidates{self: self, rotation: rotation, retryAfter: retryAfter}
	var peers []Peer
	for _, addr := range seeds {
		peers = append(peers, Peer{Addr: addr})
	}
	c.seeds = rotated(c.distinct(peers), rotation)
	return c
}

// rotated returns a copy of list rotated to begin at index offset modulo its length.
func rotated(list []Peer, offset uint64) []Peer {
	if len(list) == 0 {
		return nil
	}
	first := int(offset % uint64(len(list)))
	return slices.Concat(list[first:], list[:first])
}

// WithRelays returns the candidates with the registered relays added behind those that are already
// queued.
func (c Candidates) WithRelays(relays []Peer) Candidates {
	otherZones := slices.DeleteFunc(slices.Clone(relays), func(p Peer) bool { return p.Zone == c.self.Zone })
	ownZone := slices.DeleteFunc(slices.Clone(relays), func(p Peer) bool { return p.Zone != c.self.Zone })
	c.relays = c.distinct(slices.Concat(ownZone, rotated(otherZones, c.rotation)))
	c.queue = c.distinct(slices.Concat(c.queue, c.relays))
	return c
}

// WithQuickRetries returns the candidates if a balancer that has failed, or had no copy yet, may be
// asked again after the given time. Relays are then asked repeatedly.
func (c Candidates) WithQuickRetries(after time.Duration) Candidates {
	c.retryAfterFailure = after
	return c
}

// WithOutcome returns the candidates after a request to the balancer at addr has ended.
func (c Candidates) WithOutcome(addr string, outcome AskOutcome) Candidates {
	asked := map[string]lastAsk{}
	maps.Copy(asked, c.asked)
	asked[addr] = lastAsk{at: c.asked[addr].at, outcome: outcome}
	c.asked = asked
	return c
}

// RelaysFailed reports whether relays are known and all of them have failed, or were asked and have
// not answered for the time silentAfter.
func (c Candidates) RelaysFailed(silentAfter time.Duration, now time.Time) bool {
	for _, p := range c.relays {
		last, asked := c.asked[p.Addr]
		silent := last.outcome == NotAsked && now.Sub(last.at) >= silentAfter
		if !asked || last.outcome != Failed && !silent {
			return false
		}
	}
	return len(c.relays) > 0
}

// mayAsk reports whether a balancer may be asked at now.
func (c Candidates) mayAsk(addr string, now time.Time) bool {
	last, asked := c.asked[addr]
	switch {
	case !asked:
		return true
	case last.outcome >= WithoutYet && !last.pending && c.retryAfterFailure > 0:
		return now.Sub(last.at) >= c.retryAfterFailure
	}
	return now.Sub(last.at) >= c.retryAfter
}

// WithRedirect returns the candidates with addrs first, to which another balancer redirected this one.
func (c Candidates) WithRedirect(addrs []string) Candidates {
	var redirected []Peer
	for _, addr := range addrs {
		redirected = append(redirected, Peer{Addr: addr})
	}
	c.queue = c.distinct(slices.Concat(redirected, c.queue))
	return c
}

// distinct removes this balancer itself and all but the first of the peers with the same address. It
// modifies peers.
func (c Candidates) distinct(peers []Peer) []Peer {
	seen := map[string]bool{c.self.Addr: true}
	return slices.DeleteFunc(peers, func(p Peer) bool {
		duplicate := seen[p.Addr]
		seen[p.Addr] = true
		return duplicate
	})
}

// Next returns the balancer to ask at now, and the candidates after that; false means that there is
// none. It skips balancers that were asked a moment ago.
func (c Candidates) Next(now time.Time) (Peer, Candidates, bool) {
	list := slices.Concat(c.queue, c.seeds)
	if c.retryAfterFailure > 0 {
		list = slices.Concat(c.queue, c.relays, c.seeds)
	}
	for _, p := range list {
		if !c.mayAsk(p.Addr, now) {
			continue
		}
		asked := map[string]lastAsk{}
		maps.Copy(asked, c.asked)
		last := asked[p.Addr]
		asked[p.Addr] = lastAsk{at: now, pending: true, outcome: last.outcome}
		c.asked = asked
		c.queue = slices.DeleteFunc(slices.Clone(c.queue), func(q Peer) bool { return q.Addr == p.Addr })
		return p, c, true
	}
	return Peer{}, c, false
}

const (
	// referenceCores is the processor share, in cores, for which ScaleByCores returns its argument unchanged.
	referenceCores = 0.2
	// minCores is the smallest processor share that ScaleByCores scales by; it bounds the delay of small VMs.
	minCores = 0.1
	// relaysKnownFactor lengthens the delay while relays are known: their copies are on the way, and
	// each read of the whole store slows them down.
	relaysKnownFactor = 4
)

// ScaleByCores scales the delay d by a processor share, in cores, so that larger VMs are the first to do a
// task that any balancer may do. For referenceCores it returns d.
func ScaleByCores(d time.Duration, cores float64) time.Duration {
	return time.Duration(float64(d) * referenceCores / max(cores, minCores))
}

// ReadAfter returns how long after its start a balancer with a processor share of cores reads the
// store itself if it has no copy by then. The balancers that others ask first read it at once: a
// registered relay, or a seed if no relay is known. The delay of the others grows with random, which
// is in [0, 1), and is at least half of ReadSpread while relays are known.
func (o Options) ReadAfter(isRelay, isSeed, relaysKnown bool, random, cores float64) time.Duration {
	if isRelay || isSeed && !relaysKnown {
		return 0
	}
	wait := ScaleByCores(time.Duration(random*float64(o.ReadSpread)), cores)
	if !relaysKnown {
		return wait
	}
	return o.ReadSpread/2 + relaysKnownFactor*wait
}

const (
	// assumedFleet is the number of balancers up to which about one of them reads the store at once in
	// ReadAfterRelaysFailed.
	assumedFleet = 8192
	// relaysFailedFactor lengthens the delays of balancers that are no seeds. Seeds
	// and relays may start half a second later; with 2, one of 984 balancers reads the store by then.
	relaysFailedFactor = 2
)

// ReadAfterRelaysFailed returns how long after all known relays have failed a balancer reads the store
// itself if it has no copy by then. A seed reads at once, because the others ask it. The delays of the
// others are distributed such that few read before the seeds and the relays are back, whatever the
// fleet's size: of n balancers n*assumedFleet^(t/d-1) read within t, where d is the longest delay.
// random is in [0, 1).
func (o Options) ReadAfterRelaysFailed(isSeed bool, random float64) time.Duration {
	if isSeed {
		return 0
	}
	longest := relaysFailedFactor * float64(o.ReadSpread)
	return time.Duration(max(0, 1+math.Log(random)/math.Log(assumedFleet)) * longest)
}
