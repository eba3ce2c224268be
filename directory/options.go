package directory

import (
	"cmp"
	"context"
	"time"

	"github.com/hashicorp/go-hclog"
)

// Options of a Follower. Zero fields take the defaults, with which a change is applied within
// two seconds (see OptionsWithin).
type Options struct {
	Log hclog.Logger
	// Within is the time from the store's acknowledgement of a change until the follower must know it, even
	// if a watch is silent and calls are slow; default 1.86 s.
	Within time.Duration
	// BatchDelay is the pause after changes, so that the next answer brings several at once;
	// default 1.4 s.
	BatchDelay time.Duration
	// CheckEvery is the time between revision checks, which are cheap reads;
	// default 850 ms. CheckTimeout is the timeout of one; default 600 ms.
	CheckEvery   time.Duration
	CheckTimeout time.Duration
	// StuckTimeout is how long the watch may lack a revision that a check has seen, before
	// everything is read again; default 550 ms.
	StuckTimeout time.Duration
	// ExactCheckEvery is the least time between exact revision checks while cheap reads
	// lag; default 1 s.
	ExactCheckEvery time.Duration
	// RetryPause is the longest pause after a first failed call, doubled with each consecutive
	// failure up to maxRetryPause; default 500 ms.
	RetryPause time.Duration
	// OnApplied is called with all changes after they are applied; may be nil.
	OnApplied func(Changes)
	// Bootstrap applies a first copy of everything and returns when it has, or
	// when ctx has ended. If it is nil, the follower reads the copy from the store; when a
	// whole fleet starts at once, all its processes would do so at the same time.
	Bootstrap func(ctx context.Context)
	// OnAnswer is called when the store answers a read, a watch or a cheap revision check, and
	// OnFailure when a watch fails, or a read that the follower retries; they may be nil.
	OnAnswer  func()
	OnFailure func()
	// Standby keeps the follower from all calls to the store, except its first read, until SetActive
	// activates it.
	Standby bool
}

// Defaults and bounds that do not depend on the bound given to OptionsWithin.
const (
	// watchWait is how long one watch waits at the store.
	watchWait = 25 * time.Second
	// watchSlack is how much longer than watchWait the answer of a watch may take.
	watchSlack = 3 * time.Second
	// fullReadTimeout is the timeout of a full read, of which the source bounds each page. One that is too short
	// would fail again and again where the store holds much or the machine is slow.
	fullReadTimeout = 30 * time.Second
	// defaultExactCheckEvery limits exact reads, which cost ten times as much as cheap ones.
	defaultExactCheckEvery = time.Second
	// defaultRetryPause and maxRetryPause limit the retries while the store does not answer, because each
	// call is paid for.
	defaultRetryPause = 500 * time.Millisecond
	maxRetryPause     = 2 * time.Second
	// defaultBound is the bound that the defaults are for.
	defaultBound = 2 * time.Second
)

// OptionsWithin returns options with which a change is applied within a bound
// after the store has accepted it, even if the watch does not bring it: the next
// revision check notices it, and after StuckTimeout everything is read again.
func OptionsWithin(bound time.Duration) Options {
	part := func(share float64) time.Duration { return time.Duration(share * float64(bound)) }
	return Options{
		Within:       part(withinShare),
		BatchDelay:   part(gatherShare),
		CheckEvery:   min(part(checkShare), maxCheckEvery),
		StuckTimeout: part(stuckShare),
		CheckTimeout: min(part(checkWaitShare), maxCheckWait),
	}
}

// Shares of the bound, and limits of the durations.
const (
	// withinShare leaves a part of the bound for the decisions that follow from a change.
	withinShare = 0.93
	// servingBudgetShare leaves those that rely on a follower the time to replace it, if it ends meanwhile,
	// by another one or by the store.
	servingBudgetShare = 0.7
	// gatherShare is high because each call to the store is paid for: a longer pause means
	// fewer calls.
	gatherShare = 0.7
	// checkShare and stuckShare are the longest times, which package freshness shortens where calls are slow.
	checkShare     = 0.425
	stuckShare     = 0.275
	checkWaitShare = 0.3
	// maxCheckEvery keeps the period of checks within the second for which cheap reads are fresh while
	// the store compacts its history.
	maxCheckEvery = 850 * time.Millisecond
	maxCheckWait  = 600 * time.Millisecond
	// servingShare is the share of its pauses that a follower keeps while other processes rely on
	// it. Their own delays add to those of the follower.
	servingShare = 0.5
)

// withDefaults returns the options with defaults in place of zero fields.
func (o Options) withDefaults() Options {
	defaults := OptionsWithin(defaultBound)
	o.Within = cmp.Or(o.Within, defaults.Within)
	o.BatchDelay = cmp.Or(o.BatchDelay, defaults.BatchDelay)
	o.CheckEvery = cmp.Or(o.CheckEvery, defaults.CheckEvery)
	o.CheckTimeout = cmp.Or(o.CheckTimeout, defaults.CheckTimeout)
	o.StuckTimeout = cmp.Or(o.StuckTimeout, defaults.StuckTimeout)
	o.ExactCheckEvery = cmp.Or(o.ExactCheckEvery, defaultExactCheckEvery)
	o.RetryPause = cmp.Or(o.RetryPause, defaultRetryPause)
	if o.OnApplied == nil {
		o.OnApplied = func(Changes) {}
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

// maxPauseAfter returns the longest pause after the given number of consecutive failures.
func (o Options) maxPauseAfter(failures int64) time.Duration {
	return min(o.RetryPause<<min(failures-1, maxDoublings), maxRetryPause)
}

// maxDoublings keeps the doubled pause from overflowing before maxRetryPause limits it.
const maxDoublings = 10
