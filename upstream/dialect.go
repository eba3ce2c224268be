package upstream

import (
	"strconv"
	"time"

	"github.com/lotuswing/lotuswing/coord/placement"
	"github.com/lotuswing/lotuswing/coord/verdict"
)

// Headers of the product's own dialect.
const (
	RequestIDHeader = "Lotuswing-Request-Id" // an endpoint may echo it
	TimeoutHeader   = "Lotuswing-Timeout"    // remaining time, a Go duration
	LoadHeader      = "Lotuswing-Load"       // load report of the endpoint
	TeamHeader      = "Lotuswing-Team"       // team whose key the caller has sent
	LimitHeader     = "Lotuswing-Limit"      // requests a second that the endpoint takes from all balancers
)

// Dialect is the table of the headers that balancer, callers and endpoints use,
// and of what endpoints promise with them. There are two: Native, and that of the
// operators' platform. An empty name means that there is no such header.
type Dialect struct {
	RequestID       string // identity of a request; an endpoint echoes it
	CallerRequestID bool   // callers choose it, and it is sent on
	EchoRequired    bool   // a response without it belongs to no request

	Timeout       string // remaining time of a request
	FormatTimeout func(time.Duration) string
	ParseTimeout  func(string) (time.Duration, error)
	// FractionalRetryAfter: callers read fractions of a second in Retry-After.
	FractionalRetryAfter bool

	Instance   string // incarnation that a request is meant for; others decline it with status 421
	InstanceID string // incarnation that responds to a probe

	NotRun      string // says that the endpoint did not run the request
	NotRunValue string // the value that says so; empty for any value
	Signature   string // in each response of an endpoint that ran the request to its end
	PlainOnly   bool   // a response with a Content-Encoding is not the endpoint's

	Load      string // load report of the endpoint
	ParseLoad func(string) placement.LoadReport

	// Warmup says in the response to a probe how much longer the endpoint is slow from
	// its start, in whole milliseconds.
	Warmup string

	// Limit says in an answer how many requests a second the endpoint takes from all
	// balancers together, for as long as its answers say so.
	Limit string

	// Leaving says in an answer, with the value 1, that the endpoint will end and wants no new
	// requests. A load report may say the same.
	Leaving string

	// Team names to an endpoint the team whose key the caller has sent, whatever the caller
	// itself sent there.
	Team string
}

// Native returns the product's own dialect.
func Native() Dialect {
	return Dialect{
		RequestID:     RequestIDHeader,
		Timeout:       TimeoutHeader,
		FormatTimeout: func(d time.Duration) string { return d.Round(time.Millisecond).String() },
		ParseTimeout:  time.ParseDuration,
		NotRun:        verdict.Header,
		NotRunValue:   verdict.NotRun.String(),
		Load:          LoadHeader,
		ParseLoad:     ParseLoad,
		Team:          TeamHeader,
		Limit:         LimitHeader,
	}
}

// FormatRetryAfter writes the time after which a caller may come back, at least a
// millisecond.
func (d *Dialect) FormatRetryAfter(after time.Duration) string {
	after = max(after, time.Millisecond)
	if d.FractionalRetryAfter {
		return strconv.FormatFloat(after.Seconds(), 'f', 3, 64)
	}
	return strconv.FormatInt(int64((after+time.Second-1)/time.Second), 10)
}
