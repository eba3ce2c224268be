package telemetry

import (
	"fmt"
	"strings"
)

// Field documents a field of a log line.
type Field struct {
	Name string
	Text string
}

// Event documents a log line about a request.
type Event struct {
	Name   string
	Text   string
	Fields []Field
}

// Events of requests. The names are also those that the lines begin with.
const (
	EventAdmitted     = "admitted"
	EventChosen       = "chosen"
	EventNoEndpoint   = "no endpoint chosen"
	EventAttempt      = "attempt ended"
	EventHedgeStarted = "hedge started"
	EventHedgeDenied  = "hedge denied"
	EventHedgeEnded   = "hedge ended"
	EventRetry        = "repeat decided"
	EventEnded        = "ended"
	EventDuringStop   = "accepted during a planned stop"
	EventStopCut      = "given up by a planned stop"
)

// Events lists the lines about requests, in the order of a request's way. Each
// has the field "request", the request's identity.
var Events = []Event{
	{EventAdmitted, "The request has a route and a deadline.", []Field{
		{"route", "name of the route or request kind"},
		{"service", "service that the route leads to"},
		{"team", "team whose key the caller sent, empty where it needs none"},
		{"version", "version of the configuration that decided, 0 where versions belong to tenants"},
		{"deadline_ms", "time until the final answer is due"},
		{"repeatable", "whether the request may run more than once"},
	}},
	{EventDuringStop, "The request came after the planned stop of its balancer had begun.", []Field{
		{"since_ms", "time since the stop began"},
		{"phase", "notice: callers are still sent here; draining: not any more; ending: attempts are given up"},
		{"number", "number of the request on its connection, from 1; 0 where the connection is not split into requests, as with HTTP/2"},
		{"behind", "whether another request of the connection was being served when this one was read"},
		{"protocol", "version of HTTP"},
	}},
	{EventChosen, "An endpoint was chosen for an attempt.", []Field{
		{"attempt", "number of the attempt, from 1"},
		{"endpoint", "identity of the endpoint"},
		{"zone", "availability zone of the endpoint"},
		{"estimate_ms", "time until its answer, as estimated"},
		{"pace", "how long work takes there by its last report, 1 as usual; 0 where it tells nothing"},
		{"busy", "requests that it holds, this one included"},
		{"cold", "whether it warms up after its start"},
		{"warm_age_ms", "age of the last answer to a probe that says that it is warm, counted from when the probe was sent; -1 without one"},
		{"limited", "whether it names how many requests a second it takes, and has room for this one"},
		{"age_ms", "age of that report; -1 where there is none"},
		{"probes", "endpoints asked for this choice"},
		{"waited_ms", "time since the request was admitted or the last attempt ended"},
	}},
	{EventNoEndpoint, "No endpoint was found in time; the request is refused.", []Field{
		{"attempt", "number of the attempt, from 1"},
		{"reason", "reason code"},
		{"known", "endpoints that could be considered"},
		{"ejected", "of these, ejected for failures"},
		{"full", "of these, thought to have no room"},
		{"limited", "of these, at the limits that they name"},
		{"backing_off", "of these, that want no requests for a while, or few after it"},
		{"unanswered", "of these, that did not respond to the last probe of this balancer"},
		{"best_ms", "lowest estimate among them"},
		{"probes", "endpoints asked"},
		{"waited_ms", "time spent looking"},
	}},
	{EventAttempt, "What became of an attempt.", []Field{
		{"attempt", "number of the attempt, from 1"},
		{"endpoint", "identity of the endpoint"},
		{"verdict", "ran, not-run or may-have-run"},
		{"reason", "reason code; empty where the endpoint ran the request"},
		{"status", "HTTP status of the endpoint's answer, 0 without one"},
		{"took_ms", "time from sending to the answer or its failure"},
		{"unsent_ms", "of took_ms, time until there was a connection to write the request to; all of it where nothing was written"},
		{"leaving", "whether the answer says that the endpoint leaves"},
		{"backoff_ms", "for how long the answer says that the endpoint wants no requests, 0 where it does not"},
		{"carrier", "address of the balancer that opened the connection; only for a detoured one"},
		{"tunnel", "identity of the connection in the log of that balancer"},
		{"error", "what failed"},
	}},
	{EventHedgeStarted, "The response is late; a second attempt goes to another endpoint beside the first.", []Field{
		{"attempt", "number of the attempt, from 1"},
		{"endpoint", "identity of the endpoint"},
		{"zone", "availability zone of the endpoint"},
		{"after_ms", "time since the first attempt was sent"},
		{"estimate_ms", "time until its answer, as estimated"},
		{"busy", "requests that it holds, this one included"},
		{"age_ms", "age of its load report; -1 where there is none"},
		{"probes", "endpoints asked for this choice"},
	}},
	{EventHedgeDenied, "The response is late, but there is no second attempt beside the first.", []Field{
		{"why", "no-room: capacity is short; no-budget: retry budget; share: too many of its kind; no-endpoint: no other one in time; suspected: of crashing endpoints; key: no longer valid; suspended: the VM was; stopping: the balancer is"},
		{"after_ms", "time since the first attempt was sent"},
	}},
	{EventHedgeEnded, "What became of the second attempt beside the first.", []Field{
		{"attempt", "number of the attempt, from 1"},
		{"endpoint", "identity of its endpoint"},
		{"won", "whether its answer is the one that was passed on"},
		{"took_ms", "time since it was sent"},
	}},
	{EventRetry, "Whether the request is sent again.", []Field{
		{"again", "the decision"},
		{"why", "reason code where it is not sent again"},
		{"attempts", "attempts made"},
		{"most", "attempts allowed by the route"},
	}},
	{EventStopCut, "A planned stop ended before the request; its caller gets a response that says so.", []Field{
		{"since_ms", "when the request was accepted, counted from when the stop began; negative before"},
		{"after_ms", "time since then"},
		{"endpoint", "identity of the endpoint that had it; empty where it was not sent"},
		{"verdict", "not-run or may-have-run"},
		{"number", "number of the request on its connection, as above"},
		{"behind", "whether another request of the connection was being served when this one was read"},
	}},
	{EventEnded, "The final answer.", []Field{
		{"verdict", "ran, not-run or may-have-run"},
		{"reason", "reason code; empty for an endpoint's own answer"},
		{"status", "HTTP status"},
		{"took_ms", "time since the request came"},
		{"target_ms", "time within which the answer has its full worth, 0 for none"},
		{"behind_ms", "of took_ms, time for which others on its connection were answered first"},
		{"caller_left", "whether the caller left before the answer"},
		{"message", "what the balancer's own answer says; empty for an endpoint's"},
	}},
}

// EventsText renders the table as plain text.
func EventsText() string {
	var b strings.Builder
	for _, e := range Events {
		fmt.Fprintf(&b, "%s: %s\n", e.Name, e.Text)
		for _, f := range e.Fields {
			fmt.Fprintf(&b, "  %-12s %s\n", f.Name, f.Text)
		}
	}
	return b.String()
}
