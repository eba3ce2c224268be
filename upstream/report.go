package upstream

import (
	"net/http"
	"net/textproto"
	"slices"
	"strings"
	"time"

	"github.com/lotuswing/lotuswing/coord/admission"
	"github.com/lotuswing/lotuswing/coord/decimal"
	"github.com/lotuswing/lotuswing/coord/limit"
	"github.com/lotuswing/lotuswing/coord/placement"
)

// Report is all that the status and header of one response, to a request or to a probe, say about
// the endpoint itself. Only a Reader interprets the headers of a response that are about the
// endpoint.
type Report struct {
	SentAt     time.Time // when the request was sent
	ReceivedAt time.Time // when the header of the response arrived; zero if there was no response of the endpoint's own
	Ran        bool      // the endpoint ran the request; false for a probe, and for a status that may mean the opposite (see promisesNotRun)

	Instance  string // ID of the incarnation; empty if the response does not name it
	Load      placement.LoadReport
	Warmup    Warmup
	Limit     limit.Answer
	Admission admission.Signal // whether the endpoint is leaving, and its backoff
	// UnsupportedHeaders names the headers that are unknown, and the headers Dialect.Leaving and Retry-After
	// if a value is malformed.
	UnsupportedHeaders []string
}

// Warmup is the remaining time for which an endpoint is slow after its start, as the endpoint
// reports it.
type Warmup struct {
	Known     bool          // the response has a valid value
	Doubtful  bool          // there is none, and the response is a failure or has one that is malformed
	Remaining time.Duration // 0 once the endpoint is warm, or if Known is false
}

// NamesOtherInstance reports whether the response names an instance other than the given one.
func (r Report) NamesOtherInstance(instance string) bool {
	return r.Instance != "" && r.Instance != instance
}

// IsEmpty reports whether the report is empty: the endpoint itself gave no response.
func (r Report) IsEmpty() bool { return r.ReceivedAt.IsZero() }

// WithoutTimeDependent returns the part of a report that holds even if its age is unknown. An endpoint that
// is leaving never takes that back, and if a backoff is counted from too late a time, it merely
// ends later. Loads, limits and warm-ups hold only for the time of the response and are left out.
func (r Report) WithoutTimeDependent() Report {
	return Report{SentAt: r.SentAt, ReceivedAt: r.ReceivedAt, Ran: r.Ran, Instance: r.Instance, Admission: r.Admission, UnsupportedHeaders: r.UnsupportedHeaders, Limit: limit.Answer{MayLackHeader: true, SentAt: r.SentAt, ReceivedAt: r.ReceivedAt}}
}

const (
	// maxWarmup and maxBackoff are the longest warm-up and backoff that are accepted from an
	// endpoint. A longer warm-up is malformed, a longer backoff is shortened: an endpoint that
	// needs more time can repeat the header.
	maxWarmup  = time.Hour
	maxBackoff = time.Hour
	// leavingValue is the value of the header Dialect.Leaving that says that the endpoint is leaving.
	leavingValue = "1"
	retryAfter   = "Retry-After"
)

// Reader reads reports from responses. It is immutable and safe for concurrent use.
type Reader struct {
	dialect      *Dialect
	knownHeaders map[string]bool // header names, in canonical form
}

// NewReader returns a reader of the headers of a dialect.
func NewReader(d *Dialect) *Reader {
	r := &Reader{dialect: d, knownHeaders: map[string]bool{}}
	for _, name := range slices.Concat(d.responseHeaders(), standardHeaders) {
		r.knownHeaders[textproto.CanonicalMIMEHeaderKey(name)] = true
	}
	return r
}

// responseHeaders returns the names of the headers that the dialect defines for responses. Those
// that it lacks are empty.
func (d *Dialect) responseHeaders() []string {
	return []string{d.RequestID, d.InstanceID, d.NotRun, d.Signature, d.Load, d.Warmup, d.Limit, d.Leaving}
}

// standardHeaders are the HTTP headers that Report.UnsupportedHeaders never names as unknown. They describe
// the response or its connection, for package net/http or the caller. Only Retry-After is about
// the endpoint, and is read here.
var standardHeaders = []string{
	"Accept-Patch", "Accept-Post", "Accept-Ranges", "Age", "Allow", "Alt-Svc", "Cache-Control", "Cache-Status", "Clear-Site-Data",
	"Connection", "Content-Disposition", "Content-Encoding", "Content-Language", "Content-Length", "Content-Location", "Content-Range",
	"Content-Security-Policy", "Content-Type", "Date", "Etag", "Expires", "Keep-Alive", "Last-Modified", "Link", "Location", "Permissions-Policy",
	"Pragma", "Proxy-Authenticate", "Referrer-Policy", retryAfter, "Server", "Server-Timing", "Set-Cookie", "Strict-Transport-Security", "Trailer",
	"Transfer-Encoding", "Upgrade", "Vary", "Via", "Warning", "Www-Authenticate", "X-Content-Type-Options", "X-Frame-Options",
	"Access-Control-Allow-Credentials", "Access-Control-Allow-Headers", "Access-Control-Allow-Methods", "Access-Control-Allow-Origin",
	"Access-Control-Expose-Headers", "Access-Control-Max-Age",
}

