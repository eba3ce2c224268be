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

// exchange is the state of one caller's request while it is served.
type exchange struct {
	id       string
	w        http.ResponseWriter
	r        *http.Request
	accepted time.Time
	log      *telemetry.RequestLog
	place    pipeline.Place // position among the pipelined requests of its connection

	// Set by authenticate.
	teamsConfigured bool          // the configuration has teams, so keys are not forwarded
	key             access.Digest // digest of the key that admitted the request
	team            string        // team that holds the key; empty for none

	// Set by route and deadline.
	route    tenant.Route // its Kind is nil until set
	deadline time.Time
	// callerWait is how long the caller said it waits for the response; 0 if it did not say.
	callerWait time.Duration

	// Kept by serve across attempts.
	body               *upstream.Body
	reading            *bodyReading
	bodyRead           bool      // the whole body was read before anything was sent
	tried              []string  // VMs of failed attempts and of endpoints that stopped accepting requests
	mayHaveRun         bool      // an attempt may have run, whatever later attempts show
	ran                bool      // a response of an endpoint was forwarded
	searchStart        time.Time // when the search for an endpoint started
	admission          quarantine.Admission
	quarantineNotified bool               // a result was reported to the quarantine since it last admitted the request
	quarantineReq      quarantine.Request // built on first use by quarantineRequest
	suspendedFor       time.Duration      // total suspension of the VM as of the last applySuspension
	turnWait           time.Duration      // time spent waiting for earlier requests on its connection

	// The response to the caller.
	verdict verdict.Verdict
	reason  reason.Code
	status  int
	message string // of a response that the balancer generates
}

func newExchange(w http.ResponseWriter, r *http.Request, id string, now time.Time) *exchange {
	return &exchange{id: id, w: w, r: r, accepted: now, searchStart: now}
}

// applySuspension moves the times of the request back by any new suspension of the VM, because the
// caller's time ran on while the process clock stood still. suspendedFor is the total
// suspension so far. It reports whether there was a new one.
func (x *exchange) applySuspension(suspendedFor time.Duration) bool {
	d := suspendedFor - x.suspendedFor
	if d <= 0 {
		return false
	}
	x.suspendedFor = suspendedFor
	x.accepted = x.accepted.Add(-d)
	x.searchStart = x.searchStart.Add(-d)
	if !x.deadline.IsZero() {
		x.deadline = x.deadline.Add(-d)
	}
	return true
}

// kindKey returns the key by which usual times of the request's kind are learned.
func (x *exchange) kindKey() string { return x.route.Team + "/" + x.route.Kind.Name }

// responseDue returns the time until which a response has its full value: the end of the latency
// target or, without one, of the time for the request.
func (x *exchange) responseDue() time.Time {
	if due := x.accepted.Add(x.route.Kind.Target); x.route.Kind.Target > 0 && due.Before(x.deadline) {
		return due
	}
	return x.deadline
}

// callerLeft reports whether the caller has disconnected.
func (x *exchange) callerLeft() bool { return x.r.Context().Err() != nil }

// attempt is one attempt to get a response from an endpoint. What it shows is passed to the Chooser by
// its methods alone, which pair it with its own grant: of two attempts of a request, either may be the
// one that is returned.
type attempt struct {
	number    int // 1 for the first
	grant     placement.Grant
	sentAt    time.Time
	took      time.Duration // until the result was known
	result    upstream.Result
	suspended bool // the VM was suspended during it, so its duration and the age of the response are unknown
}

// unsent returns the time from the choice of the endpoint until the request was about to be written; all of
// the attempt's time if it never was.
func (a *attempt) unsent() time.Duration {
	if a.result.WrittenAt.IsZero() {
		return a.took
	}
	return a.result.WrittenAt.Sub(a.sentAt)
}

// observe passes on what the response reports about the endpoint.
func (a *attempt) observe(c Chooser) { c.ObserveResponse(a.grant, a.report()) }

// complete passes on the result and ends the grant.
func (a *attempt) complete(c Chooser, r placement.Result) { c.Complete(a.grant, r) }

// recordFailure records whether a failed attempt may have run, and its VM, which later attempts
// avoid.
func (x *exchange) recordFailure(a *attempt) {
	x.mayHaveRun = x.mayHaveRun || a.result.Verdict != verdict.NotRun
	x.tried = append(x.tried, a.grant.Endpoint.VM)
}

// retryRequest returns the properties of the request that coord/retry decides by.
func (x *exchange) retryRequest() retry.Request {
	return retry.Request{
		Repeatable:  x.route.Kind.Repeatable,
		MaxAttempts: x.route.Kind.MaxAttempts,
		MayHaveRun:  x.mayHaveRun,
		OnTrial:     x.admission.Trial,
		Deadline:    x.deadline,
	}
}
