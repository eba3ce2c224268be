// Package limit holds balancers to the requests a second that an endpoint in need takes from
// all of them together, as it names them in its answers.
//
// A Word is what an endpoint last said. Answers cross on their way, so a word counts by when
// its request was sent and when its answer came (word.go). Each endpoint has an owner, the
// relay of its zone (Owner), which keeps a bucket of its limit (bucket.go) and gives room out
// request by request to whoever asks (owner.go): a limit is often less than a request a second
// for each balancer, so that no share of it is worth having, and a bucket that is told of late
// is spent by many at once. A balancer that gets no answer sends at random moments, of which all
// balancers together have half of the limit (account.go). A Book is one balancer's part, as
// asker and, at a relay, as owner.
//
// Nothing here does I/O or reads a clock; random numbers come from the seed of a Book. A Book is
// not safe for concurrent use.
//
// # Usage
//
//	rate, said := limit.Parse(response.Header.Values("Lotuswing-Limit"))
//	book.Answered(target, limit.Answer{Said: said, Rate: rate, Asked: sent, Heard: now}, false)
//	if standing, _ := book.Standing(target, now); standing == limit.Askable {
//		ask, _ := book.Ask(target, now)
//		reply := owner.Asked(addr, []limit.Ask{ask}, true, now) // at the owner
//		book.Replied(ask, reply.Grants[0], reply.Askers, now)
//	}
//	if book.Use(target, now).Admits() { send }
package limit

import "github.com/lotuswing/lotuswing/coord/decimal"

// Said is what the header of an answer says of a limit.
type Said uint8

// What a header says.
const (
	Nothing    Said = iota // there is none
	Named                  // a limit
	Unreadable             // something that is no limit, which neither names nor lifts one
)

// String returns the word used in logs.
func (s Said) String() string { return [...]string{"nothing", "named", "unreadable"}[s] }

// Parse reads the values of the header: one decimal number, not below 0, such as 12 or 2.5, in
// requests a second. Signs, exponents, names of numbers and a second header are unreadable: an
// endpoint whose word can be read in two ways has said nothing.
func Parse(values []string) (perSecond float64, s Said) {
	switch len(values) {
	case 0:
		return 0, Nothing
	case 1:
		if perSecond, ok := decimal.Parse(values[0]); ok {
			return perSecond, Named
		}
	}
	return 0, Unreadable
}
