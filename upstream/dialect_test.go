package upstream_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/lotuswing/lotuswing/coord/reason"
	"github.com/lotuswing/lotuswing/coord/verdict"
	"github.com/lotuswing/lotuswing/internal/rawendpoint"
	"github.com/lotuswing/lotuswing/platform"
	"github.com/lotuswing/lotuswing/upstream"
	"gotest.tools/v3/assert"
)

const (
	signedResponse = "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Signature: s\r\nServer-Load: 1,0,3,100\r\nContent-Length: 5\r\n\r\nwhole"
	notRunResponse = "HTTP/1.1 503 Busy\r\nRequest-Id: {id}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
)

func scriptedEndpoint(t *testing.T, steps ...rawendpoint.Step) *rawendpoint.Scripted {
	t.Helper()
	e, err := rawendpoint.NewScripted(platform.Dialect().RequestID, steps...)
	assert.NilError(t, err)
	t.Cleanup(e.Close)
	return e
}

func platformClient(t *testing.T, fresh bool) *upstream.Client {
	t.Helper()
	d := platform.Dialect()
	c := upstream.NewClient(upstream.Options{Dialect: &d, NewConnections: fresh})
	t.Cleanup(c.CloseIdle)
	return c
}

// sendTo sends a GET request with ID r1, meant for instance i-1, with a timeout of 5 s.
func sendTo(c *upstream.Client, addr string) upstream.Result {
	in, err := http.NewRequest(http.MethodGet, "http://caller/x/%2e?q=1", nil)
	if err != nil {
		panic(err)
	}
	return c.Send(context.Background(), upstream.Request{
		ID: "r1", Addr: addr, Incoming: in, Body: upstream.NewBody(strings.NewReader(""), 1<<10),
		Deadline: time.Now().Add(5 * time.Second), Instance: "i-1", BufferBytes: 1 << 10,
	})
}

// TestVerdictOfResponse checks the verdict and reason of each kind of response in the platform's
// dialect.
func TestVerdictOfResponse(t *testing.T) {
	cases := []struct {
		name    string
		step    rawendpoint.Step
		verdict verdict.Verdict
		reason  reason.Code
	}{
		{"signed response", rawendpoint.Answer(signedResponse), verdict.Ran, ""},
		{"rejected as not run", rawendpoint.Answer(notRunResponse), verdict.NotRun, reason.EndpointRefused},
		{"rejected as not run with 429", rawendpoint.Answer(strings.Replace(notRunResponse, "503 Busy", "429 Busy", 1)), verdict.NotRun, reason.EndpointRefused},
		{"another instance", rawendpoint.Answer("HTTP/1.1 421 No\r\nRequest-Id: {id}\r\nContent-Length: 0\r\n\r\n"), verdict.NotRun, reason.EndpointReplaced},
		{"503 without Not-Executed", rawendpoint.Answer("HTTP/1.1 503 Busy\r\nRequest-Id: {id}\r\nContent-Length: 0\r\n\r\n"), verdict.MayHaveRun, reason.ResponseUnknown},
		{"429 without Not-Executed", rawendpoint.Answer("HTTP/1.1 429 Busy\r\nRequest-Id: {id}\r\nContent-Length: 0\r\n\r\n"), verdict.MayHaveRun, reason.ResponseUnknown},
		{"signed 500", rawendpoint.Answer("HTTP/1.1 500 Error\r\nRequest-Id: {id}\r\nResponse-Signature: s\r\nContent-Length: 0\r\n\r\n"), verdict.Ran, ""},
		{"response to another request", rawendpoint.Answer(strings.ReplaceAll(signedResponse, "{id}", "r2")), verdict.MayHaveRun, reason.ResponseMismatched},
		{"rejection of another request", rawendpoint.Answer(strings.ReplaceAll(notRunResponse, "{id}", "r2")), verdict.MayHaveRun, reason.ResponseMismatched},
		{"response without a request ID", rawendpoint.Answer(strings.Replace(signedResponse, "Request-Id: {id}\r\n", "", 1)), verdict.MayHaveRun, reason.ResponseMismatched},
		{"success without a signature", rawendpoint.Answer(strings.Replace(signedResponse, "Response-Signature: s\r\n", "", 1)), verdict.MayHaveRun, reason.ResponseInvalid},
		{"encoded body", rawendpoint.Answer(strings.Replace(signedResponse, "Content-Length", "Content-Encoding: gzip\r\nContent-Length", 1)), verdict.MayHaveRun, reason.ResponseInvalid},
		{"truncated body", rawendpoint.Cut(signedResponse[:len(signedResponse)-2]), verdict.MayHaveRun, reason.ResponseTruncated},
		{"truncated chunked body", rawendpoint.Cut("HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n"), verdict.MayHaveRun, reason.ResponseTruncated},
		{"body without length, ended by the close", rawendpoint.Cut(strings.Replace(signedResponse, "Content-Length: 5\r\n", "", 1)), verdict.Ran, ""},
		{"not an HTTP response", rawendpoint.Cut("garbage\r\n\r\n"), verdict.MayHaveRun, reason.ResponseUnknown},
		{"reset connection", rawendpoint.Reset(), verdict.MayHaveRun, reason.ResponseUnknown},
	}
	for _, c := range cases {
		res := sendTo(platformClient(t, false), scriptedEndpoint(t, c.step).Addr())
		assert.Equal(t, res.Verdict, c.verdict, c.name)
		assert.Equal(t, res.Reason, c.reason, c.name)
		if c.verdict == verdict.Ran && c.reason == "" && res.Response.StatusCode == http.StatusOK {
			raw, err := io.ReadAll(res.Response.Body)
			assert.NilError(t, err)
			assert.Equal(t, string(raw), "whole", c.name)
			assert.Assert(t, res.Buffered, c.name)
		}
		res.Close()
	}
}

