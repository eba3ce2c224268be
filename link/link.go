// Package link is what balancers say to one another, over net/rpc.
//
// A Client keeps one connection to each peer. Each call has a bound of its
// own, because a peer that is paused keeps its connections open and silent.
//
// The arguments and replies below are the wire: package gob sends the names of
// their fields and of those within them, and drops what the other side does not
// know. Package compat pins them; what wants another name inside is renamed where
// it is decoded. The package owns connections and decides nothing.
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

// Names of the methods, as net/rpc wants them.
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

// AcquireArgs asks the home of a service for a contract. Times are durations,
// because the two machines' clocks may differ.
type AcquireArgs struct {
	Service   string // tenant/service
	ID        string
	Holder    string
	Zone      string
	Class     placement.Class
	Patience  time.Duration // how long it may wait
	Remaining time.Duration // to the deadline of the request
	Avoid     []string
}

// AcquireReply is the home's decision. Where it is Queued, ask with Await.
type AcquireReply struct {
	Kind       contract.Kind
	Endpoint   placement.Endpoint
	Reason     reason.Code
	RetryAfter time.Duration
}

// AwaitArgs waits for the decision about a queued request, for at most Wait.
type AwaitArgs struct {
	Service string
	ID      string
	Wait    time.Duration
}

// Done says how a request under a contract ended.
type Done struct {
	Service string
	ID      string
	VM      string
	Outcome placement.Outcome
	Took    time.Duration
	Load    placement.LoadReport
	Backoff time.Duration // for which the endpoint wants no requests; 0 where it did not say
}

// CancelArgs takes back a request.
type CancelArgs struct {
	Service string
	ID      string
}

// RenewArgs extends contracts that are in use. A home that does not know one,
// because it is new, adopts it.
type RenewArgs struct {
	Service string
	Holder  string
	Held    []contract.Held
}

// Digest is what balancers exchange on each heartbeat. Its size is bounded by
// the member table's digest.
type Digest struct {
	From     member.Member
	Members  []member.Member
	Leaving  []leaving.Mark
	Versions map[string]uint64
	Settled  bool // the sender has learnt the versions of the fleet
}

// ReachArgs asks a peer to try a member that did not answer.
type ReachArgs struct {
	Addr string
}

// FetchArgs asks for a document.
type FetchArgs struct {
	Name string
}

// FetchReply carries a document, if the peer has it.
type FetchReply struct {
	Found bool
	Value document.Value
}

// OfferArgs carries a document that the sender has just taken in.
type OfferArgs struct {
	Value document.Value
}

// UnconfirmedArgs asks a home which endpoints have been silent for long.
type UnconfirmedArgs struct {
	Service string
	Silent  time.Duration
}

// UnconfirmedReply lists them, the longest silent first.
type UnconfirmedReply struct {
	Endpoints []placement.Endpoint
}

// SignArgs tells a home what an endpoint said of itself.
type SignArgs struct {
	Service string
	VM      string
	Load    placement.LoadReport
}

// Empty is the reply of a call that answers nothing.
type Empty struct{}
