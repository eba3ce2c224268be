package directory_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/lotuswing/lotuswing/directory"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// fakeSource is an in-memory store with one configuration, whose faults can be
// switched on.
type fakeSource struct {
	mu          sync.Mutex
	revision    uint64
	version     uint64
	compactedTo uint64 // history up to this revision was compacted
	down        bool
	mute        bool // watches bring no changes
	changed     chan struct{}
}

func newFakeSource() *fakeSource { return &fakeSource{changed: make(chan struct{})} }

func (s *fakeSource) set(change func(*fakeSource)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(s)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *fakeSource) publish(version uint64) {
	s.set(func(s *fakeSource) { s.version, s.revision = version, s.revision+1 })
}

var errDown = errors.New("store is down")

func (s *fakeSource) ReadAll(context.Context, bool) (directory.Changes, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return directory.Changes{}, errDown
	}
	return s.changes(), nil
}

func (s *fakeSource) ReadRegistrations(context.Context) (directory.Changes, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return directory.Changes{}, errDown
	}
	return directory.Changes{Registrations: []directory.Record{{Key: "relays/medina", Revision: 1}}}, nil
}

func (s *fakeSource) changes() directory.Changes {
	return directory.Changes{Config: &directory.Config{Version: s.version}, Revision: s.revision, Complete: true}
}

func (s *fakeSource) Watch(ctx context.Context, after uint64, wait time.Duration) (directory.Changes, error) {
	deadline := time.After(wait)
	for {
		s.mu.Lock()
		changed := s.changed
		switch {
		case s.down:
			s.mu.Unlock()
			return directory.Changes{}, errDown
		case after < s.compactedTo:
			s.mu.Unlock()
			return directory.Changes{}, directory.ErrCompacted
		case s.revision > after && !s.mute:
			defer s.mu.Unlock()
			return s.changes(), nil
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-deadline:
			return directory.Changes{Revision: after}, nil
		case <-ctx.Done():
			return directory.Changes{}, ctx.Err()
		}
	}
}

func (s *fakeSource) Revision(context.Context, bool) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return 0, errDown
	}
	return s.revision, nil
}

func follow(t *testing.T, s *fakeSource) (*directory.Directory, *directory.Follower) {
	t.Helper()
	d := directory.New()
	f := directory.NewFollower(d, s, directory.Options{
		BatchDelay: time.Millisecond, RetryPause: time.Millisecond, CheckEvery: 2 * time.Millisecond, StuckTimeout: 4 * time.Millisecond,
		ExactCheckEvery: 4 * time.Millisecond,
	})
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	go f.Run(ctx)
	return d, f
}

func waitVersion(t *testing.T, d *directory.Directory, version uint64) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if c := d.Snapshot().Config; c != nil && c.Version == version {
			return poll.Success()
		}
		return poll.Continue("version %d is not applied", version)
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(time.Millisecond))
}

// TestChangesAreApplied checks that successive configurations are applied.
func TestChangesAreApplied(t *testing.T) {
	s := newFakeSource()
	d, _ := follow(t, s)
	for version := uint64(3); version < 8; version += 2 {
		s.publish(version)
		waitVersion(t, d, version)
	}
}

// TestRecoveredStoreIsRead checks that Lost is true while the store is down, and that its changes
// are applied afterwards.
func TestRecoveredStoreIsRead(t *testing.T) {
	s := newFakeSource()
	s.set(func(s *fakeSource) { s.down = true })
	d, f := follow(t, s)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if f.Lost() {
			return poll.Success()
		}
		return poll.Continue("not lost yet")
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(time.Millisecond))
	s.set(func(s *fakeSource) { s.down = false })
	s.publish(2)
	waitVersion(t, d, 2)
	assert.Assert(t, !f.Lost())
}

