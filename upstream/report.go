package upstream

import (
	"net/http"
	"net/textproto"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/lotuswing/lotuswing/coord/admission"
	"github.com/lotuswing/lotuswing/coord/decimal"
	"github.com/lotuswing/lotuswing/coord/limit"
	"github.com/lotuswing/lotuswing/coord/placement"
)

// Report is all that one answer of an endpoint says of the endpoint itself, to a request or to a
// probe. Nothing else reads these headers.
type Report struct {
	Asked time.Time // when the request was sent
	Heard time.Time // when the head of the answer came; zero for no answer of the endpoint's own
	Ran   bool      // it is the answer to a request that the endpoint ran

	Instance string // identity of the incarnation; empty where it is not told
	Load     placement.LoadReport
	Warmup   Warmup
	Limit    limit.Answer
	Word     admission.Signal
	// Unread names headers that nothing here reads, or with a value that cannot be read.
	Unread []string
}

// Warmup is how much longer an endpoint is slow from its start, as it says itself.
type Warmup struct {
	Told bool
	Left time.Duration
}

// OfAnother reports whether the answer names another instance than the one that was asked.
func (r Report) OfAnother(instance string) bool { return r.Instance != "" && r.Instance != instance }

// None reports whether there was no answer that the endpoint itself gave.
func (r Report) None() bool { return r.Heard.IsZero() }

// Undated returns what still holds of a report where nobody knows how old it is: an endpoint
// that leaves does so for good, and a backoff counted from a later time ends later. Loads,
// limits and warm-ups are as of their time.
func (r Report) Undated() Report {
	return Report{Asked: r.Asked, Heard: r.Heard, Ran: r.Ran, Instance: r.Instance, Word: r.Word, Unread: r.Unread, Limit: limit.Answer{MayLackHeader: true, Asked: r.Asked, Heard: r.Heard}}
}

const (
	// longestWarmup and longestBackoff bound what is believed of a warm-up and of a backoff. An
	// endpoint that wants a longer one says so again.
	longestWarmup  = time.Hour
	longestBackoff = time.Hour
	// leavingValue is the value of the header that says that an endpoint leaves.
	leavingValue = "1"
	retryAfter   = "Retry-After"
)

// Reader reads what answers say of their endpoints. It is an immutable value, safe for concurrent
// use.
type Reader struct {
	dialect *Dialect
	known   map[string]bool // header names, in canonical form
}

// NewReader returns a reader of a dialect's headers.
func NewReader(d *Dialect) *Reader {
	r := &Reader{dialect: d, known: map[string]bool{}}
	for _, name := range slices.Concat(d.answerHeaders(), standardHeaders) {
		r.known[textproto.CanonicalMIMEHeaderKey(name)] = true
	}
	return r
}

// answerHeaders returns the names of the headers that the dialect has in answers. Some are
// empty.
func (d *Dialect) answerHeaders() []string {
	return []string{d.RequestID, d.InstanceID, d.NotRun, d.Signature, d.Load, d.Warmup, d.Limit, d.Leaving}
}

// standardHeaders are those of HTTP that describe the response or its connection, and not the
// endpoint: package net/http or the caller reads them. Retry-After describes the endpoint.
var standardHeaders = []string{
	"Accept-Patch", "Accept-Post", "Accept-Ranges", "Age", "Allow", "Alt-Svc", "Cache-Control", "Cache-Status", "Clear-Site-Data",
	"Connection", "Content-Disposition", "Content-Encoding", "Content-Language", "Content-Length", "Content-Location", "Content-Range",
	"Content-Security-Policy", "Content-Type", "Date", "Etag", "Expires", "Keep-Alive", "Last-Modified", "Link", "Location", "Permissions-Policy",
	"Pragma", "Proxy-Authenticate", "Referrer-Policy", retryAfter, "Server", "Server-Timing", "Set-Cookie", "Strict-Transport-Security", "Trailer",
	"Transfer-Encoding", "Upgrade", "Vary", "Via", "Warning", "Www-Authenticate", "X-Content-Type-Options", "X-Frame-Options",
	"Access-Control-Allow-Credentials", "Access-Control-Allow-Headers", "Access-Control-Allow-Methods", "Access-Control-Allow-Origin",
	"Access-Control-Expose-Headers", "Access-Control-Max-Age",
}

