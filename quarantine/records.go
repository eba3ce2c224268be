package quarantine

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/lotuswing/lotuswing/coord/crash"
	"github.com/lotuswing/lotuswing/coord/position"
	"github.com/lotuswing/lotuswing/directory"
	"github.com/lotuswing/lotuswing/internal/pause"
	"github.com/lotuswing/lotuswing/internal/untrusted"
	"github.com/lotuswing/lotuswing/relay"
)

// recordKeyPrefix precedes the fingerprint in the store keys of records.
const recordKeyPrefix = "quarantine/"

// States of a Record.
const (
	stateRefused        = "refused"  // the request crashed endpoints on trial
	stateReleased       = "released" // an operator released the request, or it completed: it may be sent on trial
	stateRefusalOrdered = "ordered"  // an operator ordered that the request is refused
)

// Record is the JSON form in which the store holds the state of one request. It expires with its
// lease.
type Record struct {
	State    string      `json:"state"`
	Service  string      `json:"service,omitempty"`
	Kind     string      `json:"kind,omitempty"`
	AnyQuery bool        `json:"any_query,omitempty"` // covers all requests that differ only in their query
	Crashes  []crashData `json:"ends,omitempty"`
	By       string      `json:"by"` // ID of the balancer that wrote it
}

const (
	// writeTimeout bounds one attempt to write a record. minWriteBackoff is the pause after the
	// first failed attempt; it doubles with each further one, up to maxWriteBackoff.
	writeTimeout    = 2 * time.Second
	minWriteBackoff = 250 * time.Millisecond
	maxWriteBackoff = 5 * time.Second
	// minRecordTTL is the shortest time for which the store keeps a record.
	minRecordTTL = time.Second
)

// errInvalidFingerprint is the error of a record whose key does not end with a fingerprint.
var errInvalidFingerprint = errors.New("the key has no valid fingerprint")

// ApplyChanges applies changes of the store's records. Invalid records are logged once and ignored. The end
// of a record does not end a refusal: each Tracker measures by itself how long it holds, so that a
// store that loses its keys releases nothing.
func (k *Tracker) ApplyChanges(c directory.Changes) {
	var errs []error
	for _, r := range c.Registrations {
		text, ok := strings.CutPrefix(r.Key, recordKeyPrefix)
		if !ok {
			continue
		}
		var err error
		switch f := crash.Fingerprint(text); {
		case !f.Valid():
			err = errInvalidFingerprint
		case r.Gone:
			k.markRecordGone(f, r.Revision)
		default:
			err = k.applyRecord(f, r)
		}
		if err != nil {
			errs = append(errs, untrusted.NewRecordError(r.Key, r.Revision, err))
		}
	}
	for _, err := range k.reports.New(errs, k.opts.Now()) {
		k.cfg.Log.Warn("record not read", "key", untrusted.Key(err), "error", err)
	}
	if c.Complete {
		k.markUnlistedRecordsGone(c)
	}
}

// applyRecord applies a record if it is newer than the last one read.
func (k *Tracker) applyRecord(f crash.Fingerprint, r directory.Record) error {
	var rec Record
	if err := untrusted.Unmarshal(r.Value, untrusted.MaxRecord, &rec); err != nil {
		return fmt.Errorf("quarantine: record: %w", err)
	}
	if rec.State != stateRefused && rec.State != stateReleased && rec.State != stateRefusalOrdered {
		return fmt.Errorf("quarantine: record: state %q", rec.State)
	}
	now := k.opts.Now()
	initial := crash.History{}
	if rec.AnyQuery {
		initial = crash.NewAnyQueryHistory()
	}
	k.update(f, initial, now, func(ent *entry) {
		if r.Revision <= ent.appliedRevision {
			return
		}
		// A restored store may have an earlier state of the record, which changes nothing here.
		outdated := position.Restored(ent.appliedRevision, r.Revision) && position.Revision(r.Revision) <= position.Revision(ent.appliedRevision)
		ent.recordRevision, ent.appliedRevision, ent.recordState = r.Revision, r.Revision, rec.State
		if outdated {
			return
		}
		if ent.service == "" {
			ent.service, ent.kind = rec.Service, rec.Kind
		}
		ent.history = historyWithRecord(ent.history, rec, now)
	})
	return nil
}

// historyWithRecord returns the history after a record was read at now. The record does not say
// when it was written: a moment ago as a rule, or long ago if a process reads it at its start. A
// record of a refusal is therefore ignored if the history has a completion, which may be later.
func historyWithRecord(history crash.History, rec Record, now time.Time) crash.History {
	switch rec.State {
	case stateReleased:
		return history.WithRelease(now)
	case stateRefusalOrdered:
		return history.WithRefusalOrder(now)
	}
	if history.HasCompleted() {
		return history
	}
	crashes := history.Crashes()
	for _, data := range rec.Crashes {
		e := data.event(now)
		if !slices.ContainsFunc(crashes, e.SameIncarnation) { // the record has no times, so that known events are more precise
			history = history.WithCrash(e)
		}
	}
	return history
}

// markRecordGone clears recordRevision after the store's record of a request has ended.
func (k *Tracker) markRecordGone(f crash.Fingerprint, revision uint64) {
	k.updateExisting(f, k.opts.Now(), func(ent *entry) {
		if revision > ent.recordRevision {
			ent.recordRevision = 0
		}
	})
}