// Read returns the report in the status and header of a response, which must be the endpoint's
// own. asked is when the request was sent, and heard when the header of the response arrived.
func (r *Reader) Read(status int, h http.Header, asked, heard time.Time) Report {
	d := r.dialect
	out := Report{SentAt: asked, ReceivedAt: heard, Load: d.ParseLoad(h.Get(d.Load)), Warmup: d.parseWarmup(status, h), Limit: d.parseLimit(h, asked, heard)}
	if d.InstanceID != "" {
		out.Instance = h.Get(d.InstanceID)
	}
	leaving, leavingValid := d.parseLeaving(h)
	backoff, backoffValid := d.parseBackoff(status, h, heard)
	out.Admission = admission.Signal{Leaving: leaving || out.Load.State == placement.Draining, Backoff: backoff}
	if !leavingValid {
		out.UnsupportedHeaders = append(out.UnsupportedHeaders, d.Leaving)
	}
	if !backoffValid {
		out.UnsupportedHeaders = append(out.UnsupportedHeaders, retryAfter)
	}
	for name := range h {
		if !r.knownHeaders[name] {
			out.UnsupportedHeaders = append(out.UnsupportedHeaders, name)
		}
	}
	return out
}

// parseWarmup returns the remaining warm-up of the endpoint. A warm-up longer than maxWarmup counts as
// malformed.
func (d *Dialect) parseWarmup(status int, h http.Header) Warmup {
	if d.Warmup == "" {
		return Warmup{}
	}
	value := strings.TrimSpace(h.Get(d.Warmup))
	if ms, ok := decimal.Parse(value); ok && ms <= float64(maxWarmup.Milliseconds()) {
		return Warmup{Known: true, Remaining: time.Duration(ms * float64(time.Millisecond))}
	}
	return Warmup{Doubtful: value != "" || status != http.StatusOK}
}

// parseLimit returns the endpoint's rate limit, or an Answer with MayLackHeader set if the dialect has no
// header for it.
func (d *Dialect) parseLimit(h http.Header, asked, heard time.Time) limit.Answer {
	if d.Limit == "" {
		return limit.Answer{MayLackHeader: true, SentAt: asked, ReceivedAt: heard}
	}
	rate, said := limit.Parse(h.Values(d.Limit))
	return limit.Answer{Said: said, Rate: rate, SentAt: asked, ReceivedAt: heard}
}

// parseLeaving reports whether the endpoint is leaving: at least one value of the header
// Dialect.Leaving is leavingValue. valid is false if there is any other value.
func (d *Dialect) parseLeaving(h http.Header) (leaving, valid bool) {
	if d.Leaving == "" {
		return false, true
	}
	valid = true
	for _, value := range h.Values(d.Leaving) {
		if strings.TrimSpace(value) == leavingValue {
			leaving = true
		} else {
			valid = false
		}
	}
	return leaving, valid
}

// parseBackoff returns for how long the endpoint wants no requests. Retry-After applies to the
// endpoint with status 503, and with 429 only if the endpoint did not run the request. Any other
// Retry-After comes from the application on the endpoint and is meant for the caller. valid is
// false if a value that applies is malformed.
func (d *Dialect) parseBackoff(status int, h http.Header, heard time.Time) (longest time.Duration, valid bool) {
	appliesToEndpoint := status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests && d.saysNotRun(status, h)
	if !appliesToEndpoint {
		return 0, true
	}
	longest, valid = ParseRetryAfter(h, heard)
	return min(longest, maxBackoff), valid
}

// ParseRetryAfter returns the longest of the times in the Retry-After headers of a response that arrived
// at heard. Malformed values are skipped; valid is false if there is one.
func ParseRetryAfter(h http.Header, heard time.Time) (longest time.Duration, valid bool) {
	date, err := http.ParseTime(h.Get("Date"))
	if err != nil {
		date = heard
	}
	valid = true
	for _, value := range h.Values(retryAfter) {
		after, ok := parseRetryAfterValue(value, date)
		longest, valid = max(longest, after), valid && ok
	}
	return longest, valid
}

// parseRetryAfterValue parses a value of Retry-After: seconds, with or without fractions, limited to
// maxBackoff, or a date. A date is converted to the time since date, the Date of the response, so
// that the clocks of endpoint and balancer are not compared. The result is 0 for a date that has
// passed.
func parseRetryAfterValue(value string, date time.Time) (after time.Duration, ok bool) {
	if seconds, ok := decimal.Parse(value); ok {
		return time.Duration(min(seconds, maxBackoff.Seconds()) * float64(time.Second)), true
	}
	at, err := http.ParseTime(value)
	if err != nil {
		return 0, false
	}
	return max(0, at.Sub(date)), true
}
