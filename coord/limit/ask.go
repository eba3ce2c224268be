package limit

import (
	"time"

	"github.com/lotuswing/lotuswing/coord/rendezvous"
)

// Target is one incarnation of an endpoint, which begins when the endpoint starts. A later
// incarnation with the same ID has no limit until it names one.
type Target struct {
	ID    string
	Start int64 // identifies the start, as listed in the directory
}

// Ask is a balancer's request to the owner of an endpoint: it asks for permits and reports what
// the endpoint has said about its limit. Package gob writes the field names of this and the
// following types.
type Ask struct {
	Target Target
	Want   int             // permits wanted; 0 in an ask that only reports the limit
	Word   WireObservation // what the endpoint last said about its limit
	Probes bool            // answers to probes of the endpoint name the limit, too
}

// Grant is the reply of an owner to one Ask.
type Grant struct {
	Target  Target
	Permits int
	After   time.Duration // until a further permit may be available
	Look    bool          // the asker may probe the endpoint to check whether its limit still holds
	Probes  bool          // answers to probes name the limit, as far as the owner knows
	Word    WireObservation
}

// Reply is an owner's reply to a list of asks.
type Reply struct {
	Taken  bool // the balancer that was asked is a relay and has handled the asks
	Askers int  // number of balancers that have asked it lately
	Grants []Grant
}

// Relay is a balancer that may own endpoints.
type Relay struct {
	Zone string
	Addr string
}

// Owner returns the address of the relay that keeps the token bucket of an endpoint: the relay of
// the endpoint's availability zone or, if that zone has none, one chosen by rendezvous hashing.
// Balancers need not agree on the list of relays: one with an outdated list asks another relay,
// whose bucket starts empty.
func Owner(zone string, t Target, relays []Relay) (addr string, ok bool) {
	addrs := make([]string, 0, len(relays))
	for _, r := range relays {
		if r.Zone == zone {
			return r.Addr, true
		}
		addrs = append(addrs, r.Addr)
	}
	return rendezvous.First(t.ID, addrs)
}
