// Package rollout decides on canary rollouts of new versions of a service: which share of the
// requests a new version gets, and whether it is good.
//
// A rollout goes through stages (Plan.Next). First a small share of the requests goes to the
// new version, and only to a few of its endpoints, so that each of these has as much load as any
// other endpoint; some faults appear only under load. All balancers count the results of requests at
// the new and at the old version over the same time, and a sequential test compares them
// (SequentialTest), so that a fault of both versions does not count against the new one. A version
// that is still good after two fifths of the planned duration gets a larger share, then all
// requests. Once no requests go to the old version any more, the rollout is completed. A version
// that is found bad at any time is rolled back for good.
//
// The package consists of pure functions. Package coord/tally adds up the counts of all
// balancers; the top-level package rollout selects the balancer that decides, and
// distributes the decisions.
//
// # Usage
//
//	test = test.With(newer, older)
//	facts := rollout.Facts{Bad: test.Bad(), Proved: test.Proved(), ...}
//	next := rollout.Plan{Duration: 12 * time.Second, SettleTime: 2 * time.Second}.Next(status, facts)
package rollout

import (
	"math"
	"time"
)

// State is the state of a rollout.
type State string

// The states, by the names that are stored.
const (
	Running    State = "running"
	Completed  State = "completed"
	RolledBack State = "rolled_back"
)

// Status is the progress of a rollout. It is an immutable value.
type Status struct {
	State State
	Stage int // index into Stages, if the State is Running
}

// Share returns the share of a service's requests that goes to the new version, from 0 to 1.
func (s Status) Share() float64 {
	switch s.State {
	case Completed:
		return 1
	case Running:
		return Stages[s.Stage]
	case RolledBack:
	}
	return 0
}

// Stages are the shares of the requests that a new version gets one after the other. They keep a
// bad version below a tenth of the requests of a rollout, which is what operators allow. The first
// stage gives it a twentieth of the requests for two fifths of the time; the second one gives it a
// quarter for a tenth of the time, which is about as many requests again.
var Stages = []float64{0.05, 0.25, 1}

const (
	firstStageEnd     = 0.4 // end of the first stage, as a share of the duration
	secondStageLength = 0.1 // length of the second stage, as a share of the duration
	// plannedCompletion is the planned completion, as a share of the duration. The rest is for the
	// four statuses of a rollout to reach all balancers.
	plannedCompletion = 0.85
	// neededEndpointShare is the number of endpoints that the new version needs to get all
	// requests, as a share of the old version's endpoints. For a share of the requests it needs the
	// same share of that number. The value is below 1 because both versions together have about
	// twice the endpoints that the load needs.
	neededEndpointShare = 0.5
)

// Facts are the inputs of a decision.
type Facts struct {
	Since    time.Duration // time since the operator's order
	InStage  time.Duration // time since the current stage was reached
	Bad      bool          // the new version was found bad
	Proved   bool          // enough requests have shown that the new version is good
	New, Old int           // numbers of usable endpoints of each version
}

// Plan is the schedule of a rollout.
type Plan struct {
	Duration time.Duration // time in which the operator wants the rollout completed
	// SettleTime is how long it takes until all balancers apply a new status and the requests
	// sent before that have ended.
	SettleTime time.Duration
}

// Next returns the status that follows s, which is s itself if nothing is to change.
func (p Plan) Next(s Status, f Facts) Status {
	switch {
	case s.State != Running:
		return s
	case f.Bad:
		return Status{State: RolledBack}
	case s.Stage == len(Stages)-1:
		if f.InStage >= p.SettleTime {
			return Status{State: Completed}
		}
		return s
	case p.stageOver(s.Stage, f) && p.mayIncreaseShare(s.Stage, f):
		return Status{State: Running, Stage: s.Stage + 1}
	}
	return s
}

// stageOver reports whether a stage has reached its planned length.
func (p Plan) stageOver(stage int, f Facts) bool {
	if stage == 0 {
		return f.Since >= p.shareOfDuration(firstStageEnd)
	}
	return f.InStage >= p.shareOfDuration(secondStageLength)
}

