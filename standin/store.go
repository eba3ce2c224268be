// Package standin holds stand-ins for what surrounds the balancers: the
// platform's key-value service and list of VMs, and endpoints. Each can be
// told to fail in the ways that the real one does.
//
// A Store owns its keys in memory; its HTTP form, which package storeclient speaks, is in
// storeapi.go. An Endpoint owns the account of what ran.
//
// # Usage
//
//	s := standin.NewStore(standin.StoreOptions{})
//	http.ListenAndServe(addr, s)
//	s.SetFaults(standin.Faults{Down: true})
package standin

import (
	"net/http"
	"sync"
	"time"

	"github.com/lotuswing/lotuswing/coord/store"
	"github.com/lotuswing/lotuswing/vm"
)

// Rates that the platform's service bears, per second.
const (
	writesPerSecond = 300
	readsPerSecond  = 2000
	maxWatch        = time.Minute
)

// Faults of the store stand-in.
type Faults struct {
	Down        bool          `json:"down"`         // refuse every call
	Slow        time.Duration `json:"slow"`         // delay of every call
	LoseAnswers int           `json:"lose_answers"` // of the next writes, after they took effect
	StuckWatch  bool          `json:"stuck_watch"`  // watches never see a change
	RepeatWatch bool          `json:"repeat_watch"` // watches answer at once with what is known already
	StaleReads  bool          `json:"stale_reads"`  // reads and watches see the value before the last
}

// StoreOptions of a store stand-in. Zero fields take the defaults.
type StoreOptions struct {
	Clock func() time.Time // default time.Now
}

type stored struct {
	entry   store.Entry
	before  store.Entry // the value that the entry replaced
	expires time.Time   // zero for a value that stays
}

// Store is the stand-in of the key-value service, and of the list of VMs.
type Store struct {
	mux   *http.ServeMux
	clock func() time.Time

	mu       sync.Mutex
	keys     map[string]stored
	revision uint64
	changed  chan struct{} // closed and replaced at each change
	faults   Faults
	vms      vm.List
	reads    rate
	writes   rate
	calls    int
}

// NewStore returns an empty store.
func NewStore(opts StoreOptions) *Store {
	if opts.Clock == nil {
		opts.Clock = time.Now
	}
	s := &Store{
		mux:     http.NewServeMux(),
		clock:   opts.Clock,
		keys:    map[string]stored{},
		changed: make(chan struct{}),
		vms:     vm.List{Revision: 1},
		reads:   rate{limit: readsPerSecond},
		writes:  rate{limit: writesPerSecond},
	}
	s.mux.HandleFunc("GET /v1/kv/{key}", s.get)
	s.mux.HandleFunc("PUT /v1/kv/{key}", s.put)
	s.mux.HandleFunc("GET /v1/watch/{key}", s.watch)
	s.mux.HandleFunc("GET /v1/vms", s.getVMs)
	s.mux.HandleFunc("PUT /v1/vms", s.putVMs)
	s.mux.HandleFunc("PUT /v1/faults", s.putFaults)
	s.mux.HandleFunc("GET /v1/calls", s.getCalls)
	return s
}

// SetFaults replaces the faults.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Calls returns how many calls the service has counted.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// SetVMs replaces the list of VMs.
func (s *Store) SetVMs(list []vm.VM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.vms = vm.List{Revision: s.vms.Revision + 1, VMs: list}
}

// Lookup returns the entry of a key whose lease has not lapsed.
func (s *Store) Lookup(key string) (store.Entry, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.live(key)
}

// read is Lookup as callers see it, with the fault of stale reads.
func (s *Store) read(key string) (store.Entry, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if found, ok := s.keys[key]; ok && s.faults.StaleReads {
		return found.before, found.before.Revision > 0
	}
	return s.live(key)
}

func (s *Store) live(key string) (store.Entry, bool) {
	found, ok := s.keys[key]
	if !ok || !found.expires.IsZero() && !s.clock().Before(found.expires) {
		return store.Entry{}, false
	}
	return found.entry, true
}

// CompareAndSwap applies a write; it reports whether the revision matched.
func (s *Store) CompareAndSwap(wr store.Write) (store.Entry, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current, _ := s.live(wr.Key)
	if current.Revision != wr.Revision {
		return store.Entry{}, false
	}
	s.revision++
	entry := store.Entry{Key: wr.Key, Value: wr.Value, Revision: s.revision}
	next := stored{entry: entry, before: current}
	if wr.TTL > 0 {
		next.expires = s.clock().Add(wr.TTL)
	}
	if wr.Delete {
		delete(s.keys, wr.Key)
	} else {
		s.keys[wr.Key] = next
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return entry, true
}

func (s *Store) loseAnswer() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.LoseAnswers == 0 {
		return false
	}
	s.faults.LoseAnswers--
	return true
}

// look returns an entry as a watch sees it, and what to wait for.
func (s *Store) look(key string) (store.Entry, bool, chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	entry, ok := s.live(key)
	if s.faults.StuckWatch || s.faults.StaleReads {
		return entry, false, nil
	}
	if s.faults.RepeatWatch {
		entry.Revision = max(entry.Revision, 1) // answered whatever the caller knows
		return store.Entry{Key: key, Value: entry.Value, Revision: ^uint64(0)}, ok, s.changed
	}
	return entry, ok, s.changed
}
