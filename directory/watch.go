package directory

import (
	"context"
	"errors"
	"sync/atomic"
	"time"
)

var (
	// errReadAgain: a watch was given up because it seems to miss changes.
	errReadAgain = errors.New("directory: watch misses changes")
	// errWatchAgain: a watch was given up because the store did not answer
	// meanwhile, so that the watch may have been lost with it.
	errWatchAgain = errors.New("directory: watch may be lost")
)

// watch waits for changes until they come, its time has passed or the monitor has
// it given up, which errReadAgain and errWatchAgain tell.
func (f *Follower) watch(ctx context.Context) (Changes, error) {
	ctx, cancel := context.WithTimeout(ctx, watchWait+readWait)
	defer cancel()
	select {
	case <-f.giveUp: // of an earlier watch
	default:
	}
	ended := make(chan struct{})
	defer close(ended)
	var reason atomic.Uint32 // an advice
	go func() {
		select {
		case why := <-f.giveUp:
			reason.Store(uint32(why))
			cancel()
		case <-ended:
		}
	}()
	f.calls.Add(1)
	f.watching.Store(int64(time.Since(f.began)))
	defer f.watching.Store(0)
	changes, err := f.source.Watch(ctx, f.directory.Snapshot().At, watchWait)
	switch {
	case err == nil:
	case advice(reason.Load()) == readAgain:
		err = errReadAgain
	case advice(reason.Load()) == watchAgain:
		err = errWatchAgain
	}
	return changes, err
}
