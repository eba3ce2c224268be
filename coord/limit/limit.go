// Package limit enforces the limits that overloaded endpoints name in their answers: the most
// requests per second that an endpoint takes from all balancers together.
//
// An Observation is what an endpoint last said about its limit. Answers may arrive out of order,
// so observations are ordered by when the request was sent and when its answer arrived
// (observation.go). Each endpoint has an owner, the relay of its availability zone (Owner), which keeps
// a token bucket for the limit (bucket.go) and grants permits one request at a time to the
// balancers that ask (owner.go). Static shares would not work: a limit is often below one
// request per second for each balancer. Announcing the state of the bucket would not work
// either: by the time balancers hear of free tokens, many of them would use the same ones. A
// balancer whose owner does not reply sends at random times; all such balancers together use
// half of the limit (allowance.go). A Limiter is the state of one balancer, both as asker and, if
// it is a relay, as owner.
//
// The package does no I/O and reads no clock; random numbers come from the seed of a Limiter. A
// Limiter is not safe for concurrent use.
//
// # Usage
//
//	rate, said := limit.Parse(response.Header.Values("Lotuswing-Limit"))
//	limiter.ObserveAnswer(target, limit.Answer{Said: said, Rate: rate, SentAt: sent, ReceivedAt: now}, false)
//	if standing, _ := limiter.Standing(target, now); standing == limit.Askable {
//		ask, _ := limiter.Ask(target, now)
//		reply := owner.HandleAsks(addr, []limit.Ask{ask}, true, now) // at the owner
//		limiter.HandleReply(ask, reply.Grants[0], reply.Askers, now)
//	}
//	if limiter.Use(target, now).Admits() { send }
package limit

import "github.com/lotuswing/lotuswing/coord/decimal"

// HeaderState says whether an answer names a limit in its header.
type HeaderState uint8

// The values of HeaderState.
const (
	HeaderAbsent     HeaderState = iota // there is no limit header
	HeaderNamed                         // the header names a limit
	HeaderUnreadable                    // the header is not a valid limit, and neither sets nor lifts one
)

// String returns the name used in logs.
func (s HeaderState) String() string { return [...]string{"nothing", "named", "unreadable"}[s] }

// Parse parses the values of the limit header. A valid header is a single non-negative decimal
// number, such as 12 or 2.5, in requests per second. Signs, exponents, names such as NaN and a
// repeated header are unreadable: a header that can be understood in two ways is ignored.
func Parse(values []string) (perSecond float64, s HeaderState) {
	switch len(values) {
	case 0:
		return 0, HeaderAbsent
	case 1:
		if perSecond, ok := decimal.Parse(values[0]); ok {
			return perSecond, HeaderNamed
		}
	}
	return 0, HeaderUnreadable
}
