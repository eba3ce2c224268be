package directory_test

import (
	"testing"
	"time"

	"github.com/lotuswing/lotuswing/coord/placement"
	"github.com/lotuswing/lotuswing/directory"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// inZone returns an entry of service s in an availability zone.
func inZone(id, zone string, revision uint64) directory.Entry {
	e := entry(id, revision)
	e.Endpoint.Endpoint = placement.Endpoint{VM: id, Addr: "10.0.0.1:80", Zone: zone, Slots: 2}
	return e
}

// usableIDs returns the identities of the endpoints of service s that may get requests.
func usableIDs(d *directory.Directory, now time.Time) []string {
	var ids []string
	for _, e := range d.Snapshot().Endpoints["s"] {
		if e.Usable(now) {
			ids = append(ids, e.VM)
		}
	}
	return ids
}

// evacuate returns the evacuation of a zone.
func evacuate(zone string, revision uint64) []directory.Evacuation {
	return []directory.Evacuation{{Zone: zone, Revision: revision}}
}

// evacuationEnd returns the end of a zone's evacuation.
func evacuationEnd(zone string, revision uint64) []directory.Evacuation {
	return []directory.Evacuation{{Zone: zone, Revision: revision, Ended: true}}
}

// TestEvacuatedZoneIsNotUsed checks that no endpoint of an evacuated zone is used until the
// evacuation ends, whether the endpoint's entry or the evacuation arrives first.
func TestEvacuatedZoneIsNotUsed(t *testing.T) {
	d := directory.New()
	d.Apply(directory.Changes{Entries: []directory.Entry{inZone("a", "x", 1), inZone("b", "y", 2)}}, start)
	applied := d.Apply(directory.Changes{Evacuations: evacuate("x", 3)}, start)
	assert.DeepEqual(t, applied.Zones, evacuate("x", 3))
	assert.DeepEqual(t, usableIDs(d, start), []string{"b"})
	assert.DeepEqual(t, d.Snapshot().Evacuated, []string{"x"})
	assert.Equal(t, d.Snapshot().ListedCount, 2)

	d.Apply(directory.Changes{Entries: []directory.Entry{inZone("c", "x", 4)}}, start)
	assert.DeepEqual(t, usableIDs(d, start), []string{"b"}) // c joined an evacuated zone
	d.MarkLeaving("b", 0, start)
	assert.Equal(t, len(usableIDs(d, start)), 0, "the zone stays evacuated although no other endpoint is left")

	d.Apply(directory.Changes{Evacuations: evacuationEnd("x", 5)}, start)
	assert.DeepEqual(t, usableIDs(d, start), []string{"a", "c"})
	assert.Equal(t, len(d.Snapshot().Evacuated), 0)
}

// TestTwoZonesAreEvacuatedAtOnce checks that two zones can be evacuated at the same time, and that
// the end of one evacuation does not end the other one.
func TestTwoZonesAreEvacuatedAtOnce(t *testing.T) {
	d := directory.New()
	d.Apply(directory.Changes{Entries: []directory.Entry{inZone("a", "x", 1), inZone("b", "y", 2), inZone("c", "z", 3)}}, start)
	d.Apply(directory.Changes{Evacuations: append(evacuate("y", 4), evacuate("x", 5)...)}, start)
	assert.DeepEqual(t, usableIDs(d, start), []string{"c"})
	assert.DeepEqual(t, d.Snapshot().Evacuated, []string{"x", "y"})
	d.Apply(directory.Changes{Evacuations: evacuationEnd("x", 6)}, start)
	assert.DeepEqual(t, usableIDs(d, start), []string{"a", "c"})
}

// TestLostEntriesDoNotEndEvacuation checks that missing endpoints kept as a last resort
// are not used in an evacuated zone either.
func TestLostEntriesDoNotEndEvacuation(t *testing.T) {
	d := directory.New()
	d.Apply(directory.Changes{Entries: []directory.Entry{inZone("a", "x", 1), inZone("b", "y", 2)}}, start)
	d.Apply(directory.Changes{Complete: true, Revision: 9, Evacuations: evacuate("x", 5)}, start)
	assert.DeepEqual(t, usableIDs(d, start), []string{"b"})
}

// TestEvacuationMatchesLastStoreState checks that the store's last state is what applies after
// changes and full reads that arrive late, repeatedly or out of order.
func TestEvacuationMatchesLastStoreState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		// In the history of the zone, evacuations begin at even revisions and end at odd ones.
		last := rapid.Uint64Range(2, 12).Draw(t, "last")
		at := func(revision uint64) directory.Changes {
			if revision%2 == 0 {
				return directory.Changes{Revision: revision, Evacuations: evacuate("x", revision)}
			}
			return directory.Changes{Revision: revision, Evacuations: evacuationEnd("x", revision)}
		}
		whole := func(revision uint64) directory.Changes {
			c := directory.Changes{Revision: revision, Complete: true}
			if revision%2 == 0 {
				c.Evacuations = evacuate("x", revision)
			}
			return c
		}
		d := directory.New()
		for range rapid.IntRange(0, 12).Draw(t, "told") {
			revision := rapid.Uint64Range(2, last).Draw(t, "revision")
			if rapid.Bool().Draw(t, "whole") {
				d.Apply(whole(revision), start)
			} else {
				d.Apply(at(revision), start)
			}
		}
		if rapid.Bool().Draw(t, "last whole") {
			d.Apply(whole(last), start)
		} else {
			d.Apply(at(last), start)
		}
		assert.Equal(t, len(d.Snapshot().Evacuated) == 1, last%2 == 0)
	})
}

// TestFullReadWithoutEvacuationEndsIt checks that a full read that does not name an evacuation ends
// it, unless the read is older than the evacuation.
func TestFullReadWithoutEvacuationEndsIt(t *testing.T) {
	d := directory.New()
	d.Apply(directory.Changes{Revision: 7, Evacuations: evacuate("x", 7)}, start)
	d.Apply(directory.Changes{Revision: 6, Complete: true}, start)
	assert.DeepEqual(t, d.Snapshot().Evacuated, []string{"x"})
	applied := d.Apply(directory.Changes{Revision: 8, Complete: true}, start)
	assert.DeepEqual(t, applied.Zones, evacuationEnd("x", 8))
	d.Apply(directory.Changes{Revision: 8, Evacuations: evacuate("x", 7)}, start)
	assert.Equal(t, len(d.Snapshot().Evacuated), 0, "the evacuation arrived after its end")
}