// mayIncreaseShare reports whether the new version may get a larger share: it must have enough
// endpoints, and must be proved unless there is no time left to wait for more requests.
func (p Plan) mayIncreaseShare(stage int, f Facts) bool {
	if !f.Proved && f.Since < p.maxWaitForProof() {
		return false
	}
	wanted := Stages[stage+1] * float64(f.Old) * neededEndpointShare
	return f.New > 0 && float64(f.New) >= wanted
}

// maxWaitForProof returns the time since the order after which the rollout goes on even if too few
// requests have been counted to prove the new version.
func (p Plan) maxWaitForProof() time.Duration {
	return p.shareOfDuration(plannedCompletion) - p.shareOfDuration(secondStageLength) - p.SettleTime
}

// shareOfDuration returns a share of the planned duration.
func (p Plan) shareOfDuration(share float64) time.Duration {
	return time.Duration(share * float64(p.Duration))
}

// Sample is the counts of requests of one kind at one version.
type Sample struct {
	Asked  int64 // requests that ran, or may have
	Failed int64 // those of Asked that failed
	Slow   int64 // those of Asked that took several times as long as expected
}

// Minus returns the counts that were added since an earlier sample.
func (s Sample) Minus(earlier Sample) Sample {
	return Sample{Asked: s.Asked - earlier.Asked, Failed: s.Failed - earlier.Failed, Slow: s.Slow - earlier.Slow}
}

// Plus returns the sum of two samples.
func (s Sample) Plus(o Sample) Sample {
	return Sample{Asked: s.Asked + o.Asked, Failed: s.Failed + o.Failed, Slow: s.Slow + o.Slow}
}

const (
	// badThreshold is the log-likelihood ratio of a bad version against a good one at which a version
	// is rolled back. Roughly one in a thousand good versions reaches it (TestErrorRates).
	badThreshold = 9.2
	// provedThreshold is the log-likelihood ratio of a good version against a bad one at which a
	// version is proved: about 70 requests without a failure.
	provedThreshold = 4.6
	// normalShare is the share of failed requests, or of slow ones, that is normal for any version.
	// A good version may have that share plus usualFactor times the share at the old version. A bad
	// version has twice the highest share of a good one, and at least minExcess above it.
	normalShare = 0.02
	minExcess   = 0.06
	usualFactor = 1.5
)

// SequentialTest is the evidence against a new version, for one kind of request. It is an
// immutable value; its zero value is that of a version without requests.
//
// It is a CUSUM test (Page's cumulative sum) of the log-likelihood ratio of a bad version
// against a good one. Old evidence for a version does not outweigh new evidence against it, so
// a version that turns bad later is found as fast as one that was bad from the start.
type SequentialTest struct {
	failed, slow    float64 // cumulative sums, bounded below by 0
	unboundedFailed float64 // sum over failures without that bound; negative if the version is likely good
	old             Sample  // of the old version, so far
}

// With returns the test after further requests: newer counts those at the new version, and
// older those at the old one.
func (s SequentialTest) With(newer, older Sample) SequentialTest {
	s.old = s.old.Plus(older)
	failed := logLikelihoodRatio(newer.Asked, newer.Failed, s.old.Asked, s.old.Failed)
	s.failed = max(0, s.failed+failed)
	s.slow = max(0, s.slow+logLikelihoodRatio(newer.Asked, newer.Slow, s.old.Asked, s.old.Slow))
	s.unboundedFailed += failed
	return s
}

// Bad reports whether the evidence suffices to roll the version back.
func (s SequentialTest) Bad() bool { return s.failed >= badThreshold || s.slow >= badThreshold }

// Proved reports whether the evidence suffices that the version fails no more often than a good one
// may. Slow requests do not count here.
func (s SequentialTest) Proved() bool { return s.unboundedFailed <= -provedThreshold }

// logLikelihoodRatio returns the log-likelihood ratio of a bad version against a good one. asked and
// failed are the counts of all and of failed requests at the new version. What counts as good
// depends on oldAsked and oldFailed, the same counts at the old version.
func logLikelihoodRatio(asked, failed, oldAsked, oldFailed int64) float64 {
	usual := (float64(oldFailed) + 1) / (float64(oldAsked) + 1/normalShare)
	good := min(normalShare+usualFactor*usual, 0.5)
	bad := min(good+max(minExcess, good), 0.95)
	return float64(failed)*math.Log(bad/good) + float64(asked-failed)*math.Log((1-bad)/(1-good))
}
