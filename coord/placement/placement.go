// Package placement has the types in which a balancer's request path asks for an
// endpoint and later reports how the request went, whoever decides: the balancer
// itself on fresh load reports (package direct) or the home of the service
// (package node).
//
// It owns no state and decides nothing. Endpoint, Class, Outcome, LoadReport and
// LoadState are also sent between balancers by package gob, so the names of their
// fields are part of the wire; package compat pins them.
//
// # Usage
//
//	grant, refusal := chooser.Acquire(ctx, placement.Request{ID: id, Service: "t/s", Deadline: deadline})
//	...
//	chooser.Complete(grant, placement.Result{Outcome: placement.Completed, Took: took})
package placement

import (
	"fmt"
	"time"

	"github.com/lotuswing/lotuswing/coord/reason"
)

// Endpoint is one incarnation of a server of a service.
type Endpoint struct {
	VM    string // identity of the VM; another start may come under the same one
	Addr  string
	Zone  string
	Slots int // requests that it works on at once
}

// Class says how a request waits.
type Class uint8

// The classes.
const (
	Interactive Class = iota // a person waits for the response
	Patient                  // may wait long but must be answered
	// Classes is how many classes there are.
	Classes
)

// String returns the name used in configuration.
func (c Class) String() string {
	return [...]string{"interactive", "patient"}[c]
}

// ParseClass returns the class with a name.
func ParseClass(s string) (Class, error) {
	for c := range Classes {
		if c.String() == s {
			return c, nil
		}
	}
	return 0, fmt.Errorf("placement: class %q is none of interactive, patient", s)
}

// Request asks for an endpoint.
type Request struct {
	ID       string
	Service  string    // tenant/service
	Deadline time.Time // for the whole response
	Avoid    []string  // VMs that were tried already

	// Used where a home decides.
	Class    Class
	Patience time.Duration // longest wait for a slot

	// Used where the balancer decides itself.
	Kind     string        // request kind, whose usual service time is learnt
	Accepted time.Time     // when the balancer accepted the request
	Target   time.Duration // latency objective, counted from Accepted; 0 for none
	Priority int           // 0 the most urgent
	Alone    bool          // an endpoint that holds nothing else is wanted, if there is one
	Ended    []Incarnation // that ended under it; they get it no more, however long they are listed
	Regions  Regions       // in which it may be served
}

// Incarnation is one start of an endpoint.
type Incarnation struct {
	VM    string
	Start int64 // as it is listed
}

// Grant is the right to send one request to one endpoint.
type Grant struct {
	ID       string
	Service  string // as in the Request
	Endpoint Endpoint

	// Set where a home decided.
	Class  Class
	Home   string // link address
	HomeID string

	// Set where the balancer decided itself.
	Kind   string // as in the Request
	Choice Choice
}

// Side is which version of a service's software an endpoint runs, while a new one comes in.
type Side uint8

// The sides.
const (
	AnySide  Side = iota // no version comes in, or it does not matter
	OldSide              // the version that serves so far
	NewSide              // the version that comes in, at one of the endpoints that take part
	HeldSide             // gets nothing: a version that is rolled back, or one that does not take part yet
)

// Choice is what was known of an endpoint when the balancer chose it. It is
// logged, and what is learnt from the completion is judged by it.
type Choice struct {
	Start    int64         // which start of the endpoint, as it is listed; 0 where it is not told
	Pace     float64       // slowdown factor that the endpoint reported, 1 as usual; 0 without a report
	Busy     int           // requests that it is thought to hold, this one included
	Side     Side          // which version of the service the endpoint runs, while one comes in
	Cold     bool          // it warms up
	Trial    bool          // it had wanted no requests for a while, and has run none since
	Limited  bool          // it names how many requests a second it takes, and has room for this one
	Estimate time.Duration // until the response
	Age      time.Duration // of the report; below 0 without one
	Probes   int           // load reports asked for before this choice
}

// Search is what was known of a service's endpoints when none was chosen.
type Search struct {
	Known, Ejected, Full int           // numbers of endpoints
	Limited              int           // of these, at the limits that they name
	BackingOff           int           // of these, that want no requests for a while, or few after it
	Best                 time.Duration // lowest estimate
	Probes               int           // load reports asked for
}

// Refusal says why there is no grant. The request was not sent.
type Refusal struct {
	Reason     reason.Code
	RetryAfter time.Duration
	Search     Search // where the balancer decided itself
}

// Outcome says what a granted request showed about its endpoint.
type Outcome uint8

// The outcomes.
const (
	Completed Outcome = iota // the endpoint responded
	Shed                     // the endpoint said that it did not run the request
	Failed                   // no connection, or a broken, late or failing response
	Unused                   // nothing: the caller left, or nothing was sent
)

// String returns the word used in traces.
func (o Outcome) String() string {
	return [...]string{"completed", "shed", "failed", "unused"}[o]
}

// Result is how a granted request ended.
type Result struct {
	Outcome  Outcome
	Took     time.Duration // from sending to the end of the response
	Load     LoadReport    // that came with the response
	Backoff  time.Duration // for which the endpoint wants no requests; 0 where it did not say
	Replaced bool          // another incarnation answers at the endpoint's address
}

// LoadReport is what an endpoint says of its own load.
type LoadReport struct {
	Known    bool // there was a report that could be read
	InFlight int  // requests that it works on
	Waiting  int  // requests that wait for a slot
	Slots    int
	Pace     float64 // slowdown factor of its work now, 1 as usual; 0 where it is not told
	State    LoadState
}

// LoadState of an endpoint, as it reports it.
type LoadState string

// The states that endpoints report.
const (
	Live     LoadState = "live"
	Draining LoadState = "draining"
	Cold     LoadState = "cold"
)
