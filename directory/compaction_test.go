package directory_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/lotuswing/lotuswing/directory"
	"github.com/lotuswing/lotuswing/internal/pause"
	"gotest.tools/v3/assert"
)

// compactingSource is a store that compacts its history as the platform's store does. It withholds
// changes from watches for a while, then drops its history. Watches that began before the gap are cut
// at its end. Those that began in the gap receive nothing until the next change, then ErrCompacted.
// Cheap reads may lag.
//
// Each revision from the second on is written by the endpoint "e" followed by the revision, when it
// starts to leave.
type compactingSource struct {
	mu          sync.Mutex
	written     []time.Time   // when each revision was written, from the first
	lag         time.Duration // of cheap reads
	callTime    time.Duration // of each call, before the store handles it and after that together
	inGap       bool
	gapBegan    time.Time
	gapEnded    time.Time
	compactedTo uint64        // history up to this revision was dropped
	changed     chan struct{} // closed and replaced at each change
	fullReads   int
	exactChecks int  // reads of the revision that were exact
	silent      bool // watches hear nothing
	onlyCheap   bool // exact reads of the revision get no answer
}

// gapEndpoints is the number of endpoints in a compactingSource.
const gapEndpoints = 200

var errCut = errors.New("watch was cut")

func newCompactingSource() *compactingSource {
	return &compactingSource{written: []time.Time{time.Now()}, changed: make(chan struct{})}
}

// update changes the source and wakes all watches.
func (s *compactingSource) update(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
	close(s.changed)
	s.changed = make(chan struct{})
}

// leave lets the next endpoint leave and returns its ID.
func (s *compactingSource) leave() (id string) {
	s.update(func() {
		s.written = append(s.written, time.Now())
		id = endpointID(uint64(len(s.written)))
	})
	return id
}

// delay takes half of the time of a call, or ends with ctx.
func (s *compactingSource) delay(ctx context.Context) {
	s.mu.Lock()
	half := s.callTime / 2
	s.mu.Unlock()
	pause.For(ctx, half)
}

func (s *compactingSource) setLag(lag time.Duration) { s.update(func() { s.lag = lag }) }

func (s *compactingSource) beginGap() {
	s.update(func() { s.inGap, s.gapBegan = true, time.Now() })
}

func (s *compactingSource) endGap() {
	s.update(func() { s.inGap, s.gapEnded, s.compactedTo = false, time.Now(), uint64(len(s.written)) })
}

func endpointID(revision uint64) string { return fmt.Sprint("e", revision) }

// revisionFor returns the revision that a read returns; s.mu must be held.
func (s *compactingSource) revisionFor(exact bool) uint64 {
	if exact || s.lag == 0 {
		return uint64(len(s.written))
	}
	revision := uint64(1) // the first one is older than any lag
	for revision < uint64(len(s.written)) && time.Since(s.written[revision]) >= s.lag {
		revision++
	}
	return revision
}

func (s *compactingSource) ReadAll(ctx context.Context, exact bool) (directory.Changes, error) {
	s.delay(ctx)
	defer s.delay(ctx)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fullReads++
	at := s.revisionFor(exact)
	changes := directory.Changes{Revision: at, Complete: true}
	for revision := uint64(2); revision <= gapEndpoints; revision++ {
		e := entry(endpointID(revision), 1)
		if revision <= at {
			e.Leaving, e.Revision = true, revision
		}
		changes.Entries = append(changes.Entries, e)
	}
	return changes, nil
}

func (s *compactingSource) ReadRegistrations(context.Context) (directory.Changes, error) {
	return directory.Changes{}, nil
}

func (s *compactingSource) Revision(ctx context.Context, exact bool) (uint64, error) {
	s.delay(ctx)
	defer s.delay(ctx)
	s.mu.Lock()
	defer s.mu.Unlock()
	if exact {
		s.exactChecks++
	}
	if exact && s.onlyCheap {
		return 0, errCut
	}
	return s.revisionFor(exact), nil
}

