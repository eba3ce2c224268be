package upstream_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/lotuswing/lotuswing/coord/verdict"
	"github.com/lotuswing/lotuswing/internal/rawendpoint"
	"github.com/lotuswing/lotuswing/upstream"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

const patience = 300 * time.Millisecond

func endpoint(t interface {
	assert.TestingT
	Cleanup(func())
},
) *rawendpoint.Faulty {
	e, err := rawendpoint.NewFaulty()
	assert.NilError(t, err)
	t.Cleanup(e.Close)
	return e
}

// attempt is what a test saw of one attempt.
type attempt struct {
	verdict verdict.Verdict
	status  int
	body    string
	whole   bool
}

func send(c *upstream.Client, addr, method, key, body string, header http.Header, within time.Duration) attempt {
	in, err := http.NewRequest(method, "http://caller/petitions", strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	in.Header = header.Clone()
	in.Header.Set(rawendpoint.KeyHeader, key)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	res := c.Send(ctx, upstream.Request{
		ID: "id-" + key, Addr: addr, In: in, Body: upstream.NewBody(in.Body, 1<<10), Deadline: time.Now().Add(within),
	})
	defer res.Close()
	out := attempt{verdict: res.Verdict}
	if res.Response != nil {
		raw, err := io.ReadAll(res.Response.Body)
		out.status, out.body, out.whole = res.Response.StatusCode, string(raw), err == nil
	}
	return out
}

// check compares what was told with what the endpoint counted.
func check(t assert.TestingT, a attempt, key string, ran int) {
	assert.Assert(t, ran <= 1, "%s ran %d times", key, ran)
	switch a.verdict {
	case verdict.NotRun:
		assert.Equal(t, ran, 0, "%s was told not-run and ran", key)
	case verdict.Ran:
		assert.Equal(t, ran, 1, "%s was told ran", key)
	}
	if a.whole && a.status == http.StatusOK {
		assert.Equal(t, a.body, "answer to "+key)
	}
}

var methods = []string{"GET", "HEAD", "OPTIONS", "TRACE", "POST", "PUT", "PATCH", "DELETE"}

// TestEndpointReadsAndCloses is the trap in net/http's Transport: it sends
// requests that look replayable again when a reused connection fails.
func TestEndpointReadsAndCloses(t *testing.T) {
	for _, method := range methods {
		for _, idempotencyKey := range []bool{false, true} {
			for _, reused := range []bool{false, true} {
				for _, f := range []rawendpoint.Fault{rawendpoint.CloseAfterRead, rawendpoint.ResetAfterRead, rawendpoint.CloseMidAnswer} {
					name := fmt.Sprintf("%s/idempotency-key=%v/reused=%v/%s", method, idempotencyKey, reused, f)
					t.Run(name, func(t *testing.T) { readsAndCloses(t, method, idempotencyKey, reused, f) })
				}
			}
		}
	}
}

func readsAndCloses(t *testing.T, method string, idempotencyKey, reused bool, f rawendpoint.Fault) {
	e := endpoint(t)
	c := upstream.NewClient(upstream.Options{})
	defer c.Close()
	header := http.Header{}
	if idempotencyKey {
		header.Set("Idempotency-Key", "once")
	}
	if reused {
		warm := send(c, e.Addr(), http.MethodGet, "warm", "", http.Header{}, time.Minute)
		assert.Equal(t, warm.verdict, verdict.Ran)
	}
	e.Set(f)
	a := send(c, e.Addr(), method, "petition", "", header, time.Minute)
	assert.Equal(t, a.verdict, verdict.MayHaveRun)
	assert.Equal(t, e.Ran("petition"), 1)
}

// TestVerdictsAreHonest sends requests through connections that fail at any
// point, in any order, and compares each verdict with the endpoint's count.
func TestVerdictsAreHonest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := endpoint(t)
		c := upstream.NewClient(upstream.Options{})
		defer c.Close()
		steps := rapid.IntRange(1, 6).Draw(t, "steps")
		for i := range steps {
			e.Set(rapid.SampledFrom(rawendpoint.AllFaults).Draw(t, "fault"))
			method := rapid.SampledFrom(methods).Draw(t, "method")
			body := rapid.SampledFrom([]string{"", "x", strings.Repeat("x", 5000)}).Draw(t, "body")
			header := http.Header{}
			if rapid.Bool().Draw(t, "idempotency-key") {
				header.Set("X-Idempotency-Key", "k")
			}
			key := fmt.Sprintf("request-%d", i)
			a := send(c, e.Addr(), method, key, body, header, 40*time.Millisecond)
			if method == http.MethodHead {
				a.whole = false // no body to compare
			}
			check(t, a, key, e.Ran(key))
		}
	})
}

// TestCancelWhileDialing: a request that is given up on before a connection
// exists did not run, and never runs later.
func TestCancelWhileDialing(t *testing.T) {
	c := upstream.NewClient(upstream.Options{Connections: 1})
	defer c.Close()
	e := endpoint(t)
	e.Set(rawendpoint.SilentAfterRead)
	blocked := make(chan attempt, 1)
	go func() { blocked <- send(c, e.Addr(), "POST", "first", "x", http.Header{}, patience) }()
	for e.Ran("first") == 0 {
		time.Sleep(time.Millisecond)
	}
	a := send(c, e.Addr(), "POST", "second", "x", http.Header{}, 10*time.Millisecond)
	assert.Equal(t, a.verdict, verdict.NotRun)
	assert.Equal(t, (<-blocked).verdict, verdict.MayHaveRun)
	e.Set(rawendpoint.None)
	assert.Equal(t, send(c, e.Addr(), "POST", "third", "x", http.Header{}, time.Minute).verdict, verdict.Ran)
	assert.Equal(t, e.Ran("second"), 0)
}

// TestCutAnswerIsSeenAsCut: a body that ends early is an error, never a clean
// short answer.
func TestCutAnswerIsSeenAsCut(t *testing.T) {
	for _, f := range []rawendpoint.Fault{rawendpoint.CutBody, rawendpoint.CutChunked} {
		e := endpoint(t)
		e.Set(f)
		c := upstream.NewClient(upstream.Options{})
		a := send(c, e.Addr(), "GET", "k", "", http.Header{}, time.Minute)
		assert.Equal(t, a.status, http.StatusOK)
		assert.Assert(t, !a.whole, f)
		c.Close()
	}
}

// TestForeignAnswerIsDiscarded: an answer with the identity of another request
// never reaches the caller.
func TestForeignAnswerIsDiscarded(t *testing.T) {
	e := endpoint(t)
	e.Set(rawendpoint.AnswerForeign)
	c := upstream.NewClient(upstream.Options{})
	defer c.Close()
	a := send(c, e.Addr(), "GET", "k", "", http.Header{}, time.Minute)
	assert.Equal(t, a.verdict, verdict.MayHaveRun)
	assert.Equal(t, a.body, "")
}
