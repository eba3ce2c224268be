package balancer_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/lotuswing/lotuswing/balancer"
	"github.com/lotuswing/lotuswing/coord/placement"
	"github.com/lotuswing/lotuswing/coord/retry"
	"github.com/lotuswing/lotuswing/coord/verdict"
	"github.com/lotuswing/lotuswing/internal/rawendpoint"
	"github.com/lotuswing/lotuswing/platform"
	"github.com/lotuswing/lotuswing/quarantine"
	"github.com/lotuswing/lotuswing/settings"
	"github.com/lotuswing/lotuswing/telemetry"
	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// urgencyChooser is a fakeChooser that orders by urgency.
type urgencyChooser struct {
	*prefixChooser
	off, full atomic.Bool
}

func (u *urgencyChooser) OrdersByUrgency() bool { return !u.off.Load() }

func (u *urgencyChooser) HasRoom(string) bool { return !u.full.Load() }

// gatedEndpoint holds each request until the test decides what becomes of it.
type gatedEndpoint struct {
	server   *httptest.Server
	arrived  chan struct{} // gets a value for each request
	canceled chan struct{} // gets a value for each request that the balancer canceled
	action   chan string   // for the next held request: answer, fail, refuse, begin, or a header as name=value
}

func newGatedEndpoint(t testing.TB) *gatedEndpoint {
	e := &gatedEndpoint{arrived: make(chan struct{}, 100), canceled: make(chan struct{}, 100), action: make(chan string, 100)}
	e.server = httptest.NewServer(http.HandlerFunc(e.serve))
	e.server.Config.ErrorLog = hclog.NewNullLogger().StandardLogger(nil)
	t.Cleanup(func() {
		e.server.CloseClientConnections()
		e.server.Close()
	})
	return e
}

func (e *gatedEndpoint) serve(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	e.arrived <- struct{}{}
	for {
		select {
		case <-r.Context().Done():
			e.canceled <- struct{}{}
			return
		case action := <-e.action:
			w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
			w.Header().Set("Response-Signature", "s")
			if name, value, ok := strings.Cut(action, "="); ok {
				w.Header().Set(name, value)
				continue
			}
			switch action {
			case "answer":
				_, _ = io.WriteString(w, "whole")
				return
			case "begin":
				w.Header().Set("Content-Length", "5")
				_, _ = io.WriteString(w, "wh")
				_ = http.NewResponseController(w).Flush()
			case "rest":
				_, _ = io.WriteString(w, "ole")
				return
			case "refuse":
				w.Header().Set("Not-Executed", "1")
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			default:
				panic(http.ErrAbortHandler)
			}
		}
	}
}

// usualTime is the response time of the kinds that a hedgeHarness knows. A hedge is sent after 1.5
// times as long.
const usualTime = 40 * time.Millisecond

// hedgeHarness is a balancer that hedges, in front of three gated endpoints e0, e1 and e2, which are
// chosen in this order.
type hedgeHarness struct {
	chooser   *urgencyChooser
	endpoints []*gatedEndpoint
	balancer  *balancer.Balancer
	server    *httptest.Server
	metrics   metrics.Registry
	log       bytes.Buffer
}

func newHedgeHarness(t testing.TB, change func(*balancer.Config)) *hedgeHarness {
	h := &hedgeHarness{chooser: &urgencyChooser{prefixChooser: newPrefixChooserWithin(time.Hour)}, metrics: metrics.NewRegistry()}
	for _, vm := range []string{"e0", "e1", "e2"} {
		e := newGatedEndpoint(t)
		h.endpoints = append(h.endpoints, e)
		h.chooser.endpoints = append(h.chooser.endpoints, placement.Endpoint{VM: vm, Addr: e.server.Listener.Addr().String()})
	}
	tracing, err := telemetry.NewTracing("none", io.Discard)
	assert.NilError(t, err)
	config := balancer.Config{
		Chooser: h.chooser, Limits: settings.Limits{BodyBytes: 1 << 20, ReplayBytes: 100}, Log: hclog.NewNullLogger(),
		Metrics: h.metrics, Tracing: tracing, RequestLog: telemetry.NewRequestLogger(&h.log, 1000),
		Policy: platform.Policy(settings.Retries{}),
	}
	change(&config)
	h.balancer = balancer.New(config)
	h.balancer.LearnKind("desk/read", 100, usualTime)
	h.balancer.LearnKind("desk/file", 100, usualTime)
	h.server = httptest.NewServer(h.balancer)
	t.Cleanup(h.server.Close)
	return h
}

