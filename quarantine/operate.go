package quarantine

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"time"

	"github.com/lotuswing/lotuswing/coord/crash"
	"github.com/lotuswing/lotuswing/internal/pause"
	"github.com/lotuswing/lotuswing/relay"
)

var (
	// ErrUnknown says that nothing is known of a request.
	ErrUnknown = errors.New("quarantine: nothing is known of this fingerprint")
	// ErrInvalid says that a text is no fingerprint.
	ErrInvalid = errors.New("quarantine: a fingerprint has 32 hexadecimal digits")
	// ErrChanged says that a record of the store changed meanwhile.
	ErrChanged = errors.New("quarantine: somebody else changed the record; look and try again")
)

// Status is what operators are told of a request. Its names are the JSON's.
type Status struct {
	Fingerprint crash.Fingerprint
	Step        string // send, try or refuse
	Service     string
	Kind        string
	AnyQuery    bool // of requests that differ in their query alone
	Ends        int
	Evidence    string
	For         time.Duration // how long a refusal still holds; 0 where it is none or holds until it is released
	Ordered     bool          // an operator ordered it
	Recorded    string        // what stands in the store; empty for nothing
}

// List returns what is known of all requests under which endpoints have ended since they
// were last run to an end, the last one first.
func (k *Keeper) List() []Status {
	now := k.opts.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	list := make([]Status, 0, len(k.entries))
	last := map[crash.Fingerprint]time.Time{}
	for f, known := range k.entries {
		d := known.is.Decide(now)
		if !known.is.Suspected() && !known.is.Ordered() || known.is.Wide() && d.Do == crash.Send {
			continue
		}
		st := Status{
			Fingerprint: f, Step: d.Do.String(), Service: known.service, Kind: known.kind, AnyQuery: known.is.Wide(), Ends: len(known.is.Ends()),
			Evidence: evidence(known.is, now), Ordered: known.is.Ordered(),
		}
		if known.revision != 0 {
			st.Recorded = known.recorded
		}
		if d.Do == crash.Refuse && !st.Ordered {
			st.For = d.Until.Sub(now)
		}
		list = append(list, st)
		last[f] = known.is.Last()
	}
	slices.SortFunc(list, func(a, b Status) int {
		return cmp.Or(last[b.Fingerprint].Compare(last[a.Fingerprint]), cmp.Compare(a.Fingerprint, b.Fingerprint))
	})
	return list
}

// Release lets a request be tried again, at all balancers.
func (k *Keeper) Release(ctx context.Context, f crash.Fingerprint) error {
	if !f.Valid() {
		return ErrInvalid
	}
	now := k.opts.Now()
	if !k.changeIf(f, now, func(known *entry) { known.is = known.is.WithRelease(now) }) {
		return ErrUnknown
	}
	k.cfg.Log.Info("released by an operator", "fingerprint", string(f))
	k.tell(note{What: noteRelease, Exact: f})
	return k.decree(ctx, f, stateReleased)
}

// Order has a request refused at all balancers until it is released.
func (k *Keeper) Order(ctx context.Context, f crash.Fingerprint) error {
	if !f.Valid() {
		return ErrInvalid
	}
	now := k.opts.Now()
	k.change(f, crash.Case{}, now, func(known *entry) { known.is = known.is.WithOrder(now) })
	k.cfg.Log.Info("refused by an operator", "fingerprint", string(f))
	k.tell(note{What: noteOrder, Exact: f})
	return k.decree(ctx, f, stateOrdered)
}

// decreeWithin is how long an operator's word waits for the news of a record that somebody
// else has written: changes of the store come within two seconds.
const decreeWithin = 3 * time.Second

// decree writes an operator's word to the store, in the place of what stands there. A release
// of what does not stand there needs no record.
func (k *Keeper) decree(ctx context.Context, f crash.Fingerprint, state string) error {
	ctx, cancel := context.WithTimeout(ctx, decreeWithin)
	defer cancel()
	for {
		said, revision, changed := k.decreed(f, state)
		if state == stateReleased && revision == 0 {
			return nil
		}
		err := k.put(ctx, f, said, revision, crash.HoldFor)
		if !errors.Is(err, relay.ErrTaken) {
			return err
		}
		pause.Until(ctx, changed, decreeWithin)
		if ctx.Err() != nil {
			return ErrChanged
		}
	}
}

// decreed returns the record of an operator's word, the revision of the one that it replaces,
// and what is closed when a case changes.
func (k *Keeper) decreed(f crash.Fingerprint, state string) (Record, uint64, <-chan struct{}) {
	k.mu.Lock()
	defer k.mu.Unlock()
	said := Record{State: state, By: k.cfg.ID}
	known := k.entries[f]
	if known == nil {
		return said, 0, k.changed
	}
	said.Service, said.Kind, said.Wide = known.service, known.kind, known.is.Wide()
	return said, known.revision, k.changed
}
