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
	// ErrUnknown is returned if there is no history for the fingerprint.
	ErrUnknown = errors.New("quarantine: nothing is known of this fingerprint")
	// ErrInvalid is returned for a string that is not a valid fingerprint.
	ErrInvalid = errors.New("quarantine: a fingerprint has 32 hexadecimal digits")
	// ErrChanged is returned if somebody else changed the store's record and the new one did not
	// arrive in time.
	ErrChanged = errors.New("quarantine: somebody else changed the record; look and try again")
)

// Status describes one history to operators. Its field names are those of the JSON.
type Status struct {
	Fingerprint crash.Fingerprint
	Step        string // the action: send, try or refuse
	Service     string
	Kind        string
	AnyQuery    bool          // covers all requests that differ only in their query
	Ends        int           // number of crashes since the last completion
	Evidence    string        // the crashes and orders on which the action is based
	For         time.Duration // how long the refusal still holds; 0 without a refusal, or with one that an operator ordered
	Ordered     bool          // an operator ordered the refusal
	Recorded    string        // state of the record in the store; empty without a record
}

// List returns the status of all requests during which endpoints have crashed since the last
// completion, or whose refusal an operator ordered, the latest crash first. It leaves out any-query
// histories that have no effect.
func (k *Tracker) List() []Status {
	now := k.opts.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	list := make([]Status, 0, len(k.entries))
	lastCrash := map[crash.Fingerprint]time.Time{}
	for f, ent := range k.entries {
		d := ent.history.Decide(now)
		if !ent.history.Suspected() && !ent.history.RefusalOrdered() || ent.history.AnyQuery() && d.Action == crash.Send {
			continue
		}
		status := Status{
			Fingerprint: f, Step: d.Action.String(), Service: ent.service, Kind: ent.kind, AnyQuery: ent.history.AnyQuery(), Ends: len(ent.history.Crashes()),
			Evidence: evidence(ent.history, now), Ordered: ent.history.RefusalOrdered(),
		}
		if ent.recordRevision != 0 {
			status.Recorded = ent.recordState
		}
		if d.Action == crash.Refuse && !status.Ordered {
			status.For = d.Until.Sub(now)
		}
		list = append(list, status)
		lastCrash[f] = ent.history.LastCrash()
	}
	slices.SortFunc(list, func(a, b Status) int {
		return cmp.Or(lastCrash[b.Fingerprint].Compare(lastCrash[a.Fingerprint]), cmp.Compare(a.Fingerprint, b.Fingerprint))
	})
	return list
}

// Release ends the refusal of a request at all balancers. The request is sent on trial again, or
// like any other if too few crashes are known. It returns ErrInvalid, ErrUnknown, ErrChanged
// or an error of the store.
func (k *Tracker) Release(ctx context.Context, f crash.Fingerprint) error {
	if !f.Valid() {
		return ErrInvalid
	}
	now := k.opts.Now()
	if !k.updateExisting(f, now, func(ent *entry) { ent.history = ent.history.WithRelease(now) }) {
		return ErrUnknown
	}
	k.cfg.Log.Info("request released by an operator", "fingerprint", string(f))
	k.broadcast(note{What: noteReleased, Exact: f})
	return k.writeOperatorRecord(ctx, f, stateReleased)
}

// OrderRefusal has a request refused at all balancers until it is released. It returns ErrInvalid,
// ErrChanged or an error of the store.
func (k *Tracker) OrderRefusal(ctx context.Context, f crash.Fingerprint) error {
	if !f.Valid() {
		return ErrInvalid
	}
	now := k.opts.Now()
	k.update(f, crash.History{}, now, func(ent *entry) { ent.history = ent.history.WithRefusalOrder(now) })
	k.cfg.Log.Info("refusal ordered by an operator", "fingerprint", string(f))
	k.broadcast(note{What: noteRefusalOrdered, Exact: f})
	return k.writeOperatorRecord(ctx, f, stateRefusalOrdered)
}

// operatorWriteTimeout bounds the writing of an operator's decision to the store. If somebody else
// has written the record, its new revision must arrive first: changes of the store arrive within
// two seconds.
const operatorWriteTimeout = 3 * time.Second

// writeOperatorRecord writes an operator's decision to the store, replacing the record there. A
// release without a record to replace writes nothing.
func (k *Tracker) writeOperatorRecord(ctx context.Context, f crash.Fingerprint, state string) error {
	ctx, cancel := context.WithTimeout(ctx, operatorWriteTimeout)
	defer cancel()
	for {
		rec, revision, changed := k.operatorRecord(f, state)
		if state == stateReleased && revision == 0 {
			return nil
		}
		err := k.replaceRecord(ctx, f, rec, revision, crash.RefusalPeriod)
		if !errors.Is(err, relay.ErrAlreadyRegistered) {
			return err
		}
		pause.Until(ctx, changed, operatorWriteTimeout)
		if ctx.Err() != nil {
			return ErrChanged
		}
	}
}

// operatorRecord returns the record of an operator's decision, the revision of the record that it
// replaces, and a channel that is closed when any history changes.
func (k *Tracker) operatorRecord(f crash.Fingerprint, state string) (Record, uint64, <-chan struct{}) {
	k.mu.Lock()
	defer k.mu.Unlock()
	rec := Record{State: state, By: k.cfg.ID}
	ent := k.entries[f]
	if ent == nil {
		return rec, 0, k.changed
	}
	rec.Service, rec.Kind, rec.AnyQuery = ent.service, ent.kind, ent.history.AnyQuery()
	return rec, ent.recordRevision, k.changed
}
