package relay

import (
	"cmp"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/lotuswing/lotuswing/directory"
	"github.com/lotuswing/lotuswing/internal/pause"
)

// goneFor is how long the end of a key is remembered. A balancer that heard nothing for longer is
// told everything.
const goneFor = 30 * time.Second

// replica is the store's content as this process knows it: the last record of
// each key, with the ends of keys that went lately. It is safe for concurrent
// use.
type replica struct {
	mu      sync.Mutex
	records map[string]directory.Record
	order   []change             // changes in the order of their revisions, also those that newer ones have replaced
	ended   map[string]time.Time // keys that went, and when that was learnt
	relays  map[string]Relay     // by zone
	at      uint64               // revision up to which all is known
	floor   uint64               // changes after it can be told apart
	known   chan struct{}        // closed when a first copy of everything has come
	partly  chan struct{}        // closed when a part has come that is enough to serve, or everything

	isEndpoint func(key string) bool // whether a key is that of an endpoint's entry; nil for never
	endpoints  int                   // such keys, while only a part is known
	changed    chan struct{}         // closed and replaced at each change
}

func newReplica() *replica {
	return &replica{
		records: map[string]directory.Record{}, ended: map[string]time.Time{}, relays: map[string]Relay{},
		known: make(chan struct{}), partly: make(chan struct{}), changed: make(chan struct{}),
	}
}

// countingEndpoints lets a replica tell when enough endpoints are known to serve.
func (rep *replica) countingEndpoints(d Decoder) *replica {
	if d != nil {
		rep.isEndpoint = d.NamesEndpoint
	}
	return rep
}

// change is that a key got its record of a revision.
type change struct {
	revision uint64
	key      string
}

// apply notes changes and returns the registrations that could not be read.
func (rep *replica) apply(c directory.Changes, now time.Time) []error {
	rep.mu.Lock()
	defer rep.mu.Unlock()
	if c.Outdated(rep.at) {
		return nil
	}
	for _, r := range c.Records {
		rep.applyRecord(r, now)
	}
	if c.Whole {
		rep.applyAbsent(c, now)
	}
	if c.Whole && !rep.isKnown() {
		rep.floor = c.At
		close(rep.known)
	}
	rep.notePart(c)
	rep.at = max(rep.at, c.At)
	rep.forget(now)
	rep.dropReplaced()
	faults := rep.applyRegistrations(c)
	rep.noteChange()
	return faults
}

// notePart notes that a part has come, or everything.
func (rep *replica) notePart(c directory.Changes) {
	if pause.Over(rep.partly) {
		return
	}
	if c.Part {
		rep.endpoints += len(c.Entries)
	}
	if rep.isKnown() || rep.endpoints >= directory.PartEntries {
		close(rep.partly)
	}
}

// part returns what a balancer needs to serve: everything but the endpoints, and some of
// these.
func (rep *replica) part() []directory.Record {
	rep.mu.Lock()
	defer rep.mu.Unlock()
	var records []directory.Record
	endpoints := 0
	for _, r := range rep.records { // in no order, so that nobody gets the same ones
		if r.Gone {
			continue
		}
		if rep.isEndpoint != nil && rep.isEndpoint(r.Key) {
			if endpoints >= directory.PartEntries {
				continue
			}
			endpoints++
		}
		records = append(records, r)
	}
	return records
}

// isSmall reports whether everything is known and is not much more than a part.
func (rep *replica) isSmall() bool {
	rep.mu.Lock()
	defer rep.mu.Unlock()
	return rep.isKnown() && len(rep.records) < 2*directory.PartEntries
}

// applyRecord keeps a record that is newer than the one known.
func (rep *replica) applyRecord(r directory.Record, now time.Time) {
	if old, ok := rep.records[r.Key]; ok && old.Revision >= r.Revision {
		return
	}
	rep.records[r.Key] = r
	rep.noteOrder(change{revision: r.Revision, key: r.Key})
	if r.Gone {
		rep.ended[r.Key] = now
		return
	}
	delete(rep.ended, r.Key)
}

