package balancer

import (
	"sync"
	"time"

	"github.com/lotuswing/lotuswing/coord/hedge"
	"github.com/lotuswing/lotuswing/coord/retry"
)

// retryBudgets holds the retry budget of each service, created on first use. A service has a
// sliding window if the settings limit the retries of the fleet, otherwise a token bucket.
type retryBudgets struct {
	mu        sync.Mutex
	window    *retry.WindowLimit // nil for token buckets
	byService map[string]retryBudget
	hedges    map[string]retry.Window // hedges charged to the budget, by service
}

// retryBudget is the budget of one service. It is an immutable value.
type retryBudget interface {
	retry.Budget
	// Remaining returns how many retries are left.
	Remaining(now time.Time) float64
	withRequest(now time.Time) retryBudget
	withRetry(now time.Time) retryBudget
}

// bucketBudget adapts retry.Bucket to retryBudget.
type bucketBudget struct{ retry.Bucket }

func (b bucketBudget) withRequest(now time.Time) retryBudget { return bucketBudget{b.WithRequest(now)} }

func (b bucketBudget) withRetry(now time.Time) retryBudget { return bucketBudget{b.WithRetry(now)} }

// windowBudget adapts retry.Window to retryBudget.
type windowBudget struct{ retry.Window }

func (w windowBudget) withRequest(now time.Time) retryBudget { return windowBudget{w.WithRequest(now)} }

func (w windowBudget) withRetry(now time.Time) retryBudget { return windowBudget{w.WithRetry(now)} }

// get returns the budget of a service. r.mu must be held.
func (r *retryBudgets) get(service string) retryBudget {
	budget, ok := r.byService[service]
	switch {
	case ok:
		return budget
	case r.window != nil:
		return windowBudget{retry.NewWindow(*r.window)}
	}
	return bucketBudget{retry.NewBucket()}
}

// addRequest counts a request of a service.
func (r *retryBudgets) addRequest(service string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.byService[service] = r.get(service).withRequest(now)
}

// claim decides whether to retry and, if so, charges the retry to the budget of the service.
func (r *retryBudgets) claim(service string, request retry.Request, a retry.Attempt, now time.Time) retry.Decision {
	r.mu.Lock()
	defer r.mu.Unlock()
	budget := r.get(service)
	d := retry.Decide(request, a, budget, now)
	if d.Again {
		r.byService[service] = budget.withRetry(now)
	}
	return d
}

// allowsHedge reports whether one more hedge keeps to the hedges' part of the budget of a service.
func (r *retryBudgets) allowsHedge(service string, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.hedgeFits(service, now)
}

// claimHedge charges a hedge to the budget of a service. It returns false if the hedges' part of the
// budget is used up.
func (r *retryBudgets) claimHedge(service string, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.hedgeFits(service, now) {
		return false
	}
	r.byService[service] = r.get(service).withRetry(now)
	r.hedges[service] = r.hedgesOf(service).WithRetry(now)
	return true
}

// hedgeFits implements allowsHedge; r.mu must be held.
func (r *retryBudgets) hedgeFits(service string, now time.Time) bool {
	return hedge.FitsBudget(r.get(service).Remaining(now), r.hedgesOf(service).Retries(now))
}

// hedgesOf returns the recent hedges of a service; r.mu must be held.
func (r *retryBudgets) hedgesOf(service string) retry.Window {
	if w, ok := r.hedges[service]; ok {
		return w
	}
	return retry.NewWindow(retry.WindowLimit{Span: hedge.Span})
}

// setLimit changes the limit of windows. Existing token buckets are unchanged.
func (r *retryBudgets) setLimit(limit retry.WindowLimit) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.window = &limit
	for service, budget := range r.byService {
		if w, ok := budget.(windowBudget); ok {
			r.byService[service] = windowBudget{w.WithLimit(limit)}
		}
	}
}
