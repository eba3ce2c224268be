// Package placement defines the types with which a balancer's request path asks for an
// endpoint and later reports the result of the request. They are the same whether the
// balancer chooses the endpoint itself from load reports (package direct), or the home of the
// service, which is the balancer that grants the service's slots, does so (package node).
//
// The package has no state and no rules. Endpoint, Class, Outcome, LoadReport and
// LoadState are also sent between balancers in gob encoding, so the names of their
// fields are part of the wire format; package compat checks them.
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

// Endpoint is a server of a service.
type Endpoint struct {
	VM    string // identity of the VM; it does not change when the server restarts
	Addr  string
	Zone  string
	Slots int // number of requests that it works on at once
}

// Class is the priority class of a request that waits for a slot.
type Class uint8

// The classes.
const (
	Interactive Class = iota // a person waits for the response
	Patient                  // may wait long, but needs a response
	// Classes is the number of classes.
	Classes
)

// String returns the name of the class in settings.
func (c Class) String() string {
	return [...]string{"interactive", "patient"}[c]
}

// ParseClass returns the class with the given name. It fails if there is none.
func ParseClass(s string) (Class, error) {
	for c := range Classes {
		if c.String() == s {
			return c, nil
		}
	}
	return 0, fmt.Errorf("placement: unknown class %q; want interactive or patient", s)
}

// Request is a request for an endpoint.
type Request struct {
	ID       string
	Service  string    // tenant/service
	Deadline time.Time // end of the whole response
	Avoid    []string  // VMs that were tried already

	// Used if a home decides.
	Class    Class
	Patience time.Duration // longest wait for a slot

	// Used if the balancer itself decides.
	Kind         string        // request kind; usual service times are learned by kind
	Accepted     time.Time     // when the balancer accepted the request
	Target       time.Duration // latency target, counted from Accepted; 0 for none
	Priority     int           // 0 is the most urgent
	Team         string        // of the caller; empty for none
	Weight       float64       // of the team among others that wait: the rate of its quota; 0 for none
	CallerWait   time.Duration // how long the caller said it waits for the response, counted from Accepted; 0 if it did not say
	Alone        bool          // an endpoint that holds no other request is preferred
	CrashedUnder []Incarnation // endpoints that terminated while they ran the request; they do not get it again, even if listed
	Regions      Regions       // where it may be served
	Hedge        bool          // a second attempt beside the first; it gets a suitable endpoint at once or none, and waits for nothing
}

// Incarnation is one start of an endpoint.
type Incarnation struct {
	VM    string
	Start int64 // identifies the start, as listed in the directory
}

// Grant is the right to send one request to one endpoint.
type Grant struct {
	ID       string
	Service  string // as in the Request
	Endpoint Endpoint

	// Set if a home decided.
	Class    Class
	HomeAddr string // address of the home for calls between balancers
	HomeID   string

	// Set if the balancer itself decided.
	Kind   string // as in the Request
	Choice Choice
}

// RolloutSide is the version of a service's software that an endpoint runs during a rollout.
type RolloutSide uint8

// The sides.
const (
	AnySide      RolloutSide = iota // there is no rollout, or the version does not matter
	OldSide                         // the version in service before the rollout
	NewSide                         // the new version, at an endpoint that takes part in the current stage
	ExcludedSide                    // gets no requests: it runs a version that was rolled back or replaced, or does not take part yet
)

// Choice is what was known of an endpoint when the balancer chose it. It is logged, and used to
// learn the usual service time from the request's completion.
type Choice struct {
	Start   int64         // Start of the endpoint's Incarnation; 0 if unknown
	Pace    float64       // slowdown factor that the endpoint reported, 1 at its usual speed; 0 without a report
	Busy    int           // estimated number of requests that it holds, including this one
	Side    RolloutSide   // version that the endpoint runs during a rollout
	Cold    bool          // it is warming up
	WarmAge time.Duration // of the last response that says that it is warm, counted from the probe; below 0 without one
	// WriteUntil is when the permit for the endpoint's warm-up, or the proof that it is warm, expires; zero
	// if the request needs neither. Permit says that it is a permit.
	WriteUntil time.Time
	Permit     bool
	Suspended  time.Duration // total suspension of the VM when WriteUntil was determined
	Trial      bool          // it had asked for a backoff and has run no request since
	Pressed    bool          // many endpoints of its service were full or did not answer a moment ago
	Limited    bool          // it has a limit on requests per second, and the limit's owner has granted this request
	Estimate   time.Duration // expected time until the response
	Age        time.Duration // of the report; below 0 without one
	Probes     int           // load reports requested before this choice
}

// Search is the result of a search in which no endpoint was chosen: the counts of the service's
// endpoints by state.
type Search struct {
	Known, Ejected, Full int           // numbers of endpoints
	Limited              int           // number of the Known endpoints at their limit on requests per second
	BackingOff           int           // number of the Known endpoints in a backoff, or in the slow start after it
	Unanswered           int           // number of the Known endpoints that did not respond to the last probe
	Best                 time.Duration // estimate at the best endpoint
	Probes               int           // load reports requested

	// Set if requests are ordered by urgency and this one was rejected for lack of capacity.
	Ordered  bool
	Waiting  int           // requests that wait for an endpoint of the service
	Forecast time.Duration // wait of a request of this urgency; 0 if unknown
}

// Refusal is the reason why there is no grant. The request was not sent.
type Refusal struct {
	Reason     reason.Code
	RetryAfter time.Duration // time after which the caller may retry
	Search     Search        // set if the balancer itself decided
}

// Outcome is what the end of a granted request shows about its endpoint.
type Outcome uint8

// The outcomes.
const (
	Completed Outcome = iota // the endpoint responded
	Shed                     // the endpoint responded that it did not run the request
	Failed                   // no connection, or an incomplete, late or failing response
	Unused                   // nothing is known: the caller left, or nothing was sent
)

// String returns the name of the outcome in traces.
func (o Outcome) String() string {
	return [...]string{"completed", "shed", "failed", "unused"}[o]
}

// Result is how a granted request ended.
type Result struct {
	Outcome  Outcome
	Took     time.Duration // from sending to the end of the response
	Load     LoadReport    // of the response
	Backoff  time.Duration // time for which the endpoint asked to be sent nothing; 0 if it did not ask
	Reset    bool          // the endpoint closed the connection at once, without a response
	Replaced bool          // another incarnation responds at the endpoint's address
	// Overtaken: the request was canceled because another endpoint answered a second attempt first.
	// The Outcome is Unused, and Took is the time until then.
	Overtaken bool
}

// LoadReport is the load of an endpoint, as it reports it.
type LoadReport struct {
	Known    bool // there was a valid report
	InFlight int  // number of requests that it works on
	Waiting  int  // number of requests that wait for a slot
	Slots    int
	Pace     float64 // current slowdown factor of its work, 1 at its usual speed; 0 if not reported
	State    LoadState
}

// LoadState is the state of an endpoint, as it reports it.
type LoadState string

// The states that endpoints report.
const (
	Live     LoadState = "live"
	Draining LoadState = "draining"
	Cold     LoadState = "cold"
)