// TestLongResponseIsNotBuffered checks that a body longer than BufferBytes is streamed from its
// start, with or without a Content-Length.
func TestLongResponseIsNotBuffered(t *testing.T) {
	long := strings.Repeat("x", 3000)
	for _, framing := range []string{"Content-Length: 3000\r\n", ""} {
		e := scriptedEndpoint(t, rawendpoint.Cut("HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Signature: s\r\n"+framing+"\r\n"+long))
		res := sendTo(platformClient(t, false), e.Addr())
		assert.Assert(t, !res.Buffered)
		raw, err := io.ReadAll(res.Response.Body)
		assert.NilError(t, err)
		assert.Equal(t, string(raw), long)
		res.Close()
	}
}

// TestRequestIsForwardedUnchanged checks that path, query and Host are forwarded as they came, and
// that the remaining time and the expected instance are added.
func TestRequestIsForwardedUnchanged(t *testing.T) {
	e := scriptedEndpoint(t, rawendpoint.Answer(signedResponse))
	res := sendTo(platformClient(t, false), e.Addr())
	res.Close()
	got := e.Requests()[0]
	assert.Equal(t, got.RequestURI, "/x/%2e?q=1")
	assert.Equal(t, got.Host, "caller")
	assert.Equal(t, got.Header.Get("Request-Id"), "r1")
	assert.Equal(t, got.Header.Get("Expected-Instance"), "i-1")
	left, err := platform.Dialect().ParseTimeout(got.Header.Get("Deadline-Ms"))
	assert.NilError(t, err)
	assert.Assert(t, left > 0 && left <= 5*time.Second)
}

// TestFreshConnections checks that each request opens a connection if Options.NewConnections is set, and
// that requests reuse one otherwise.
func TestFreshConnections(t *testing.T) {
	for _, fresh := range []bool{false, true} {
		e := scriptedEndpoint(t, rawendpoint.Answer(signedResponse))
		c := platformClient(t, fresh)
		for range 3 {
			res := sendTo(c, e.Addr())
			res.Close()
		}
		want := 1
		if fresh {
			want = 3
		}
		assert.Equal(t, e.Connections(), want)
	}
}

// TestProbe reads an endpoint's load and instance ID, and fails once the endpoint is closed.
func TestProbe(t *testing.T) {
	e := scriptedEndpoint(t, rawendpoint.Answer("HTTP/1.1 200 OK\r\nInstance-Id: i-7\r\nServer-Load: 2,1,3,500\r\nContent-Length: 0\r\n\r\n"))
	got, err := platformClient(t, false).Probe(context.Background(), e.Addr(), "/health", 5*time.Second)
	assert.NilError(t, err)
	assert.Equal(t, got.Instance, "i-7")
	assert.Equal(t, got.Load.Pace, 5.0)
	assert.Equal(t, got.Load.Waiting, 1)
	assert.Equal(t, e.Requests()[0].URL.Path, "/health")
	e.Close()
	_, err = platformClient(t, false).Probe(context.Background(), e.Addr(), "/health", 5*time.Second)
	assert.ErrorContains(t, err, "probe")
}

