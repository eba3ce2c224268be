package retry

import "time"

// Two rules say when a caller whose request did not run should come back. Both
// depend on the latency objective of its kind, the target: a caller that comes
// back much later has lost the worth of its response, one that comes back at once
// meets the same endpoints in the same state.

const (
	// noEndpointShare is the part of the target after which a caller comes back for whose request
	// no endpoint was found.
	noEndpointShare = 0.25
	// failedDivisor divides the target for a caller whose request endpoints were tried for and
	// did not run.
	failedDivisor = 8
	// withoutTarget is for kinds that have no target.
	withoutTarget = time.Second
)

// AfterNoEndpoint returns when to come back after no endpoint was found. It is
// spread by half to either side, since callers that are refused together would
// otherwise come back together. jitter is a random number in [0,1).
func AfterNoEndpoint(target time.Duration, jitter float64) time.Duration {
	if target <= 0 {
		return withoutTarget
	}
	share := noEndpointShare * float64(target)
	return time.Duration(share * (0.5 + jitter))
}

// AfterFailure returns when to come back after the attempts failed. It is not
// spread: attempts fail one by one.
func AfterFailure(target time.Duration) time.Duration {
	if target <= 0 {
		return withoutTarget
	}
	return target / failedDivisor
}