// begin sends a request and returns a channel with its response; a zero one if there is none.
func (h *hedgeHarness) begin(ctx context.Context, t testing.TB, path, body string) <-chan platformResponse {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, h.server.URL+path, strings.NewReader(body))
	assert.NilError(t, err)
	req.Host = "desk"
	req.Header.Set("Request-Id", "r1")
	req.Header.Set("Deadline-Ms", "3600000")
	done := make(chan platformResponse, 1)
	go func() {
		defer close(done)
		client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
		resp, err := client.Do(req)
		if err != nil {
			return
		}
		defer func() { _ = resp.Body.Close() }()
		raw, _ := io.ReadAll(resp.Body)
		done <- platformResponse{status: resp.StatusCode, body: string(raw), signature: resp.Header.Get(verdict.Header)}
	}()
	return done
}

// serve has the handler serve a request whose context never ends, and returns a channel with the status.
func (h *hedgeHarness) serve(authorization string) <-chan int {
	req := httptest.NewRequest(http.MethodGet, "/safe/x", nil)
	req.Host = "desk"
	req.Header.Set("Authorization", authorization)
	done := make(chan int, 1)
	go func() {
		w := httptest.NewRecorder()
		h.balancer.ServeHTTP(w, req)
		done <- w.Code
	}()
	return done
}

// count returns the value of a counter.
func (h *hedgeHarness) count(name string) int64 {
	return metrics.GetOrRegisterCounter(name, h.metrics).Count()
}

// awaitCount waits until a counter has a value.
func (h *hedgeHarness) awaitCount(name string, n int64) {
	for h.count(name) != n {
		time.Sleep(time.Millisecond)
	}
}

// results returns the result of each endpoint's attempt once there are n in all.
func (h *hedgeHarness) results(n int) []placement.Result {
	h.chooser.awaitResult(n - 1)
	h.chooser.mu.Lock()
	defer h.chooser.mu.Unlock()
	return h.chooser.fakeChooser.results
}

// outcomes returns how often each outcome was reported, given n results in all.
func (h *hedgeHarness) outcomes(n int) map[placement.Outcome]int {
	counts := map[placement.Outcome]int{}
	for _, r := range h.results(n) {
		counts[r.Outcome]++
	}
	return counts
}

// TestHedgeAnswersFirst guards against a late response that holds a repeatable request up, and against
// counting the endpoint that was overtaken as failed or leaving its request under way.
func TestHedgeAnswersFirst(t *testing.T) {
	h := newHedgeHarness(t, func(*balancer.Config) {})
	done := h.begin(t.Context(), t, "/safe/x", "body")
	<-h.endpoints[0].arrived
	<-h.endpoints[1].arrived
	h.endpoints[1].action <- "answer"
	got := <-done
	assert.Equal(t, got.status, http.StatusOK)
	assert.Equal(t, got.body, "whole")
	<-h.endpoints[0].canceled
	overtaken := h.results(2)[0]
	assert.Assert(t, overtaken.Overtaken)
	assert.Equal(t, overtaken.Outcome, placement.Unused)
	assert.Assert(t, overtaken.Took > usualTime)
	assert.Equal(t, h.outcomes(2)[placement.Completed], 1)
	assert.Equal(t, h.count("hedges"), int64(1))
	assert.Equal(t, h.count("hedges_won"), int64(1))
	h.server.Close()
	for _, want := range []string{"hedge started: request=r1 attempt=2 endpoint=e1", "hedge ended: request=r1 attempt=2 endpoint=e1 won=true"} {
		assert.Assert(t, strings.Contains(h.log.String(), want), "no %q in %s", want, h.log.String())
	}
}

