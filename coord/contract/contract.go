// Package contract decides who may use an endpoint's slots.
//
// A service has a home, one balancer that keeps the service's Ledger in
// memory. A balancer that has a request asks the home for a contract: the
// right to have one request in flight on one endpoint until a time. Where no
// slot is free the request waits in the home's queue, ordered by class and
// deadline, so that many balancers that each see a sixteenth of the load
// share one queue instead of guessing.
//
// What is decided where: admit.go whether a request is refused at once, choose.go
// which class and which endpoint come next, endpoint.go what an endpoint may have,
// overbook.go requests sent ahead of a free slot, ledger.go what each event changes.
// State and Step (state.go, step.go, trace.go) are the recorded form, which
// lotusctl replay reads.
//
// The ledger is soft state. Two homes at once, or none, cost performance and
// never safety: endpoints shed what they cannot take, and verdicts stay
// honest. The package decides; it has no clock, does no input or output and
// starts no goroutine. A Ledger is not safe for concurrent use.
//
// # Usage
//
//	l := contract.NewLedger(contract.Options{})
//	l.SetEndpoints(now, endpoints, marks.Has)
//	for _, d := range l.Acquire(now, req) { deliver(d) }
//	for _, d := range l.Complete(now, id, placement.Completed, took) { deliver(d) }
//	for _, d := range l.Tick(now) { deliver(d) }
//
// Each call returns the decisions that it caused, which may concern requests
// that came earlier.
package contract

import (
	"cmp"
	"time"

	"github.com/lotuswing/lotuswing/coord/health"
	"github.com/lotuswing/lotuswing/coord/placement"
	"github.com/lotuswing/lotuswing/coord/reason"
)

// Request asks for a contract.
type Request struct {
	ID        string
	Holder    string // the balancer that asks
	Zone      string // of the balancer
	Class     placement.Class
	WaitUntil time.Time // patience: a contract is of no use after this
	Deadline  time.Time // of the whole request
	Avoid     []string  // VMs that refused it already
}

// Kind of a decision.
type Kind uint8

// The kinds of decision.
const (
	Granted Kind = iota
	Queued
	Refused
)

// String returns the word used in traces.
func (k Kind) String() string {
	return [...]string{"granted", "queued", "refused"}[k]
}

// Decision is what the ledger decided about one request.
type Decision struct {
	Request    string
	Kind       Kind
	Endpoint   placement.Endpoint // where granted
	Until      time.Time          // where granted: end of the contract unless renewed
	Reason     reason.Code        // where refused
	RetryAfter time.Duration      // where refused
}

// Options of a ledger. Zero fields take the defaults. They stand at the head of each
// recorded trace, by the names of the fields.
//
// Measured in virtual time (docs/MEASUREMENTS.md, "Rounds"): Overbook took the p99 of interactive
// and patient requests at 90 percent load from 122.6 and 3,680 ms to 113.7 and 1,456 ms,
// PatientSpare of 0.04 instead of 0.1 the latter to 571 ms, PatientShare the p99 at 110 percent
// with an endpoint failing fast from 1,069 to 134 ms. Without LearnFor and ShedPause a planned
// stop of a home refuses requests that have room.
type Options struct {
	TTL          time.Duration // of a contract that is not renewed; default 3 s
	QueueLimit   int           // waiting requests per class; default 2,000
	FreshFor     time.Duration // how long a sign of staying counts; default 2 s
	ZoneCost     float64       // share of the usual time that another zone costs; default 0.1
	PatientSpare float64       // share of the slots that patient requests leave free; default 0.04
	PatientShare float64       // share of the slots that overdue patient requests take from interactive ones; default 0.2
	ColdSlots    int           // slots used of an endpoint that is cold; default 1
	TrialEvery   time.Duration // between requests that test a slow endpoint; default 1 s
	ShedPause    time.Duration // after an endpoint shed a request, doubled while it goes on; default 10 ms
	LearnFor     time.Duration // after Begin, before the first grant; default 100 ms
	Overbook     int           // requests sent to an endpoint beyond its slots while others wait; default 1, -1 for none
	OverbookOff  time.Duration // without overbooking after an endpoint shed one, doubled each time; default 10 s
	Health       health.Options
}

func (o Options) withDefaults() Options {
	o.TTL = cmp.Or(o.TTL, 3*time.Second)
	o.QueueLimit = cmp.Or(o.QueueLimit, 2000)
	o.FreshFor = cmp.Or(o.FreshFor, 2*time.Second)
	o.ZoneCost = cmp.Or(o.ZoneCost, 0.1)
	o.PatientSpare = cmp.Or(o.PatientSpare, 0.04)
	o.PatientShare = cmp.Or(o.PatientShare, 0.2)
	o.ColdSlots = cmp.Or(o.ColdSlots, 1)
	o.TrialEvery = cmp.Or(o.TrialEvery, time.Second)
	o.LearnFor = cmp.Or(o.LearnFor, 100*time.Millisecond)
	o.Overbook = cmp.Or(o.Overbook, 1)
	o.OverbookOff = cmp.Or(o.OverbookOff, 10*time.Second)
	o.ShedPause = cmp.Or(o.ShedPause, defaultShedPause)
	return o
}
