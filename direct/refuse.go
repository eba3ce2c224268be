package direct

import (
	"math/rand/v2"
	"time"

	"github.com/lotuswing/lotuswing/coord/placement"
	"github.com/lotuswing/lotuswing/coord/reason"
	"github.com/lotuswing/lotuswing/coord/retry"
	"github.com/lotuswing/lotuswing/coord/selection"
)

// refuse returns the refusal of a request, with what was known of the endpoints, and counts it for
// the request's kind.
func (c *Chooser) refuse(s *search, d selection.Decision) *placement.Refusal {
	c.mu.Lock()
	c.workloads[s.request.Kind] = c.workloads[s.request.Kind].WithRefusal()
	c.mu.Unlock()
	return &placement.Refusal{
		Reason:     d.Reason,
		RetryAfter: retryAfter(d, s.request.Target),
		Search:     s.ranking.Search(s.probes),
	}
}

// retryAfter returns after how long the caller of a refused request should retry. Callers that wait
// for the same backoff to end are spread over the time after it.
func retryAfter(d selection.Decision, target time.Duration) time.Duration {
	spread := retry.AfterNoEndpoint(target, rand.Float64())
	if d.Reason == reason.EndpointsBackingOff {
		return d.After + spread
	}
	return max(d.After, spread)
}
