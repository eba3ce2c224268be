package retry

import "time"

// WindowLimit bounds the retries of one process in any span of a length.
type WindowLimit struct {
	Span      time.Duration // length of the window
	Ratio     float64       // retries for each request in the window
	Allowance float64       // retries beyond the ratio
}

// ShareOf returns the part of a fleet's bound on retries that each process may use
// on its own, so that their sum keeps the bound without any of them knowing how
// many there are: ratio is retries for each request, burst retries beyond it, both
// in any span.
func ShareOf(span time.Duration, ratio, burst float64) WindowLimit {
	return WindowLimit{Span: span, Ratio: ratio * processRatioShare, Allowance: min(processAllowance, burst)}
}

const (
	// processRatioShare leaves room between a process's share and the fleet's ratio for the
	// allowances of processes that are more than the burst.
	processRatioShare = 0.85
	// processAllowance lets a process that has few requests retry one at all.
	processAllowance = 1
)

// windowParts is how many parts of the window are counted. All but one make up
// the span, so that the whole span is counted wherever in the newest part the time
// stands.
const windowParts = 20

// Window bounds retries by the requests of a sliding window, which it counts in
// parts. It is an immutable value.
type Window struct {
	limit    WindowLimit
	part     int64 // number of the newest part since the epoch
	requests [windowParts]int
	retries  [windowParts]int
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

// WithRetry returns the window after one more retry.
func (w Window) WithRetry(now time.Time) Window {
	w = w.at(now)
	w.retries[w.part%windowParts]++
	return w
}

// Covers reports whether one more retry at now keeps the bound.
func (w Window) Covers(now time.Time) bool {
	w = w.at(now)
	var requests, retries int
	for i := range windowParts {
		requests += w.requests[i]
		retries += w.retries[i]
	}
	return float64(retries+1) <= w.limit.Ratio*float64(requests)+w.limit.Allowance
}

// at returns the window with the parts before its span emptied.
func (w Window) at(now time.Time) Window {
	part := now.UnixNano() / max(1, int64(w.limit.Span)/(windowParts-1))
	if part-w.part >= windowParts {
		w.requests, w.retries = [windowParts]int{}, [windowParts]int{}
		w.part = part
		return w
	}
	for w.part < part {
		w.part++
		w.requests[w.part%windowParts] = 0
		w.retries[w.part%windowParts] = 0
	}
	return w
}
