//go:build review

// Package lab2 has what the scripts of the second review share: a small store, servers and clients that
// follow the operators' pages, a proxy that cuts, and the start and end of balancer processes.
//
// # Usage
//
//	store := lab2.NewStore(lab2.StoreOptions{StaleLag: time.Second})
//	addr, err := store.Listen()
//	b, err := lab2.StartBalancer(lab2.BalancerConfig{...})
package lab2

import (
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	historyFor = 20 * time.Second // as historyS of the settings
	maxPage    = 500              // items of a page
	maxPageLen = 1 << 20          // bytes of a page, about
)

// item is a key with its value, or its deletion.
type item struct {
	Key      string `json:"tlsKey"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Made     uint64 `json:"made,omitempty"`
	Lease    uint64 `json:"lease,omitempty"`
	Gone     bool   `json:"gone,omitempty"`

	at time.Time
}

// snapshot is the content at a revision. Its map is never changed.
type snapshot struct {
	at       time.Time
	revision uint64
	items    map[string]item
}

// lease is a lease with the time at which it ends.
type lease struct {
	ttl  time.Duration
	ends time.Time
}

// StoreOptions says what the pages leave open.
type StoreOptions struct {
	// StaleLag is how old reads are that may be stale.
	StaleLag time.Duration
	// Log is told of each call; nil for none.
	Log func(call string, status int)
}

// Store is the platform's metadata store.
type Store struct {
	opts StoreOptions

	mu        sync.Mutex
	snapshots []snapshot // the last one is the present content
	history   []item
	compacted uint64 // revision up to which the history was forgotten
	leases    map[uint64]*lease
	lastLease uint64
	changed   chan struct{}
}

// NewStore returns an empty store.
func NewStore(opts StoreOptions) *Store {
	s := &Store{opts: opts, leases: map[uint64]*lease{}, changed: make(chan struct{})}
	s.snapshots = []snapshot{{at: time.Now(), revision: 1, items: map[string]item{}}}
	go func() {
		for range time.Tick(50 * time.Millisecond) {
			s.expire(time.Now())
		}
	}()
	return s
}

// Listen serves on a free loopback port and returns the address.
func (s *Store) Listen() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/kv-key", s.key)
	mux.HandleFunc("GET /api/kv-range", s.pages)
	mux.HandleFunc("GET /api/kv-watch", s.watch)
	mux.HandleFunc("POST /api/kv-txn", s.transact)
	mux.HandleFunc("POST /api/kv-lease", s.grant)
	mux.HandleFunc("POST /api/kv-keep/{id}", s.keep)
	mux.HandleFunc("DELETE /api/kv-lease-end/{id}", s.end)
	go func() { _ = http.Serve(l, mux) }() // ends with the process
	return l.Addr().String(), nil
}

// present returns the present content; s.mu must be held.
func (s *Store) present() snapshot { return s.snapshots[len(s.snapshots)-1] }

// seen returns the content that a read gets.
func (s *Store) seen(r *http.Request) snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.FormValue("stale") != "1" || s.opts.StaleLag == 0 {
		return s.present()
	}
	old := time.Now().Add(-s.opts.StaleLag)
	for i := len(s.snapshots) - 1; i > 0; i-- {
		if !s.snapshots[i].at.After(old) {
			return s.snapshots[i]
		}
	}
	return s.snapshots[0]
}

// change makes changes at one revision; s.mu must be held.
func (s *Store) change(put map[string]item, remove []string) uint64 {
	now := time.Now()
	next := snapshot{at: now, revision: s.present().revision + 1, items: maps.Clone(s.present().items)}
	for key, i := range put {
		i.Key, i.Revision, i.Made, i.at = key, next.revision, next.revision, now
		if old, ok := next.items[key]; ok {
			i.Made = old.Made
		}
		next.items[key] = i
		s.history = append(s.history, i)
	}
	for _, key := range remove {
		if _, ok := next.items[key]; ok {
			delete(next.items, key)
			s.history = append(s.history, item{Key: key, Revision: next.revision, Gone: true, at: now})
		}
	}
	s.snapshots = append(s.snapshots, next)
	close(s.changed)
	s.changed = make(chan struct{})
	return next.revision
}

// Put writes a key and returns the revision: the write is acknowledged.
func (s *Store) Put(key string, value []byte) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.change(map[string]item{key: {Value: value}}, nil)
}

// Remove deletes a key.
func (s *Store) Remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.change(nil, []string{key})
}

// Keys returns the keys with a prefix.
func (s *Store) Keys(prefix string) (keys []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key := range s.present().items {
		if strings.HasPrefix(key, prefix) {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}

// LastWritten returns the value that was last written under a condition, and is still there.
func (s *Store) LastWritten() []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	var last item
	for key, i := range s.present().items {
		if !strings.HasPrefix(key, "op/") && !strings.HasPrefix(key, "servers/") && i.Revision > last.Revision {
			last = i
		}
	}
	return last.Value
}

// expire ends leases, and forgets the history that is older than historyFor.
func (s *Store) expire(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, l := range s.leases {
		if now.After(l.ends) {
			s.endLease(id)
		}
	}
	for len(s.history) > 0 && now.Sub(s.history[0].at) > historyFor {
		s.compacted = s.history[0].Revision
		s.history = s.history[1:]
	}
	for len(s.snapshots) > 1 && now.Sub(s.snapshots[1].at) > historyFor {
		s.snapshots = s.snapshots[1:]
	}
}

// endLease ends a lease and deletes its keys; s.mu must be held.
func (s *Store) endLease(id uint64) {
	delete(s.leases, id)
	var keys []string
	for key, i := range s.present().items {
		if i.Lease == id {
			keys = append(keys, key)
		}
	}
	if len(keys) > 0 {
		s.change(nil, keys)
	}
}

// answer answers a call.
func (s *Store) answer(w http.ResponseWriter, r *http.Request, status int, body any) {
	raw, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	if s.opts.Log != nil {
		s.opts.Log(r.Method+" "+r.URL.RequestURI(), status)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(raw)))
	w.WriteHeader(status)
	_, _ = w.Write(raw)
}

func (s *Store) key(w http.ResponseWriter, r *http.Request) {
	at := s.seen(r)
	i, ok := at.items[r.FormValue("tlsKey")]
	if !ok {
		s.answer(w, r, http.StatusNotFound, map[string]any{"at": at.revision})
		return
	}
	s.answer(w, r, http.StatusOK, struct {
		item
		At uint64 `json:"at"`
	}{i, at.revision})
}

func (s *Store) pages(w http.ResponseWriter, r *http.Request) {
	at := s.seen(r)
	prefix, after := r.FormValue("pathPrefix"), r.FormValue("after")
	keys := slices.Sorted(maps.Keys(at.items))
	page, size, more := []item{}, 0, false
	for _, key := range keys {
		if !strings.HasPrefix(key, prefix) || key <= after {
			continue
		}
		if len(page) == maxPage || size > maxPageLen {
			more = true
			break
		}
		page = append(page, at.items[key])
		size += len(key) + len(at.items[key].Value)
	}
	s.answer(w, r, http.StatusOK, map[string]any{"items": page, "more": more, "at": at.revision})
}

// watch answers with all events after a revision as soon as there is one.
func (s *Store) watch(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.FormValue("after"), 10, 64)
	wait, _ := strconv.Atoi(r.FormValue("waitMs"))
	prefix := r.FormValue("pathPrefix")
	over := time.After(time.Duration(min(wait, 30000)) * time.Millisecond)
	for {
		s.mu.Lock()
		events, at, changed, lost := []item{}, s.present().revision, s.changed, after < s.compacted
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, prefix) {
				events = append(events, i)
			}
		}
		s.mu.Unlock()
		if lost {
			s.answer(w, r, http.StatusGone, map[string]any{"at": at})
			return
		}
		if len(events) > 0 {
			s.answer(w, r, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-over:
			s.answer(w, r, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) transact(w http.ResponseWriter, r *http.Request) {
	var call struct {
		Expected []item   `json:"expectedRev"`
		Put      []item   `json:"put"`
		Remove   []string `json:"remove"`
	}
	if json.NewDecoder(r.Body).Decode(&call) != nil {
		s.answer(w, r, http.StatusBadRequest, struct{}{})
		return
	}
	status, body := s.transactNow(call.Expected, call.Put, call.Remove)
	s.answer(w, r, status, body)
}

func (s *Store) transactNow(expected, put []item, remove []string) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	items, met := []item{}, true
	for _, e := range expected {
		present := s.present().items[e.Key]
		met = met && present.Revision == e.Revision
		if present.Key != "" {
			items = append(items, present)
		}
	}
	if !met {
		return http.StatusPreconditionFailed, map[string]any{"items": items}
	}
	writes := map[string]item{}
	for _, p := range put {
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
			return http.StatusForbidden, struct{}{}
		}
		if _, ok := s.leases[p.Lease]; !ok && p.Lease != 0 {
			return http.StatusNotFound, struct{}{}
		}
		writes[p.Key] = item{Value: p.Value, Lease: p.Lease}
	}
	return http.StatusOK, map[string]any{"revision": s.change(writes, remove)}
}

func (s *Store) grant(w http.ResponseWriter, r *http.Request) {
	var terms struct {
		TTL int64 `json:"ttl_ms"`
	}
	if json.NewDecoder(r.Body).Decode(&terms) != nil {
		s.answer(w, r, http.StatusBadRequest, struct{}{})
		return
	}
	ttl := time.Duration(max(1000, min(terms.TTL, 600_000))) * time.Millisecond
	s.mu.Lock()
	s.lastLease++
	id := s.lastLease
	s.leases[id] = &lease{ttl: ttl, ends: time.Now().Add(ttl)}
	s.mu.Unlock()
	s.answer(w, r, http.StatusOK, map[string]any{"lease": id, "ttl_ms": ttl.Milliseconds()})
}

func (s *Store) keep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	l, ok := s.leases[id]
	if ok {
		l.ends = time.Now().Add(l.ttl)
	}
	s.mu.Unlock()
	if !ok {
		s.answer(w, r, http.StatusNotFound, struct{}{})
		return
	}
	s.answer(w, r, http.StatusOK, struct{}{})
}

func (s *Store) end(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	_, ok := s.leases[id]
	if ok {
		s.endLease(id)
	}
	s.mu.Unlock()
	if !ok {
		s.answer(w, r, http.StatusNotFound, struct{}{})
		return
	}
	s.answer(w, r, http.StatusOK, struct{}{})
}