// TestFirstAnswersBeforeHedge guards against a hedge that goes on, or counts against its endpoint, after
// the first attempt has answered. The end of the request does not cancel it here, because the context of
// the request does not end, and neither does its deadline.
func TestFirstAnswersBeforeHedge(t *testing.T) {
	h := newHedgeHarness(t, func(*balancer.Config) {})
	done := h.serve("")
	<-h.endpoints[0].arrived
	<-h.endpoints[1].arrived
	h.endpoints[0].action <- "answer"
	assert.Equal(t, <-done, http.StatusOK)
	<-h.endpoints[1].canceled
	assert.DeepEqual(t, h.outcomes(2), map[placement.Outcome]int{placement.Completed: 1, placement.Unused: 1})
	for _, r := range h.results(2) {
		assert.Assert(t, !r.Overtaken)
	}
	assert.Equal(t, h.count("hedges_won"), int64(0))
}

// TestBothAttemptsFail guards against a verdict that denies that one of two attempts may have run, and
// against more attempts than the route allows.
func TestBothAttemptsFail(t *testing.T) {
	for _, c := range []struct {
		name, first, second string
		attempts            int // in all; a hedge that did not run leaves the route's second attempt
		verdict             string
	}{
		{"both broken", "fail", "fail", 2, "may-have-run"},
		{"hedge refused, then broken", "fail", "refuse", 3, "ran"},
		{"hedge refused, then answered", "answer", "refuse", 2, "ran"},
		{"hedge broken, then refused", "refuse", "fail", 2, "may-have-run"},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHedgeHarness(t, func(*balancer.Config) {})
			done := h.begin(t.Context(), t, "/safe/x", "body")
			<-h.endpoints[0].arrived
			<-h.endpoints[1].arrived
			h.endpoints[1].action <- c.second
			h.endpoints[0].action <- c.first
			h.endpoints[2].action <- "answer"
			got := <-done
			assert.Equal(t, got.signature, c.verdict)
			if c.verdict == "may-have-run" {
				assert.Equal(t, got.status, http.StatusBadGateway)
			}
			assert.Equal(t, len(h.results(c.attempts)), c.attempts)
			assert.Equal(t, len(h.endpoints[2].arrived), max(0, c.attempts-2))
		})
	}
}

// TestCallerLeavesDuringHedge guards against attempts that go on for nobody, or count as failures of
// their endpoints.
func TestCallerLeavesDuringHedge(t *testing.T) {
	h := newHedgeHarness(t, func(*balancer.Config) {})
	ctx, leave := context.WithCancel(t.Context())
	done := h.begin(ctx, t, "/safe/x", "body")
	<-h.endpoints[0].arrived
	<-h.endpoints[1].arrived
	leave()
	<-done
	<-h.endpoints[0].canceled
	<-h.endpoints[1].canceled
	assert.DeepEqual(t, h.outcomes(2), map[placement.Outcome]int{placement.Unused: 2})
}

