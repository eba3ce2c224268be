package balancer

import (
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/lotuswing/lotuswing/coord/drain"
	"github.com/lotuswing/lotuswing/coord/placement"
	"github.com/lotuswing/lotuswing/coord/reason"
	"github.com/lotuswing/lotuswing/coord/retry"
	"github.com/lotuswing/lotuswing/coord/verdict"
	"github.com/lotuswing/lotuswing/telemetry"
	"github.com/rcrowley/go-metrics"
)

// This file contains all log lines and metrics of requests. telemetry.Events documents
// the fields.

// logAdmitted logs a request that has a route, a team if it needs one, and a deadline.
func (x *exchange) logAdmitted(timeout time.Duration) {
	kind := x.route.Kind
	x.log.Line(telemetry.EventAdmitted).Text("route", kind.Name).Text("service", kind.Service).
		Text("team", x.team).Int("version", int64(x.route.Version)).Millis("deadline_ms", timeout).Bool("repeatable", kind.Repeatable).Done()
}

// logDuringStop logs a request that came after the planned stop began, and counts it.
func (b *Balancer) logDuringStop(x *exchange, plan drain.Plan, now time.Time) {
	arrival := x.place.Arrival()
	x.log.Line(telemetry.EventDuringStop).Millis("since_ms", now.Sub(plan.Began())).Text("phase", plan.Phase(now).String()).Int("number", int64(arrival.Number)).
		Bool("behind", arrival.Behind).Text("protocol", x.r.Proto).Done()
	x.log.Flush()
	metrics.GetOrRegisterCounter("stop_requests", b.cfg.Metrics).Inc(1)
}

// logCut logs a request that a planned stop gave up. since is when it was accepted, counted from when
// the stop began, and after how long it was given up. endpointID is empty if it was not sent.
func (x *exchange) logCut(endpointID string, v verdict.Verdict, since, after time.Duration) {
	arrival := x.place.Arrival()
	x.log.Line(telemetry.EventStopCut).Millis("since_ms", since).Millis("after_ms", after).Text("endpoint", endpointID).
		Text("verdict", v.String()).Int("number", int64(arrival.Number)).Bool("behind", arrival.Behind).Done()
	x.log.Flush()
}

// logChosen logs the choice of an endpoint before the request is sent, so that the log shows where
// the request went even if this process dies. For a non-repeatable request the line is written even
// above the rate limit of the log.
func (x *exchange) logChosen(number int, g placement.Grant, now time.Time) {
	age := int64(-1)
	if g.Choice.Age >= 0 {
		age = g.Choice.Age.Milliseconds()
	}
	warmAge := int64(-1)
	if g.Choice.WarmAge >= 0 {
		warmAge = g.Choice.WarmAge.Milliseconds()
	}
	x.log.Line(telemetry.EventChosen).Int("attempt", int64(number)).Text("endpoint", g.Endpoint.VM).Text("zone", g.Endpoint.Zone).
		Millis("estimate_ms", g.Choice.Estimate).Float("pace", g.Choice.Pace).Int("busy", int64(g.Choice.Busy)).Bool("cold", g.Choice.Cold).
		Int("warm_age_ms", warmAge).
		Bool("limited", g.Choice.Limited).
		Int("age_ms", age).Int("probes", int64(g.Choice.Probes)).Millis("waited_ms", now.Sub(x.searchStart)).Done()
	if x.route.Kind.Repeatable {
		x.log.FlushWithin(now)
	} else {
		x.log.Flush()
	}
}

// logNoEndpoint logs that no endpoint was found, with what the search knew of the endpoints.
func (x *exchange) logNoEndpoint(number int, r *placement.Refusal, now time.Time) {
	line := x.log.Line(telemetry.EventNoEndpoint).Int("attempt", int64(number)).Text("reason", string(r.Reason)).
		Int("known", int64(r.Search.Known)).Int("ejected", int64(r.Search.Ejected)).Int("full", int64(r.Search.Full)).Int("limited", int64(r.Search.Limited)).
		Int("backing_off", int64(r.Search.BackingOff)).Int("unanswered", int64(r.Search.Unanswered)).
		Millis("best_ms", r.Search.Best).Int("probes", int64(r.Search.Probes)).Millis("waited_ms", now.Sub(x.searchStart))
	if r.Search.Ordered {
		line.Int("queued", int64(r.Search.Waiting)).Millis("forecast_ms", r.Search.Forecast).Millis("retry_after_ms", r.RetryAfter)
	}
	line.Done()
}

