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

// read reads an answer in the platform's dialect.
func read(status int, h http.Header) upstream.Report {
	d := platform.Dialect()
	return upstream.NewReader(&d).Read(status, h, heardAt.Add(-time.Second), heardAt)
}

// TestLeaving is said by the value 1, in any of several headers, whatever the status.
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
			r := read(status, http.Header{"Server-Leaving": c.values})
			assert.Equal(t, r.Word, admission.Signal{Leaving: c.leaving}, "%s, %d", name, status)
			assert.Equal(t, slices.Contains(r.Unread, "Server-Leaving"), c.unread, "%s, %d", name, status)
		}
	}
}

// TestBackoff is read from Retry-After, as seconds or as a date.
func TestBackoff(t *testing.T) {
	date := heardAt.Add(-time.Hour).Format(http.TimeFormat) // of a clock that is an hour late
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
		"longer than is believed": {values: []string{"7200"}, want: time.Hour},
		"huge":                    {values: []string{strings.Repeat("9", 60)}, want: time.Hour},
		"a date":                  {values: []string{heardAt.Add(5*time.Second - time.Hour).Format(http.TimeFormat)}, want: 5 * time.Second},
		"a date that has passed":  {values: []string{heardAt.Add(-2 * time.Hour).Format(http.TimeFormat)}},
		"a date far away":         {values: []string{"Fri, 31 Dec 9999 23:59:59 GMT"}, want: time.Hour},
		"two":                     {values: []string{"2", "5"}, want: 5 * time.Second},
		"two, one unreadable":     {values: []string{"soon", "5"}, want: 5 * time.Second, unread: true},
		"negative":                {values: []string{"-3"}, unread: true},
		"no number":               {values: []string{"NaN"}, unread: true},
		"infinite":                {values: []string{"Inf"}, unread: true},
		"an exponent":             {values: []string{"1e9"}, unread: true},
		"a list":                  {values: []string{"3, 5"}, unread: true},
		"empty":                   {values: []string{""}, unread: true},
		"long":                    {values: []string{strings.Repeat("3", 8<<10)}, unread: true},
	} {
		r := read(503, http.Header{"Date": {date}, "Retry-After": c.values})
		assert.Equal(t, r.Word, admission.Signal{Backoff: c.want}, name)
		assert.Equal(t, slices.Contains(r.Unread, "Retry-After"), c.unread, name)
	}
}

// TestWhoseBackoff: with status 503 it is the endpoint's, with 429 only where the endpoint did
// not run the request, and with others it is for the caller.
func TestWhoseBackoff(t *testing.T) {
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
		assert.Equal(t, read(c.status, h).Word.Backoff, c.want, "%+v", c)
	}
}

// TestWhichAnswersSpeakForTheEndpoint: all of its own, also those that are not passed on.
func TestWhichAnswersSpeakForTheEndpoint(t *testing.T) {
	const word = "Server-Leaving: 1\r\nRetry-After: 2\r\n"
	for name, c := range map[string]struct {
		step  rawendpoint.Step
		speak bool
	}{
		"its own answer":                      {rawendpoint.Answer(strings.Replace(signed, "Content-Length", word+"Content-Length", 1)), true},
		"it declined":                         {rawendpoint.Answer(strings.Replace(declined, "Content-Length", word+"Content-Length", 1)), true},
		"503 that leaves open whether it ran": {rawendpoint.Answer("HTTP/1.1 503 Busy\r\nRequest-Id: {id}\r\n" + word + "Content-Length: 0\r\n\r\n"), true},
		"its answer, cut short":               {rawendpoint.Cut(strings.Replace(signed[:len(signed)-2], "Content-Length", word+"Content-Length", 1)), true},
		"another instance":                    {rawendpoint.Answer("HTTP/1.1 421 No\r\nRequest-Id: {id}\r\n" + word + "Content-Length: 0\r\n\r\n"), false},
		"an answer of another request":        {rawendpoint.Answer("HTTP/1.1 200 OK\r\nRequest-Id: other\r\nResponse-Signature: s\r\n" + word + "Content-Length: 0\r\n\r\n"), false},
		"success without a signature":         {rawendpoint.Answer("HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\n" + word + "Content-Length: 0\r\n\r\n"), false},
		"no answer":                           {rawendpoint.Reset(), false},
	} {
		res := sendTo(platformClient(t, false), scriptedEndpoint(t, c.step).Addr())
		assert.Equal(t, res.Report.Word.Leaving, c.speak, name)
		assert.Equal(t, res.Report.None(), !c.speak, name)
		res.Close()
	}
}

// TestUndatedReport: that the endpoint leaves, or wants no requests, holds however old the answer
// is; its load, its limit and its warm-up do not.
func TestUndatedReport(t *testing.T) {
	r := read(503, http.Header{"Server-Leaving": {"1"}, "Retry-After": {"3"}, "Server-Load": {"1,0,3"}, "Server-Limit": {"2"}, "Warmup-Ms": {"9"}}).Undated()
	assert.Equal(t, r.Word, admission.Signal{Leaving: true, Backoff: 3 * time.Second})
	assert.Assert(t, !r.Load.Known && !r.Warmup.Told && r.Limit.MayLackHeader)
}

// TestLoadReportSaysLeaving in the product's own dialect, which has no header of its own for it.
func TestLoadReportSaysLeaving(t *testing.T) {
	d := upstream.Native()
	reader := upstream.NewReader(&d)
	h := http.Header{}
	h.Set(upstream.LoadHeader, "inflight=1, slots=3, state=draining")
	assert.Assert(t, reader.Read(200, h, heardAt, heardAt).Word.Leaving)
	h.Set(upstream.LoadHeader, "inflight=1, slots=3, state=live")
	assert.Assert(t, !reader.Read(200, h, heardAt, heardAt).Word.Leaving)
}

// FuzzReport: whatever an endpoint sends, what is believed of it is bounded, and nothing but the
// word that says so makes it leave.
func FuzzReport(f *testing.F) {
	f.Add(503, "3", "1", "2.5", "1,0,3,100", "1500", "")
	f.Add(429, "Fri, 31 Dec 9999 23:59:59 GMT", "0", "NaN", "a,b", "-1", "Sun, 01 Mar 2026 12:00:00 GMT")
	f.Add(200, "\x00", " 1", "1e9", "", "9999999999999999999", "tomorrow")
	f.Fuzz(func(t *testing.T, status int, retryAfter, leaving, limit, load, warmup, date string) {
		r := read(status, http.Header{
			"Retry-After": {retryAfter}, "Server-Leaving": {leaving}, "Server-Limit": {limit}, "Server-Load": {load}, "Warmup-Ms": {warmup}, "Date": {date},
		})
		assert.Assert(t, r.Word.Backoff >= 0 && r.Word.Backoff <= time.Hour, "%v", r.Word.Backoff)
		assert.Assert(t, r.Word.Backoff == 0 || status == http.StatusServiceUnavailable, "%d", status)
		assert.Equal(t, r.Word.Leaving, strings.TrimSpace(leaving) == "1")
		assert.Assert(t, r.Warmup.Left >= 0 && r.Warmup.Left <= time.Hour, "%v", r.Warmup.Left)
		assert.Assert(t, r.Limit.Rate >= 0, "%v", r.Limit.Rate)
		assert.Assert(t, r.Load.InFlight >= 0 && r.Load.Waiting >= 0 && r.Load.Slots >= 0, "%+v", r.Load)
	})
}

// BenchmarkRead reads the head of a usual answer.
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
