// Package rollout decides how a new version of a service comes in: which part of the
// requests goes to it, and whether it is good.
//
// A roll-out goes through stages (Plan.Next). First a small part of the requests goes to the
// new version, all of it to a few of its endpoints, so that these are as busy as any other:
// what only shows under load shows there. All balancers count what became of requests at the
// new and at the old version at the same time, and a sequential test compares them (Suspicion):
// a fault that strikes both versions speaks against neither. A version that stays good until
// two fifths of the time are over gets a larger part, then everything, and when nothing goes
// to the old one any more the roll-out is completed. A version that is found bad at any time
// is rolled back for good.
//
// Everything here is a pure function of its arguments. Counting over the fleet is the matter
// of coord/tally; who decides, and how all hear of it, of package rollout.
//
// # Usage
//
//	s = s.With(evidence)
//	next := rollout.Plan{Duration: 12 * time.Second, Settle: 2 * time.Second}.Next(status, facts)
package rollout

import (
	"math"
	"time"
)

// State of a roll-out.
type State string

// The states, with the names under which they are stored.
const (
	Running    State = "running"
	Completed  State = "completed"
	RolledBack State = "rolled_back"
)

// Status is how far a roll-out has come. It is an immutable value.
type Status struct {
	State State
	Stage int // of Running, an index of Stages
}

// Share returns the part of a service's requests that goes to the new version.
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

// Stages are the parts of the requests that a new version gets one after the other. Of a
// service that operators let a bad version have a tenth of, one that shows in the first stage
// has had a twentieth when two fifths of the time are over; in the second one it has a
// quarter for a tenth of the time, which is as much again.
var Stages = []float64{0.05, 0.25, 1}

const (
	provedAt  = 0.4  // until then the first stage lasts
	secondFor = 0.1  // so long the second one
	overAt    = 0.85 // by then it should be completed: news of four statuses take their time
	// enoughPart is how many endpoints of the new version there are, against those of the old
	// one, before it gets more: both together are about twice what the load needs.
	enoughPart = 0.5
)

// Facts are what a decision rests on.
type Facts struct {
	Since    time.Duration // the order was given
	InStage  time.Duration // the status was reached
	Bad      bool          // the new version has been found bad
	Proved   bool          // enough requests have shown it to be good
	New, Old int           // endpoints that can be used of either version
}

// Plan is what an operator asked for.
type Plan struct {
	Duration time.Duration // in which the roll-out should be completed
	// Settle is how long a status takes to be in force at all balancers, and what was sent
	// before to be answered.
	Settle time.Duration
}

// Next returns the status that follows.
func (p Plan) Next(s Status, f Facts) Status {
	switch {
	case s.State != Running:
		return s
	case f.Bad:
		return Status{State: RolledBack}
	case s.Stage == len(Stages)-1:
		if f.InStage >= p.Settle {
			return Status{State: Completed}
		}
		return s
	case p.stageOver(s.Stage, f) && p.mayGrow(s.Stage, f):
		return Status{State: Running, Stage: s.Stage + 1}
	}
	return s
}

// stageOver reports whether a stage has lasted as long as it has to.
func (p Plan) stageOver(stage int, f Facts) bool {
	if stage == 0 {
		return f.Since >= p.part(provedAt)
	}
	return f.InStage >= p.part(secondFor)
}

// mayGrow reports whether the new version may get more: it is proved, or there is no time
// left to wait for more requests, and it has endpoints enough.
func (p Plan) mayGrow(stage int, f Facts) bool {
	if !f.Proved && f.Since < p.latest() {
		return false
	}
	wanted := Stages[stage+1] * float64(f.Old) * enoughPart
	return f.New > 0 && float64(f.New) >= wanted
}

// latest returns how long after the order the first stage may last at the most: too little
// evidence holds nothing up any more then.
func (p Plan) latest() time.Duration { return p.part(overAt) - p.part(secondFor) - p.Settle }

func (p Plan) part(share float64) time.Duration { return time.Duration(share * float64(p.Duration)) }

// Sample is what became of requests of one kind at one version.
type Sample struct {
	Asked  int64 // that ran, or may have
	Failed int64 // of these, that failed
	Slow   int64 // of these, that took several times as long as expected
}

// Minus returns what was added to an earlier sample.
func (s Sample) Minus(earlier Sample) Sample {
	return Sample{Asked: s.Asked - earlier.Asked, Failed: s.Failed - earlier.Failed, Slow: s.Slow - earlier.Slow}
}

// Plus returns the sum of two samples.
func (s Sample) Plus(o Sample) Sample {
	return Sample{Asked: s.Asked + o.Asked, Failed: s.Failed + o.Failed, Slow: s.Slow + o.Slow}
}

const (
	// badAt is the logarithm of how much likelier a bad version is than a good one when it
	// is rolled back: one good version in some thousand (TestErrorRates).
	badAt = 9.2
	// provedBy is the same the other way round: some 70 requests without a failure.
	provedBy = 4.6
	// leastShare is the part of failures, or of slow ones, that is nothing unusual, and
	// leastMore by how much a bad version has more: half of what is usual is allowed on
	// top of it, and as much again makes it bad.
	leastShare = 0.02
	leastMore  = 0.06
	usualMore  = 1.5
)

// Suspicion is what is held against a new version, for one kind of request. It is an
// immutable value; its zero value is that of a version nobody has used.
//
// It is Page's cumulative sum of the log-likelihood ratio of a bad version against a good
// one: what spoke for a version long ago does not outweigh what speaks against it now, so
// that one which turns bad later is found as soon as one that was bad from the start.
type Suspicion struct {
	failed, slow float64 // sums, at least 0
	cleared      float64 // sum without that bound, of failures: what speaks for it is below 0
	old          Sample  // of the old version, so far
}

// With returns the suspicion after more requests at the new and at the old version.
func (s Suspicion) With(newer, older Sample) Suspicion {
	s.old = s.old.Plus(older)
	failed := weight(newer.Asked, newer.Failed, s.old.Asked, s.old.Failed)
	s.failed = max(0, s.failed+failed)
	s.slow = max(0, s.slow+weight(newer.Asked, newer.Slow, s.old.Asked, s.old.Slow))
	s.cleared += failed
	return s
}

// Bad reports whether the version is bad.
func (s Suspicion) Bad() bool { return s.failed >= badAt || s.slow >= badAt }

// Proved reports whether enough requests have shown that it does not fail more than it may.
func (s Suspicion) Proved() bool { return s.cleared <= -provedBy }

// weight returns how much so many failures of so many requests speak for a bad version, as a
// log-likelihood ratio, where the old version has had failures as well.
func weight(asked, failed, oldAsked, oldFailed int64) float64 {
	usual := (float64(oldFailed) + 1) / (float64(oldAsked) + 1/leastShare)
	good := min(leastShare+usualMore*usual, 0.5)
	bad := min(good+max(leastMore, good), 0.95)
	return float64(failed)*math.Log(bad/good) + float64(asked-failed)*math.Log((1-bad)/(1-good))
}
