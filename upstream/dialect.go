package upstream

import (
	"strconv"
	"time"

	"github.com/lotuswing/lotuswing/coord/placement"
	"github.com/lotuswing/lotuswing/coord/verdict"
)

// Header names of the product's own dialect, Native.
const (
	RequestIDHeader = "Lotuswing-Request-Id" // ID of a request; an endpoint may echo it
	TimeoutHeader   = "Lotuswing-Timeout"    // time left until the deadline of a request, as a Go duration
	LoadHeader      = "Lotuswing-Load"       // load report of the endpoint
	TeamHeader      = "Lotuswing-Team"       // team whose key the caller sent
	LimitHeader     = "Lotuswing-Limit"      // requests per second that the endpoint accepts from all balancers together
)

// Dialect holds the names of the headers that balancers, callers and endpoints use, and what
// endpoints guarantee with them. There are two dialects: Native, and that of the operators'
// platform. An empty name means that the dialect has no such header.
type Dialect struct {
	RequestID       string // ID of a request; an endpoint echoes it in the response
	CallerRequestID bool   // callers choose the ID, and it is forwarded
	EchoRequired    bool   // a response without the ID is taken for another request's

	Timeout       string // time left until the deadline of a request
	FormatTimeout func(time.Duration) string
	ParseTimeout  func(string) (time.Duration, error)
	// FractionalRetryAfter says that callers accept fractions of a second in Retry-After.
	FractionalRetryAfter bool

	// An instance is one incarnation of an endpoint: its process from start to stop.
	Instance   string // in a request: ID of the instance that it is meant for; others reject it with status 421
	InstanceID string // in a response to a probe: ID of the instance that responds

	NotRun      string // in a response: the endpoint did not run the request
	NotRunValue string // value of NotRun with that meaning; empty if any value has it
	Signature   string // in each response to a request that the endpoint completed; checked with status 2xx
	PlainOnly   bool   // a response with a Content-Encoding is not the endpoint's

	Load      string // load report of the endpoint
	ParseLoad func(string) placement.LoadReport

	// Warmup says in the response to a probe for how much longer the endpoint is slow after its
	// start, in whole milliseconds.
	Warmup string

	// Limit says in a response how many requests per second the endpoint accepts from all
	// balancers together. It holds for as long as responses carry it.
	Limit string

	// Leaving says in a response, with the value 1, that the endpoint is about to stop and wants
	// no new requests. A load report with state draining says the same.
	Leaving string

	// Team tells an endpoint the team whose key the caller sent. It replaces any value that the
	// caller set itself.
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

// FormatRetryAfter returns a Retry-After value in seconds: at least 0.001 where callers accept
// fractions, and otherwise rounded up to whole seconds.
func (d *Dialect) FormatRetryAfter(after time.Duration) string {
	after = max(after, time.Millisecond)
	if d.FractionalRetryAfter {
		return strconv.FormatFloat(after.Seconds(), 'f', 3, 64)
	}
	return strconv.FormatInt(int64((after+time.Second-1)/time.Second), 10)
}
