package soak

import (
	"bytes"
	"slices"
	"sync"
	"time"
)

// sightings holds when the heads of requests first came to a proxy, by Request-Id.
type sightings struct {
	mu sync.Mutex
	at map[string][]time.Time
}

func (s *sightings) note(ids []string, at time.Time) {
	if len(ids) == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.at == nil {
		s.at = map[string][]time.Time{}
	}
	for _, id := range ids {
		s.at[id] = append(s.at[id], at)
	}
}

// last returns when a request that arrived at its endpoint at arrived came to the proxy: the last time
// before that, as a request may be sent again. It is arrived where the request was not seen.
func (s *sightings) last(id string, arrived time.Time) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, at := range slices.Backward(s.at[id]) {
		if !at.After(arrived) {
			return at
		}
	}
	return arrived
}

// headScanner finds the Request-Id in the heads of requests in the bytes of a connection.
type headScanner struct {
	rest []byte // of earlier bytes, in which a field may have begun
}

// maxField is how many bytes of a field are kept until its end comes.
const maxField = 256

// scan returns the identities in the next bytes of the connection.
func (h *headScanner) scan(next []byte) (ids []string) {
	field, end := []byte("\r\n"+dialect.RequestID+": "), []byte("\r\n")
	left := append(h.rest, next...)
	for {
		_, value, found := bytes.Cut(left, field)
		id, after, whole := bytes.Cut(value, end)
		if !found || !whole {
			break
		}
		ids = append(ids, string(id))
		left = after
	}
	h.rest = slices.Clone(left[max(0, len(left)-maxField):])
	return ids
}