// TestAnswerToAnotherCallEndsThePause checks that a follower that pauses after failures watches
// again as soon as the store answers any other call.
func TestAnswerToAnotherCallEndsThePause(t *testing.T) {
	for name, answered := range map[string]func(context.Context, *directory.Follower) error{
		"registrations are read": func(ctx context.Context, f *directory.Follower) error { return f.ReadRegistrations(ctx) },
		"a registration is renewed": func(_ context.Context, f *directory.Follower) error {
			f.EndRetryPause()
			return nil
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				source, d := newFakeSource(), directory.New()
				source.publish(1)
				f := directory.NewFollower(d, source, directory.Options{})
				ctx, stop := context.WithCancel(t.Context())
				defer stop()
				go f.Run(ctx)
				synctest.Wait()
				source.set(func(s *fakeSource) { s.down = true })
				for !f.Lost() {
					time.Sleep(time.Second)
				}
				time.Sleep(time.Minute) // the pauses have grown
				calls := f.Calls()
				for f.Calls() == calls { // the next pause has just begun
					time.Sleep(time.Millisecond)
				}
				source.publish(2)
				source.set(func(s *fakeSource) { s.down = false })
				synctest.Wait()
				assert.Equal(t, d.Snapshot().Config.Version, uint64(1))
				assert.NilError(t, answered(ctx, f))
				synctest.Wait()
				assert.Equal(t, d.Snapshot().Config.Version, uint64(2))
			})
		})
	}
}

// TestCompactedHistoryIsReadAgain checks that everything is read again when the store has compacted
// the history that a watch needs.
func TestCompactedHistoryIsReadAgain(t *testing.T) {
	s := newFakeSource()
	s.publish(1)
	d, _ := follow(t, s)
	waitVersion(t, d, 1)
	s.set(func(s *fakeSource) { s.version, s.revision, s.compactedTo = 5, 9, 9 })
	waitVersion(t, d, 5)
}

// TestSilentWatchIsNotTrusted checks that changes that a waiting watch does not bring are
// applied nevertheless.
func TestSilentWatchIsNotTrusted(t *testing.T) {
	s := newFakeSource()
	s.publish(1)
	d, _ := follow(t, s)
	waitVersion(t, d, 1)
	s.set(func(s *fakeSource) { s.mute = true })
	s.publish(4)
	waitVersion(t, d, 4)
}

// TestOptionsFitTheBound checks that the pause after changes, and the time to detect a change that
// the watch misses, leave a part of the bound for the store's answers.
func TestOptionsFitTheBound(t *testing.T) {
	for _, bound := range []time.Duration{500 * time.Millisecond, time.Second, 2 * time.Second, 2500 * time.Millisecond, time.Minute} {
		o := directory.OptionsWithin(bound)
		assert.Assert(t, o.BatchDelay < bound*8/10, "%v", bound)
		assert.Assert(t, o.CheckEvery+o.StuckTimeout < bound*8/10, "%v", bound)
		assert.Assert(t, o.CheckEvery < time.Second, "%v", bound)
	}
}

// boundedSource is a store with a backlog of entries followed by a configuration,
// whose answers to watches are bounded.
type boundedSource struct {
	entries int // number of entries written before the configuration
	most    int // maximum number of entries in one answer
}

func (s *boundedSource) ReadAll(context.Context, bool) (directory.Changes, error) {
	return directory.Changes{Revision: 0, Complete: true}, nil
}

func (s *boundedSource) ReadRegistrations(context.Context) (directory.Changes, error) {
	return directory.Changes{}, nil
}

func (s *boundedSource) Watch(ctx context.Context, after uint64, _ time.Duration) (directory.Changes, error) {
	changes := directory.Changes{Revision: after}
	for changes.Revision < uint64(s.entries) && len(changes.Entries) < s.most {
		changes.Revision++
		changes.Entries = append(changes.Entries, entry(fmt.Sprint("e", changes.Revision), changes.Revision))
	}
	if len(changes.Entries) > 0 {
		return changes, nil
	}
	if after == uint64(s.entries) {
		return directory.Changes{Config: &directory.Config{Version: 7}, Revision: after + 1}, nil
	}
	<-ctx.Done()
	return directory.Changes{}, ctx.Err()
}

func (s *boundedSource) Revision(context.Context, bool) (uint64, error) {
	return uint64(s.entries) + 1, nil
}

