package directory

import (
	"context"
	"errors"
	"sync/atomic"
	"time"
)

var (
	// errWatchMissesChanges is returned for a watch that was abandoned because it seems to miss
	// changes.
	errWatchMissesChanges = errors.New("directory: watch misses changes")
	// errWatchMayBeLost is returned for a watch that was abandoned because the store did not answer
	// for a time, so that the watch may have been lost.
	errWatchMayBeLost = errors.New("directory: watch may be lost")
)

// watch waits for changes until they come, the wait is over or the monitor abandons
// the watch. In the last case it returns errWatchMissesChanges or
// errWatchMayBeLost.
func (f *Follower) watch(ctx context.Context) (Changes, error) {
	ctx, cancel := context.WithTimeout(ctx, watchWait+watchSlack)
	defer cancel()
	select {
	case <-f.watchAdvice: // discards advice about an earlier watch
	default:
	}
	ended := make(chan struct{})
	defer close(ended)
	var reason atomic.Uint32 // an advice
	go func() {
		select {
		case why := <-f.watchAdvice:
			reason.Store(uint32(why))
			cancel()
		case <-ended:
		}
	}()
	after := f.directory.Snapshot().Revision
	missed := f.watching.begin(time.Since(f.startedAt), after)
	defer f.watching.end()
	if missed.behind {
		// The monitor has seen a change in the pause before the watch. A sound watch brings it at once.
		now := time.Now()
		readAt := f.budget().ReadAt(missed.confirmed, now, f.costs.load())
		if missed.restored || !now.Before(readAt) {
			return Changes{}, errWatchMissesChanges
		}
		stuck := time.AfterFunc(readAt.Sub(now), func() { f.abandonWatch(readAgain) })
		defer stuck.Stop()
	}
	f.calls.Add(1)
	changes, err := f.source.Watch(ctx, after, watchWait)
	switch {
	case err == nil:
	case advice(reason.Load()) == readAgain:
		err = errWatchMissesChanges
	case advice(reason.Load()) == watchAgain:
		err = errWatchMayBeLost
	}
	return changes, err
}
