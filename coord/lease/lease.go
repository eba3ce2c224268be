// Package lease acquires and renews a lease in a key-value store, and determines locally when
// it is no longer valid.
//
// A holder that was paused must not act on a lease that has expired. A Term
// therefore has a deadline on the holder's own monotonic clock. It counts from
// before the request to the store was sent and is shortened by a margin for clock
// drift. Each use calls Valid with the present time.
//
// The lease is an entry of the store; a Keeper holds only its Term. The Keeper needs a Store
// with compare-and-swap and entries with a time to live.
//
// # Usage
//
//	k := lease.NewKeeper(store, "lease/probe/bennani", "vm-3", 5*time.Second)
//	term, err := k.Renew(ctx, time.Now)
//	if term.Valid(time.Now()) {
//		// act, and check again before the next act
//	}
package lease

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/lotuswing/lotuswing/coord/store"
)

// marginDivisor sets the margin for clock drift between holder and store: the term ends one
// eighth of the time to live early.
const marginDivisor = 8

// ErrHeld is returned while another holder has the lease.
var ErrHeld = errors.New("lease: held by another holder")

// Term is the period for which a lease is held. The zero value is never valid.
type Term struct {
	Token            uint64 // fencing token: the store's revision at the last renewal, so it grows with each holder
	AcquiredRevision uint64 // the revision at which this holder acquired the lease
	Deadline         time.Time
}

// NewTerm returns the term of a lease whose request was sent at sent. first is the revision at
// which the holder acquired the lease, token that of this grant.
func NewTerm(sent time.Time, ttl time.Duration, first, token uint64) Term {
	return Term{Token: token, AcquiredRevision: first, Deadline: sent.Add(ttl - ttl/marginDivisor)}
}

// Valid reports whether the holder may act at now.
func (t Term) Valid(now time.Time) bool {
	return t.Token != 0 && now.Before(t.Deadline)
}

// SameHolding reports whether one holder had the lease without interruption from one term to the
// other: it did not expire, and was neither released nor dropped in between.
func (t Term) SameHolding(o Term) bool {
	return t.AcquiredRevision == o.AcquiredRevision && t.AcquiredRevision != 0
}

// Store is the part of a key-value store that a Keeper uses.
type Store interface {
	Get(ctx context.Context, key string) (store.Entry, error)
	CompareAndSwap(ctx context.Context, w store.Write) (store.Entry, error)
}

// Keeper acquires and renews one lease. It is not safe for concurrent use.
type Keeper struct {
	store     Store
	key       string
	holder    string
	ttl       time.Duration
	term      Term
	lastEntry store.Entry // own entry last seen under the key; zero for none
	writes    uint64      // number of writes; part of each value, to distinguish them
}

// NewKeeper returns a keeper that does not hold the lease. The holder's name must be
// unique to the process, not only to the VM.
func NewKeeper(s Store, key, holder string, ttl time.Duration) *Keeper {
	return &Keeper{store: s, key: key, holder: holder, ttl: ttl}
}

// Term returns the last term granted, which may no longer be valid.
func (k *Keeper) Term() Term { return k.term }

// Drop forgets the term without a call to the store, for example after the process was paused. The
// lease expires in the store.
func (k *Keeper) Drop() {
	k.term = Term{}
	k.lastEntry = store.Entry{}
}

// Renew acquires the lease or extends it, with at most three calls to the store. After an error it
// returns the previous term, which stays valid until its deadline. The error is ErrHeld if the
// store has another holder's entry, and store.ErrConflict if a write came in between.
func (k *Keeper) Renew(ctx context.Context, clock func() time.Time) (Term, error) {
	if k.lastEntry.Revision == 0 {
		if err := k.readEntry(ctx); err != nil {
			return k.term, err
		}
	}
	sent := clock()
	entry, err := k.writeEntry(ctx)
	if errors.Is(err, store.ErrUnknown) {
		entry, err = k.confirmWrite(ctx)
	}
	if errors.Is(err, store.ErrConflict) {
		k.lastEntry = store.Entry{}
	}
	if err != nil {
		return k.term, err
	}
	first := entry.Revision
	if k.term.Valid(sent) {
		first = k.term.AcquiredRevision
	}
	k.lastEntry = entry
	k.term = NewTerm(sent, k.ttl, first, entry.Revision)
	return k.term, nil
}

// Release deletes the lease from the store so that another holder can acquire it at once.
func (k *Keeper) Release(ctx context.Context) error {
	if k.lastEntry.Revision == 0 {
		return nil
	}
	w := store.Write{Key: k.key, Revision: k.lastEntry.Revision, Delete: true}
	k.Drop()
	_, err := k.store.CompareAndSwap(ctx, w)
	return err
}

// readEntry reads the lease's entry from the store. It returns ErrHeld if the entry is another
// holder's.
func (k *Keeper) readEntry(ctx context.Context) error {
	entry, err := k.store.Get(ctx, k.key)
	if errors.Is(err, store.ErrNotFound) {
		return nil
	}
	if err != nil {
		return err
	}
	if !k.isOwn(entry) {
		return fmt.Errorf("%w: %s holds %s", ErrHeld, entry.Value, k.key)
	}
	k.lastEntry = entry
	return nil
}

// separator separates the holder from the number of the write in an entry's value.
const separator = "#"

// isOwn reports whether any write of this keeper made the entry.
func (k *Keeper) isOwn(entry store.Entry) bool {
	return strings.HasPrefix(string(entry.Value), k.holder+separator)
}

// writeEntry acquires or extends the lease by one compare-and-swap.
func (k *Keeper) writeEntry(ctx context.Context) (store.Entry, error) {
	k.writes++
	w := store.Write{Key: k.key, Revision: k.lastEntry.Revision, Value: k.value(), TTL: k.ttl}
	return k.store.CompareAndSwap(ctx, w)
}

// value returns the value that the present write stores.
func (k *Keeper) value() []byte {
	return []byte(k.holder + separator + strconv.FormatUint(k.writes, 10))
}

// confirmWrite reads the entry to learn whether a write whose answer was lost took
// effect. It returns store.ErrConflict if it did not. An earlier write of the same keeper may have
// been applied late instead: its time to live began before this write was sent, so it extends
// nothing.
func (k *Keeper) confirmWrite(ctx context.Context) (store.Entry, error) {
	entry, err := k.store.Get(ctx, k.key)
	if err != nil {
		return entry, err
	}
	if !bytes.Equal(entry.Value, k.value()) {
		return entry, store.ErrConflict
	}
	return entry, nil
}
