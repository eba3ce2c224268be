package document

import (
	"maps"
	"sync"
	"sync/atomic"
)

// Value is one version of a named document as it travels between processes.
type Value struct {
	Name    string
	Version uint64
	Raw     []byte
}

// Replica is one process's copy of the shared documents. A version only
// grows: what is not higher than the present version is never taken in,
// whoever offers it. Reads take no lock. The zero value is empty.
type Replica struct {
	values   atomic.Pointer[map[string]Value]
	mu       sync.Mutex // of writers
	rejected map[string]uint64
}

// Get returns the present version of a document.
func (r *Replica) Get(name string) (Value, bool) {
	m := r.values.Load()
	if m == nil {
		return Value{}, false
	}
	v, ok := (*m)[name]
	return v, ok
}

// Versions returns the versions held, by name.
func (r *Replica) Versions() map[string]uint64 {
	out := map[string]uint64{}
	if m := r.values.Load(); m != nil {
		for name, v := range *m {
			out[name] = v.Version
		}
	}
	return out
}

// Wants reports whether a version would be new to this replica.
func (r *Replica) Wants(name string, version uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.wants(name, version)
}

func (r *Replica) wants(name string, version uint64) bool {
	v, _ := r.Get(name)
	return version > v.Version && version > r.rejected[name]
}

// Offer accepts a value that is higher than the present one and that check
// accepts; check also puts it in force, under the replica's lock, so that
// versions come into force in order. A rejected version is not asked for
// again.
func (r *Replica) Offer(v Value, check func(Value) error) (bool, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.wants(v.Name, v.Version) {
		return false, nil
	}
	if err := check(v); err != nil {
		if r.rejected == nil {
			r.rejected = map[string]uint64{}
		}
		r.rejected[v.Name] = v.Version
		return false, err
	}
	next := map[string]Value{}
	if m := r.values.Load(); m != nil {
		maps.Copy(next, *m)
	}
	next[v.Name] = v
	r.values.Store(&next)
	return true, nil
}

// Rejected returns the last version of a document that check did not accept.
func (r *Replica) Rejected(name string) uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rejected[name]
}