// TestConfigurationAfterBacklogIsNotDelayed checks that a configuration after many entries is not delayed by
// the pause in which changes are batched, which never ends in this test.
func TestConfigurationAfterBacklogIsNotDelayed(t *testing.T) {
	d := directory.New()
	f := directory.NewFollower(d, &boundedSource{entries: 3000, most: 500}, directory.Options{BatchDelay: 1000 * time.Hour, CheckEvery: 1000 * time.Hour})
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	go f.Run(ctx)
	waitVersion(t, d, 7)
}

// countingSource counts the calls to a store by kind.
type countingSource struct {
	*fakeSource
	cheap, exact, watches, revisionReads atomic.Int64
}

func (s *countingSource) ReadAll(ctx context.Context, exact bool) (directory.Changes, error) {
	if exact {
		s.exact.Add(1)
	} else {
		s.cheap.Add(1)
	}
	return s.fakeSource.ReadAll(ctx, exact)
}

func (s *countingSource) Watch(ctx context.Context, after uint64, wait time.Duration) (directory.Changes, error) {
	s.watches.Add(1)
	return s.fakeSource.Watch(ctx, after, wait)
}

func (s *countingSource) Revision(ctx context.Context, exact bool) (uint64, error) {
	s.revisionReads.Add(1)
	return s.fakeSource.Revision(ctx, exact)
}

// aheadSource claims a revision that its reads never reach, and refuses watches if refuses is true.
type aheadSource struct {
	countingSource
	refuses bool
}

func (s *aheadSource) Revision(context.Context, bool) (uint64, error) { return 1000, nil }

func (s *aheadSource) Watch(ctx context.Context, after uint64, wait time.Duration) (directory.Changes, error) {
	if s.refuses {
		return directory.Changes{}, directory.ErrCompacted
	}
	return s.countingSource.Watch(ctx, after, wait)
}

// TestReadsThatDoNotHelpAreNotRepeatedInALoop guards against a store that is read without a pause.
func TestReadsThatDoNotHelpAreNotRepeatedInALoop(t *testing.T) {
	for _, refuses := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			s := &aheadSource{countingSource: countingSource{fakeSource: newFakeSource()}, refuses: refuses}
			s.publish(1)
			ctx, stop := context.WithCancel(t.Context())
			t.Cleanup(stop)
			go directory.NewFollower(directory.New(), s, directory.OptionsWithin(applyBound)).Run(ctx)
			time.Sleep(time.Minute)
			assert.Assert(t, s.exact.Load() < 60, "%d full reads in a minute", s.exact.Load())
		})
	}
}

// TestStandbyDoesNotCallStore checks that a follower in standby makes no calls to the store except a
// first, cheap read, and follows the store once it is active.
func TestStandbyDoesNotCallStore(t *testing.T) {
	s := &countingSource{fakeSource: newFakeSource()}
	s.publish(1)
	d := directory.New()
	f := directory.NewFollower(d, s, directory.Options{
		BatchDelay: time.Millisecond, CheckEvery: time.Millisecond, StuckTimeout: time.Millisecond, Standby: true,
	})
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	go f.Run(ctx)
	waitVersion(t, d, 1)
	assert.Assert(t, !f.UpToDate(time.Now()))
	s.publish(2)
	f.Apply(directory.Changes{Config: &directory.Config{Version: 2}, Revision: 2}) // as a relay brings it
	assert.DeepEqual(t, []int64{s.cheap.Load(), s.exact.Load(), s.watches.Load(), s.revisionReads.Load()}, []int64{1, 0, 0, 0})
	f.SetActive(true)
	s.publish(3)
	waitVersion(t, d, 3)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if f.UpToDate(time.Now()) && f.WatchDuration(time.Now()) > 0 {
			return poll.Success()
		}
		return poll.Continue("not settled")
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(time.Millisecond))
	s.set(func(s *fakeSource) { s.down = true })
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if !f.UpToDate(time.Now()) {
			return poll.Success()
		}
		return poll.Continue("still settled")
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(time.Millisecond))
}
