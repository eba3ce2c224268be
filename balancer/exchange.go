package balancer

import (
	"net/http"
	"time"

	"github.com/lotuswing/lotuswing/access"
	"github.com/lotuswing/lotuswing/coord/placement"
	"github.com/lotuswing/lotuswing/coord/reason"
	"github.com/lotuswing/lotuswing/coord/retry"
	"github.com/lotuswing/lotuswing/coord/verdict"
	"github.com/lotuswing/lotuswing/pipeline"
	"github.com/lotuswing/lotuswing/quarantine"
	"github.com/lotuswing/lotuswing/telemetry"
	"github.com/lotuswing/lotuswing/tenant"
	"github.com/lotuswing/lotuswing/upstream"
)

// exchange is one caller's request while it is served.
type exchange struct {
	id       string
	w        http.ResponseWriter
	r        *http.Request
	accepted time.Time
	log      *telemetry.RequestLog
	place    pipeline.Place // among the requests of its connection

	// Set by identify.
	keyed bool          // the configuration has teams, so that keys stop here
	key   access.Digest // of the key with which the request was admitted
	team  string        // that holds the key; empty for none

	// Set by route and deadline.
	route    tenant.Route // its Kind is nil until then
	deadline time.Time

	// Kept by serve from attempt to attempt.
	body       *upstream.Body
	bodyRead   bool      // the body was read whole before anything was sent
	tried      []string  // VMs that got the request
	mayHaveRun bool      // an attempt may have run, whatever later ones say
	ran        bool      // an endpoint's response was passed on
	searching  time.Time // since when an endpoint is looked for
	pass       quarantine.Pass
	shown      bool               // what the request did was told to the quarantine
	suspect    quarantine.Request // filled when it is first asked for
	slept      time.Duration      // for how long the VM has been suspended so far, as far as the times here know
	behind     time.Duration      // how long it has waited for those before it on its connection

	// What the caller is told.
	verdict verdict.Verdict
	reason  reason.Code
	status  int
	message string // of a response of the balancer's own
}

func newExchange(w http.ResponseWriter, r *http.Request, id string, now time.Time) *exchange {
	return &exchange{id: id, w: w, r: r, accepted: now, searching: now}
}

// wake brings the times of the request up to date after the VM was suspended, in which the
// caller's time ran on and the clock stood still. It reports whether that was so.
func (x *exchange) wake(slept time.Duration) bool {
	d := slept - x.slept
	if d <= 0 {
		return false
	}
	x.slept = slept
	x.accepted = x.accepted.Add(-d)
	x.searching = x.searching.Add(-d)
	if !x.deadline.IsZero() {
		x.deadline = x.deadline.Add(-d)
	}
	return true
}

// callerLeft reports whether the caller has gone.
func (x *exchange) callerLeft() bool { return x.r.Context().Err() != nil }

// attempt is one try to get a response from an endpoint.
type attempt struct {
	number int // 1 for the first
	grant  placement.Grant
	sent   time.Time
	result upstream.Result
	stale  bool // the VM was suspended meanwhile: nobody knows how long it took, and how old the response is
}

// noteFailed notes a failed attempt.
func (x *exchange) noteFailed(a *attempt) {
	x.mayHaveRun = x.mayHaveRun || a.result.Verdict != verdict.NotRun
	x.tried = append(x.tried, a.grant.Endpoint.VM)
}

// forRetry returns what coord/retry needs to know of the request.
func (x *exchange) forRetry() retry.Request {
	return retry.Request{
		Repeatable:  x.route.Kind.Repeatable,
		MaxAttempts: x.route.Kind.MaxAttempts,
		MayHaveRun:  x.mayHaveRun,
		OnTrial:     x.pass.Trial,
		Deadline:    x.deadline,
	}
}
