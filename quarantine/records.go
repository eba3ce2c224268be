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
	"github.com/lotuswing/lotuswing/directory"
	"github.com/lotuswing/lotuswing/internal/pause"
	"github.com/lotuswing/lotuswing/relay"
)

// recordPrefix begins the names of the store's records of requests; the fingerprint follows.
const recordPrefix = "quarantine/"

// States of a record.
const (
	stateRefused  = "refused"  // it ended endpoints, on trial as well
	stateReleased = "released" // an operator released it: it is on trial again
	stateOrdered  = "ordered"  // an operator ordered that it is refused
)

// Record is what the store holds of a request, as JSON. It ends by itself.
type Record struct {
	State   string `json:"state"`
	Service string `json:"service,omitempty"`
	Kind    string `json:"kind,omitempty"`
	Wide    bool   `json:"any_query,omitempty"` // of requests that differ in their query
	Ends    []told `json:"ends,omitempty"`
	By      string `json:"by"` // the balancer that wrote it
}

const (
	// writeWithin bounds one try to write a record, and writePause is the pause after one that
	// failed, doubled up to writeMost.
	writeWithin = 2 * time.Second
	writePause  = 250 * time.Millisecond
	writeMost   = 5 * time.Second
	// leastHold is the least time for which the store keeps a record.
	leastHold = time.Second
)

// Observe takes changes of the store's records. What cannot be read changes nothing; that a
// record ends does not either: each keeper counts for itself how long a refusal holds, and
// a store that loses its keys ends none.
func (k *Keeper) Observe(c directory.Changes) {
	for _, r := range c.Registrations {
		name, ok := strings.CutPrefix(r.Key, recordPrefix)
		if !ok {
			continue
		}
		f := crash.Fingerprint(name)
		if !f.Valid() {
			k.cfg.Log.Warn("record not read", "key", r.Key, "error", "no fingerprint")
			continue
		}
		if r.Gone {
			k.recordGone(f, r.Revision)
			continue
		}
		if err := k.readRecord(f, r); err != nil {
			k.cfg.Log.Warn("record not read", "key", r.Key, "error", err)
		}
	}
	if c.Whole {
		k.recordsAbsent(c)
	}
}

// readRecord takes a record that is newer than the one known.
func (k *Keeper) readRecord(f crash.Fingerprint, r directory.Record) error {
	var said Record
	if err := json.Unmarshal(r.Value, &said); err != nil {
		return fmt.Errorf("quarantine: record: %w", err)
	}
	if said.State != stateRefused && said.State != stateReleased && said.State != stateOrdered {
		return fmt.Errorf("quarantine: record: state %q", said.State)
	}
	now := k.opts.Now()
	begin := crash.Case{}
	if said.Wide {
		begin = crash.NewWide()
	}
	k.change(f, begin, now, func(known *entry) {
		if r.Revision <= known.seen {
			return
		}
		known.revision, known.seen, known.recorded = r.Revision, r.Revision, said.State
		if known.service == "" {
			known.service, known.kind = said.Service, said.Kind
		}
		known.is = withRecord(known.is, said, now)
	})
	return nil
}

// withRecord returns a case after a record was read that was written a moment ago, or long
// ago where it is the first one that a process reads. One that knows of a run keeps to that:
// whether the record is older is not told.
func withRecord(is crash.Case, said Record, now time.Time) crash.Case {
	switch said.State {
	case stateReleased:
		return is.WithRelease(now)
	case stateOrdered:
		return is.WithOrder(now)
	}
	if is.HasRun() {
		return is
	}
	known := is.Ends()
	for _, told := range said.Ends {
		e := told.end(now)
		if !slices.ContainsFunc(known, e.Same) { // when it was is known better than the record tells
			is = is.WithEnd(e)
		}
	}
	return is
}

// recordGone notes that the record of a request ended.
func (k *Keeper) recordGone(f crash.Fingerprint, revision uint64) {
	k.changeIf(f, k.opts.Now(), func(known *entry) {
		if revision > known.revision {
			known.revision = 0
		}
	})
}

