// Package fakestore is a key-value service in memory that fails in the ways
// that the platform's does: it refuses calls, it loses the answer of a write
// that took effect, and it lets a write whose answer was lost take effect
// later. Tests of several packages use it.
//
// # Usage
//
//	s := fakestore.New(fakestore.Options{Clock: clock, Roll: rng.IntN, Lost: 10})
//	e, err := s.CompareAndSwap(ctx, w)
//	s.Land() // delayed writes arrive
package fakestore

import (
	"context"
	"sync"
	"time"

	"github.com/lotuswing/lotuswing/coord/store"
)

// Options of a store. Chances are in percent of the calls.
type Options struct {
	Clock   func() time.Time
	Roll    func(n int) int // random number below n; nil for no faults
	Down    int             // refused, no effect
	Lost    int             // of writes: took effect, answer lost
	Delayed int             // of writes: answer lost, takes effect when Land is called
	Pause   func()          // called inside each call; nil for none
}

type value struct {
	entry   store.Entry
	expires time.Time
}

// Store is the fake.
type Store struct {
	opts Options

	mu       sync.Mutex
	keys     map[string]value
	revision uint64
	delayed  []store.Write
	calls    int
}

// New returns an empty store.
func New(opts Options) *Store {
	if opts.Clock == nil {
		opts.Clock = time.Now
	}
	return &Store{opts: opts, keys: map[string]value{}}
}

func (s *Store) chance(percent int) bool {
	return s.opts.Roll != nil && percent > 0 && s.opts.Roll(100) < percent
}

func (s *Store) pause() {
	if s.opts.Pause != nil {
		s.opts.Pause()
	}
}

// Calls returns how many calls were made.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Get reads a key.
func (s *Store) Get(_ context.Context, key string) (store.Entry, error) {
	s.pause()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.chance(s.opts.Down) {
		return store.Entry{}, store.ErrUnavailable
	}
	e, ok := s.live(key)
	if !ok {
		return store.Entry{}, store.ErrNotFound
	}
	return e, nil
}

// CompareAndSwap writes a key.
func (s *Store) CompareAndSwap(_ context.Context, w store.Write) (store.Entry, error) {
	s.pause()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	switch {
	case s.chance(s.opts.Down):
		return store.Entry{}, store.ErrUnavailable
	case s.chance(s.opts.Delayed):
		s.delayed = append(s.delayed, w)
		return store.Entry{}, store.ErrUnknown
	}
	e, err := s.apply(w)
	if s.chance(s.opts.Lost) {
		return store.Entry{}, store.ErrUnknown
	}
	return e, err
}

// Land lets the delayed writes arrive, in order.
func (s *Store) Land() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, w := range s.delayed {
		_, _ = s.apply(w)
	}
	s.delayed = nil
}

func (s *Store) live(key string) (store.Entry, bool) {
	v, ok := s.keys[key]
	if !ok || !v.expires.IsZero() && !s.opts.Clock().Before(v.expires) {
		return store.Entry{}, false
	}
	return v.entry, true
}

func (s *Store) apply(w store.Write) (store.Entry, error) {
	current, _ := s.live(w.Key)
	if current.Revision != w.Revision {
		return store.Entry{}, store.ErrConflict
	}
	s.revision++
	e := store.Entry{Key: w.Key, Value: w.Value, Revision: s.revision}
	v := value{entry: e}
	if w.TTL > 0 {
		v.expires = s.opts.Clock().Add(w.TTL)
	}
	s.keys[w.Key] = v
	if w.Delete {
		delete(s.keys, w.Key)
	}
	return e, nil
}
