package relay

import (
	"cmp"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/lotuswing/lotuswing/coord/position"
	"github.com/lotuswing/lotuswing/directory"
	"github.com/lotuswing/lotuswing/internal/pause"
)

// tombstoneTTL is how long the deletion of a key is remembered. A balancer that has received
// nothing for longer gets the full content.
const tombstoneTTL = 30 * time.Second

// replica is this process's copy of the store's content: the last record of each key, and
// tombstones of keys that were deleted lately. It is safe for concurrent use.
type replica struct {
	mu               sync.Mutex
	records          map[string]directory.Record
	changeLog        []change             // in the order of revisions, including changes that newer ones have replaced
	tombstones       map[string]time.Time // when the deletion of a key was learned
	relays           map[string]Relay     // by zone; without an address if the registration was deleted or cannot be read
	knownRevision    uint64               // all changes up to this position are known
	minDeltaRevision uint64               // oldest revision after which changes can be returned without the full content
	complete         chan struct{}        // closed when the first complete copy has been applied
	servable         chan struct{}        // closed when enough is known to serve requests

	isEndpoint    func(key string) bool // whether a key belongs to an endpoint's entry; nil for never
	partEndpoints int                   // number of endpoints received while the copy is not complete
	changed       chan struct{}         // closed and replaced at each change
}

func newReplica() *replica {
	return &replica{
		records: map[string]directory.Record{}, tombstones: map[string]time.Time{}, relays: map[string]Relay{},
		complete: make(chan struct{}), servable: make(chan struct{}), changed: make(chan struct{}),
	}
}

// withDecoder sets how the replica recognizes keys of endpoints, and returns it. d may be nil.
func (rep *replica) withDecoder(d Decoder) *replica {
	if d != nil {
		rep.isEndpoint = d.IsEndpointKey
	}
	return rep
}

// change says that a key got a new record at a revision.
type change struct {
	revision uint64
	key      string
	since    time.Time // see directory.Changes.Since
}

// apply applies changes and returns one error for each registration that could not be parsed.
func (rep *replica) apply(c directory.Changes, now time.Time) []error {
	rep.mu.Lock()
	defer rep.mu.Unlock()
	if c.Outdated(rep.knownRevision) {
		return nil
	}
	for _, r := range c.Records {
		rep.applyRecord(r, c.Since, now)
	}
	if c.Complete {
		rep.deleteAbsent(c, now)
	}
	if c.Complete && position.Restored(rep.knownRevision, c.Revision) {
		rep.minDeltaRevision = c.Revision // what was known of the earlier era tells nothing of what the copy lacks
	}
	if c.Complete && !rep.isComplete() {
		rep.minDeltaRevision = c.Revision
		close(rep.complete)
	}
	rep.updateServable(c)
	rep.knownRevision = max(rep.knownRevision, c.Revision)
	rep.expireTombstones(now)
	rep.compactChangeLog()
	errs := rep.applyRegistrations(c)
	rep.notifyChange()
	return errs
}

// updateServable counts the endpoints of a partial copy and closes servable once there are enough
// or the copy is complete.
func (rep *replica) updateServable(c directory.Changes) {
	if pause.Over(rep.servable) {
		return
	}
	if c.Partial {
		rep.partEndpoints += len(c.Entries)
	}
	if rep.isComplete() || rep.partEndpoints >= directory.MinServingEntries {
		close(rep.servable)
	}
}

// part returns what a balancer needs to begin to serve: all records other than endpoints, and up to
// directory.MinServingEntries endpoints.
func (rep *replica) part() []directory.Record {
	rep.mu.Lock()
	defer rep.mu.Unlock()
	var records []directory.Record
	endpoints := 0
	for _, r := range rep.records { // map order is random, so that each balancer gets other endpoints
		if r.Gone {
			continue
		}
		if rep.isEndpoint != nil && rep.isEndpoint(r.Key) {
			if endpoints >= directory.MinServingEntries {
				continue
			}
			endpoints++
		}
		records = append(records, r)
	}
	return records
}

// isSmall reports whether the copy is complete and not much larger than a part.
func (rep *replica) isSmall() bool {
	rep.mu.Lock()
	defer rep.mu.Unlock()
	return rep.isComplete() && len(rep.records) < 2*directory.MinServingEntries
}

// applyRecord stores a record if it is newer than the known one.
func (rep *replica) applyRecord(r directory.Record, since, now time.Time) {
	if old, ok := rep.records[r.Key]; ok && old.Revision >= r.Revision {
		return
	}
	rep.records[r.Key] = r
	rep.insertChange(change{revision: r.Revision, key: r.Key, since: since})
	if r.Gone {
		rep.tombstones[r.Key] = now
		return
	}
	delete(rep.tombstones, r.Key)
}

// insertChange inserts a change into changeLog by revision, which is nearly always at the end.
func (rep *replica) insertChange(c change) {
	last := len(rep.changeLog)
	if last == 0 || rep.changeLog[last-1].revision <= c.revision {
		rep.changeLog = append(rep.changeLog, c)
		return
	}
	at, _ := slices.BinarySearchFunc(rep.changeLog, c.revision, compareRevision)
	rep.changeLog = slices.Insert(rep.changeLog, at, c)
}

