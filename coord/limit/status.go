package limit

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// Status is what is known of an endpoint's limit, for operators.
type Status struct {
	PerSecond float64       // that it names or, where it is lifted, named
	Now       float64       // requests a second that it gets; 0 where there is no limit any more
	Age       time.Duration // of its last word
	Sent      int64         // requests of this balancer under the limit
	Denied    int64         // asks of this balancer in vain
	Alone     bool          // its owner does not answer
	Given     int64         // requests that this balancer has let go as its owner
	Asks      float64       // a second, of the last seconds, as its owner
}

// Targets returns the endpoints of which anything is known, in order.
func (b *Book) Targets() []Target {
	return slices.SortedFunc(maps.Keys(b.known), func(x, y Target) int {
		if c := strings.Compare(x.ID, y.ID); c != 0 {
			return c
		}
		return int(min(1, max(-1, x.Start-y.Start)))
	})
}

// Status returns what is known of one endpoint.
func (b *Book) Status(t Target, now time.Time) Status {
	e, ok := b.known[t]
	if !ok {
		return Status{}
	}
	rate, _ := e.word.RateAt(now)
	return Status{
		PerSecond: e.word.rate, Now: rate, Age: now.Sub(e.word.heard), Sent: e.sent, Denied: e.denied,
		Alone: !e.account.opens.IsZero(), Given: e.bucket.given, Asks: e.bucket.asksAt(now),
	}
}

// Limited returns how many endpoints have a limit now.
func (b *Book) Limited(now time.Time) int {
	n := 0
	for _, e := range b.known {
		if _, limited := e.word.RateAt(now); limited {
			n++
		}
	}
	return n
}
