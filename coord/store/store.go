// Package store has the types of the key-value service as coordination needs it:
// compare-and-swap, keys with a time to live (leases), and typed errors. The
// packages that use a service declare the interface that they need; package
// storeclient of the product is a client over HTTP.
//
// # Usage
//
//	_, err := kv.CompareAndSwap(ctx, store.Write{Key: key, Value: value, Revision: entry.Revision})
//	if errors.Is(err, store.ErrConflict) { ... }
package store

import (
	"errors"
	"time"
)

// Errors of the service, as a caller must tell them apart.
var (
	// ErrNotFound: the key has no value.
	ErrNotFound = errors.New("store: key not found")
	// ErrConflict: the write named another revision than the key has; it had
	// no effect.
	ErrConflict = errors.New("store: revision conflict")
	// ErrUnavailable: the service did not take the call; it had no effect.
	ErrUnavailable = errors.New("store: unavailable")
	// ErrUnknown: the outcome of a write cannot be told; it may have taken
	// effect, or take effect later.
	ErrUnknown = errors.New("store: outcome unknown")
	// ErrRateLimited: the service, or the client's own limit, refused the call.
	ErrRateLimited = errors.New("store: rate limited")
)

// MaxValue is the largest value that the service takes, in bytes.
const MaxValue = 1 << 20

// Entry is a key's value at a revision.
type Entry struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision uint64 `json:"revision"`
}

// Write is a compare-and-swap.
type Write struct {
	Key      string        `json:"key"`
	Value    []byte        `json:"value,omitempty"`
	Revision uint64        `json:"revision"` // expected; 0 for a key that must not exist
	TTL      time.Duration `json:"ttl"`      // 0 for a value that stays
	Delete   bool          `json:"delete,omitempty"`
}
