package limit

import (
	"time"

	"github.com/lotuswing/lotuswing/coord/rendezvous"
)

// Target is one start of an endpoint. Another start under the same identity has no limit until
// it names one.
type Target struct {
	ID    string
	Start int64
}

// Ask asks the owner of an endpoint for room, and tells it what the endpoint has said. Package
// gob sends the names of the fields, as of those below.
type Ask struct {
	Target Target
	Want   int  // requests that want to go there; 0 tells alone
	Word   Told // what the endpoint has said
	Probes bool // its answers to probes name the limit, too
}

// Grant is what an owner lets the asker send.
type Grant struct {
	Target  Target
	Permits int
	After   time.Duration // until there may be room for more
	Look    bool          // the asker may probe the endpoint, to hear whether its limit still holds
	Probes  bool          // answers to probes name the limit, as far as the owner knows
	Word    Told
}

// Reply is an owner's answer to some asks.
type Reply struct {
	Taken  bool // the one that was asked is a relay
	Askers int  // balancers that have asked it lately
	Grants []Grant
}

// Relay is a balancer that may own endpoints.
type Relay struct {
	Zone string
	Addr string
}

// Owner returns which relay keeps the bucket of an endpoint: the one of its availability zone,
// and where that has none, one that all balancers name alike. Nobody has to agree: who knows
// other relays for a while asks another one, which begins with an empty bucket.
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
