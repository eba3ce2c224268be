package directory

import (
	"cmp"
	"context"
	"time"

	"github.com/hashicorp/go-hclog"
)

// Options of a Follower. Zero fields take the defaults, which are for a bound of
// two seconds (see OptionsWithin).
type Options struct {
	Log hclog.Logger
	// Gather is the pause after changes, in which more of them come together;
	// default 1.4 s.
	Gather time.Duration
	// CheckEvery is the time between revision checks, which are cheap reads;
	// default 850 ms. CheckWait bounds one; default 600 ms.
	CheckEvery time.Duration
	CheckWait  time.Duration
	// StuckAfter is how long a revision may be known that the watch has not
	// brought; default 550 ms.
	StuckAfter time.Duration
	// ExactCheckEvery is the time between exact revision checks while cheap reads
	// lag; default 1 s.
	ExactCheckEvery time.Duration
	// RetryPause is the pause after a failed call, doubled with each further one up
	// to retryMost; default 500 ms.
	RetryPause time.Duration
	// Observe is told of all changes after they are in force; may be nil.
	Observe func(Changes)
	// Begin brings a first copy of everything into force and returns when it is, or
	// when ctx has ended; nil to read it from the store, which each process of a
	// fleet that starts at once would do at the same time.
	Begin func(ctx context.Context)
	// OnAnswer is called after each answer of the store, and OnFailure after each call that it
	// did not answer; they may be nil.
	OnAnswer  func()
	OnFailure func()
	// Standby makes a follower that asks the store for nothing but its first
	// reading until SetActive tells it to.
	Standby bool
}

// The defaults and bounds that do not depend on how late a change may come.
const (
	// watchWait is how long one watch waits at the store.
	watchWait = 25 * time.Second
	// readWait bounds the reading of everything.
	readWait = 3 * time.Second
	// exactCheckEvery: exact reads cost ten times as much as cheap ones.
	exactCheckEvery = time.Second
	// retryPause and retryMost bound the tries while the store does not answer, which are paid
	// for.
	retryPause = 500 * time.Millisecond
	retryMost  = 2 * time.Second
	// defaultBound is the bound for which the defaults are.
	defaultBound = 2 * time.Second
)

// OptionsWithin returns options that bring a change into force within a bound
// after the store has taken it, also where a watch does not bring it: the next
// revision check notices it and it is read after the stuck time.
func OptionsWithin(bound time.Duration) Options {
	part := func(share float64) time.Duration { return time.Duration(share * float64(bound)) }
	return Options{
		Gather:     part(gatherShare),
		CheckEvery: min(part(checkShare), mostCheckEvery),
		StuckAfter: part(stuckShare),
		CheckWait:  min(part(checkWaitShare), mostCheckWait),
	}
}

// Parts of the bound.
const (
	// gatherShare: each call to the store is paid for.
	gatherShare = 0.7
	// checkShare, stuckShare: 850 ms and 550 ms of 2 s. Together they stay below
	// the bound.
	checkShare     = 0.425
	stuckShare     = 0.275
	checkWaitShare = 0.3
	// mostCheckEvery keeps the checks within the second in which cheap reads are fresh while the
	// store drops its history.
	mostCheckEvery = 850 * time.Millisecond
	mostCheckWait  = 600 * time.Millisecond
	// servingShare is the part of its pauses that remains to a follower on which
	// other processes rely: what they add comes on top.
	servingShare = 0.5
)

func (o Options) withDefaults() Options {
	usual := OptionsWithin(defaultBound)
	o.Gather = cmp.Or(o.Gather, usual.Gather)
	o.CheckEvery = cmp.Or(o.CheckEvery, usual.CheckEvery)
	o.CheckWait = cmp.Or(o.CheckWait, usual.CheckWait)
	o.StuckAfter = cmp.Or(o.StuckAfter, usual.StuckAfter)
	o.ExactCheckEvery = cmp.Or(o.ExactCheckEvery, exactCheckEvery)
	o.RetryPause = cmp.Or(o.RetryPause, retryPause)
	if o.Observe == nil {
		o.Observe = func(Changes) {}
	}
	if o.OnAnswer == nil {
		o.OnAnswer = func() {}
	}
	if o.OnFailure == nil {
		o.OnFailure = func() {}
	}
	if o.Log == nil {
		o.Log = hclog.NewNullLogger()
	}
	return o
}

// retryPause returns the longest pause after so many failures in a row.
func (o Options) retryPause(failures int64) time.Duration {
	return min(o.RetryPause<<min(failures-1, mostDoublings), retryMost)
}

// mostDoublings keeps the pause after failures from overflowing before its bound
// applies.
const mostDoublings = 10
