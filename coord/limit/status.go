package limit

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// Status is what operators see of the limit of one endpoint.
type Status struct {
	PerSecond float64       // the limit in requests per second; if lifted, the last one
	Now       float64       // requests per second that the endpoint may get now; 0 if no limit applies any more
	Age       time.Duration // time since the answer that last named or lifted the limit
	Sent      int64         // requests that this balancer sent under the limit
	Denied    int64         // asks of this balancer that got fewer permits than they wanted
	Alone     bool          // the owner does not reply
	Given     int64         // permits that this balancer has granted as the owner
	Asks      float64       // asks per second that this balancer gets as the owner, an exponentially decaying average
}

// Targets returns the endpoints with an entry, ordered by ID and start.
func (l *Limiter) Targets() []Target {
	return slices.SortedFunc(maps.Keys(l.known), func(x, y Target) int {
		if c := strings.Compare(x.ID, y.ID); c != 0 {
			return c
		}
		return int(min(1, max(-1, x.Start-y.Start)))
	})
}

// Status returns the status of one endpoint; the zero value if it has no entry.
func (l *Limiter) Status(t Target, now time.Time) Status {
	e, ok := l.known[t]
	if !ok {
		return Status{}
	}
	rate, _ := e.observed.RateAt(now)
	return Status{
		PerSecond: e.observed.rate, Now: rate, Age: now.Sub(e.observed.heard), Sent: e.sent, Denied: e.denied,
		Alone: !e.allowance.fallbackAt.IsZero(), Given: e.bucket.granted, Asks: e.bucket.askRateAt(now),
	}
}

// Limited returns the number of endpoints with a limit at now.
func (l *Limiter) Limited(now time.Time) int {
	n := 0
	for _, e := range l.known {
		if _, limited := e.observed.RateAt(now); limited {
			n++
		}
	}
	return n
}