func (s *compactingSource) Watch(ctx context.Context, after uint64, wait time.Duration) (directory.Changes, error) {
	s.delay(ctx)
	defer s.delay(ctx)
	began := time.Now()
	deadline := time.After(wait)
	for {
		changes, ended, changed, err := s.watchOnce(began, after)
		if ended {
			return changes, err
		}
		select {
		case <-changed:
		case <-deadline:
			return directory.Changes{Revision: after}, nil
		case <-ctx.Done():
			return directory.Changes{}, ctx.Err()
		}
	}
}

// watchOnce returns the result of a watch that began at a given time, if it has one by now.
func (s *compactingSource) watchOnce(began time.Time, after uint64) (changes directory.Changes, ended bool, changed chan struct{}, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	revision := uint64(len(s.written))
	beganInGap := !s.inGap && !began.Before(s.gapBegan) && began.Before(s.gapEnded)
	switch {
	case s.inGap, s.silent:
		return changes, false, s.changed, nil
	case began.Before(s.gapBegan) && !s.gapEnded.IsZero():
		return changes, true, nil, errCut
	case after < s.compactedTo && (!beganInGap || revision > s.compactedTo):
		return changes, true, nil, directory.ErrCompacted
	case after < s.compactedTo, revision == after:
		return changes, false, s.changed, nil
	}
	changes.Revision = revision
	for r := after + 1; r <= revision; r++ {
		e := entry(endpointID(r), r)
		e.Leaving = true
		changes.Entries = append(changes.Entries, e)
	}
	return changes, true, nil, nil
}

const (
	// applyBound is the bound on the time until a change is applied.
	applyBound = 2 * time.Second
	// gapDuration is how long the store withholds changes before it drops its history.
	gapDuration = 1200 * time.Millisecond
	// readLag is how old cheap reads are after that.
	readLag = 5500 * time.Millisecond
)

// followerCase is a case of a test with a follower.
type followerCase struct {
	serving bool          // other balancers rely on the follower
	phase   time.Duration // shifts the begin of the test against the checks of the store's revision
	lead    time.Duration // how long before the next watch begins an endpoint starts to leave
}

// followCompacting follows the source with the options for applyBound, until the test ends.
func followCompacting(t *testing.T, s *compactingSource, c followerCase) *directory.Directory {
	t.Helper()
	d := directory.New()
	f := directory.NewFollower(d, s, directory.OptionsWithin(applyBound))
	f.SetServing(c.serving)
	ctx, stop := context.WithCancel(t.Context())
	t.Cleanup(stop)
	go f.Run(ctx)
	time.Sleep(10*time.Second + c.phase)
	return d
}

// isLeaving reports whether the directory knows that an endpoint is leaving.
func isLeaving(d *directory.Directory, id string) bool {
	e, _ := d.Endpoint(id)
	return e.State == directory.Leaving
}

// batchDelay returns the pause after a change before the next watch begins.
func batchDelay(serving bool) time.Duration {
	delay := directory.OptionsWithin(applyBound).BatchDelay
	if serving {
		return delay / 2
	}
	return delay
}

// leaveInGap lets one endpoint leave, and a second one in the pause after the first one's change, just
// before a gap in which the next watch begins. It then checks that the second one is known to be
// leaving within applyBound.
func leaveInGap(t *testing.T, s *compactingSource, d *directory.Directory, c followerCase) {
	t.Helper()
	first := s.leave()
	synctest.Wait()
	assert.Assert(t, isLeaving(d, first), "the watch brings the first change")
	time.Sleep(batchDelay(c.serving) - c.lead)
	second := s.leave()
	s.beginGap()
	time.Sleep(gapDuration)
	s.endGap()
	time.Sleep(applyBound - gapDuration)
	assert.Assert(t, isLeaving(d, second), "not known %v after it began to leave", applyBound)
}

