package directory

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
)

// ErrCompacted: the store has forgotten the history that a watch asked for.
var ErrCompacted = errors.New("directory: the store's history is gone")

// Source is a store that holds the configuration and the endpoints.
type Source interface {
	// ReadAll reads everything that there is.
	ReadAll(ctx context.Context) (Changes, error)
	// Watch waits for changes after a revision, at most as long as wait. It
	// returns ErrCompacted when they are not known any more.
	Watch(ctx context.Context, after uint64, wait time.Duration) (Changes, error)
	// Probe asks cheaply whether the store answers, and for its revision,
	// which may be seconds old.
	Probe(ctx context.Context) (uint64, error)
}

// Options of a Follower. Zero fields take the defaults.
type Options struct {
	Log        hclog.Logger
	WatchWait  time.Duration // of one watch; default 25 s
	Gather     time.Duration // pause after changes, in which more of them gather; default 700 ms
	ReadWait   time.Duration // bound of reading everything; default 3 s
	ProbeEvery time.Duration // between cheap questions; default 1 s
	ProbeWait  time.Duration // bound of one; default 600 ms
	RetryPause time.Duration // after a failure; default 250 ms
	StuckAfter time.Duration // a watch that misses a revision known for so long is cut; default 700 ms
}

func (o Options) withDefaults() Options {
	set := func(field *time.Duration, value time.Duration) {
		if *field == 0 {
			*field = value
		}
	}
	set(&o.WatchWait, 25*time.Second)
	set(&o.Gather, 700*time.Millisecond)
	set(&o.ReadWait, 3*time.Second)
	set(&o.ProbeEvery, time.Second)
	set(&o.ProbeWait, 600*time.Millisecond)
	set(&o.RetryPause, 250*time.Millisecond)
	set(&o.StuckAfter, 700*time.Millisecond)
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
	lost      atomic.Bool  // the store does not answer
	calls     atomic.Int64 // made so far
	rewatch   chan struct{}
}

// NewFollower returns a follower of a source.
func NewFollower(d *Directory, source Source, opts Options) *Follower {
	return &Follower{directory: d, source: source, opts: opts.withDefaults(), rewatch: make(chan struct{}, 1)}
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
			f.opts.Log.Info("store history gone", "revision", f.directory.Snapshot().At)
			return
		case errors.Is(err, errRewatch):
		case err != nil:
			f.failed(ctx, "watch", err)
		default:
			f.apply(changes)
			if len(changes.Entries) > 0 || len(changes.Gone) > 0 || changes.Config != nil {
				pause(ctx, f.opts.Gather)
			}
		}
	}
}

// errRewatch: a watch was given up because it seems to be stuck.
var errRewatch = errors.New("directory: watch given up")

func (f *Follower) watch(ctx context.Context) (Changes, error) {
	ctx, cancel := context.WithTimeout(ctx, f.opts.WatchWait+f.opts.ReadWait)
	defer cancel()
	stop := make(chan struct{})
	defer close(stop)
	var cut atomic.Bool
	go func() {
		select {
		case <-f.rewatch:
			cut.Store(true)
			cancel()
		case <-stop:
		}
	}()
	f.calls.Add(1)
	changes, err := f.source.Watch(ctx, f.directory.Snapshot().At, f.opts.WatchWait)
	if err != nil && cut.Load() {
		return Changes{}, errRewatch
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
	pause(ctx, f.opts.RetryPause/2+rand.N(f.opts.RetryPause))
}

// guard asks the store cheaply and cuts a watch that seems to be stuck: the
// store did not answer for a while, or it names a revision that the watch
// should have brought.
func (f *Follower) guard(ctx context.Context) {
	failed := false
	var ahead time.Time // since when a newer revision has been known
	for ctx.Err() == nil {
		pause(ctx, f.opts.ProbeEvery)
		revision, err := f.probe(ctx)
		now := time.Now()
		switch {
		case ctx.Err() != nil:
			return
		case err != nil:
			failed = true
		case failed:
			failed = false
			f.cutWatch()
		case revision <= f.directory.Snapshot().At:
			ahead = time.Time{}
		case ahead.IsZero():
			ahead = now
		case now.Sub(ahead) >= f.opts.StuckAfter:
			ahead = time.Time{}
			f.cutWatch()
		}
	}
}

func (f *Follower) probe(ctx context.Context) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, f.opts.ProbeWait)
	defer cancel()
	f.calls.Add(1)
	return f.source.Probe(ctx)
}

func (f *Follower) cutWatch() {
	select {
	case f.rewatch <- struct{}{}:
	default:
	}
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
