package directory

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/lotuswing/lotuswing/internal/pause"
)

// ErrCompacted says that the store has forgotten the history that a watch asked
// for.
var ErrCompacted = errors.New("directory: the store's history is gone")

// Source is a store that holds the configuration and the endpoints.
type Source interface {
	// ReadAll reads everything that there is.
	ReadAll(ctx context.Context) (Changes, error)
	// Watch waits for changes after a revision, at most as long as wait. It
	// returns ErrCompacted when they are not known any more.
	Watch(ctx context.Context, after uint64, wait time.Duration) (Changes, error)
	// Revision asks for the store's revision: cheaply, and then perhaps
	// seconds old, or exactly.
	Revision(ctx context.Context, exact bool) (uint64, error)
}

// Options of a Follower. Zero fields take the defaults.
type Options struct {
	Log        hclog.Logger
	WatchWait  time.Duration // of one watch; default 25 s
	Gather     time.Duration // pause after changes, in which more of them gather; default 1.4 s
	ReadWait   time.Duration // bound of reading everything; default 3 s
	ProbeEvery time.Duration // between cheap questions; default 850 ms
	ProbeWait  time.Duration // bound of one; default 600 ms
	RetryPause time.Duration // after a failure; default 250 ms
	StuckAfter time.Duration // a watch that misses a revision known for so long is cut; default 550 ms
	CheckEvery time.Duration // between exact questions while cheap ones lag; default 1 s
}

// OptionsWithin returns options that bring a change into force within a bound
// after the store has taken it, also where a watch does not bring it.
func OptionsWithin(bound time.Duration) Options {
	part := func(share float64) time.Duration { return time.Duration(share * float64(bound)) }
	return Options{
		Gather:     part(gatherShare),
		ProbeEvery: min(part(probeShare), mostProbeEvery),
		StuckAfter: part(stuckShare),
		ProbeWait:  min(part(probeWaitShare), mostProbeWait),
	}
}

// Parts of the bound. A change that a watch misses is seen by the next cheap
// question and read after the stuck time.
const (
	gatherShare    = 0.7
	probeShare     = 0.425
	stuckShare     = 0.275
	probeWaitShare = 0.3
	// mostProbeEvery keeps the questions within the second in which cheap reads
	// are fresh while a store drops its history.
	mostProbeEvery = 850 * time.Millisecond
	mostProbeWait  = 600 * time.Millisecond
)

func (o Options) withDefaults() Options {
	set := func(field *time.Duration, value time.Duration) {
		if *field == 0 {
			*field = value
		}
	}
	set(&o.WatchWait, 25*time.Second)
	set(&o.Gather, 1400*time.Millisecond)
	set(&o.ReadWait, 3*time.Second)
	set(&o.ProbeEvery, 850*time.Millisecond)
	set(&o.ProbeWait, 600*time.Millisecond)
	set(&o.RetryPause, 250*time.Millisecond)
	set(&o.StuckAfter, 550*time.Millisecond)
	set(&o.CheckEvery, time.Second)
	if o.Log == nil {
		o.Log = hclog.NewNullLogger()
	}
	return o
}

// Follower keeps a directory up to date.
type Follower struct {
	directory *Directory
	source    Source
	opts      Options
	lost      atomic.Bool   // the store does not answer
	calls     atomic.Int64  // made so far
	resync    chan struct{} // asks for everything to be read again
	watching  atomic.Bool   // a watch waits
	compacted atomic.Bool   // the history went since the guard last looked
}

// NewFollower returns a follower of a source.
func NewFollower(d *Directory, source Source, opts Options) *Follower {
	return &Follower{directory: d, source: source, opts: opts.withDefaults(), resync: make(chan struct{}, 1)}
}

// Lost reports whether the store does not answer at the moment.
func (f *Follower) Lost() bool { return f.lost.Load() }

// Calls returns how many calls were made to the store.
func (f *Follower) Calls() int64 { return f.calls.Load() }

// Run follows until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	go f.guard(ctx)
	for ctx.Err() == nil {
		if err := f.readAll(ctx); err != nil {
			f.failed(ctx, "read", err)
			continue
		}
		f.follow(ctx)
	}
}

func (f *Follower) readAll(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, f.opts.ReadWait)
	defer cancel()
	f.calls.Add(1)
	changes, err := f.source.ReadAll(ctx)
	if err != nil {
		return err
	}
	f.apply(changes)
	return nil
}

