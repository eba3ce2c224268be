// Package hedge decides whether a request whose response is late gets a second attempt at another
// endpoint while the first one is still under way, and when.
//
// A Kind holds what is learned of one request kind: the distribution of its response times and the
// share of its requests that were hedged lately. FitsBudget limits the part of the retry budget that
// hedges use, and HasRoom says whether a service has capacity to spare.
//
// The package has no state, no clock and no I/O: a Kind is an immutable value that the caller keeps.
//
// # Usage
//
//	kind = kind.WithRequest(now)
//	if at, ok := kind.HedgeAt(sent, due); ok {
//		// at that time, if there is no response yet:
//		if kind.AllowsHedge(now) && hedge.FitsBudget(retriesLeft, hedges) && hedge.HasRoom(reporting, free) {
//			kind = kind.WithHedge(now)
//		}
//	}
//	kind = kind.WithResponse(took)
package hedge

import (
	"time"

	"github.com/lotuswing/lotuswing/coord/retry"
)

const (
	// Span is the length of the window in which hedges are compared with the retry budget, the same as
	// that of the fleet's limit on second attempts.
	Span = 10 * time.Second
	// ShareSpan is the length of the window in which the share of hedged requests is limited. A small
	// balancer gets some five requests of a kind a second; in 10 s that earns two hedges, and slow
	// requests that come close together would get none.
	ShareSpan = 30 * time.Second
	// requestShare is the largest fraction of the requests of a kind that is hedged. It equals the
	// fraction of responses that are later than lateQuantile.
	requestShare = 0.05
	// lateQuantile is the quantile of the response times beyond which a response is late.
	lateQuantile = 1 - requestShare
	// minDelayFactor is the least delay of a hedge as a multiple of the median response time. A hedge
	// responds about one median after it is sent, so it is of use only if the first attempt takes
	// longer than the delay and a median together. Where response times hardly vary, nearly all
	// responses later than lateQuantile arrive before that.
	minDelayFactor = 1.5
	// minSamples is the number of response times before the first hedge; two of them are then
	// expected beyond lateQuantile.
	minSamples = 40
	// budgetShare is the part that hedges may use of the retries which failed attempts have left.
	budgetShare = 0.5
	// roomShare is the fraction of the endpoints with a recent report that must have a free slot.
	roomShare = 0.5
	// minReports is the number of recent reports below which nothing is known of a service's room.
	minReports = 2
)

// Kind is what is known of one request kind. It is an immutable value.
type Kind struct {
	times  Times
	recent retry.Window // requests, and hedges as its retries
}

// NewKind returns a kind of which nothing is known.
func NewKind() Kind {
	return Kind{recent: retry.NewWindow(retry.WindowLimit{Span: ShareSpan, Ratio: requestShare})}
}

// WithRequest returns the kind after one more request.
func (k Kind) WithRequest(now time.Time) Kind {
	k.recent = k.recent.WithRequest(now)
	return k
}

// WithHedge returns the kind after one more hedge.
func (k Kind) WithHedge(now time.Time) Kind {
	k.recent = k.recent.WithRetry(now)
	return k
}

// WithResponse returns the kind after a response. If the first attempt was canceled because a hedge
// answered, took is the time until then: it is already late, so quantiles up to lateQuantile are not
// distorted.
func (k Kind) WithResponse(took time.Duration) Kind {
	k.times = k.times.With(took)
	return k
}

// AllowsHedge reports whether one more hedge keeps to the kind's share.
func (k Kind) AllowsHedge(now time.Time) bool { return k.recent.Allows(now) }

// HedgeAt returns when a request that was sent at a time is hedged if it has no response by then. due
// is the time until which a response is useful. ok is false if too little is known, or if the response
// to a hedge is not expected by due.
func (k Kind) HedgeAt(sent, due time.Time) (at time.Time, ok bool) {
	if k.times.Count() < minSamples {
		return time.Time{}, false
	}
	median := k.times.Quantile(0.5)
	delay := max(k.times.Quantile(lateQuantile), time.Duration(minDelayFactor*float64(median)))
	at = sent.Add(delay)
	return at, !at.Add(median).After(due)
}

// FitsBudget reports whether one more hedge keeps to the hedges' part of a retry budget. retriesLeft
// is how many retries the budget still allows, and hedges the number of hedges charged to it in the
// last Span.
func FitsBudget(retriesLeft float64, hedges int) bool {
	return retriesLeft >= 1 && float64(hedges+1) <= budgetShare*(retriesLeft+float64(hedges))
}

// HasRoom reports whether a service has capacity to spare. reporting is the number of its endpoints
// with a recent load report, and free the number of those with a free slot.
func HasRoom(reporting, free int) bool {
	return reporting >= minReports && float64(free) >= roomShare*float64(reporting)
}
