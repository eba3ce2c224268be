package escrow

import (
	"maps"
	"math"
	"slices"
	"time"
)

// Layout divides a span among members by their weights, in the order of their names.
func Layout(whole Span, weights map[string]float64) map[string]Span {
	sum := 0.0
	for _, name := range slices.Sorted(maps.Keys(weights)) {
		sum += weights[name]
	}
	targets, below := make(map[string]Span, len(weights)), 0.0
	for _, name := range slices.Sorted(maps.Keys(weights)) {
		start := whole.Start + whole.Width()*below/sum
		below += weights[name]
		targets[name] = Span{Start: start, End: whole.Start + whole.Width()*below/sum}.orZero()
	}
	return targets
}

// Ledger is what the balancers of a zone may hold, as far as the balancer knows that assigns their
// spans. It is not safe for concurrent use.
type Ledger struct {
	whole   Span // of the zone
	targets map[string]Span
	holders map[string]holder
}

// holder is one balancer that may hold spans.
type holder struct {
	held    Span      // as of its last report
	offered Span      // since then; it may hold this one instead
	seen    time.Time // when it last reported
}

// NewLedger returns a ledger without holders.
func NewLedger() *Ledger { return &Ledger{targets: map[string]Span{}, holders: map[string]holder{}} }

// Divide divides a span among balancers by their weights, if the present division differs much from
// that. Weights are estimates, and each division leaves gaps until all holders have heard of it.
func (l *Ledger) Divide(whole Span, weights map[string]float64) {
	targets := Layout(whole, weights)
	if l.drifted(whole, targets) {
		l.whole, l.targets = whole, targets
	}
}

const (
	// driftFactor is the factor by which the width of a balancer's target must change before a span is
	// divided anew.
	driftFactor = 1.5
	// boundaryDrift is the same for the ends of the divided span, as a part of the unit interval.
	boundaryDrift = 0.02
)

// drifted reports whether a division differs much from the present one: in its balancers, its ends, or
// the width of a target.
func (l *Ledger) drifted(whole Span, targets map[string]Span) bool {
	if len(targets) != len(l.targets) || math.Abs(whole.Start-l.whole.Start) > boundaryDrift || math.Abs(whole.End-l.whole.End) > boundaryDrift {
		return true
	}
	for name, t := range targets {
		present, ok := l.targets[name]
		if !ok || t.Width() > driftFactor*present.Width() || present.Width() > driftFactor*t.Width() {
			return true
		}
	}
	return false
}

// Report records which span a balancer holds, and reports whether this ledger has offered it that span.
// An offer that it does not hold was lost and is void.
func (l *Ledger) Report(name string, held Span, now time.Time) (known bool) {
	before := l.holders[name]
	l.holders[name] = holder{held: held, seen: now}
	return held.IsEmpty() || held == before.offered || held == before.held
}

// ForgetBefore drops the balancers that have not reported since a time.
func (l *Ledger) ForgetBefore(t time.Time) {
	maps.DeleteFunc(l.holders, func(_ string, h holder) bool { return h.seen.Before(t) })
}

// Offer returns the span that a balancer is to hold from now on: of its target, what no other balancer
// may hold. The balancer must have reported.
func (l *Ledger) Offer(name string) Span {
	h := l.holders[name]
	var taken []Span
	for other, o := range l.holders {
		if other != name {
			taken = append(taken, o.held, o.offered)
		}
	}
	h.offered = l.targets[name].widestWithout(taken)
	l.holders[name] = h
	return h.offered
}

// Held returns the span that a balancer holds, or the one that it was offered since.
func (l *Ledger) Held(name string) Span {
	h := l.holders[name]
	if h.offered.IsEmpty() {
		return h.held
	}
	return h.offered
}

// Width returns how much of the unit interval all balancers hold that have reported.
func (l *Ledger) Width() float64 {
	width := 0.0
	for _, name := range slices.Sorted(maps.Keys(l.holders)) {
		width += l.Held(name).Width()
	}
	return width
}
