// Package link implements the calls between balancers, over net/rpc.
//
// A Client keeps one connection to each peer. Each call needs its own deadline,
// because the connections to a paused peer stay open but carry no replies.
//
// The home of a service is the balancer that grants the contracts for its requests.
//
// The argument and reply types below define the wire format: package gob sends the
// names of their fields, nested ones included, and ignores fields that the receiver
// does not know. The tests of package compat fail if these names change; code that
// uses other names internally converts after decoding. The package manages
// connections and makes no decisions about requests.
//
// # Usage
//
//	c := link.NewClient(nil)
//	var reply link.Digest
//	err := c.Call(ctx, "127.0.0.1:7002", link.Exchange, args, &reply)
package link

import (
	"time"

	"github.com/lotuswing/lotuswing/coord/contract"
	"github.com/lotuswing/lotuswing/coord/document"
	"github.com/lotuswing/lotuswing/coord/leaving"
	"github.com/lotuswing/lotuswing/coord/member"
	"github.com/lotuswing/lotuswing/coord/placement"
	"github.com/lotuswing/lotuswing/coord/reason"
)

// Names of the net/rpc service and of its methods.
const (
	Service = "Balancer"

	Acquire     = Service + ".Acquire"
	Await       = Service + ".Await"
	Complete    = Service + ".Complete"
	Cancel      = Service + ".Cancel"
	Renew       = Service + ".Renew"
	Exchange    = Service + ".Exchange"
	Reach       = Service + ".Reach"
	Fetch       = Service + ".Fetch"
	Offer       = Service + ".Offer"
	Unconfirmed = Service + ".Unconfirmed"
	Sign        = Service + ".Sign"
)

// AcquireArgs asks the home of a service for a contract. Times are sent as
// durations, because the clocks of the two machines may differ.
type AcquireArgs struct {
	Service   string // tenant/service
	ID        string
	Holder    string // ID of the calling balancer
	Zone      string // of the calling balancer
	Class     placement.Class
	Patience  time.Duration // how long the request may wait
	Remaining time.Duration // time left until the request's deadline
	Avoid     []string      // VMs that were tried already; chosen only if no other is available
}

// AcquireReply is the home's decision. If Kind is Queued, the caller gets the final
// decision by calling Await.
type AcquireReply struct {
	Kind       contract.Kind
	Endpoint   placement.Endpoint
	Reason     reason.Code
	RetryAfter time.Duration
}

// AwaitArgs asks for the decision about a queued request. The home waits at most Wait
// for the decision before it replies.
type AwaitArgs struct {
	Service string
	ID      string
	Wait    time.Duration
}

// Done reports how a request under a contract ended. It is the argument of Complete.
type Done struct {
	Service string
	ID      string
	VM      string
	Outcome placement.Outcome
	Took    time.Duration
	Load    placement.LoadReport
	Backoff time.Duration // how long the endpoint asked to receive no requests; 0 if it did not ask
}

// CancelArgs withdraws a request from its home.
type CancelArgs struct {
	Service string
	ID      string
}

// RenewArgs extends the contracts that a holder uses. A home that does not know one
// of them, because it became the home after the grant, adopts it.
type RenewArgs struct {
	Service string
	Holder  string
	Held    []contract.Held
}

// Digest is the state that balancers exchange on each heartbeat. Members holds a bounded
// selection of the fleet (member.Table.Digest), except in the reply to a new member, which
// lists all members.
type Digest struct {
	From     member.Member
	Members  []member.Member
	Leaving  []leaving.Mark
	Versions map[string]uint64 // of the sender's documents, by name
	Settled  bool              // the sender has caught up with the fleet's document versions
}

// ReachArgs asks a peer to contact the member at Addr, which did not answer the
// caller (an indirect probe).
type ReachArgs struct {
	Addr string
}

// FetchArgs asks a peer for the document called Name.
type FetchArgs struct {
	Name string
}

// FetchReply carries the document in Value if the peer has it; otherwise Found is
// false.
type FetchReply struct {
	Found bool
	Value document.Value
}

// OfferArgs carries a document that the sender has just accepted. The receiver
// applies it if it is newer than its own.
type OfferArgs struct {
	Value document.Value
}

// UnconfirmedArgs asks a home for the endpoints of a service that have no requests in flight
// and whose last report that they stay in service is at least Silent old.
type UnconfirmedArgs struct {
	Service string
	Silent  time.Duration
}

// UnconfirmedReply lists the endpoints that UnconfirmedArgs asks for, the longest
// silent first.
type UnconfirmedReply struct {
	Endpoints []placement.Endpoint
}

// SignArgs passes on to a home the state that an endpoint reported about itself.
type SignArgs struct {
	Service string
	VM      string
	Load    placement.LoadReport
}

// Empty is the reply of calls that return no data.
type Empty struct{}
