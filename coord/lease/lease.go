// Package lease holds a lease in a key-value store and knows when it no longer
// does.
//
// A holder that was paused must not act on what it no longer owns. A Term
// therefore carries a deadline on the holder's own monotonic clock, taken
// before the request to the store was sent and shortened by a margin for clock
// drift, and each use asks Valid with the present time.
//
// A Keeper owns the term that it holds; the store owns the lease. It relies on a Store
// with compare-and-swap and times to live.
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

// marginDivisor is the share of the time to live that is given up against clock drift between
// holder and store: one eighth.
const marginDivisor = 8

// ErrHeld is returned while another holder has the lease.
var ErrHeld = errors.New("lease: held by another")

// Term is one period of holding. The zero value is not valid at any time.
type Term struct {
	Token    uint64 // the store's revision: grows with each holder
	First    uint64 // the revision at which this holder acquired the lease
	Deadline time.Time
}

// Granted returns the term of a lease whose request was sent at sent.
func Granted(sent time.Time, ttl time.Duration, first, token uint64) Term {
	return Term{Token: token, First: first, Deadline: sent.Add(ttl - ttl/marginDivisor)}
}

// Valid reports whether the holder may act at now.
func (t Term) Valid(now time.Time) bool {
	return t.Token != 0 && now.Before(t.Deadline)
}

// SameHolding reports whether two terms belong to one unbroken holding.
func (t Term) SameHolding(o Term) bool { return t.First == o.First && t.First != 0 }

// Store is what a Keeper needs of the key-value service.
type Store interface {
	Get(ctx context.Context, key string) (store.Entry, error)
	CompareAndSwap(ctx context.Context, w store.Write) (store.Entry, error)
}

// Keeper acquires and renews one lease. It is not safe for concurrent use.
type Keeper struct {
	store  Store
	key    string
	holder string
	ttl    time.Duration
	term   Term
	known  store.Entry // last entry seen under the key
	writes uint64      // made so far; part of each value, to tell them apart
}

// NewKeeper returns a keeper that holds nothing. The holder's name must be
// unique to the process, not only to the VM.
func NewKeeper(s Store, key, holder string, ttl time.Duration) *Keeper {
	return &Keeper{store: s, key: key, holder: holder, ttl: ttl}
}

// Term returns the last term granted; ask it whether it is still valid.
func (k *Keeper) Term() Term { return k.term }

// Drop forgets the term, as after a pause. The store lets it lapse.
func (k *Keeper) Drop() {
	k.term = Term{}
	k.known = store.Entry{}
}

// Renew acquires the lease or extends it. It makes at most three calls.
// After an error the old term is unchanged and lapses at its deadline.
func (k *Keeper) Renew(ctx context.Context, clock func() time.Time) (Term, error) {
	if k.known.Revision == 0 {
		if err := k.look(ctx); err != nil {
			return k.term, err
		}
	}
	sent := clock()
	entry, err := k.write(ctx)
	if errors.Is(err, store.ErrUnknown) {
		entry, err = k.settle(ctx)
	}
	if errors.Is(err, store.ErrConflict) {
		k.known = store.Entry{}
	}
	if err != nil {
		return k.term, err
	}
	first := entry.Revision
	if k.term.Valid(sent) {
		first = k.term.First
	}
	k.known = entry
	k.term = Granted(sent, k.ttl, first, entry.Revision)
	return k.term, nil
}

// Release gives the lease back so that another can acquire it at once.
func (k *Keeper) Release(ctx context.Context) error {
	if k.known.Revision == 0 {
		return nil
	}
	w := store.Write{Key: k.key, Revision: k.known.Revision, Delete: true}
	k.Drop()
	_, err := k.store.CompareAndSwap(ctx, w)
	return err
}

func (k *Keeper) look(ctx context.Context) error {
	entry, err := k.store.Get(ctx, k.key)
	if errors.Is(err, store.ErrNotFound) {
		return nil
	}
	if err != nil {
		return err
	}
	if !k.mine(entry) {
		return fmt.Errorf("%w: %s has %s", ErrHeld, entry.Value, k.key)
	}
	k.known = entry
	return nil
}

// separator stands between the holder and the number of the write.
const separator = "#"

// mine reports whether any write of this keeper made the entry.
func (k *Keeper) mine(entry store.Entry) bool {
	return strings.HasPrefix(string(entry.Value), k.holder+separator)
}

func (k *Keeper) write(ctx context.Context) (store.Entry, error) {
	k.writes++
	w := store.Write{Key: k.key, Revision: k.known.Revision, Value: k.value(), TTL: k.ttl}
	return k.store.CompareAndSwap(ctx, w)
}

// value is what the present write stores.
func (k *Keeper) value() []byte {
	return []byte(k.holder + separator + strconv.FormatUint(k.writes, 10))
}

// settle learns by reading whether the write whose answer was lost took
// effect. An earlier write of the same keeper may have arrived late instead:
// its time to live began before this one was sent, so it extends nothing.
func (k *Keeper) settle(ctx context.Context) (store.Entry, error) {
	entry, err := k.store.Get(ctx, k.key)
	if err != nil {
		return entry, err
	}
	if !bytes.Equal(entry.Value, k.value()) {
		return entry, store.ErrConflict
	}
	return entry, nil
}
