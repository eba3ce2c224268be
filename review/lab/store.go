//go:build review

package main

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeItem is a key of the store, or its deletion.
type storeItem struct {
	Key      string `json:"tlsKey"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Made     uint64 `json:"made,omitempty"`
	Lease    uint64 `json:"lease,omitempty"`
	Gone     bool   `json:"gone,omitempty"`
}

// storeLease is a lease that was granted.
type storeLease struct {
	ttl   time.Duration
	timer *time.Timer
}

// store is a stand-in of the platform's store without faults.
type store struct {
	mu       sync.Mutex
	revision uint64
	items    map[string]storeItem
	history  []storeItem
	changed  chan struct{} // closed and replaced at each change
	leases   map[uint64]*storeLease
	granted  uint64 // leases so far
}

func newStore() *store {
	return &store{revision: 1, items: map[string]storeItem{}, changed: make(chan struct{}), leases: map[uint64]*storeLease{}}
}

// put writes a key with a value that is encoded as JSON.
func (s *store) put(key string, value any) {
	raw, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(storeItem{Key: key, Value: raw})
}

// remove deletes a key.
func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.items[key]; ok {
		s.write(storeItem{Key: key, Gone: true})
	}
}

// write makes a change; s.mu is held.
func (s *store) write(i storeItem) {
	s.revision++
	i.Revision, i.Made = s.revision, s.revision
	if old, ok := s.items[i.Key]; ok {
		i.Made = old.Made
	}
	if i.Gone {
		i.Made = 0
		delete(s.items, i.Key)
	} else {
		s.items[i.Key] = i
	}
	s.history = append(s.history, i)
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP serves the calls.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	call, id, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/api/"), "/")
	lease, _ := strconv.ParseUint(id, 10, 64)
	query := r.URL.Query()
	switch call {
	case "kv-key":
		s.serveKey(w, query.Get("tlsKey"))
	case "kv-range":
		s.serveRange(w, query.Get("pathPrefix"), query.Get("after"))
	case "kv-watch":
		s.serveWatch(w, r)
	case "kv-txn":
		s.serveTxn(w, r)
	case "kv-lease":
		s.serveLease(w, r)
	case "kv-keep":
		s.serveKeep(w, lease)
	case "kv-lease-end":
		s.serveEnd(w, lease)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// reply writes an answer.
func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) serveKey(w http.ResponseWriter, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, ok := s.items[key]
	if !ok {
		reply(w, http.StatusNotFound, map[string]any{"at": s.revision})
		return
	}
	reply(w, http.StatusOK, struct {
		storeItem
		At uint64 `json:"at"`
	}{i, s.revision})
}

// pageSize is the greatest number of items of a page.
const pageSize = 500

func (s *store) serveRange(w http.ResponseWriter, prefix, after string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	found := []storeItem{}
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			found = append(found, i)
		}
	}
	slices.SortFunc(found, func(a, b storeItem) int { return strings.Compare(a.Key, b.Key) })
	reply(w, http.StatusOK, map[string]any{"items": found[:min(len(found), pageSize)], "more": len(found) > pageSize, "at": s.revision})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("waitMs"))
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(wait)*time.Millisecond)
	defer cancel()
	for {
		events, at, changed := s.since(after, query.Get("pathPrefix"))
		if len(events) > 0 || ctx.Err() != nil {
			reply(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

// since returns what was written after a revision, the present one, and a channel that is closed at the
// next change.
func (s *store) since(after uint64, prefix string) ([]storeItem, uint64, chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	events := []storeItem{}
	for _, i := range s.history {
		if i.Revision > after && strings.HasPrefix(i.Key, prefix) {
			events = append(events, i)
		}
	}
	return events, s.revision, s.changed
}

// storeTxn is the body of kv-txn.
type storeTxn struct {
	Expected []storeItem `json:"expectedRev"`
	Put      []storeItem `json:"put"`
	Remove   []string    `json:"remove"`
}

func (s *store) serveTxn(w http.ResponseWriter, r *http.Request) {
	var t storeTxn
	if json.NewDecoder(r.Body).Decode(&t) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var present []storeItem
	for _, e := range t.Expected {
		if i := s.items[e.Key]; i.Revision != e.Revision {
			present = append(present, i)
		}
	}
	if len(present) > 0 {
		reply(w, http.StatusPreconditionFailed, map[string]any{"items": present})
		return
	}
	for _, p := range t.Put {
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	for _, p := range t.Put {
		s.write(storeItem{Key: p.Key, Value: p.Value, Lease: p.Lease})
	}
	for _, key := range t.Remove {
		if _, ok := s.items[key]; ok {
			s.write(storeItem{Key: key, Gone: true})
		}
	}
	reply(w, http.StatusOK, map[string]any{"revision": s.revision})
}

// storeTerms are the terms of a lease.
type storeTerms struct {
	Lease uint64 `json:"lease,omitempty"`
	TTL   int64  `json:"ttl_ms"`
}

func (s *store) serveLease(w http.ResponseWriter, r *http.Request) {
	var terms storeTerms
	if json.NewDecoder(r.Body).Decode(&terms) != nil || terms.TTL <= 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.granted++
	id, ttl := s.granted, time.Duration(terms.TTL)*time.Millisecond
	s.leases[id] = &storeLease{ttl: ttl, timer: time.AfterFunc(ttl, func() { s.end(id) })}
	reply(w, http.StatusOK, storeTerms{Lease: id, TTL: terms.TTL})
}

func (s *store) serveKeep(w http.ResponseWriter, id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	l.timer.Reset(l.ttl)
	reply(w, http.StatusOK, storeTerms{TTL: l.ttl.Milliseconds()})
}

func (s *store) serveEnd(w http.ResponseWriter, id uint64) {
	if !s.end(id) {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, http.StatusOK, map[string]any{})
}

// end ends a lease with its keys, and reports whether there was one.
func (s *store) end(id uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		return false
	}
	l.timer.Stop()
	delete(s.leases, id)
	for key, i := range s.items {
		if i.Lease == id {
			s.write(storeItem{Key: key, Gone: true})
		}
	}
	return true
}