// TestHedgeIsDenied guards against hedges without budget, capacity or another endpoint. The request goes
// on unchanged.
func TestHedgeIsDenied(t *testing.T) {
	for why, change := range map[string]func(*urgencyChooser, *balancer.Config){
		"no-budget": func(_ *urgencyChooser, c *balancer.Config) {
			c.Policy.Retries = &retry.WindowLimit{Span: 10 * time.Second}
		},
		"no-room":     func(u *urgencyChooser, _ *balancer.Config) { u.full.Store(true) },
		"stopping":    func(*urgencyChooser, *balancer.Config) {},
		"no-endpoint": func(u *urgencyChooser, _ *balancer.Config) { u.endpoints = u.endpoints[:1] },
		"suspected": func(_ *urgencyChooser, c *balancer.Config) {
			c.Quarantine = &fakeQuarantine{suspects: true, admissions: []quarantine.Admission{{}}}
		},
	} {
		t.Run(why, func(t *testing.T) {
			h := newHedgeHarness(t, func(c *balancer.Config) { change(c.Chooser.(*urgencyChooser), c) })
			if why == "stopping" {
				h.balancer.Stop(drainingPlan(time.Hour + time.Minute)) // longer than the request may take
			}
			done := h.begin(t.Context(), t, "/safe/x", "body")
			<-h.endpoints[0].arrived
			h.awaitCount("hedges_denied", 1)
			h.endpoints[0].action <- "answer"
			assert.Equal(t, (<-done).status, http.StatusOK)
			assert.Equal(t, h.count("hedges"), int64(0))
			assert.Equal(t, len(h.endpoints[1].arrived), 0)
			h.server.Close()
			assert.Assert(t, strings.Contains(h.log.String(), "hedge denied: request=r1 why="+why), h.log.String())
		})
	}
}

// TestHedgesKeepToTheirShare guards against hedging more than a twentieth of the requests of a kind.
func TestHedgesKeepToTheirShare(t *testing.T) {
	h := newHedgeHarness(t, func(*balancer.Config) {})
	for i := range 6 { // the share of the 100 known requests and these is 5
		done := h.begin(t.Context(), t, "/safe/x", "body")
		<-h.endpoints[0].arrived
		if i < 5 {
			<-h.endpoints[1].arrived
		} else {
			h.awaitCount("hedges_denied", 1)
		}
		h.endpoints[0].action <- "answer"
		assert.Equal(t, (<-done).status, http.StatusOK)
	}
	assert.Equal(t, h.count("hedges"), int64(5))
}

// TestIneligibleRequestsAreNotHedged guards against a second attempt of a request that must run once,
// cannot be sent again, is suspected of crashing endpoints or already has the beginning of a response.
// A request that began later and was hedged shows that the time for a hedge has passed.
func TestIneligibleRequestsAreNotHedged(t *testing.T) {
	trial := func(c *balancer.Config) {
		c.Quarantine = &fakeQuarantine{admissions: []quarantine.Admission{{Suspected: true}, {}}}
	}
	none := func(*balancer.Config) {}
	for _, c := range []struct {
		name, path, body string
		begin            bool
		change           func(*balancer.Config)
	}{
		{"must run once", "/unsafe/x", "body", false, none},
		{"body too large to be kept", "/safe/x", strings.Repeat("x", 200), false, none},
		{"suspected", "/safe/x", "body", false, trial},
		{"response begun", "/safe/x", "body", true, none},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := newHedgeHarness(t, c.change)
			done := h.begin(t.Context(), t, c.path, c.body)
			<-h.endpoints[0].arrived
			if c.begin {
				h.endpoints[0].action <- "begin"
			}
			control := h.begin(t.Context(), t, "/safe/x", "body")
			<-h.endpoints[0].arrived
			<-h.endpoints[1].arrived
			h.endpoints[1].action <- "answer"
			assert.Equal(t, (<-control).status, http.StatusOK)
			<-h.endpoints[0].canceled
			action := "answer"
			if c.begin {
				action = "rest"
			}
			h.endpoints[0].action <- action
			got := <-done
			assert.Equal(t, got.status, http.StatusOK)
			assert.Equal(t, got.body, "whole")
			assert.Equal(t, h.count("hedges"), int64(1))
		})
	}
}

