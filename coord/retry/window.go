package retry

import "time"

// WindowLimit limits the retries of one process in any time span of a given length.
type WindowLimit struct {
	Span      time.Duration // length of the window
	Ratio     float64       // retries for each request in the window
	Allowance float64       // retries in addition to the ratio
}

// ProcessLimit returns the limit for each process of a fleet, such that all processes together stay
// within the fleet's limit, although none knows how many there are. The fleet's limit is, in any
// time window of length span, ratio retries per request and burst additional retries.
func ProcessLimit(span time.Duration, ratio, burst float64) WindowLimit {
	return WindowLimit{Span: span, Ratio: ratio * processRatioShare, Allowance: min(processAllowance, burst)}
}

const (
	// processRatioShare is the fraction of the fleet's ratio that each process uses. The burst covers
	// the allowances of at most burst processes; the unused part of the ratio makes up for the
	// allowances of further processes.
	processRatioShare = 0.85
	// processAllowance is the number of retries in a window that a process may make however few
	// requests it has.
	processAllowance = 1
)

// windowCounters is the number of counters in a window, one for each interval. The span equals all
// intervals but one, so that the whole span is counted wherever in the newest interval the current
// time is.
const windowCounters = 20

// Window limits retries by the number of requests in a sliding window, which is divided into
// windowCounters intervals. It is an immutable value.
type Window struct {
	limit    WindowLimit
	interval int64 // number of the newest interval, counted from the epoch
	requests [windowCounters]int
	retries  [windowCounters]int
}

// NewWindow returns an empty window.
func NewWindow(limit WindowLimit) Window { return Window{limit: limit} }

// WithLimit returns the window with another limit. The counts are kept if the span is the same,
// otherwise reset.
func (w Window) WithLimit(limit WindowLimit) Window {
	if limit.Span != w.limit.Span {
		return NewWindow(limit)
	}
	w.limit = limit
	return w
}

// WithRequest returns the window after one more request.
func (w Window) WithRequest(now time.Time) Window {
	w = w.advancedTo(now)
	w.requests[w.interval%windowCounters]++
	return w
}

// WithRetry returns the window after one more retry.
func (w Window) WithRetry(now time.Time) Window {
	w = w.advancedTo(now)
	w.retries[w.interval%windowCounters]++
	return w
}

// Allows reports whether one more retry at now is within the limit.
func (w Window) Allows(now time.Time) bool {
	requests, retries := w.counts(now)
	return float64(retries+1) <= w.limit.Ratio*float64(requests)+w.limit.Allowance
}

// Remaining returns how many more retries at now are within the limit; below 0 if the limit is
// exceeded.
func (w Window) Remaining(now time.Time) float64 {
	requests, retries := w.counts(now)
	return w.limit.Ratio*float64(requests) + w.limit.Allowance - float64(retries)
}

// Retries returns the number of retries in the window.
func (w Window) Retries(now time.Time) int {
	_, retries := w.counts(now)
	return retries
}

// counts returns the numbers of requests and of retries in the window.
func (w Window) counts(now time.Time) (requests, retries int) {
	w = w.advancedTo(now)
	for i := range windowCounters {
		requests += w.requests[i]
		retries += w.retries[i]
	}
	return requests, retries
}

// advancedTo returns the window advanced to now, with the counters that have left it reset.
func (w Window) advancedTo(now time.Time) Window {
	interval := now.UnixNano() / max(1, int64(w.limit.Span)/(windowCounters-1))
	if interval-w.interval >= windowCounters {
		w.requests, w.retries = [windowCounters]int{}, [windowCounters]int{}
		w.interval = interval
		return w
	}
	for w.interval < interval {
		w.interval++
		w.requests[w.interval%windowCounters] = 0
		w.retries[w.interval%windowCounters] = 0
	}
	return w
}
