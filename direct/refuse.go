package direct

import (
	"math/rand/v2"
	"time"

	"github.com/lotuswing/lotuswing/coord/placement"
	"github.com/lotuswing/lotuswing/coord/reason"
	"github.com/lotuswing/lotuswing/coord/retry"
	"github.com/lotuswing/lotuswing/coord/selection"
)

// refuse says why there is no endpoint, with what was known of them.
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

// retryAfter returns when the caller of a refused request should come back. Callers that wait for
// the end of one backoff are spread behind it.
func retryAfter(d selection.Decision, target time.Duration) time.Duration {
	spread := retry.AfterNoEndpoint(target, rand.Float64())
	if d.Reason == reason.EndpointsBackingOff {
		return d.After + spread
	}
	return max(d.After, spread)
}
