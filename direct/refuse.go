package direct

import (
	"math/rand/v2"
	"time"

	"github.com/lotuswing/lotuswing/coord/placement"
	"github.com/lotuswing/lotuswing/coord/reason"
	"github.com/lotuswing/lotuswing/coord/retry"
	"github.com/lotuswing/lotuswing/coord/selection"
)

// refuse returns the refusal of a request, with a summary of the search. It also counts the
// refusal, which lowers the first estimate for a request kind that has no completion yet.
func (c *Chooser) refuse(s *search, d selection.Decision) *placement.Refusal {
	c.mu.Lock()
	c.serviceTimes[s.request.Kind] = c.serviceTimes[s.request.Kind].WithRefusal()
	c.mu.Unlock()
	return &placement.Refusal{
		Reason:     d.Reason,
		RetryAfter: retryAfter(d, s.request.Target),
		Search:     s.ranking.Summary(s.probes),
	}
}

// retryAfter returns how long the caller of a refused request should wait before it retries.
// Callers that wait for the end of the same backoff, or for the next permit, are spread over a time after it, so that they
// do not all retry at once.
func retryAfter(d selection.Decision, target time.Duration) time.Duration {
	spread := retry.DelayAfterNoEndpoint(target, rand.Float64())
	if d.Reason == reason.EndpointsBackingOff || d.Reason == reason.EndpointsWarmingUp {
		return d.RetryAfter + spread
	}
	return max(d.RetryAfter, spread)
}