// noteOrder notes a change in its place, which is nearly always the last one.
func (rep *replica) noteOrder(c change) {
	last := len(rep.order)
	if last == 0 || rep.order[last-1].revision <= c.revision {
		rep.order = append(rep.order, c)
		return
	}
	at, _ := slices.BinarySearchFunc(rep.order, c.revision, byRevision)
	rep.order = slices.Insert(rep.order, at, c)
}

func byRevision(c change, revision uint64) int { return cmp.Compare(c.revision, revision) }

// leastOrder is how many changes are kept at the least before those are dropped that newer
// ones have replaced.
const leastOrder = 1024

// dropReplaced drops the changes that newer ones have replaced, once they are as many as the
// others.
func (rep *replica) dropReplaced() {
	if len(rep.order) < leastOrder+2*len(rep.records) {
		return
	}
	rep.order = slices.DeleteFunc(rep.order, func(c change) bool { return !rep.isLast(c) })
}

// isLast reports whether a change is the last one of its key.
func (rep *replica) isLast(c change) bool {
	r, ok := rep.records[c.key]
	return ok && r.Revision == c.revision
}

// applyAbsent notes the end of what a whole reading does not name.
func (rep *replica) applyAbsent(c directory.Changes, now time.Time) {
	named := make(map[string]bool, len(c.Records))
	for _, r := range c.Records {
		named[r.Key] = true
	}
	for key, r := range rep.records {
		if !named[key] && !r.Gone && r.Revision <= c.At {
			rep.applyRecord(directory.Record{Key: key, Revision: c.At, Gone: true}, now)
		}
	}
}

// forget drops the ends of keys that went long ago.
func (rep *replica) forget(now time.Time) {
	for key, at := range rep.ended {
		if now.Sub(at) > goneFor {
			rep.floor = max(rep.floor, rep.records[key].Revision)
			delete(rep.records, key)
			delete(rep.ended, key)
		}
	}
}

// applyRegistrations keeps the list of relays.
func (rep *replica) applyRegistrations(c directory.Changes) (faults []error) {
	if c.Whole && c.At >= rep.at {
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
			faults = append(faults, err)
			continue
		}
		rep.relays[zone] = relay
	}
	return faults
}

// relay returns the relay of a zone.
func (rep *replica) relay(zone string) (Relay, bool) {
	rep.mu.Lock()
	defer rep.mu.Unlock()
	r, ok := rep.relays[zone]
	return r, ok && r.Addr != ""
}

// isRelay reports whether the balancer at an address is a registered relay.
func (rep *replica) isRelay(addr string) bool {
	return slices.ContainsFunc(rep.allRelays(), func(r Relay) bool { return r.Addr == addr })
}

// allRelays returns the relays of all zones, in the order of the zones.
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

// delta is what changed after a revision, or everything.
type delta struct {
	records []directory.Record
	after   uint64 // revision that was asked for; 0 where everything is told
	at      uint64
	whole   bool
}

// since returns what changed after a revision, in the order of revisions. It looks at what
// changed alone.
func (rep *replica) since(after uint64) delta {
	rep.mu.Lock()
	defer rep.mu.Unlock()
	d := delta{after: after, at: rep.at}
	if after >= rep.at {
		return d
	}
	if after < rep.floor {
		d.after, d.whole = 0, true
	}
	first, _ := slices.BinarySearchFunc(rep.order, d.after+1, byRevision)
	for _, c := range rep.order[first:] {
		if r := rep.records[c.key]; rep.isLast(c) && !(d.whole && r.Gone) {
			d.records = append(d.records, r)
		}
	}
	return d
}

// revision returns the revision up to which all is known, and whether anything
// is.
func (rep *replica) revision() (uint64, bool) {
	rep.mu.Lock()
	defer rep.mu.Unlock()
	return rep.at, rep.isKnown()
}

func (rep *replica) isKnown() bool { return pause.Over(rep.known) }