func compareRevision(c change, revision uint64) int { return cmp.Compare(c.revision, revision) }

// minChangeLog is the length below which changeLog is never compacted.
const minChangeLog = 1024

// compactChangeLog drops changes that newer ones have replaced, once the log is twice as long as
// there are records, and minChangeLog more.
func (rep *replica) compactChangeLog() {
	if len(rep.changeLog) < minChangeLog+2*len(rep.records) {
		return
	}
	rep.changeLog = slices.DeleteFunc(rep.changeLog, func(c change) bool { return !rep.isCurrent(c) })
}

// isCurrent reports whether a change is the last one of its key.
func (rep *replica) isCurrent(c change) bool {
	r, ok := rep.records[c.key]
	return ok && r.Revision == c.revision
}

// deleteAbsent deletes the keys that a full read does not contain.
func (rep *replica) deleteAbsent(c directory.Changes, now time.Time) {
	present := make(map[string]bool, len(c.Records))
	for _, r := range c.Records {
		present[r.Key] = true
	}
	for key, r := range rep.records {
		if !present[key] && !r.Gone && r.Revision <= c.Revision {
			rep.applyRecord(directory.Record{Key: key, Revision: c.Revision, Gone: true}, c.Since, now)
		}
	}
}

// expireTombstones drops tombstones older than tombstoneTTL.
func (rep *replica) expireTombstones(now time.Time) {
	for key, at := range rep.tombstones {
		if now.Sub(at) > tombstoneTTL {
			rep.minDeltaRevision = max(rep.minDeltaRevision, rep.records[key].Revision)
			delete(rep.records, key)
			delete(rep.tombstones, key)
		}
	}
}

// applyRegistrations updates the relays by zone and returns one error for each registration that
// could not be parsed.
func (rep *replica) applyRegistrations(c directory.Changes) (errs []error) {
	if c.Complete && c.Revision >= rep.knownRevision {
		clear(rep.relays)
	}
	for _, r := range c.Registrations {
		zone, ok := strings.CutPrefix(r.Key, namePrefix)
		switch {
		case !ok || r.Revision < rep.relays[zone].revision:
			continue
		case r.Gone:
			rep.relays[zone] = Relay{revision: r.Revision}
			continue
		}
		relay, err := parseRelay(r)
		if err != nil {
			errs = append(errs, err)
		}
		rep.relays[zone] = relay
	}
	return errs
}

// relay returns the registered relay of a zone, and false if there is none.
func (rep *replica) relay(zone string) (Relay, bool) {
	rep.mu.Lock()
	defer rep.mu.Unlock()
	r, ok := rep.relays[zone]
	return r, ok && r.Addr != ""
}

// unreadableRegistration returns the revision of a zone's registration if it cannot be read, and 0 otherwise.
func (rep *replica) unreadableRegistration(zone string) uint64 {
	rep.mu.Lock()
	defer rep.mu.Unlock()
	if r := rep.relays[zone]; r.unreadable {
		return r.revision
	}
	return 0
}

// isRelay reports whether the balancer at addr is a registered relay.
func (rep *replica) isRelay(addr string) bool {
	return slices.ContainsFunc(rep.allRelays(), func(r Relay) bool { return r.Addr == addr })
}

// allRelays returns the registered relays of all zones, sorted by zone.
func (rep *replica) allRelays() []Relay {
	rep.mu.Lock()
	defer rep.mu.Unlock()
	all := make([]Relay, 0, len(rep.relays))
	for _, r := range rep.relays {
		if r.Addr != "" {
			all = append(all, r)
		}
	}
	slices.SortFunc(all, func(a, b Relay) int { return cmp.Compare(a.Zone, b.Zone) })
	return all
}

// delta is the set of changes after a revision, or the full content.
type delta struct {
	records       []directory.Record
	after         uint64    // revision that was asked for; 0 for the full content
	knownRevision uint64    // all changes up to this revision are included
	whole         bool      // records are the full content
	since         time.Time // before which the store had accepted none of the records' changes; zero if unknown
}

// since returns the changes after a revision, in the order of revisions, or the full content if the
// tombstones do not reach back far enough. Its cost depends on the number of changes, not on that
// of keys.
func (rep *replica) since(after uint64) delta {
	rep.mu.Lock()
	defer rep.mu.Unlock()
	d := delta{after: after, knownRevision: rep.knownRevision}
	if after >= rep.knownRevision {
		return d
	}
	if after < rep.minDeltaRevision {
		d.after, d.whole = 0, true
	}
	first, _ := slices.BinarySearchFunc(rep.changeLog, d.after+1, compareRevision)
	for _, c := range rep.changeLog[first:] {
		if r := rep.records[c.key]; rep.isCurrent(c) && !(d.whole && r.Gone) {
			d.records = append(d.records, r)
			d.since = earliest(d.since, c.since)
		}
	}
	return d
}

// earliest returns the earlier of two times, of which a zero one is unknown.
func earliest(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

// revision returns the revision up to which all changes are known, and whether the copy is
// complete.
func (rep *replica) revision() (uint64, bool) {
	rep.mu.Lock()
	defer rep.mu.Unlock()
	return rep.knownRevision, rep.isComplete()
}

func (rep *replica) isComplete() bool { return pause.Over(rep.complete) }
