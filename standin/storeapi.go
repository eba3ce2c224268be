package standin

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/lotuswing/lotuswing/coord/store"
	"github.com/lotuswing/lotuswing/vm"
)

// ServeHTTP serves the service's interface and the switches for faults.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if strings.HasPrefix(r.URL.Path, "/v1/kv/") || strings.HasPrefix(r.URL.Path, "/v1/watch/") {
		if status := s.admit(r); status != 0 {
			http.Error(w, http.StatusText(status), status)
			return
		}
	}
	s.mux.ServeHTTP(w, r)
}

// admit counts the call and applies outage, delay and rate limits.
func (s *Store) admit(r *http.Request) int {
	s.mu.Lock()
	faults := s.faults
	s.calls++
	limit := &s.reads
	if r.Method == http.MethodPut {
		limit = &s.writes
	}
	ok := limit.take(s.clock())
	s.mu.Unlock()
	if faults.Slow > 0 {
		select {
		case <-time.After(faults.Slow):
		case <-r.Context().Done():
		}
	}
	switch {
	case faults.Down:
		return http.StatusServiceUnavailable
	case !ok:
		return http.StatusTooManyRequests
	}
	return 0
}

func keyOf(r *http.Request) string {
	key, err := url.PathUnescape(r.PathValue("key"))
	if err != nil {
		return r.PathValue("key")
	}
	return key
}

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	entry, ok := s.read(keyOf(r))
	if !ok {
		http.Error(w, "no such key", http.StatusNotFound)
		return
	}
	writeJSON(w, entry)
}

func (s *Store) put(w http.ResponseWriter, r *http.Request) {
	var wr store.Write
	if err := json.NewDecoder(io.LimitReader(r.Body, 3*store.MaxValue)).Decode(&wr); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if len(wr.Value) > store.MaxValue {
		http.Error(w, "value too large", http.StatusRequestEntityTooLarge)
		return
	}
	wr.Key = keyOf(r)
	entry, ok := s.CompareAndSwap(wr)
	if ok && s.loseAnswer() {
		panic(http.ErrAbortHandler)
	}
	if !ok {
		http.Error(w, "revision conflict", http.StatusConflict)
		return
	}
	writeJSON(w, entry)
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "after: "+err.Error(), http.StatusBadRequest)
		return
	}
	wait, err := time.ParseDuration(r.URL.Query().Get("wait"))
	if err != nil {
		http.Error(w, "wait: "+err.Error(), http.StatusBadRequest)
		return
	}
	timeout := time.NewTimer(min(wait, maxWatch))
	defer timeout.Stop()
	for {
		entry, ok, changed := s.look(keyOf(r))
		if ok && entry.Revision > after {
			writeJSON(w, entry)
			return
		}
		select {
		case <-changed:
		case <-timeout.C:
			w.WriteHeader(http.StatusNotModified)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) getVMs(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	writeJSON(w, s.vms)
}

func (s *Store) putVMs(w http.ResponseWriter, r *http.Request) {
	var list []vm.VM
	if err := json.NewDecoder(r.Body).Decode(&list); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetVMs(list)
}

func (s *Store) putFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(f)
}

func (s *Store) getCalls(w http.ResponseWriter, _ *http.Request) {
	_, _ = fmt.Fprintln(w, s.Calls())
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// rate is a token bucket of one second's calls.
type rate struct {
	limit   float64
	used    float64
	updated time.Time
}

func (r *rate) take(now time.Time) bool {
	if !r.updated.IsZero() {
		r.used = max(0, r.used-now.Sub(r.updated).Seconds()*r.limit)
	}
	r.updated = now
	if r.used+1 > r.limit {
		return false
	}
	r.used++
	return true
}
