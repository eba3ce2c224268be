package directory

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/lotuswing/lotuswing/coord/freshness"
	"github.com/lotuswing/lotuswing/coord/position"
	"github.com/lotuswing/lotuswing/internal/pause"
	"github.com/lotuswing/lotuswing/internal/untrusted"
)

// ErrCompacted says that the store no longer has the history that a watch asked
// for.
var ErrCompacted = errors.New("directory: store has compacted its history")

// ErrRestored says that the store was restored from a copy since the position that a watch asked for, or
// that it answered from before a restore.
var ErrRestored = errors.New("directory: store was restored from a copy")

// Source is a store that holds the configuration and the endpoints.
type Source interface {
	// ReadAll reads everything, either exactly or cheaply; a cheap read may return data
	// that is seconds old. It fails if a part of the read takes some seconds.
	ReadAll(ctx context.Context, exact bool) (Changes, error)
	// ReadRegistrations reads only the registrations of balancers, cheaply; they may be
	// seconds old.
	ReadRegistrations(ctx context.Context) (Changes, error)
	// Watch waits at most wait for changes after a revision and returns them. It
	// returns ErrCompacted if the store no longer has them.
	Watch(ctx context.Context, after uint64, wait time.Duration) (Changes, error)
	// Revision reads the store's revision, either exactly or cheaply; a cheap read may return
	// one that is seconds old.
	Revision(ctx context.Context, exact bool) (uint64, error)
}

// PagedSource is a Source that can hand over each page of a read before the read is complete.
type PagedSource interface {
	// ReadPages is ReadAll that also passes each page to onPage, in the order of keys, until onPage
	// returns false. It returns everything it read.
	ReadPages(ctx context.Context, exact bool, onPage func(Changes) bool) (Changes, error)
}

// Follower keeps a directory up to date from a store. In standby it does not follow the
// store, and another process brings the changes.
type Follower struct {
	directory   *Directory
	source      Source
	opts        Options
	active      *gate         // whether the store is followed
	serving     atomic.Bool   // whether other processes rely on this follower
	lost        atomic.Bool   // a read or watch failed, and none has succeeded since
	failures    atomic.Int64  // consecutive failed reads and watches
	answeredAt  atomic.Int64  // time of the store's last answer, in ns since startedAt; 0 for none
	confirmedAt atomic.Int64  // a time at which the directory knew all that the store had accepted, in ns since startedAt; 0 for none
	era         atomic.Uint64 // the store's era at its last answer; 0 if it states none
	startedAt   time.Time     // with a monotonic clock reading
	calls       atomic.Int64  // calls made to the store
	watchAdvice chan advice   // why to abandon the present watch
	retry       chan struct{} // ends the pause after a failed call
	noticed     chan struct{} // a check saw a change while no watch waits
	watching    watching      // what the watch and the monitor know of each other
	costs       costs         // of recent calls
	refused     int           // number of watches in a row that the store refused, or that a full read did not help; used by Run alone
	rereads     atomic.Int64  // number of full reads because a watch was refused or missed changes
	last        atomic.Pointer[lastChanges]
	reports     untrusted.Reports // of records that cannot be read
}

// NewFollower returns a follower of source that keeps d up to date once Run is called.
func NewFollower(d *Directory, source Source, opts Options) *Follower {
	opts = opts.withDefaults()
	return &Follower{
		directory: d, source: source, opts: opts, active: newGate(!opts.Standby), startedAt: time.Now(),
		watchAdvice: make(chan advice, 1), retry: make(chan struct{}, 1), noticed: make(chan struct{}, 1),
	}
}

// Lost reports whether a read or watch failed and the store has not answered one since. A watch
// that the store has accepted counts as an answer.
func (f *Follower) Lost() bool { return f.lost.Load() }

// Calls returns the number of calls made to the store.
func (f *Follower) Calls() int64 { return f.calls.Load() }

// SetActive says whether to follow the store. When following ends, a watch that is
// waiting is not cancelled.
func (f *Follower) SetActive(active bool) {
	if f.active.set(active) {
		f.opts.Log.Info("following the store", "active", active, "revision", position.Text(f.directory.Snapshot().Revision))
	}
}

// Active reports whether the store is followed.
func (f *Follower) Active() bool { return f.active.isOpen() }

// SetServing says whether other processes rely on this follower. If they do, it
// shortens its pauses.
func (f *Follower) SetServing(serving bool) { f.serving.Store(serving) }