// TestNoHedgesWithoutUrgency guards against hedges in deployments that do not order requests by
// urgency.
func TestNoHedgesWithoutUrgency(t *testing.T) {
	h := newHedgeHarness(t, func(*balancer.Config) {})
	h.chooser.off.Store(true)
	done := h.begin(t.Context(), t, "/safe/x", "body")
	<-h.endpoints[0].arrived
	h.chooser.off.Store(false)
	control := h.begin(t.Context(), t, "/safe/x", "body")
	<-h.endpoints[0].arrived
	<-h.endpoints[1].arrived
	h.endpoints[1].action <- "answer"
	assert.Equal(t, (<-control).status, http.StatusOK)
	<-h.endpoints[0].canceled
	h.endpoints[0].action <- "answer"
	assert.Equal(t, (<-done).status, http.StatusOK)
	assert.Equal(t, h.count("hedges"), int64(1))
}

// TestHedgeIsChargedToTeam guards against hedges that run beyond the quota of their team.
func TestHedgeIsChargedToTeam(t *testing.T) {
	_, teams, quotas := newTeamHarness(t, 1)
	h := newHedgeHarness(t, func(c *balancer.Config) { c.Access, c.Quotas = teams, quotas })
	done := h.serve("Bearer key-m")
	<-h.endpoints[0].arrived
	<-h.endpoints[1].arrived
	h.endpoints[0].action <- "answer"
	assert.Equal(t, <-done, http.StatusOK)
	quotas.mu.Lock()
	defer quotas.mu.Unlock()
	assert.DeepEqual(t, quotas.repeated, []string{"medina"})
}

// TestVerdictMatchesRunsWithHedges injects faults at any point of the exchange while slow requests are
// hedged, and compares the verdict that callers get with the number of runs. Each grant must have
// exactly one result: otherwise slots would count as taken for good.
func TestVerdictMatchesRunsWithHedges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var chooser *countingChooser
		b := newHarnessWith(t, 2, func(c *balancer.Config) {
			chooser = &countingChooser{fakeChooser: c.Chooser.(*fakeChooser)}
			c.Chooser = chooser
		})
		h := b.server.Config.Handler.(*balancer.Balancer)
		for i := range rapid.IntRange(1, 5).Draw(t, "requests") {
			h.LearnKind("desk/read", 100, time.Millisecond)
			for _, e := range b.endpoints {
				e.Set(rapid.SampledFrom(rawendpoint.AllFaults).Draw(t, "fault"))
			}
			key := string(rune('a' + i))
			body := rapid.SampledFrom([]string{"", "x", strings.Repeat("x", 3000)}).Draw(t, "body")
			got := b.call(t, rapid.SampledFrom([]string{"GET", "POST", "PUT"}).Draw(t, "method"), "/read", key, body, http.Header{"Lotuswing-Timeout": {"60ms"}})
			ran := b.ran(key)
			switch got.verdict {
			case "not-run":
				assert.Equal(t, ran, 0, "verdict not-run with reason %s", got.reason)
			case "ran":
				assert.Assert(t, ran >= 1)
			}
			if got.complete && got.status == http.StatusOK {
				assert.Equal(t, got.body, "answer to "+key)
			}
		}
		chooser.awaitBalance()
	})
}

// countingChooser counts grants.
type countingChooser struct {
	*fakeChooser
	grants atomic.Int64
}

func (*countingChooser) OrdersByUrgency() bool { return true }

func (*countingChooser) HasRoom(string) bool { return true }

func (c *countingChooser) Acquire(ctx context.Context, r placement.Request) (placement.Grant, *placement.Refusal) {
	g, refused := c.fakeChooser.Acquire(ctx, r)
	if refused == nil {
		c.grants.Add(1)
	}
	return g, refused
}

// awaitBalance waits until each grant has a result.
func (c *countingChooser) awaitBalance() {
	for {
		c.mu.Lock()
		results := len(c.results)
		c.mu.Unlock()
		if int64(results) == c.grants.Load() {
			return
		}
		time.Sleep(time.Millisecond)
	}
}
