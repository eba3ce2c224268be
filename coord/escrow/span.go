// Package escrow divides limits of a whole fleet in advance, so that balancers which hear of no other
// one keep to them together, whichever of them are cut off from which.
//
// A limit is a number of whole tokens. Every balancer holds a Span of the unit interval, and the spans
// of different balancers are disjoint. Each limit spreads its tokens evenly over the interval, from an
// offset that is a hash of its key, and a balancer holds those tokens that lie within its span. No token
// lies within two spans, so no sum of what balancers hold exceeds the limit, with any number of limits
// and without a message for each of them. A balancer whose share of a limit is less than one token holds
// one of some limits and none of the others.
//
// The balancer that assigns the spans of a zone keeps a Ledger: it never offers a part that another
// balancer may still hold.
//
// The spread of the tokens is systematic sampling: Madow and Madow, "On the theory of systematic
// sampling", 1944. Shares that are divided in advance are the escrow method: O'Neil, "The escrow
// transactional method", 1986.
//
// # Usage
//
//	ledger.Divide(zone, weights)
//	ledger.Report(addr, held, now)
//	span := ledger.Offer(addr)             // sent to the balancer at addr
//	n := span.Tokens("team/medina", total) // there
package escrow

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Span is a half-open part of the unit interval. Package gob sends the field names. The zero value is
// empty.
type Span struct {
	Start, End float64
}

// Whole is the span of the only balancer.
var Whole = Span{Start: 0, End: 1}

// IsEmpty reports whether the span has no width.
func (s Span) IsEmpty() bool { return !(s.End > s.Start) }

// Width returns the width of the span, from 0 to 1.
func (s Span) Width() float64 { return max(0, s.End-s.Start) }

// Tokens returns how many of a number of tokens lie within the span. Spans that are disjoint hold no
// token of a key twice.
func (s Span) Tokens(key string, total int) int {
	if s.IsEmpty() || total <= 0 {
		return 0
	}
	offset := fraction(key)
	return tokensBelow(s.End, total, offset) - tokensBelow(s.Start, total, offset)
}

// fraction returns a hash of a string as a number in [0, 1).
func fraction(s string) float64 { return float64(xxhash.Sum64String(s)>>11) / (1 << 53) }

// tokensBelow returns how many tokens lie below x. Token i of total lies at (i+offset)/total.
func tokensBelow(x float64, total int, offset float64) int {
	n := math.Ceil(x*float64(total) - offset)
	return int(max(0, min(n, float64(total))))
}

// widestWithout returns the widest part of the span that lies outside all of the others.
func (s Span) widestWithout(others []Span) Span {
	others = slices.DeleteFunc(others, func(o Span) bool { return o.IsEmpty() || o.End <= s.Start || s.End <= o.Start })
	slices.SortFunc(others, func(a, b Span) int { return cmp.Compare(a.Start, b.Start) })
	widest, free := Span{}, s.Start
	for _, o := range append(others, Span{Start: s.End, End: s.End}) {
		if gap := (Span{Start: free, End: o.Start}); gap.Width() > widest.Width() {
			widest = gap
		}
		free = max(free, o.End)
	}
	return widest
}

// orZero returns the span, or the zero value if it is empty.
func (s Span) orZero() Span {
	if s.IsEmpty() {
		return Span{}
	}
	return s
}