// markUnlistedRecordsGone clears recordRevision of the entries whose record is missing from a
// complete listing of the store.
func (k *Tracker) markUnlistedRecordsGone(c directory.Changes) {
	listed := map[crash.Fingerprint]bool{}
	for _, r := range c.Registrations {
		if text, ok := strings.CutPrefix(r.Key, recordKeyPrefix); ok && !r.Gone {
			listed[crash.Fingerprint(text)] = true
		}
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	for f, ent := range k.entries {
		if !listed[f] && ent.recordRevision <= c.Revision {
			ent.recordRevision = 0
		}
	}
}

// writeMissingRefusals writes the refusals that are still missing from the store after the balancer
// that decided them has had time to write them. One balancer of a zone does this, and only for
// crashes that it knows from other sources than records: records written because of records would
// be renewed for ever.
func (k *Tracker) writeMissingRefusals(now time.Time) {
	if k.cfg.Serving != nil && !k.cfg.Serving() {
		return
	}
	k.mu.Lock()
	var missing []crash.Fingerprint
	for f, ent := range k.entries {
		if ent.crashReported && !ent.refusedSince.IsZero() && now.Sub(ent.refusedSince) > k.opts.RecordAfter && !ent.hasRecordedRefusal() {
			missing = append(missing, f)
		}
	}
	k.mu.Unlock()
	for _, f := range missing {
		k.startRefusalWrite(f)
	}
}

// startRefusalWrite starts writing the refusal of a request to the store in the background, if the
// request is refused and no write is in progress.
func (k *Tracker) startRefusalWrite(f crash.Fingerprint) {
	now := k.opts.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	ent := k.entries[f]
	if ent == nil || ent.writingRecord || ent.history.Decide(now).Action != crash.Refuse {
		return
	}
	ent.writingRecord = true
	go k.writeRefusal(k.runCtx, f)
}

// writeRefusal tries to write a refusal to the store until it is recorded there or no longer holds.
func (k *Tracker) writeRefusal(ctx context.Context, f crash.Fingerprint) {
	for wait := minWriteBackoff; ctx.Err() == nil; wait = min(2*wait, maxWriteBackoff) {
		rec, revision, validFor, ok := k.refusalRecord(f)
		if !ok {
			return
		}
		err := k.replaceRecord(ctx, f, rec, revision, validFor)
		if err == nil || errors.Is(err, relay.ErrAlreadyRegistered) {
			k.cfg.Log.Info("refusal recorded", "fingerprint", string(f), "service", rec.Service, "taken", err != nil)
			break
		}
		k.cfg.Log.Warn("could not record a refusal", "fingerprint", string(f), "error", err)
		pause.For(ctx, wait)
	}
	// Wait until the record arrives as a change of the store, so that it is not written again before.
	pause.For(ctx, k.opts.RecordAfter)
	k.mu.Lock()
	defer k.mu.Unlock()
	if ent := k.entries[f]; ent != nil {
		ent.writingRecord = false
	}
}

// refusalRecord returns the record of a refusal, the revision of the record that it replaces, and
// how long the refusal still holds. If the request is not refused, or the store has its refusal, it
// clears writingRecord and returns false.
func (k *Tracker) refusalRecord(f crash.Fingerprint) (Record, uint64, time.Duration, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	ent := k.entries[f]
	if ent == nil {
		return Record{}, 0, 0, false
	}
	now := k.opts.Now()
	d := ent.history.Decide(now)
	if d.Action != crash.Refuse || ent.hasRecordedRefusal() {
		ent.writingRecord = false
		return Record{}, 0, 0, false
	}
	return ent.newRecord(k.cfg.ID), ent.recordRevision, d.Until.Sub(now), true
}

// hasRecordedRefusal reports whether the store holds a refusal of the request.
func (ent *entry) hasRecordedRefusal() bool {
	return ent.recordRevision != 0 && ent.recordState != stateReleased
}

// newRecord returns the record of a refused request, written by the balancer with the given ID.
func (ent *entry) newRecord(by string) Record {
	rec := Record{State: stateRefused, Service: ent.service, Kind: ent.kind, AnyQuery: ent.history.AnyQuery(), By: by}
	if ent.history.RefusalOrdered() {
		rec.State = stateRefusalOrdered
	}
	for _, e := range ent.history.Crashes() {
		rec.Crashes = append(rec.Crashes, newCrashData(e))
	}
	return rec
}

// replaceRecord writes a record in place of the one with the given revision. It expires after
// validFor, but not before minRecordTTL, or never if an operator ordered the refusal.
func (k *Tracker) replaceRecord(ctx context.Context, f crash.Fingerprint, rec Record, revision uint64, validFor time.Duration) error {
	value, err := json.Marshal(rec)
	if err != nil {
		return fmt.Errorf("quarantine: record: %w", err)
	}
	ttl := max(validFor, minRecordTTL)
	if rec.State == stateRefusalOrdered {
		ttl = 0
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	_, err = k.cfg.Registry.Replace(ctx, recordKeyPrefix+string(f), value, revision, ttl)
	return err
}

// withdrawRefusal replaces the recorded refusal of a request that completed by a release, in the
// background. A refusal that an operator ordered stays.
func (k *Tracker) withdrawRefusal(f crash.Fingerprint) {
	k.mu.Lock()
	defer k.mu.Unlock()
	ent := k.entries[f]
	if ent == nil || !ent.hasRecordedRefusal() || ent.history.RefusalOrdered() {
		return
	}
	ctx, revision, rec := k.runCtx, ent.recordRevision, Record{State: stateReleased, AnyQuery: ent.history.AnyQuery(), By: k.cfg.ID}
	go func() {
		if err := k.replaceRecord(ctx, f, rec, revision, crash.RefusalPeriod); err != nil {
			k.cfg.Log.Warn("could not withdraw a recorded refusal", "fingerprint", string(f), "error", err)
		}
	}()
}
