package reach

import (
	"cmp"
	"slices"
	"time"
)

// Carrier is a balancer that may carry connections to endpoints.
type Carrier struct {
	Addr string // at which other balancers reach it
	Near bool   // it is in the zone of the balancer that asks
}

// Answer is how a carrier answered a request to carry a connection.
type Answer string

// The answers. They are sent between balancers and must not change.
const (
	Accepted    Answer = "accepted"
	Unreachable Answer = "unreachable" // it could not open a connection to the endpoint
	PathLost    Answer = "path-lost"   // it reaches the endpoint only through a carrier itself
	Busy        Answer = "busy"        // it carries as many connections as it may
	Stopping    Answer = "stopping"    // it is in a planned stop
	Unlisted    Answer = "unlisted"    // it knows no usable endpoint at the address
	Malformed   Answer = "malformed"   // the request could not be read
	Silent      Answer = "silent"      // it did not answer; never sent
)

// How long a carrier is asked last after an answer, and after how long without an answer it is asked
// again at first.
const (
	unreachablePause = 500 * time.Millisecond
	pathLostPause    = time.Second
	busyPause        = 100 * time.Millisecond
	stoppingPause    = 5 * time.Second
	unlistedPause    = 200 * time.Millisecond
	silentPause      = time.Second
	maxSilentPause   = 8 * time.Second
)

// knownCarrier is a carrier with what it answered.
type knownCarrier struct {
	Carrier
	askAfter time.Time // it is asked last until then
	silent   int       // consecutive requests without an answer
}

// Carriers is what a balancer knows of those that may carry for it. It is an immutable value.
type Carriers struct {
	list    []knownCarrier
	updated time.Time
}

// Updated returns when a list was last received, also an empty one; zero for never.
func (c Carriers) Updated() time.Time { return c.updated }

// Len returns the number of carriers.
func (c Carriers) Len() int { return len(c.list) }

// WithList returns the carriers of a new list, with what is known of them. An empty list replaces
// nothing: the balancers that were asked may just not have answered in time.
func (c Carriers) WithList(list []Carrier, now time.Time) Carriers {
	if len(list) == 0 {
		c.updated = now
		return c
	}
	next := make([]knownCarrier, 0, len(list))
	for _, carrier := range list {
		known := knownCarrier{Carrier: carrier}
		if i := c.index(carrier.Addr); i >= 0 {
			known.askAfter, known.silent = c.list[i].askAfter, c.list[i].silent
		}
		next = append(next, known)
	}
	return Carriers{list: next, updated: now}
}

// index returns the place of a carrier in the list, or -1.
func (c Carriers) index(addr string) int {
	return slices.IndexFunc(c.list, func(k knownCarrier) bool { return k.Addr == addr })
}

// WithAnswer returns the carriers after one of them answered.
func (c Carriers) WithAnswer(addr string, a Answer, now time.Time) Carriers {
	i := c.index(addr)
	if i < 0 {
		return c
	}
	c.list = slices.Clone(c.list)
	k := &c.list[i]
	if a == Silent {
		k.askAfter = now.Add(doubled(silentPause, k.silent, maxSilentPause))
		k.silent++
		return c
	}
	k.silent = 0
	k.askAfter = now.Add(pauseAfter(a))
	return c
}

// pauseAfter returns how long a carrier is asked last after an answer.
func pauseAfter(a Answer) time.Duration {
	switch a {
	case Unreachable:
		return unreachablePause
	case PathLost:
		return pathLostPause
	case Busy:
		return busyPause
	case Stopping:
		return stoppingPause
	case Unlisted, Malformed:
		return unlistedPause
	case Accepted, Silent:
	}
	return 0
}

// Order returns the addresses of the carriers in the order in which they should be asked: those that
// are ready to be asked before the others, near ones before others, and otherwise at random, so that
// connections are spread evenly. random returns a number in [0, 1).
func (c Carriers) Order(random func() float64, now time.Time) []string {
	type place struct {
		late  time.Duration // how long it should not be asked yet
		far   bool
		drawn float64
		addr  string
	}
	places := make([]place, 0, len(c.list))
	for _, k := range c.list {
		places = append(places, place{late: max(0, k.askAfter.Sub(now)), far: !k.Near, drawn: random(), addr: k.Addr})
	}
	slices.SortFunc(places, func(a, b place) int {
		return cmp.Or(cmp.Compare(a.late, b.late), compareBool(a.far, b.far), cmp.Compare(a.drawn, b.drawn))
	})
	addrs := make([]string, len(places))
	for i, p := range places {
		addrs[i] = p.addr
	}
	return addrs
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}
