package directory

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/lotuswing/lotuswing/internal/pause"
)

// ErrCompacted says that the store has forgotten the history that a watch asked
// for.
var ErrCompacted = errors.New("directory: the store's history is gone")

// Source is a store that holds the configuration and the endpoints.
type Source interface {
	// ReadAll reads everything that there is: cheaply, and then perhaps seconds
	// old, or exactly.
	ReadAll(ctx context.Context, exact bool) (Changes, error)
	// ReadRegistrations reads the registrations of balancers alone, cheaply, and
	// then perhaps seconds old.
	ReadRegistrations(ctx context.Context) (Changes, error)
	// Watch waits for changes after a revision, at most as long as wait. It
	// returns ErrCompacted when they are not known any more.
	Watch(ctx context.Context, after uint64, wait time.Duration) (Changes, error)
	// Revision reads the store's revision: cheaply, and then perhaps seconds
	// old, or exactly.
	Revision(ctx context.Context, exact bool) (uint64, error)
}

// PagedSource is a Source that tells what it has read before it has read everything.
type PagedSource interface {
	// ReadPages is ReadAll that gives each page to one, in the order of keys, until that
	// returns false.
	ReadPages(ctx context.Context, exact bool, one func(Changes) bool) (Changes, error)
}

// Follower keeps a directory up to date from a store. It can be told to leave
// the store alone while something else brings the changes.
type Follower struct {
	directory *Directory
	source    Source
	opts      Options
	active    *gate         // whether the store is followed
	serving   atomic.Bool   // others rely on this follower
	lost      atomic.Bool   // the store does not answer
	failures  atomic.Int64  // calls in a row that failed
	answered  atomic.Int64  // when the store last answered, in ns since began
	began     time.Time     // of the steady clock
	calls     atomic.Int64  // made so far
	giveUp    chan advice   // what to do instead of a watch that is not trusted
	retry     chan struct{} // ends the pause after a failure
	watching  atomic.Int64  // since when a watch waits, in ns since began; 0 for none
	compacted atomic.Bool   // the history went since the monitor last looked
}

// NewFollower returns a follower of a source.
func NewFollower(d *Directory, source Source, opts Options) *Follower {
	opts = opts.withDefaults()
	return &Follower{
		directory: d, source: source, opts: opts, active: newGate(!opts.Standby), began: time.Now(),
		giveUp: make(chan advice, 1), retry: make(chan struct{}, 1),
	}
}

// Lost reports whether the store does not answer at the moment.
func (f *Follower) Lost() bool { return f.lost.Load() }

// Calls returns how many calls were made to the store.
func (f *Follower) Calls() int64 { return f.calls.Load() }

// SetActive says whether the store is to be followed. A watch that waits when
// the following ends is left to its end.
func (f *Follower) SetActive(active bool) {
	if f.active.set(active) {
		f.opts.Log.Info("following the store", "active", active, "revision", f.directory.Snapshot().At)
	}
}

// Active reports whether the store is followed.
func (f *Follower) Active() bool { return f.active.open() }

// SetServing says whether other processes rely on this follower, which then
// shortens its pauses.
func (f *Follower) SetServing(serving bool) { f.serving.Store(serving) }

// Settled reports whether the store is followed and has answered lately, so
// that what is in force may be handed on as the store's present state.
func (f *Follower) Settled(now time.Time) bool {
	answered := f.answered.Load()
	age := now.Sub(f.began) - time.Duration(answered)
	return answered > 0 && f.active.open() && f.failures.Load() < unsettledFailures &&
		age < f.shortened(f.opts.CheckEvery)+f.opts.CheckWait+settledSlack
}

// Answered returns when the store last answered; zero for never.
func (f *Follower) Answered() time.Time {
	answered := f.answered.Load()
	if answered == 0 {
		return time.Time{}
	}
	return f.began.Add(time.Duration(answered))
}

