package balancer_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/lotuswing/lotuswing/coord/drain"
	"gotest.tools/v3/assert"
)

// stopPlan returns the plan of a stop that began at a time and lasts long enough for a test.
func stopPlan(began time.Time) drain.Plan {
	return drain.NewPlan(began, drain.Times{Notice: time.Hour, Limit: time.Hour})
}

// drainingPlan returns the plan of a stop whose notice has ended and whose attempts are given up after left.
func drainingPlan(left time.Duration) drain.Plan {
	plan := drain.NewPlan(time.Now(), drain.Times{Limit: 2 * time.Hour})
	return plan.WithSuspension(plan.CutAt().Sub(plan.Began().Add(left)))
}

// readRefusal reads a response of the balancer's own and returns its status and reason.
func (b *pipelinedHarness) readRefusal(t *testing.T) (status int, why string, closes bool) {
	t.Helper()
	r, err := http.ReadResponse(b.responses, nil)
	assert.NilError(t, err)
	var body struct{ Reason string }
	assert.NilError(t, json.NewDecoder(r.Body).Decode(&body))
	return r.StatusCode, body.Reason, r.Close
}

func TestRequestAfterNoticeIsRefusedUnlessItIsSureToEnd(t *testing.T) {
	for name, c := range map[string]struct {
		left   time.Duration // until attempts are given up
		served bool
	}{
		"less than the request may take": {left: time.Second},
		"more than the request may take": {left: time.Hour, served: true},
	} {
		t.Run(name, func(t *testing.T) {
			b := newPipelinedHarness(t)
			b.balancer.Stop(drainingPlan(c.left))
			b.sendGets(t, "/safe/1")
			if c.served {
				body, closes := b.readResponse(t)
				assert.Equal(t, body, "/safe/1")
				assert.Assert(t, closes)
				return
			}
			status, why, closes := b.readRefusal(t)
			assert.Equal(t, status, http.StatusServiceUnavailable)
			assert.Equal(t, why, "LW2006")
			assert.Assert(t, closes)
			assert.Equal(t, len(b.reached), 0)
		})
	}
}

func TestReadyResponsesAreDeliveredWhenAStopGivesUpTheFirst(t *testing.T) {
	b := newPipelinedHarness(t, "/safe/1")
	b.sendGets(t, "/safe/1", "/safe/2")
	<-b.reached
	<-b.reached
	b.chooser.awaitResult(0) // of /safe/2
	b.balancer.Stop(drainingPlan(time.Hour))
	b.balancer.CutAttempts()
	status, why, _ := b.readRefusal(t)
	assert.Equal(t, status, http.StatusBadGateway)
	assert.Equal(t, why, "LW3012")
	body, closes := b.readResponse(t)
	assert.Equal(t, body, "/safe/2")
	assert.Assert(t, closes)
	assert.Assert(t, strings.Contains(b.log.String(), "given up by a planned stop: request=/safe/1"))
}

func TestNonRepeatableBehindAnotherIsNotSentAfterNotice(t *testing.T) {
	b := newPipelinedHarness(t, "/safe/1")
	b.sendGets(t, "/safe/1", "/unsafe/2")
	assert.Equal(t, <-b.reached, "/safe/1")
	b.balancer.Stop(drainingPlan(time.Second))
	close(b.release["/safe/1"])
	body, _ := b.readResponse(t)
	assert.Equal(t, body, "/safe/1")
	status, why, closes := b.readRefusal(t)
	assert.Equal(t, status, http.StatusServiceUnavailable)
	assert.Equal(t, why, "LW2006")
	assert.Assert(t, closes)
	assert.Equal(t, len(b.reached), 0)
}

func TestNoSessionBeginsInAStop(t *testing.T) {
	b := newPipelinedHarness(t)
	b.balancer.Stop(stopPlan(time.Now()))
	_, err := b.conn.Write([]byte("GET /safe/1 HTTP/1.1\r\nHost: desk\r\nConnection: Upgrade\r\nUpgrade: echo\r\nRequest-Id: u\r\n\r\n"))
	assert.NilError(t, err)
	status, why, closes := b.readRefusal(t)
	assert.Equal(t, status, http.StatusServiceUnavailable)
	assert.Equal(t, why, "LW2006")
	assert.Assert(t, closes)
}

func TestBodyThatDoesNotArriveIsAnsweredByDeadlineAndCut(t *testing.T) {
	chunked := "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n"
	counted := "Content-Length: 8\r\n\r\nhalf"
	for name, c := range map[string]struct {
		rest   string
		cut    bool
		status int
		reason string
	}{
		"chunked, deadline":     {chunked, false, http.StatusGatewayTimeout, "LW3005"},
		"chunked, cut":          {chunked, true, http.StatusBadGateway, "LW3012"},
		"with length, deadline": {counted, false, http.StatusGatewayTimeout, "LW2008"},
		"with length, cut":      {counted, true, http.StatusServiceUnavailable, "LW2006"},
	} {
		t.Run(name, func(t *testing.T) {
			b := newPipelinedHarness(t)
			b.chooser.table = newPrefixChooserWithin(time.Hour).table
			b.balancer.Stop(drainingPlan(2 * time.Hour))
			deadline := 300 * time.Millisecond
			if c.cut {
				deadline = time.Hour
			}
			_, err := fmt.Fprintf(b.conn, "POST /unsafe/1 HTTP/1.1\r\nHost: desk\r\nRequest-Id: q\r\nDeadline-Ms: %d\r\n%s", deadline.Milliseconds(), c.rest)
			assert.NilError(t, err)
			if c.cut {
				b.awaitBody(t, c.rest == chunked)
				b.balancer.CutAttempts()
			}
			status, why, closes := b.readRefusal(t)
			assert.Equal(t, status, c.status)
			assert.Equal(t, why, c.reason)
			assert.Assert(t, closes)
		})
	}
}

// awaitBody waits until the balancer waits for the rest of a body, of a request that is at the endpoint
// if sent.
func (b *pipelinedHarness) awaitBody(t *testing.T, sent bool) {
	t.Helper()
	if sent {
		<-b.reached
		return
	}
	for b.balancer.InFlight() == 0 {
		time.Sleep(time.Millisecond)
	}
}