// recordsAbsent notes the end of records that a whole reading does not name.
func (k *Keeper) recordsAbsent(c directory.Changes) {
	named := map[crash.Fingerprint]bool{}
	for _, r := range c.Registrations {
		if name, ok := strings.CutPrefix(r.Key, recordPrefix); ok && !r.Gone {
			named[crash.Fingerprint(name)] = true
		}
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	for f, known := range k.entries {
		if !named[f] && known.revision <= c.At {
			known.revision = 0
		}
	}
}

// recordMissing writes the refusals that do not stand in the store, though time enough has
// passed for who found them to write them. One balancer of a zone does this, and only where
// it knows of the ends otherwise: records that were made of records would hold for ever.
func (k *Keeper) recordMissing(now time.Time) {
	if k.cfg.Serving != nil && !k.cfg.Serving() {
		return
	}
	k.mu.Lock()
	var missing []crash.Fingerprint
	for f, known := range k.entries {
		if known.told && !known.since.IsZero() && now.Sub(known.since) > k.opts.RecordAfter && !known.stands() {
			missing = append(missing, f)
		}
	}
	k.mu.Unlock()
	for _, f := range missing {
		k.record(f)
	}
}

// record writes the refusal of a request to the store, if it is refused and does not stand
// there, in the background.
func (k *Keeper) record(f crash.Fingerprint) {
	now := k.opts.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	known := k.entries[f]
	if known == nil || known.writing || known.is.Decide(now).Do != crash.Refuse {
		return
	}
	known.writing = true
	go k.write(k.live, f)
}

// write writes a refusal until it stands in the store or holds no more.
func (k *Keeper) write(ctx context.Context, f crash.Fingerprint) {
	for wait := writePause; ctx.Err() == nil; wait = min(2*wait, writeMost) {
		said, revision, holds, ok := k.refused(f)
		if !ok {
			return
		}
		err := k.put(ctx, f, said, revision, holds)
		if err == nil || errors.Is(err, relay.ErrTaken) {
			k.cfg.Log.Info("refusal recorded", "fingerprint", string(f), "service", said.Service, "taken", err != nil)
			break
		}
		k.cfg.Log.Warn("refusal not recorded", "fingerprint", string(f), "error", err)
		pause.For(ctx, wait)
	}
	// The changes of the store tell what stands there. Until then nobody writes it again.
	pause.For(ctx, k.opts.RecordAfter)
	k.mu.Lock()
	defer k.mu.Unlock()
	if known := k.entries[f]; known != nil {
		known.writing = false
	}
}

// refused returns the record of a refusal, the revision of the one that it replaces and how
// long it still holds, and false where the request is not refused or its refusal stands in
// the store: then nobody writes it any more.
func (k *Keeper) refused(f crash.Fingerprint) (Record, uint64, time.Duration, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	known := k.entries[f]
	if known == nil {
		return Record{}, 0, 0, false
	}
	now := k.opts.Now()
	d := known.is.Decide(now)
	if d.Do != crash.Refuse || known.stands() {
		known.writing = false
		return Record{}, 0, 0, false
	}
	return known.record(k.cfg.ID), known.revision, d.Until.Sub(now), true
}

// stands reports whether the store holds the refusal of the request.
func (known *entry) stands() bool { return known.revision != 0 && known.recorded != stateReleased }

// record returns the record of a request that is refused.
func (known *entry) record(by string) Record {
	said := Record{State: stateRefused, Service: known.service, Kind: known.kind, Wide: known.is.Wide(), By: by}
	if known.is.Ordered() {
		said.State = stateOrdered
	}
	for _, e := range known.is.Ends() {
		said.Ends = append(said.Ends, toldEnd(e))
	}
	return said
}

// put writes a record in the place of one with a revision, for as long as it holds. That of
// an order does not end.
func (k *Keeper) put(ctx context.Context, f crash.Fingerprint, said Record, revision uint64, holds time.Duration) error {
	value, err := json.Marshal(said)
	if err != nil {
		return fmt.Errorf("quarantine: record: %w", err)
	}
	ttl := max(holds, leastHold)
	if said.State == stateOrdered {
		ttl = 0
	}
	ctx, cancel := context.WithTimeout(ctx, writeWithin)
	defer cancel()
	_, err = k.cfg.Registry.Replace(ctx, recordPrefix+string(f), value, revision, ttl)
	return err
}

// withdraw takes the refusal of a request that ran out of the store, if one stands there, in
// the background.
func (k *Keeper) withdraw(f crash.Fingerprint) {
	k.mu.Lock()
	defer k.mu.Unlock()
	known := k.entries[f]
	if known == nil || !known.stands() || known.is.Ordered() {
		return
	}
	ctx, revision, said := k.live, known.revision, Record{State: stateReleased, Wide: known.is.Wide(), By: k.cfg.ID}
	go func() {
		if err := k.put(ctx, f, said, revision, crash.HoldFor); err != nil {
			k.cfg.Log.Warn("refusal not withdrawn", "fingerprint", string(f), "error", err)
		}
	}()
}