// Resume notes that the VM was suspended for a while: what was in force is so much older,
// and a watch that waited may have been lost with its connection.
func (f *Follower) Resume(slept time.Duration) {
	if answered := f.answered.Load(); answered > 0 {
		f.answered.Store(answered - int64(slept))
	}
	if f.watching.Load() != 0 {
		f.giveUpWatch(watchAgain)
	}
}

// Watching returns for how long the present watch has waited at the store, 0
// where there is none. A watch that has waited for some milliseconds has brought
// whatever the store knew when it began.
func (f *Follower) Watching(now time.Time) time.Duration {
	since := f.watching.Load()
	if since == 0 {
		return 0
	}
	return now.Sub(f.began) - time.Duration(since)
}

const (
	unsettledFailures = 2                      // in a row
	settledSlack      = 150 * time.Millisecond // beyond the time of a check and its answer
)

// shortened shortens a pause where others rely on this follower.
func (f *Follower) shortened(d time.Duration) time.Duration {
	if f.serving.Load() {
		return time.Duration(servingShare * float64(d))
	}
	return d
}

// Run follows until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	go f.monitor(ctx)
	if f.opts.Begin != nil {
		f.opts.Begin(ctx)
	} else {
		f.begin(ctx)
	}
	for ctx.Err() == nil {
		f.follow(ctx)
		if f.active.wait(ctx) {
			f.readAgain(ctx)
		}
	}
}

// follow watches until the history is gone.
func (f *Follower) follow(ctx context.Context) {
	for f.active.wait(ctx) {
		changes, err := f.watch(ctx)
		switch {
		case errors.Is(err, ErrCompacted):
			f.compacted.Store(true)
			f.opts.Log.Info("store history gone", "revision", f.directory.Snapshot().At)
			return
		case errors.Is(err, errReadAgain):
			f.opts.Log.Info("watch not trusted; reading all again", "revision", f.directory.Snapshot().At)
			return
		case errors.Is(err, errWatchAgain):
			f.opts.Log.Info("watching anew", "revision", f.directory.Snapshot().At)
		case err != nil:
			f.failed(ctx, "watch", err)
		default:
			f.noteAnswer()
			f.Apply(changes)
			f.gather(ctx, changes)
		}
	}
}

// gather pauses after changes, so that more of them come with the next answer. A
// relay passes registrations on at once: a balancer that does not know of one
// would register, too.
func (f *Follower) gather(ctx context.Context, changes Changes) {
	n := changes.count()
	if f.serving.Load() {
		n -= len(changes.Registrations)
	}
	if n > 0 && n < backlog {
		pause.For(ctx, f.shortened(f.opts.Gather))
	}
}

// backlog is the number of changes in one answer from which more of them are thought to wait: a
// store bounds its answers, and a configuration may stand behind thousands of entries, so nothing
// is left to gather then.
const backlog = 100

// noteAnswer notes that the store has answered.
func (f *Follower) noteAnswer() {
	f.answered.Store(int64(time.Since(f.began)))
	f.failures.Store(0)
	if f.lost.Swap(false) {
		f.opts.Log.Info("store regained")
	}
	f.Retry()
	f.opts.OnAnswer()
}

// Retry ends the pause after a failed call. It is for those whose own calls the store has just
// answered: until the pause ends this follower would not notice that it does.
func (f *Follower) Retry() {
	select {
	case f.retry <- struct{}{}:
	default:
	}
}

// failed notes that the store has not answered, and pauses: longer with each
// failure in a row, since refused calls are paid for too.
func (f *Follower) failed(ctx context.Context, call string, err error) {
	if ctx.Err() != nil {
		return
	}
	select {
	case <-f.retry: // the store answered before this failure
	default:
	}
	failures := f.failures.Add(1)
	if !f.lost.Swap(true) {
		f.opts.Log.Warn("store lost", "call", call, "error", err)
	}
	f.opts.OnFailure()
	most := f.shortened(f.opts.retryPause(failures))
	pause.Until(ctx, f.retry, most/2+rand.N(most/2+1))
}