// follow watches until the history is gone.
func (f *Follower) follow(ctx context.Context) {
	for ctx.Err() == nil {
		changes, err := f.watch(ctx)
		switch {
		case errors.Is(err, ErrCompacted):
			f.compacted.Store(true)
			f.opts.Log.Info("store history gone", "revision", f.directory.Snapshot().At)
			return
		case errors.Is(err, errResync):
			f.opts.Log.Info("watch not trusted; reading all again", "revision", f.directory.Snapshot().At)
			return
		case err != nil:
			f.failed(ctx, "watch", err)
		default:
			f.apply(changes)
			if n := changes.count(); n > 0 && n < backlog {
				pause.For(ctx, f.opts.Gather)
			}
		}
	}
}

// backlog is the number of changes in one answer from which more of them are
// thought to wait: a store bounds its answers, and a configuration may stand
// behind thousands of entries, so nothing is left to gather then.
const backlog = 100

// errResync: a watch was given up because it seems to miss changes.
var errResync = errors.New("directory: watch given up")

func (f *Follower) watch(ctx context.Context) (Changes, error) {
	ctx, cancel := context.WithTimeout(ctx, f.opts.WatchWait+f.opts.ReadWait)
	defer cancel()
	select {
	case <-f.resync: // asked for before this watch began
	default:
	}
	stop := make(chan struct{})
	defer close(stop)
	var cut atomic.Bool
	go func() {
		select {
		case <-f.resync:
			cut.Store(true)
			cancel()
		case <-stop:
		}
	}()
	f.calls.Add(1)
	f.watching.Store(true)
	defer f.watching.Store(false)
	changes, err := f.source.Watch(ctx, f.directory.Snapshot().At, f.opts.WatchWait)
	if err != nil && cut.Load() {
		return Changes{}, errResync
	}
	return changes, err
}

func (f *Follower) apply(changes Changes) {
	f.answered()
	applied := f.directory.Apply(changes, time.Now())
	if applied.Version > 0 {
		f.opts.Log.Info("configuration in force", "version", applied.Version, "revision", changes.At)
	}
	if applied.Ignored > 0 {
		f.opts.Log.Warn("older configuration ignored", "version", applied.Ignored, "revision", changes.At)
	}
	for _, err := range changes.Faults {
		f.opts.Log.Error("unusable entry; what was known stays", "error", err, "revision", changes.At)
	}
	for _, c := range applied.Moved {
		f.opts.Log.Info("endpoint", "id", c.ID, "service", c.Service, "state", c.State.String(), "revision", changes.At)
	}
}

func (f *Follower) answered() {
	if f.lost.Swap(false) {
		f.opts.Log.Info("store regained")
	}
}

func (f *Follower) failed(ctx context.Context, call string, err error) {
	if ctx.Err() != nil {
		return
	}
	if !f.lost.Swap(true) {
		f.opts.Log.Warn("store lost", "call", call, "error", err)
	}
	pause.For(ctx, f.opts.RetryPause/2+rand.N(f.opts.RetryPause))
}

// guard asks the store for its revision from time to time and gives up a watch
// that seems to miss changes.
func (f *Follower) guard(ctx context.Context) {
	dog := watchdog{stuckAfter: f.opts.StuckAfter, checkEvery: f.opts.CheckEvery, askEvery: f.opts.ProbeEvery}
	asked := time.Now()
	for ctx.Err() == nil {
		// The period counts from question to question, however long an answer
		// takes: while a store drops its history, cheap reads tell of a change
		// for little more than a second.
		pause.For(ctx, time.Until(asked.Add(dog.next())))
		asked = time.Now()
		revision, err := f.revision(ctx, false)
		if ctx.Err() != nil {
			return
		}
		if f.compacted.Swap(false) {
			dog.observeCompaction()
		}
		do := dog.observe(time.Now(), revision, f.directory.Snapshot().At, f.watching.Load(), err)
		if do == askExactly {
			do = f.checkExactly(ctx, &dog)
		}
		if do == readAgain {
			f.askResync()
		}
	}
}

func (f *Follower) checkExactly(ctx context.Context, dog *watchdog) advice {
	revision, err := f.revision(ctx, true)
	if err != nil {
		return trustWatch
	}
	return dog.observeExact(revision, f.directory.Snapshot().At)
}

func (f *Follower) revision(ctx context.Context, exact bool) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, f.opts.ProbeWait)
	defer cancel()
	f.calls.Add(1)
	return f.source.Revision(ctx, exact)
}

func (f *Follower) askResync() {
	select {
	case f.resync <- struct{}{}:
	default:
	}
}