// leaveInCompaction lets an endpoint leave in the middle of a gap, which cuts the present watch at its
// end, and checks that the endpoint is known to be leaving within applyBound after that.
func leaveInCompaction(t *testing.T, s *compactingSource, d *directory.Directory) {
	t.Helper()
	s.beginGap()
	time.Sleep(gapDuration / 2)
	id := s.leave()
	time.Sleep(gapDuration / 2)
	s.endGap()
	time.Sleep(applyBound)
	assert.Assert(t, isLeaving(d, id))
}

// forEachFollower runs a test in virtual time for many cases of followers.
func forEachFollower(t *testing.T, test func(t *testing.T, c followerCase)) {
	t.Helper()
	const phases, leads, step = 17, 4, 50 * time.Millisecond
	for _, serving := range []bool{false, true} {
		longestLead := min(batchDelay(serving), gapDuration)
		for i := range time.Duration(phases * leads) {
			c := followerCase{serving: serving, phase: i / leads * step, lead: (i%leads + 1) * longestLead / (leads + 1)}
			t.Run(fmt.Sprintf("serving=%t/phase=%v/lead=%v", c.serving, c.phase, c.lead), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { test(t, c) })
			})
		}
	}
}

func TestSilentWatchIsNoticedAfterPause(t *testing.T) {
	forEachFollower(t, func(t *testing.T, c followerCase) {
		s := newCompactingSource()
		d := followCompacting(t, s, c)
		leaveInGap(t, s, d, c)
	})
}

func TestSilentWatchIsNoticedWhileReadsLag(t *testing.T) {
	forEachFollower(t, func(t *testing.T, c followerCase) {
		s := newCompactingSource()
		d := followCompacting(t, s, c)
		s.setLag(readLag)
		leaveInGap(t, s, d, c)
	})
}

// TestNewWatchIsKeptWhileReadsLag checks that after a compaction, lagging reads cause neither a full read
// nor more than one exact check a second.
func TestNewWatchIsKeptWhileReadsLag(t *testing.T) {
	forEachFollower(t, func(t *testing.T, c followerCase) {
		s := newCompactingSource()
		d := followCompacting(t, s, c)
		s.setLag(readLag)
		leaveInCompaction(t, s, d)
		synctest.Wait()
		s.mu.Lock()
		readsBefore, checksBefore := s.fullReads, s.exactChecks
		s.mu.Unlock()
		const watched = 3 * time.Second
		time.Sleep(watched)
		s.mu.Lock()
		defer s.mu.Unlock()
		assert.Equal(t, s.fullReads, readsBefore, "the new watch misses nothing")
		checks := s.exactChecks - checksBefore
		assert.Assert(t, checks > 0 && checks <= int(watched/time.Second), "%d exact checks in %v", checks, watched)
	})
}

func TestSecondCompactionIsNoticedWhileReadsLag(t *testing.T) {
	forEachFollower(t, func(t *testing.T, c followerCase) {
		s := newCompactingSource()
		d := followCompacting(t, s, c)
		s.setLag(readLag)
		leaveInCompaction(t, s, d)
		leaveInGap(t, s, d, c)
	})
}

// TestSilentWatchIsNoticedDespiteSlowCalls guards against a change that comes too late because the pause,
// the check, the wait for the watch and the calls add up to more than the bound.
func TestSilentWatchIsNoticedDespiteSlowCalls(t *testing.T) {
	const phases, step = 9, 100 * time.Millisecond
	for _, callTime := range []time.Duration{0, 40, 150, 400} {
		for _, second := range []time.Duration{14, 200, 600} { // after the first change
			for i := range 2 * 2 * phases {
				serving, lags, phase := i%2 == 1, i/2%2 == 1, time.Duration(i/4)*step
				name := fmt.Sprintf("call=%v/second=%v/serving=%t/lags=%t/phase=%v", callTime*time.Millisecond, second*time.Millisecond, serving, lags, phase)
				t.Run(name, func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						s := newCompactingSource()
						s.callTime = callTime * time.Millisecond
						d := followCompacting(t, s, followerCase{serving: serving, phase: phase})
						if lags {
							s.setLag(readLag)
						}
						first := s.leave()
						time.Sleep(s.callTime/2 + second*time.Millisecond)
						assert.Assert(t, isLeaving(d, first), "the watch brings the first change")
						id := s.leave()
						untilGap := max(0, batchDelay(serving)-(second+100)*time.Millisecond)
						time.AfterFunc(untilGap, s.beginGap)
						time.AfterFunc(untilGap+gapDuration, s.endGap)
						time.Sleep(knownWithin(serving))
						assert.Assert(t, isLeaving(d, id), "not known %v after it began to leave", knownWithin(serving))
					})
				})
			}
		}
	}
}