// TestProbeReadsWarmup checks that a warm-up is read from a valid value, and that a malformed,
// negative or too long one is ignored.
func TestProbeReadsWarmup(t *testing.T) {
	for header, want := range map[string]upstream.Warmup{
		"Warmup-Ms: 1500\r\n":                 {Known: true, Remaining: 1500 * time.Millisecond},
		"Warmup-Ms: 0\r\n":                    {Known: true},
		"Warmup-Ms: 1500.5\r\n":               {Known: true, Remaining: 1500500 * time.Microsecond},
		"":                                    {},
		"Warmup-Ms: soon\r\n":                 {Doubtful: true},
		"Warmup-Ms: -3\r\n":                   {Doubtful: true},
		"Warmup-Ms: 99999999999999999999\r\n": {Doubtful: true},
		"Warmup-Ms: 9000000000000000000\r\n":  {Doubtful: true},
	} {
		e := scriptedEndpoint(t, rawendpoint.Answer("HTTP/1.1 200 OK\r\n"+header+"Content-Length: 0\r\n\r\n"))
		got, err := platformClient(t, false).Probe(context.Background(), e.Addr(), "/health", 5*time.Second)
		assert.NilError(t, err)
		assert.Equal(t, got.Warmup, want, header)
	}
}

// TestLongIdleConnectionIsNotUsed checks that a connection that is new or was idle for less than
// MaxIdle is used, that nothing is sent on one that was idle for longer, and that the verdict is
// then NotRun.
func TestLongIdleConnectionIsNotUsed(t *testing.T) {
	e := scriptedEndpoint(t, rawendpoint.Answer(signedResponse))
	c := platformClient(t, false)
	send := func(mostIdle time.Duration) upstream.Result {
		in, err := http.NewRequest(http.MethodPost, "http://caller/x/", nil)
		assert.NilError(t, err)
		return c.Send(context.Background(), upstream.Request{
			ID: "r1", Addr: e.Addr(), Incoming: in, Body: upstream.NewBody(strings.NewReader("petition"), 1<<10),
			Deadline: time.Now().Add(5 * time.Second), BufferBytes: 1 << 10, MaxIdle: mostIdle,
		})
	}
	first := send(time.Nanosecond)
	assert.Equal(t, first.Verdict, verdict.Ran, "a new connection was never idle")
	first.Close()
	second := send(time.Hour)
	assert.Equal(t, second.Verdict, verdict.Ran)
	assert.Assert(t, !second.IdleTooLong)
	second.Close()
	assert.Equal(t, e.Connections(), 1)
	time.Sleep(time.Millisecond)
	third := send(time.Nanosecond)
	third.Close()
	assert.Assert(t, third.IdleTooLong || e.Connections() == 2, "sent on a connection that had been idle for too long")
	if third.IdleTooLong {
		assert.Equal(t, third.Verdict, verdict.NotRun)
		assert.Equal(t, len(e.Requests()), 2)
	}
}

// TestWithdrawnRequestIsNotSent checks that nothing is sent if Admitted returns false once there is
// a connection, be it new or reused.
func TestWithdrawnRequestIsNotSent(t *testing.T) {
	e := scriptedEndpoint(t, rawendpoint.Answer(signedResponse))
	c := platformClient(t, false)
	send := func(admitted bool) upstream.Result {
		in, err := http.NewRequest(http.MethodPost, "http://caller/x/", nil)
		assert.NilError(t, err)
		return c.Send(context.Background(), upstream.Request{
			ID: "r1", Addr: e.Addr(), Incoming: in, Body: upstream.NewBody(strings.NewReader("petition"), 1<<10),
			Deadline: time.Now().Add(5 * time.Second), BufferBytes: 1 << 10, Admitted: func() bool { return admitted },
		})
	}
	for _, earlierRequests := range []int{0, 1, 2} {
		res := send(false)
		assert.Equal(t, res.Verdict, verdict.NotRun)
		assert.Equal(t, res.Reason, reason.Withdrawn)
		assert.Assert(t, res.Withdrawn)
		res.Close()
		assert.Equal(t, len(e.Requests()), earlierRequests)
		sent := send(true)
		assert.Equal(t, sent.Verdict, verdict.Ran)
		sent.Close()
	}
}
