package document

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/lotuswing/lotuswing/coord/store"
)

// Store is what editing needs of the key-value service.
type Store interface {
	Get(ctx context.Context, key string) (store.Entry, error)
	CompareAndSwap(ctx context.Context, w store.Write) (store.Entry, error)
}

// Proposal is an edit that somebody wants to make.
type Proposal struct {
	ID     string // unique to this edit
	Editor string
	Base   uint64 // the version that the editor started from, 0 for none
	Body   json.RawMessage
}

// Result says what became of a proposal.
type Result uint8

const (
	// Unknown says that it cannot be told yet; the edit may still take effect.
	Unknown Result = iota
	// Won says that the edit made a version, which is or was in force.
	Won
	// Lost says that the edit did not take effect and never will.
	Lost
)

// String returns the word printed to operators.
func (r Result) String() string {
	return [...]string{"unknown", "won", "lost"}[r]
}

// Outcome is what Apply found out.
type Outcome struct {
	Result  Result
	Version uint64 // the version that the edit made, where it won
	Winner  Edit   // whose edit took the place, where it lost
	Current Document
}

// Clock is what Apply needs to know of time.
type Clock interface {
	Now() time.Time
	// Pause waits for d, or until ctx ends.
	Pause(ctx context.Context, d time.Duration)
}

// ApplyOptions bounds the attempts of Apply.
type ApplyOptions struct {
	Attempts int           // rounds of a read and a write; default 5
	Pause    time.Duration // between rounds; default 200 ms
}

// Apply writes a proposal with compare-and-swap and settles a lost answer by
// reading: the edit's identity is in the document, or it can no longer land
// because the version it named has passed, or it is tried again with the same
// identity. The error, if any, is the last one of the service.
func Apply(ctx context.Context, s Store, clock Clock, key string, p Proposal, opts ApplyOptions) (Outcome, error) {
	opts.Attempts = cmp.Or(opts.Attempts, 5)
	opts.Pause = cmp.Or(opts.Pause, 200*time.Millisecond)
	var last error
	for i := range opts.Attempts {
		if i > 0 {
			clock.Pause(ctx, opts.Pause)
			if ctx.Err() != nil {
				break
			}
		}
		out, err := round(ctx, s, key, p, clock.Now())
		if out.Result != Unknown {
			return out, nil
		}
		last = err
	}
	return Outcome{}, fmt.Errorf("document: outcome not learnt: %w", errors.Join(last, ctx.Err()))
}

// round reads, decides and, where the proposal can still land, writes once.
func round(ctx context.Context, s Store, key string, p Proposal, now time.Time) (Outcome, error) {
	entry, err := s.Get(ctx, key)
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		return Outcome{}, err
	}
	var current Document
	if err == nil {
		if current, err = Parse(entry.Value); err != nil {
			return Outcome{}, err
		}
	}
	if out := settle(current, p); out.Result != Unknown || current.Version != p.Base {
		return out, fmt.Errorf("document: version %d no longer names the edit of version %d", current.Version, p.Base+1)
	}
	next := current.With(Edit{ID: p.ID, Editor: p.Editor, At: now.UTC()}, p.Body)
	raw, err := json.Marshal(next)
	if err != nil {
		return Outcome{}, fmt.Errorf("document: encode: %w", err)
	}
	_, err = s.CompareAndSwap(ctx, store.Write{Key: key, Value: raw, Revision: entry.Revision})
	if err != nil {
		return Outcome{}, err
	}
	return Outcome{Result: Won, Version: next.Version, Current: next}, nil
}

// settle decides what became of a proposal from a document read after it may
// have been written.
func settle(current Document, p Proposal) Outcome {
	if current.Version <= p.Base {
		return Outcome{}
	}
	made, ok := current.EditAt(p.Base + 1)
	switch {
	case !ok:
		return Outcome{}
	case made.ID == p.ID:
		return Outcome{Result: Won, Version: made.Version, Current: current}
	default:
		return Outcome{Result: Lost, Winner: made, Current: current}
	}
}