// logAttempt logs the result of an attempt and sets the start time of the next search.
func (x *exchange) logAttempt(a *attempt, now time.Time) {
	status := 0
	if a.result.Response != nil {
		status = a.result.Response.StatusCode
	}
	line := x.log.Line(telemetry.EventAttempt).Int("attempt", int64(a.number)).Text("endpoint", a.grant.Endpoint.VM).
		Text("verdict", a.result.Verdict.String()).Text("reason", string(a.result.Reason)).
		Int("status", int64(status)).Millis("took_ms", a.took).Millis("unsent_ms", a.unsent()).
		Bool("leaving", a.result.Report.Admission.Leaving).Millis("backoff_ms", a.result.Report.Admission.Backoff)
	if a.result.Carrier != "" {
		line.Text("carrier", a.result.Carrier).Text("tunnel", a.result.Tunnel)
	}
	if a.result.Err != nil {
		line.Text("error", a.result.Err.Error())
	}
	line.Done()
	x.searchStart = now
}

// logHedgeStarted logs a hedge before it is sent. after is the time since the first attempt was sent.
func (x *exchange) logHedgeStarted(number int, g placement.Grant, after time.Duration) {
	age := int64(-1)
	if g.Choice.Age >= 0 {
		age = g.Choice.Age.Milliseconds()
	}
	x.log.Line(telemetry.EventHedgeStarted).Int("attempt", int64(number)).Text("endpoint", g.Endpoint.VM).Text("zone", g.Endpoint.Zone).
		Millis("after_ms", after).Millis("estimate_ms", g.Choice.Estimate).Int("busy", int64(g.Choice.Busy)).Int("age_ms", age).Int("probes", int64(g.Choice.Probes)).Done()
}

// logHedgeDenied logs why a late request got no hedge.
func (x *exchange) logHedgeDenied(why hedgeDenial, after time.Duration) {
	x.log.Line(telemetry.EventHedgeDenied).Text("why", string(why)).Millis("after_ms", after).Done()
}

// logHedgeEnded logs whether a hedge answered first. endpoint is the one that the hedge went to.
func (x *exchange) logHedgeEnded(number int, endpoint string, won bool, took time.Duration) {
	x.log.Line(telemetry.EventHedgeEnded).Int("attempt", int64(number)).Text("endpoint", endpoint).Bool("won", won).Millis("took_ms", took).Done()
}

// logRetry logs the decision on another attempt; attempts is the number so far.
func (x *exchange) logRetry(d retry.Decision, attempts int) {
	x.log.Line(telemetry.EventRetry).Bool("again", d.Again).Text("why", string(d.Reason)).
		Int("attempts", int64(attempts)).Int("most", int64(x.route.Kind.MaxAttempts)).Done()
}

// noteCutResponse logs and counts a response that was not forwarded in full.
func (b *Balancer) noteCutResponse(x *exchange, err error) {
	b.cfg.Log.Warn("response not forwarded in full", "id", x.id, "error", err)
	if errors.Is(err, errLate) || errors.Is(err, errCallerSlow) {
		x.reason, x.message = reason.ResponseCut, err.Error()
		metrics.GetOrRegisterCounter("responses_cut", b.cfg.Metrics).Inc(1)
	}
}

// finish records the end of an exchange, including one whose response was aborted.
func (b *Balancer) finish(x *exchange) {
	kind, service := "none", "none"
	var target time.Duration
	if x.route.Kind != nil {
		kind, service, target = x.route.Kind.Name, x.route.Kind.Service, x.route.Kind.Target
	}
	now := time.Now()
	took := now.Sub(x.accepted)
	b.timers.get(kind, x.verdict).Update(took)
	if b.cfg.Histograms != nil {
		b.cfg.Histograms.Observe(service, x.verdict.String(), took)
	}
	left := x.callerLeft()
	x.log.Line(telemetry.EventEnded).Text("verdict", x.verdict.String()).Text("reason", string(x.reason)).
		Int("status", int64(x.status)).Millis("took_ms", took).Millis("target_ms", target).Millis("behind_ms", x.turnWait).Bool("caller_left", left).Text("message", x.message).Done()
	failed := x.verdict != verdict.Ran || x.status >= http.StatusInternalServerError || left || x.reason == reason.ResponseCut
	late := target > 0 && took > target
	x.log.End(failed || late, now)
}

// timers holds the latency timers by request kind and verdict, created on first use.
type timers struct {
	registry metrics.Registry

	mu     sync.Mutex
	byName map[string]metrics.Timer
}

// get returns the timer for a request kind and verdict.
func (t *timers) get(kind string, v verdict.Verdict) metrics.Timer {
	name := fmt.Sprintf("request{kind=%q,verdict=%q}", kind, v.String())
	t.mu.Lock()
	defer t.mu.Unlock()
	timer, ok := t.byName[name]
	if !ok {
		timer = metrics.GetOrRegisterTimer(name, t.registry)
		t.byName[name] = timer
	}
	return timer
}
