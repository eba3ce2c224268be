package retry

import "time"

// WindowLimit bounds the repeats of a process in any span of a length, so that
// the sum over all processes keeps a bound of the fleet without asking one
// another: each may repeat a share of its own requests, and a small number
// beyond it.
type WindowLimit struct {
	Span      time.Duration // length of the window
	Ratio     float64       // repeats for each request in the window
	Allowance float64       // repeats beyond the ratio
}

// windowParts is how many parts are counted. All but one make up the span, so
// that the whole span is counted wherever in the newest part the time stands.
const windowParts = 20

// Window counts requests and repeats in parts of a sliding window. It is an
// immutable value.
type Window struct {
	limit    WindowLimit
	part     int64 // number of the newest part since the epoch
	requests [windowParts]int
	repeats  [windowParts]int
}

// NewWindow returns an empty window.
func NewWindow(limit WindowLimit) Window { return Window{limit: limit} }

// WithLimit returns the window under another limit. Counts stay where the span
// is the same, and begin anew where it is not.
func (w Window) WithLimit(limit WindowLimit) Window {
	if limit.Span != w.limit.Span {
		return NewWindow(limit)
	}
	w.limit = limit
	return w
}

// WithRequest returns the window after one more request.
func (w Window) WithRequest(now time.Time) Window {
	w = w.at(now)
	w.requests[w.part%windowParts]++
	return w
}

// WithRepeat returns the window after one more repeat.
func (w Window) WithRepeat(now time.Time) Window {
	w = w.at(now)
	w.repeats[w.part%windowParts]++
	return w
}

// Covers reports whether one more repeat at now keeps the bound.
func (w Window) Covers(now time.Time) bool {
	w = w.at(now)
	var requests, repeats int
	for i := range windowParts {
		requests += w.requests[i]
		repeats += w.repeats[i]
	}
	return float64(repeats+1) <= w.limit.Ratio*float64(requests)+w.limit.Allowance
}

// at returns the window with the parts before its span emptied.
func (w Window) at(now time.Time) Window {
	part := now.UnixNano() / max(1, int64(w.limit.Span)/(windowParts-1))
	if part-w.part >= windowParts {
		w.requests, w.repeats = [windowParts]int{}, [windowParts]int{}
		w.part = part
		return w
	}
	for w.part < part {
		w.part++
		w.requests[w.part%windowParts] = 0
		w.repeats[w.part%windowParts] = 0
	}
	return w
}