// Read reads the head of an answer of the endpoint's own to a request that was sent at one time
// and whose answer came at another.
func (r *Reader) Read(status int, h http.Header, asked, heard time.Time) Report {
	d := r.dialect
	out := Report{Asked: asked, Heard: heard, Load: d.ParseLoad(h.Get(d.Load)), Warmup: d.warmup(h), Limit: d.limitOf(h, asked, heard)}
	if d.InstanceID != "" {
		out.Instance = h.Get(d.InstanceID)
	}
	leaving, leavingRead := d.leaving(h)
	backoff, backoffRead := d.backoff(status, h, heard)
	out.Word = admission.Signal{Leaving: leaving || out.Load.State == placement.Draining, Backoff: backoff}
	if !leavingRead {
		out.Unread = append(out.Unread, d.Leaving)
	}
	if !backoffRead {
		out.Unread = append(out.Unread, retryAfter)
	}
	for name := range h {
		if !r.known[name] {
			out.Unread = append(out.Unread, name)
		}
	}
	return out
}

// warmup reads how much longer the endpoint warms up. What cannot be read is not told.
func (d *Dialect) warmup(h http.Header) Warmup {
	if d.Warmup == "" {
		return Warmup{}
	}
	ms, err := strconv.ParseInt(h.Get(d.Warmup), 10, 64)
	if err != nil || ms < 0 || ms > longestWarmup.Milliseconds() {
		return Warmup{}
	}
	return Warmup{Told: true, Left: time.Duration(ms) * time.Millisecond}
}

// limitOf reads the endpoint's limit.
func (d *Dialect) limitOf(h http.Header, asked, heard time.Time) limit.Answer {
	if d.Limit == "" {
		return limit.Answer{MayLackHeader: true, Asked: asked, Heard: heard}
	}
	rate, said := limit.Parse(h.Values(d.Limit))
	return limit.Answer{Said: said, Rate: rate, Asked: asked, Heard: heard}
}

// leaving reads whether the endpoint leaves: any value that says so does. read is false where
// there is another value.
func (d *Dialect) leaving(h http.Header) (leaving, read bool) {
	if d.Leaving == "" {
		return false, true
	}
	read = true
	for _, value := range h.Values(d.Leaving) {
		if strings.TrimSpace(value) == leavingValue {
			leaving = true
		} else {
			read = false
		}
	}
	return leaving, read
}

// backoff reads for how long the endpoint wants no requests. With status 503 Retry-After speaks
// for the endpoint, with 429 only if the endpoint refused the request unrun: otherwise it is its
// application's word to the caller. read is false where there is a value that cannot be read.
func (d *Dialect) backoff(status int, h http.Header, heard time.Time) (longest time.Duration, read bool) {
	ofEndpoint := status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests && d.refused(status, h)
	if !ofEndpoint {
		return 0, true
	}
	longest, read = RetryAfter(h, heard)
	return min(longest, longestBackoff), read
}

// RetryAfter reads the header of that name in an answer that came at a time: the longest of the times
// that can be read; read is false where one cannot.
func RetryAfter(h http.Header, heard time.Time) (longest time.Duration, read bool) {
	date, err := http.ParseTime(h.Get("Date"))
	if err != nil {
		date = heard
	}
	read = true
	for _, value := range h.Values(retryAfter) {
		after, ok := parseRetryAfter(value, date)
		longest, read = max(longest, after), read && ok
	}
	return longest, read
}

// parseRetryAfter reads a value of Retry-After: seconds, with or without fractions, or a date,
// which counts from the date of the answer, so that no clocks are compared.
func parseRetryAfter(value string, date time.Time) (after time.Duration, ok bool) {
	if seconds, ok := decimal.Parse(value); ok {
		return time.Duration(min(seconds, longestBackoff.Seconds()) * float64(time.Second)), true
	}
	at, err := http.ParseTime(value)
	if err != nil {
		return 0, false
	}
	return max(0, at.Sub(date)), true
}
