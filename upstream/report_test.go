package upstream_test

import (
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/lotuswing/lotuswing/coord/admission"
	"github.com/lotuswing/lotuswing/internal/rawendpoint"
	"github.com/lotuswing/lotuswing/platform"
	"github.com/lotuswing/lotuswing/upstream"
	"gotest.tools/v3/assert"
)

var heardAt = time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)

// readReport returns the report of a response in the platform's dialect, received at heardAt.
func readReport(status int, h http.Header) upstream.Report {
	d := platform.Dialect()
	return upstream.NewReader(&d).Read(status, h, heardAt.Add(-time.Second), heardAt)
}

// TestLeaving checks that one header with the value 1 says that the endpoint is leaving, whatever
// the status and the other values.
func TestLeaving(t *testing.T) {
	for name, c := range map[string]struct {
		values  []string
		leaving bool
		unread  bool
	}{
		"none":             {},
		"one":              {values: []string{"1"}, leaving: true},
		"blanks around it": {values: []string{" 1 "}, leaving: true},
		"twice":            {values: []string{"1", "1"}, leaving: true},
		"with another":     {values: []string{"0", "1"}, leaving: true, unread: true},
		"zero":             {values: []string{"0"}, unread: true},
		"empty":            {values: []string{""}, unread: true},
		"a word":           {values: []string{"true"}, unread: true},
		"a longer number":  {values: []string{"10"}, unread: true},
		"a long value":     {values: []string{strings.Repeat("1", 8<<10)}, unread: true},
	} {
		for _, status := range []int{200, 404, 429, 500, 503} {
			r := readReport(status, http.Header{"Server-Leaving": c.values})
			assert.Equal(t, r.Admission, admission.Signal{Leaving: c.leaving}, "%s, %d", name, status)
			assert.Equal(t, slices.Contains(r.UnsupportedHeaders, "Server-Leaving"), c.unread, "%s, %d", name, status)
		}
	}
}

// TestBackoff checks that a backoff is read from Retry-After, as seconds or as a date.
func TestBackoff(t *testing.T) {
	date := heardAt.Add(-time.Hour).Format(http.TimeFormat) // the endpoint's clock is an hour behind
	for name, c := range map[string]struct {
		values []string
		want   time.Duration
		unread bool
	}{
		"none":                    {},
		"zero":                    {values: []string{"0"}},
		"a fraction":              {values: []string{"0.3"}, want: 300 * time.Millisecond},
		"seconds":                 {values: []string{"3"}, want: 3 * time.Second},
		"a minute":                {values: []string{"60"}, want: time.Minute},
		"longer than the maximum": {values: []string{"7200"}, want: time.Hour},
		"huge":                    {values: []string{strings.Repeat("9", 60)}, want: time.Hour},
		"a date":                  {values: []string{heardAt.Add(5*time.Second - time.Hour).Format(http.TimeFormat)}, want: 5 * time.Second},
		"a date that has passed":  {values: []string{heardAt.Add(-2 * time.Hour).Format(http.TimeFormat)}},
		"a date far away":         {values: []string{"Fri, 31 Dec 9999 23:59:59 GMT"}, want: time.Hour},
		"two":                     {values: []string{"2", "5"}, want: 5 * time.Second},
		"two, one malformed":      {values: []string{"soon", "5"}, want: 5 * time.Second, unread: true},
		"negative":                {values: []string{"-3"}, unread: true},
		"no number":               {values: []string{"NaN"}, unread: true},
		"infinite":                {values: []string{"Inf"}, unread: true},
		"an exponent":             {values: []string{"1e9"}, unread: true},
		"a list":                  {values: []string{"3, 5"}, unread: true},
		"empty":                   {values: []string{""}, unread: true},
		"long":                    {values: []string{strings.Repeat("3", 8<<10)}, unread: true},
	} {
		r := readReport(503, http.Header{"Date": {date}, "Retry-After": c.values})
		assert.Equal(t, r.Admission, admission.Signal{Backoff: c.want}, name)
		assert.Equal(t, slices.Contains(r.UnsupportedHeaders, "Retry-After"), c.unread, name)
	}
}

// TestBackoffByStatus checks that Retry-After applies to the endpoint with status 503, and with 429
// only if the endpoint did not run the request. Otherwise it is meant for the caller.
func TestBackoffByStatus(t *testing.T) {
	const want = 3 * time.Second
	for _, c := range []struct {
		status int
		notRun bool
		want   time.Duration
	}{{200, false, 0}, {301, false, 0}, {404, false, 0}, {429, false, 0}, {429, true, want}, {500, false, 0}, {503, false, want}, {503, true, want}} {
		h := http.Header{"Retry-After": {"3"}}
		if c.notRun {
			h.Set("Not-Executed", "1")
		}
		assert.Equal(t, readReport(c.status, h).Admission.Backoff, c.want, "%+v", c)
	}
}