// knownWithin returns by when a change must be known: a balancer on which others rely leaves them a part
// of the bound.
func knownWithin(serving bool) time.Duration {
	if serving {
		return applyBound * 3 / 4
	}
	return applyBound * 19 / 20
}

// TestPauseEndsForMissedChange guards against a pause that holds a change back which a check has seen.
func TestPauseEndsForMissedChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, d := newCompactingSource(), directory.New()
		opts := directory.OptionsWithin(applyBound)
		opts.BatchDelay = time.Hour
		ctx, stop := context.WithCancel(t.Context())
		t.Cleanup(stop)
		go directory.NewFollower(d, s, opts).Run(ctx)
		time.Sleep(time.Second)
		s.leave()
		time.Sleep(time.Millisecond)
		id := s.leave()
		time.Sleep(applyBound)
		assert.Assert(t, isLeaving(d, id))
	})
}

// TestSilentWatchIsNoticedInQuietStore guards against taking a cheap read, which may be seconds old, for proof
// that a watch misses nothing, so that a change after quiet seconds is known only when such reads show it.
func TestSilentWatchIsNoticedInQuietStore(t *testing.T) {
	const step = 100 * time.Millisecond
	for _, callTime := range []time.Duration{0, 40 * time.Millisecond, 150 * time.Millisecond} {
		for _, lag := range []time.Duration{0, 500 * time.Millisecond, 1500 * time.Millisecond, 3 * time.Second, 10 * time.Second} {
			for phase := range 11 * 2 {
				serving := phase%2 == 1
				t.Run(fmt.Sprintf("call=%v/lag=%v/serving=%t/phase=%v", callTime, lag, serving, time.Duration(phase/2)*step), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						s := newCompactingSource()
						s.callTime = callTime
						s.setLag(lag)
						d := followCompacting(t, s, followerCase{serving: serving, phase: time.Duration(phase/2) * step})
						s.update(func() { s.silent = true })
						time.Sleep(5 * time.Second)
						s.mu.Lock()
						readsBefore := s.fullReads
						s.mu.Unlock()
						assert.Equal(t, readsBefore, 1, "a watch that misses nothing is kept")
						id := s.leave()
						time.Sleep(knownWithin(serving))
						assert.Assert(t, isLeaving(d, id), "not known %v after it began to leave", knownWithin(serving))
					})
				})
			}
		}
	}
}

// TestOldReadsConfirmNothing guards against handing a copy on as the store's present state on the word of cheap
// reads alone.
func TestOldReadsConfirmNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, d := newCompactingSource(), directory.New()
		f := directory.NewFollower(d, s, directory.OptionsWithin(applyBound))
		ctx, stop := context.WithCancel(t.Context())
		t.Cleanup(stop)
		go f.Run(ctx)
		time.Sleep(5 * time.Second)
		assert.Assert(t, f.UpToDate(time.Now()) && time.Since(f.Confirmed()) < applyBound)
		s.update(func() { s.onlyCheap = true })
		time.Sleep(applyBound + time.Second)
		assert.Assert(t, !f.UpToDate(time.Now()), "nothing was confirmed for %v", time.Since(f.Confirmed()))
		s.update(func() { s.onlyCheap = false })
		time.Sleep(applyBound)
		assert.Assert(t, f.UpToDate(time.Now()))
	})
}
