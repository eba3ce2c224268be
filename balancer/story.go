package balancer

import (
	"time"

	"github.com/lotuswing/lotuswing/coord/placement"
	"github.com/lotuswing/lotuswing/telemetry"
	"github.com/lotuswing/lotuswing/upstream"
)

// chosen records the choice of an endpoint, before the request goes out, so that
// the log tells where it went even if this process dies. Where the request must
// not run twice, this is done above the rate, too.
func (x *exchange) chosen(attempt int, g placement.Grant) {
	age := int64(-1)
	if g.Choice.Age >= 0 {
		age = g.Choice.Age.Milliseconds()
	}
	x.story.Line(telemetry.EventChosen).Int("attempt", int64(attempt)).Text("endpoint", g.Endpoint.VM).Text("zone", g.Endpoint.Zone).
		Millis("estimate_ms", g.Choice.Estimate).Float("pace", g.Choice.Pace).Int("busy", int64(g.Choice.Busy)).
		Int("age_ms", age).Int("probes", int64(g.Choice.Probes)).Millis("waited_ms", time.Since(x.looking)).Done()
	if x.route.Kind.Repeatable {
		x.story.FlushWithin(time.Now())
	} else {
		x.story.Flush()
	}
}

// noPlace records that no endpoint was found.
func (x *exchange) noPlace(attempt int, r *placement.Refusal) {
	x.story.Line(telemetry.EventNoPlace).Int("attempt", int64(attempt)).Text("reason", string(r.Reason)).
		Int("known", int64(r.Search.Known)).Int("ejected", int64(r.Search.Ejected)).Int("full", int64(r.Search.Full)).
		Millis("best_ms", r.Search.Best).Int("probes", int64(r.Search.Probes)).Millis("waited_ms", time.Since(x.looking)).Done()
}

// attempted records what became of an attempt.
func (x *exchange) attempted(attempt int, g placement.Grant, res *upstream.Result, sent time.Time) {
	line := x.story.Line(telemetry.EventAttempt).Int("attempt", int64(attempt)).Text("endpoint", g.Endpoint.VM).
		Text("verdict", res.Verdict.String()).Text("reason", string(res.Reason))
	status := 0
	if res.Response != nil {
		status = res.Response.StatusCode
	}
	line.Int("status", int64(status)).Millis("took_ms", time.Since(sent))
	if res.Err != nil {
		line.Text("error", res.Err.Error())
	}
	line.Done()
	x.looking = time.Now()
}