// TestWhichResponsesYieldReports checks that every response of the endpoint's own yields a report,
// even one that is not forwarded, and that no other response does.
func TestWhichResponsesYieldReports(t *testing.T) {
	const headers = "Server-Leaving: 1\r\nRetry-After: 2\r\n"
	for name, c := range map[string]struct {
		step rawendpoint.Step
		want bool // a report
	}{
		"response":                    {rawendpoint.Answer(strings.Replace(signedResponse, "Content-Length", headers+"Content-Length", 1)), true},
		"rejected as not run":         {rawendpoint.Answer(strings.Replace(notRunResponse, "Content-Length", headers+"Content-Length", 1)), true},
		"503 without Not-Executed":    {rawendpoint.Answer("HTTP/1.1 503 Busy\r\nRequest-Id: {id}\r\n" + headers + "Content-Length: 0\r\n\r\n"), true},
		"truncated response":          {rawendpoint.Cut(strings.Replace(signedResponse[:len(signedResponse)-2], "Content-Length", headers+"Content-Length", 1)), true},
		"another instance":            {rawendpoint.Answer("HTTP/1.1 421 No\r\nRequest-Id: {id}\r\n" + headers + "Content-Length: 0\r\n\r\n"), false},
		"response to another request": {rawendpoint.Answer("HTTP/1.1 200 OK\r\nRequest-Id: other\r\nResponse-Signature: s\r\n" + headers + "Content-Length: 0\r\n\r\n"), false},
		"success without a signature": {rawendpoint.Answer("HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\n" + headers + "Content-Length: 0\r\n\r\n"), false},
		"no response":                 {rawendpoint.Reset(), false},
	} {
		res := sendTo(platformClient(t, false), scriptedEndpoint(t, c.step).Addr())
		assert.Equal(t, res.Report.Admission.Leaving, c.want, name)
		assert.Equal(t, res.Report.IsEmpty(), !c.want, name)
		res.Close()
	}
}

// TestUndatedReport checks that leaving and backoff remain in a report of unknown age, and that
// load, limit and warm-up do not.
func TestUndatedReport(t *testing.T) {
	r := readReport(503, http.Header{"Server-Leaving": {"1"}, "Retry-After": {"3"}, "Server-Load": {"1,0,3"}, "Server-Limit": {"2"}, "Warmup-Ms": {"9"}}).WithoutTimeDependent()
	assert.Equal(t, r.Admission, admission.Signal{Leaving: true, Backoff: 3 * time.Second})
	assert.Assert(t, !r.Load.Known && !r.Warmup.Known && r.Limit.MayLackHeader)
}

// TestDrainingLoadReportMeansLeaving checks the Native dialect, which has no header for leaving.
func TestDrainingLoadReportMeansLeaving(t *testing.T) {
	d := upstream.Native()
	reader := upstream.NewReader(&d)
	h := http.Header{}
	h.Set(upstream.LoadHeader, "inflight=1, slots=3, state=draining")
	assert.Assert(t, reader.Read(200, h, heardAt, heardAt).Admission.Leaving)
	h.Set(upstream.LoadHeader, "inflight=1, slots=3, state=live")
	assert.Assert(t, !reader.Read(200, h, heardAt, heardAt).Admission.Leaving)
}

// FuzzReport checks that the values of a report are within bounds whatever an endpoint sends, and
// that only Server-Leaving with the value 1 says that it is leaving.
func FuzzReport(f *testing.F) {
	f.Add(503, "3", "1", "2.5", "1,0,3,100", "1500", "")
	f.Add(429, "Fri, 31 Dec 9999 23:59:59 GMT", "0", "NaN", "a,b", "-1", "Sun, 01 Mar 2026 12:00:00 GMT")
	f.Add(200, "\x00", " 1", "1e9", "", "9999999999999999999", "tomorrow")
	f.Fuzz(func(t *testing.T, status int, retryAfter, leaving, limit, load, warmup, date string) {
		r := readReport(status, http.Header{
			"Retry-After": {retryAfter}, "Server-Leaving": {leaving}, "Server-Limit": {limit}, "Server-Load": {load}, "Warmup-Ms": {warmup}, "Date": {date},
		})
		assert.Assert(t, r.Admission.Backoff >= 0 && r.Admission.Backoff <= time.Hour, "%v", r.Admission.Backoff)
		assert.Assert(t, r.Admission.Backoff == 0 || status == http.StatusServiceUnavailable, "%d", status)
		assert.Equal(t, r.Admission.Leaving, strings.TrimSpace(leaving) == "1")
		assert.Assert(t, r.Warmup.Remaining >= 0 && r.Warmup.Remaining <= time.Hour, "%v", r.Warmup.Remaining)
		assert.Assert(t, r.Limit.Rate >= 0, "%v", r.Limit.Rate)
		assert.Assert(t, r.Load.InFlight >= 0 && r.Load.Waiting >= 0 && r.Load.Slots >= 0, "%+v", r.Load)
	})
}

// BenchmarkRead reads the header of a typical response.
func BenchmarkRead(b *testing.B) {
	d := platform.Dialect()
	reader := upstream.NewReader(&d)
	h := http.Header{
		"Request-Id": {"9c41d07be2a35f68"}, "Response-Signature": {"3e1b.07.5a2"}, "Server-Load": {"3,0,8,100"}, "Content-Length": {"512"},
		"Content-Type": {"application/json"}, "Date": {"Sun, 01 Mar 2026 12:00:00 GMT"},
	}
	b.ReportAllocs()
	for b.Loop() {
		reader.Read(200, h, heardAt, heardAt)
	}
}