// UpToDate reports whether the store is followed and has answered recently, and nothing was missing at most
// Options.Within ago, so that the directory's content may be passed on as the store's present state.
func (f *Follower) UpToDate(now time.Time) bool {
	if confirmed := f.Confirmed(); !confirmed.IsZero() && now.Sub(confirmed) > f.opts.Within {
		return false
	}
	answeredAt := f.answeredAt.Load()
	age := now.Sub(f.startedAt) - time.Duration(answeredAt)
	return answeredAt > 0 && f.active.isOpen() && f.failures.Load() < outdatedFailures &&
		age < f.shortened(f.opts.CheckEvery)+f.opts.CheckTimeout+upToDateSlack
}

// LastAnswer returns when the store last answered; the zero time if it never has.
func (f *Follower) LastAnswer() time.Time {
	answeredAt := f.answeredAt.Load()
	if answeredAt == 0 {
		return time.Time{}
	}
	return f.startedAt.Add(time.Duration(answeredAt))
}

// Confirmed returns the latest time at which the directory is known to have had all changes that the
// store had accepted; the zero time if there is none. No cheap read counts, because it may be older.
func (f *Follower) Confirmed() time.Time {
	at := f.confirmedAt.Load()
	if at == 0 {
		return time.Time{}
	}
	return f.startedAt.Add(time.Duration(at))
}

// Confirm records that at the given time the directory had all changes that the store had accepted, as a
// read or a check of this follower has shown, or as another balancer states. An earlier time changes nothing.
func (f *Follower) Confirm(at time.Time) {
	since := int64(at.Sub(f.startedAt))
	for {
		old := f.confirmedAt.Load()
		if since <= old || f.confirmedAt.CompareAndSwap(old, since) {
			return
		}
	}
}

// eraSource is a Source that states how often the store has been restored from a copy.
type eraSource interface{ Era() uint64 }

// Era returns the store's era at its last answer, 0 if it states none.
func (f *Follower) Era() uint64 { return f.era.Load() }

// logEra logs a change of the store's era, which says that the store was restored from a copy.
func (f *Follower) logEra() {
	source, ok := f.source.(eraSource)
	if !ok {
		return
	}
	current := source.Era()
	if old := f.era.Swap(current); old != current && old > 0 {
		f.opts.Log.Warn("store was restored from a copy", "era", current, "previous_era", old, "revision", position.Text(f.directory.Snapshot().Revision))
	}
}

// Resume accounts for a suspension of the VM of the given length: the store's last answer is that
// much older, and the connection of a waiting watch may have been lost.
func (f *Follower) Resume(suspended time.Duration) {
	if answeredAt := f.answeredAt.Load(); answeredAt > 0 {
		f.answeredAt.Store(answeredAt - int64(suspended))
	}
	if confirmedAt := f.confirmedAt.Load(); confirmedAt > 0 {
		f.confirmedAt.CompareAndSwap(confirmedAt, confirmedAt-int64(suspended))
	}
	if f.watching.startedAt() != 0 {
		f.abandonWatch(watchAgain)
	}
}

// WatchDuration returns for how long the present watch has waited, or 0
// if there is none. A watch that has waited for some milliseconds has brought
// whatever the store knew when it began.
func (f *Follower) WatchDuration(now time.Time) time.Duration {
	since := f.watching.startedAt()
	if since == 0 {
		return 0
	}
	return now.Sub(f.startedAt) - since
}

const (
	outdatedFailures = 2                      // number of consecutive failed reads and watches at which a follower is no longer up to date
	upToDateSlack    = 150 * time.Millisecond // how much older than a check period and its timeout the last answer may be
)

// budget returns the time within which a change must be known. One on which other processes rely leaves them
// a part of it.
func (f *Follower) budget() freshness.Budget {
	within := f.opts.Within
	if f.serving.Load() {
		within = time.Duration(servingBudgetShare * float64(within))
	}
	return freshness.Budget{Within: within, Patience: f.shortened(f.opts.StuckTimeout)}
}

// shortened returns a pause, shortened to servingShare of it if other processes rely on this
// follower.
func (f *Follower) shortened(d time.Duration) time.Duration {
	if f.serving.Load() {
		return time.Duration(servingShare * float64(d))
	}
	return d
}

// Run reads everything, then follows the store until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	go f.monitor(ctx)
	if f.opts.Bootstrap != nil {
		f.opts.Bootstrap(ctx)
	} else {
		f.readInitial(ctx)
	}
	for ctx.Err() == nil {
		f.follow(ctx)
		if f.active.wait(ctx) {
			f.pauseForRereads(ctx)
			f.readExactly(ctx)
			if f.watching.lack(f.directory.Snapshot().Revision).behind {
				f.refused++
			}
		}
	}
}

