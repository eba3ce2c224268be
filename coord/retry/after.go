package retry

import "time"

// Two rules set the Retry-After of a failed request. Both depend on the target, the
// latency objective of the request's kind: a caller that retries much later no longer
// benefits from the response, and one that retries at once finds the same endpoints
// in the same state.

const (
	// noEndpointShare is the fraction of the target after which a caller retries if no endpoint
	// was found.
	noEndpointShare = 0.25
	// failureDivisor divides the target to get the Retry-After of a request whose attempts failed.
	failureDivisor = 8
	// minUntilReady and maxUntilReady bound the time that a balancer without a configuration is
	// expected to need until it has one. The first is about what it takes when hundreds start.
	minUntilReady = 250 * time.Millisecond
	maxUntilReady = 2 * time.Second
	// defaultRetryAfter applies to kinds without a target.
	defaultRetryAfter = time.Second
)

// DelayAfterNoEndpoint returns the Retry-After of a request for which no endpoint was found. It is
// varied at random by up to 50% in both directions, because callers that are refused together would
// otherwise retry together. jitter is a random number in [0,1).
func DelayAfterNoEndpoint(target time.Duration, jitter float64) time.Duration {
	if target <= 0 {
		return defaultRetryAfter
	}
	share := noEndpointShare * float64(target)
	return time.Duration(share * (0.5 + jitter))
}

// DelayAfterFailure returns the Retry-After of a request whose attempts failed. It has no jitter,
// because attempts fail one by one.
func DelayAfterFailure(target time.Duration) time.Duration {
	if target <= 0 {
		return defaultRetryAfter
	}
	return target / failureDivisor
}

// DelayUntilReady returns the Retry-After of a request to a balancer that has waited for its first
// configuration since its start, for the time elapsed. What has not come within a time will most
// likely take as long again, whatever holds it up: the store, its link or the other balancers. It is
// varied at random by up to 50% in both directions. jitter is a random number in [0,1).
func DelayUntilReady(elapsed time.Duration, jitter float64) time.Duration {
	remaining := min(max(elapsed, minUntilReady), maxUntilReady)
	return time.Duration(float64(remaining) * (0.5 + jitter))
}
