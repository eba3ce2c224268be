package relay

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/lotuswing/lotuswing/directory"
)

// goneFor is how long the end of a key is remembered. A balancer that heard
// nothing for longer is told everything.
const goneFor = 30 * time.Second

// journal is the store's content as this process knows it: the last record of
// each key, with the ends of keys that went lately. It is safe for concurrent
// use.
type journal struct {
	mu      sync.Mutex
	records map[string]directory.Record
	ended   map[string]time.Time // keys that went, and when that was learnt
	relays  map[string]Relay     // by zone
	at      uint64               // revision up to which all is known
	floor   uint64               // changes after it can be told apart
	known   bool                 // a first reading has come
	changed chan struct{}        // closed and replaced at each change
}

func newJournal() *journal {
	return &journal{
		records: map[string]directory.Record{}, ended: map[string]time.Time{}, relays: map[string]Relay{},
		changed: make(chan struct{}),
	}
}

// take notes changes and returns the registrations that could not be read.
func (j *journal) take(c directory.Changes, now time.Time) []error {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, r := range c.Records {
		j.takeRecord(r, now)
	}
	if c.Whole {
		j.takeAbsent(c, now)
	}
	if !j.known && c.Whole {
		j.known, j.floor = true, c.At
	}
	j.at = max(j.at, c.At)
	j.forget(now)
	faults := j.takeRegistrations(c)
	close(j.changed)
	j.changed = make(chan struct{})
	return faults
}

func (j *journal) takeRecord(r directory.Record, now time.Time) {
	if old, ok := j.records[r.Key]; ok && old.Revision >= r.Revision {
		return
	}
	j.records[r.Key] = r
	if r.Gone {
		j.ended[r.Key] = now
		return
	}
	delete(j.ended, r.Key)
}

// takeAbsent notes the end of what a whole reading does not name.
func (j *journal) takeAbsent(c directory.Changes, now time.Time) {
	named := make(map[string]bool, len(c.Records))
	for _, r := range c.Records {
		named[r.Key] = true
	}
	for key, r := range j.records {
		if !named[key] && !r.Gone && r.Revision <= c.At {
			j.takeRecord(directory.Record{Key: key, Revision: c.At, Gone: true}, now)
		}
	}
}

// forget drops the ends of keys that went long ago.
func (j *journal) forget(now time.Time) {
	for key, at := range j.ended {
		if now.Sub(at) > goneFor {
			j.floor = max(j.floor, j.records[key].Revision)
			delete(j.records, key)
			delete(j.ended, key)
		}
	}
}

// takeRegistrations keeps the list of relays.
func (j *journal) takeRegistrations(c directory.Changes) (faults []error) {
	if c.Whole && c.At >= j.at {
		clear(j.relays)
	}
	for _, r := range c.Registrations {
		zone, ok := strings.CutPrefix(r.Key, namePrefix)
		switch {
		case !ok || r.Revision < j.relays[zone].revision:
			continue
		case r.Gone:
			j.relays[zone] = Relay{revision: r.Revision}
			continue
		}
		relay, err := parseRelay(r)
		if err != nil {
			faults = append(faults, err)
			continue
		}
		j.relays[zone] = relay
	}
	return faults
}

// relay returns the relay of a zone.
func (j *journal) relay(zone string) (Relay, bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	r, ok := j.relays[zone]
	return r, ok && r.Addr != ""
}

// allRelays returns the relays of all zones, in the order of the zones.
func (j *journal) allRelays() []Relay {
	j.mu.Lock()
	defer j.mu.Unlock()
	all := make([]Relay, 0, len(j.relays))
	for _, r := range j.relays {
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

// since returns what changed after a revision, in the order of revisions.
func (j *journal) since(after uint64) delta {
	j.mu.Lock()
	defer j.mu.Unlock()
	d := delta{after: after, at: j.at}
	if after >= j.at {
		return d
	}
	if after < j.floor {
		d.after, d.whole = 0, true
	}
	for _, r := range j.records {
		if r.Revision > d.after && !(d.whole && r.Gone) {
			d.records = append(d.records, r)
		}
	}
	slices.SortFunc(d.records, func(a, b directory.Record) int { return cmp.Compare(a.Revision, b.Revision) })
	return d
}

// revision returns the revision up to which all is known, and whether anything
// is.
func (j *journal) revision() (uint64, bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.at, j.known
}

// waitAfter waits for changes beyond a revision, at most as long as limit.
func (j *journal) waitAfter(ctx context.Context, after uint64, limit time.Duration) {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	for {
		j.mu.Lock()
		changed, news := j.changed, j.at > after
		j.mu.Unlock()
		if news {
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// waitChange waits until anything is taken in, at most as long as limit.
func (j *journal) waitChange(ctx context.Context, limit time.Duration) {
	j.mu.Lock()
	changed := j.changed
	j.mu.Unlock()
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// waitRegistration waits until a zone has a relay, at most as long as limit.
func (j *journal) waitRegistration(ctx context.Context, zone string, limit time.Duration) {
	deadline := time.Now().Add(limit)
	for ctx.Err() == nil && time.Now().Before(deadline) {
		if _, ok := j.relay(zone); ok {
			return
		}
		j.waitChange(ctx, time.Until(deadline))
	}
}