// follow watches for changes and applies them, until everything has to be read again or ctx
// ends.
func (f *Follower) follow(ctx context.Context) {
	for f.active.wait(ctx) {
		began := time.Now()
		changes, err := f.watch(ctx)
		switch {
		case errors.Is(err, ErrCompacted):
			f.refused++
			f.opts.Log.Info("store has compacted its history; reading everything again", "revision", position.Text(f.directory.Snapshot().Revision), "in_a_row", f.refused)
			return
		case errors.Is(err, ErrRestored):
			f.refused++
			f.opts.Log.Info("watch is of an earlier era of the store; reading everything again", "revision", position.Text(f.directory.Snapshot().Revision), "in_a_row", f.refused)
			return
		case errors.Is(err, errWatchMissesChanges):
			f.opts.Log.Info("watch misses changes; reading everything again", "revision", position.Text(f.directory.Snapshot().Revision))
			return
		case errors.Is(err, errWatchMayBeLost):
			f.opts.Log.Info("watch may be lost; starting a new one", "revision", position.Text(f.directory.Snapshot().Revision))
		case err != nil:
			f.pauseAfterFailure(ctx, "watch", err)
		default:
			f.refused = 0
			f.recordAnswer()
			changes.Via, changes.Since = ViaWatch, f.Confirmed()
			f.Apply(changes)
			f.Confirm(began)
			f.pauseForBatch(ctx, changes)
		}
	}
}

// pauseForBatch pauses after changes, so that the next answer brings several at once. A follower
// that other processes rely on does not pause for registrations alone: a balancer that does not
// know of one would register too.
func (f *Follower) pauseForBatch(ctx context.Context, changes Changes) {
	n := changes.Count()
	if f.serving.Load() {
		n -= len(changes.Registrations)
	}
	if n > 0 && n < backlogThreshold {
		f.pauseUntilNoticed(ctx, f.shortened(f.opts.BatchDelay))
	}
}

// pauseForRereads pauses before a full read if several watches in a row were refused, or not helped by a read.
func (f *Follower) pauseForRereads(ctx context.Context) {
	f.rereads.Add(1)
	pause.For(ctx, f.budget().RereadPeriod(f.refused, f.opts.RetryPause, f.costs.load()))
}

// pauseUntilNoticed pauses for d, but ends early if a check sees a change that must be known before.
func (f *Follower) pauseUntilNoticed(ctx context.Context, d time.Duration) {
	end := time.Now().Add(d)
	for ctx.Err() == nil {
		now := time.Now()
		missed := f.watching.lack(f.directory.Snapshot().Revision)
		if missed.restored {
			return
		}
		if missed.behind {
			watchAt := f.budget().WatchAt(missed.confirmed, now, f.costs.load())
			if watchAt.Before(end) {
				end = watchAt
			}
		}
		if !now.Before(end) {
			return
		}
		pause.Until(ctx, f.noticed, end.Sub(now))
	}
}

// backlogThreshold is the number of changes in one answer at which more are assumed to be waiting,
// so that there is no pause. A store bounds its answers, and a configuration may come after
// thousands of entries.
const backlogThreshold = 100

// recordAnswer records that the store has answered, and ends the pause after a failure.
func (f *Follower) recordAnswer() {
	f.answeredAt.Store(int64(time.Since(f.startedAt)))
	f.failures.Store(0)
	f.logEra()
	if f.lost.Swap(false) {
		f.opts.Log.Info("store regained")
	}
	f.EndRetryPause()
	f.opts.OnAnswer()
}

// EndRetryPause ends the pause after a failed call. Callers use it when the store has just answered a call
// of their own, which the follower would otherwise notice only after its pause.
func (f *Follower) EndRetryPause() {
	select {
	case f.retry <- struct{}{}:
	default:
	}
}

// pauseAfterFailure records that the store has not answered, and pauses. The pause grows with each
// consecutive failure, because failed calls are paid for too.
func (f *Follower) pauseAfterFailure(ctx context.Context, call string, err error) {
	if ctx.Err() != nil {
		return
	}
	select {
	case <-f.retry: // discards an answer from before this failure
	default:
	}
	failures := f.failures.Add(1)
	if !f.lost.Swap(true) {
		f.opts.Log.Warn("store lost", "call", call, "error", err)
	}
	f.opts.OnFailure()
	longest := f.shortened(f.opts.maxPauseAfter(failures))
	pause.Until(ctx, f.retry, longest/2+rand.N(longest/2+1))
}
