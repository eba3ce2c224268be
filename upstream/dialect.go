package upstream

import (
	"net/http"
	"strconv"
	"time"

	"github.com/lotuswing/lotuswing/coord/placement"
	"github.com/lotuswing/lotuswing/coord/verdict"
)

// Dialect is the table of header names that balancer, callers and endpoints
// use, and what endpoints promise about them. An empty name means that there
// is no such header.
type Dialect struct {
	RequestID string // names a request; an endpoint echoes it
	// CallersID: callers name their requests, and that name goes through.
	CallersID bool
	// EchoRequired: an answer without the request's name is nobody's answer.
	EchoRequired bool

	Timeout       string // remaining time of a request
	FormatTimeout func(time.Duration) string
	ParseTimeout  func(string) (time.Duration, error)

	Instance string // incarnation that a request is meant for; others decline it with status 421
	// InstanceID names the incarnation that answers a probe.
	InstanceID string
	NotRun     string // an endpoint's word that it did not run a request
	// NotRunValue is the value that says so; empty for any value.
	NotRunValue string
	// Signature stands in each answer of an endpoint that ran the request to
	// its end.
	Signature string
	// PlainOnly: an answer with a Content-Encoding is not the endpoint's.
	PlainOnly bool

	Load      string // the endpoint's word about its load
	ParseLoad func(string) placement.LoadReport

	// FractionalRetryAfter: callers read fractions of a second.
	FractionalRetryAfter bool
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
	}
}

// refused reports whether an answer says that the endpoint did not run the
// request.
func (d *Dialect) refused(answer *http.Response) bool {
	if d.Instance != "" && answer.StatusCode == http.StatusMisdirectedRequest {
		return true
	}
	if answer.StatusCode < http.StatusInternalServerError && answer.StatusCode != http.StatusTooManyRequests && d.NotRunValue != "" {
		return false
	}
	word := answer.Header.Get(d.NotRun)
	return word != "" && (d.NotRunValue == "" || word == d.NotRunValue)
}

// spoiled says why an answer cannot be the endpoint's own, or is empty.
func (d *Dialect) spoiled(answer *http.Response) string {
	success := answer.StatusCode >= http.StatusOK && answer.StatusCode < http.StatusMultipleChoices
	switch {
	case d.Signature != "" && success && answer.Header.Get(d.Signature) == "":
		return "success without a signature"
	case d.PlainOnly && answer.Header.Get("Content-Encoding") != "":
		return "content encoding that nobody asked for"
	}
	return ""
}

// FormatRetryAfter writes the time after which a caller may come back.
func (d *Dialect) FormatRetryAfter(after time.Duration) string {
	after = max(after, time.Millisecond)
	if d.FractionalRetryAfter {
		return strconv.FormatFloat(after.Seconds(), 'f', 3, 64)
	}
	return strconv.FormatInt(int64((after+time.Second-1)/time.Second), 10)
}

// promisesNotRun reports whether callers take a status for the word that a
// request has not run.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}
