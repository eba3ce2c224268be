package directory_test

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/lotuswing/lotuswing/coord/placement"
	"github.com/lotuswing/lotuswing/directory"
	"github.com/lotuswing/lotuswing/internal/untrusted"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

// entry returns an entry of service s.
func entry(id string, revision uint64) directory.Entry {
	return directory.Entry{
		Endpoint: directory.Endpoint{Endpoint: placement.Endpoint{VM: id, Addr: "10.0.0.1:80", Slots: 3}, Service: "s"},
		Revision: revision,
	}
}

// snapshotIDs returns the identities of the endpoints of service s in the snapshot.
func snapshotIDs(d *directory.Directory) []string {
	var ids []string
	for _, e := range d.Snapshot().Endpoints["s"] {
		ids = append(ids, e.VM)
	}
	return ids
}

// TestVersionNeverGoesBack checks that the present version is the highest one applied, whatever
// the order in which configurations arrive.
func TestVersionNeverGoesBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := directory.New()
		highest := uint64(0)
		for range rapid.IntRange(1, 30).Draw(t, "changes") {
			version := rapid.Uint64Range(1, 9).Draw(t, "version")
			applied := d.Apply(directory.Changes{Config: &directory.Config{Version: version}}, start)
			assert.Equal(t, applied.Ignored == version, version < highest)
			highest = max(highest, version)
			assert.Equal(t, d.Snapshot().Config.Version, highest)
		}
	})
}

// TestLeavingIsNeverRevoked checks that neither an older entry nor a newer one makes an
// endpoint usable again after it announced that it is leaving.
func TestLeavingIsNeverRevoked(t *testing.T) {
	d := directory.New()
	d.Apply(directory.Changes{Entries: []directory.Entry{entry("a", 1), entry("b", 2)}}, start)
	draining := entry("a", 5)
	draining.Leaving = true
	d.Apply(directory.Changes{Entries: []directory.Entry{draining}}, start)
	assert.DeepEqual(t, snapshotIDs(d), []string{"b"})
	d.Apply(directory.Changes{Entries: []directory.Entry{entry("a", 3)}}, start)
	d.Apply(directory.Changes{Entries: []directory.Entry{entry("a", 9)}}, start)
	assert.DeepEqual(t, snapshotIDs(d), []string{"b"})
	assert.Assert(t, d.MarkLeaving("b", 0, start))
	assert.Assert(t, !d.MarkLeaving("b", 0, start), "already known")
	assert.Equal(t, len(snapshotIDs(d)), 0)
}

// TestSnapshotListsMatchDirectory checks that the lists of the snapshot are sorted and hold the
// listed endpoints, both when few changes are merged into them and when many rebuild them.
func TestSnapshotListsMatchDirectory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := directory.New()
		now := start
		ids := map[string]bool{}
		for revision := uint64(1); revision < 40; revision++ {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			c := directory.Changes{Revision: revision}
			most := rapid.SampledFrom([]int{1, 2, 60}).Draw(t, "most")
			for range rapid.IntRange(1, most).Draw(t, "changes") {
				id := fmt.Sprintf("e%02d", rapid.IntRange(0, 59).Draw(t, "id"))
				ids[id] = true
				e := entry(id, revision)
				e.Endpoint.Service = rapid.SampledFrom([]string{"s", "s", "s", "other"}).Draw(t, "service")
				e.Endpoint.Start = rapid.Int64Range(1, 2).Draw(t, "start")
				switch rapid.IntRange(0, 9).Draw(t, "what") {
				case 0:
					c.Gone = append(c.Gone, directory.RemovedEntry{ID: id, Revision: revision})
				case 1:
					e.Leaving = true
					c.Entries = append(c.Entries, e)
				default:
					c.Entries = append(c.Entries, e)
				}
			}
			if rapid.IntRange(0, 9).Draw(t, "evacuate") == 0 {
				c.Evacuations = evacuate("z", revision)
			}
			d.Apply(c, now)
			for _, service := range []string{"s", "other"} {
				checkList(t, d, service, ids)
			}
		}
	})
}

// checkList compares a list with what is known of each endpoint. Missing endpoints may
// be in it or not.
func checkList(t *rapid.T, d *directory.Directory, service string, ids map[string]bool) {
	in := map[string]bool{}
	last := ""
	for _, e := range d.Snapshot().Endpoints[service] {
		assert.Assert(t, e.VM > last, "sorted, without duplicates")
		last = e.VM
		in[e.VM] = true
		known, ok := d.Endpoint(e.VM)
		assert.Assert(t, ok && known.Service == service && known.State != directory.Leaving && known.Revision == e.Revision, "%+v", known)
	}
	for id := range ids {
		known, ok := d.Endpoint(id)
		if ok && known.Service == service && known.State == directory.Listed {
			assert.Assert(t, in[id], "%s is listed but not in the snapshot", id)
		}
	}
}

// TestSingleRemovedEntryIsNotUsed checks that an endpoint whose entry was deleted is not used until
// a newer entry is read.
func TestSingleRemovedEntryIsNotUsed(t *testing.T) {
	d := directory.New()
	d.Apply(directory.Changes{Entries: []directory.Entry{entry("a", 1), entry("b", 2), entry("c", 3)}}, start)
	d.Apply(directory.Changes{Gone: []directory.RemovedEntry{{ID: "a", Revision: 4}}}, start)
	assert.DeepEqual(t, snapshotIDs(d), []string{"b", "c"})
	d.Apply(directory.Changes{Entries: []directory.Entry{entry("a", 1)}}, start)
	assert.DeepEqual(t, snapshotIDs(d), []string{"b", "c"}) // the entry is older than its deletion
	d.Apply(directory.Changes{Entries: []directory.Entry{entry("a", 5)}}, start)
	assert.DeepEqual(t, snapshotIDs(d), []string{"a", "b", "c"})
}

// TestEntriesLostTogetherStayUsable checks that endpoints whose entries were deleted together are
// used as a last resort: the store has lost them.
func TestEntriesLostTogetherStayUsable(t *testing.T) {
	d := directory.New()
	all := []directory.Entry{entry("a", 1), entry("b", 2), entry("c", 3), entry("d", 4), entry("e", 5)}
	d.Apply(directory.Changes{Entries: all}, start)
	d.Apply(directory.Changes{Complete: true, Revision: 9, Entries: all[4:]}, start)
	assert.DeepEqual(t, snapshotIDs(d), []string{"a", "b", "c", "d", "e"})
	later := start.Add(time.Hour)
	d.Apply(directory.Changes{Revision: 10}, later)
	assert.DeepEqual(t, snapshotIDs(d), []string{"e"}) // missing endpoints expire
}

// TestRollingReplacementIsNotStoreLoss guards against the last resort taking a release for a loss
// of the store. In a release of a small service, the entries of endpoints that never announce that
// they leave are deleted one after the other. None of these endpoints may be
// used again, however many entries were deleted recently.
func TestRollingReplacementIsNotStoreLoss(t *testing.T) {
	d := directory.New()
	var old []directory.Entry
	for i := range 7 {
		old = append(old, entry(fmt.Sprint("old", i), uint64(i+1)))
	}
	d.Apply(directory.Changes{Entries: old}, start)
	revision := uint64(10)
	for i := range 6 {
		now := start.Add(time.Duration(i+1) * 2 * time.Second)
		gone := fmt.Sprint("old", i)
		d.Apply(directory.Changes{Gone: []directory.RemovedEntry{{ID: gone, Revision: revision}}}, now)
		if i%2 == 1 { // the replacements are registered late
			d.Apply(directory.Changes{Entries: []directory.Entry{entry(fmt.Sprint("new", i), revision+1)}}, now.Add(time.Second))
		}
		revision += 2
		for _, e := range d.Snapshot().Endpoints["s"] {
			assert.Equal(t, e.State, directory.Listed, "%s after the entry of %s was deleted", e.VM, gone)
		}
	}
}

// TestMissingEndpointStopsBeingUsable checks that an endpoint that is still missing some seconds
// after the store lost its entry is not used.
func TestMissingEndpointStopsBeingUsable(t *testing.T) {
	d := directory.New()
	d.Apply(directory.Changes{Entries: []directory.Entry{entry("a", 1), entry("b", 2)}}, start)
	d.Apply(directory.Changes{Complete: true, Revision: 9}, start)
	missing := d.Snapshot().Endpoints["s"][0]
	assert.Assert(t, missing.Usable(start.Add(2*time.Second)), "its entry may be written again")
	assert.Assert(t, !missing.Usable(start.Add(5*time.Second)))
	d.Apply(directory.Changes{Entries: []directory.Entry{entry("a", 10)}}, start.Add(time.Hour))
	assert.Assert(t, d.Snapshot().Endpoints["s"][0].Usable(start.Add(2*time.Hour)), "listed again")
}

// TestMissingEndpointThatLeavesIsNotUsed checks that a notice of leaving has precedence over the
// last resort.
func TestMissingEndpointThatLeavesIsNotUsed(t *testing.T) {
	d := directory.New()
	d.Apply(directory.Changes{Entries: []directory.Entry{entry("a", 1), entry("b", 2)}}, start)
	d.Apply(directory.Changes{Complete: true, Revision: 9}, start)
	assert.DeepEqual(t, snapshotIDs(d), []string{"a", "b"})
	d.MarkLeaving("a", 0, start)
	assert.DeepEqual(t, snapshotIDs(d), []string{"b"})
}

// TestOutdatedReadRestoresNothing checks that a full read that arrives late does not
// restore an endpoint whose entry was deleted before a newer full read.
func TestOutdatedReadRestoresNothing(t *testing.T) {
	d := directory.New()
	d.Apply(directory.Changes{Complete: true, Revision: 6, Entries: []directory.Entry{entry("a", 2)}}, start)
	d.Apply(directory.Changes{Complete: true, Revision: 4, Entries: []directory.Entry{entry("a", 2), entry("gone", 3)}}, start)
	assert.DeepEqual(t, snapshotIDs(d), []string{"a"})
	assert.Equal(t, d.Snapshot().Revision, uint64(6))
}

// TestFirstCopyIsLoggedOnOneLine checks that a first copy is logged as one line, and later changes
// as one line each.
func TestFirstCopyIsLoggedOnOneLine(t *testing.T) {
	var log strings.Builder
	f := directory.NewFollower(directory.New(), newFakeSource(), directory.Options{
		Log: hclog.New(&hclog.LoggerOptions{Level: hclog.Info, Output: &log, DisableTime: true}),
	})
	whole := directory.Changes{Complete: true, Revision: 100}
	for i := range 70 {
		whole.Entries = append(whole.Entries, entry(fmt.Sprint("e", i), uint64(i+1)))
	}
	whole.Entries[3].Leaving = true
	f.Apply(whole)
	assert.Equal(t, log.String(), "[INFO]  endpoints: listed=69 missing=0 leaving=1 revision=100\n")
	log.Reset()
	f.Apply(directory.Changes{Revision: 101, Via: directory.ViaWatch, Gone: []directory.RemovedEntry{{ID: "e7", Revision: 101}}})
	assert.Equal(t, log.String(), "[INFO]  endpoint: id=e7 service=s state=missing revision=101 via=watch within_ms=0\n")
}

// TestWarmupCountsFromFirstReport checks the end of the warm-up. An entry that is read late or
// again states what was left when it was written; a newer one with more time left says that the
// endpoint is cold again.
func TestWarmupCountsFromFirstReport(t *testing.T) {
	d := directory.New()
	applyEntry := func(revision uint64, left, after time.Duration) directory.Endpoint {
		e := entry("a", revision)
		e.Warmup = left
		d.Apply(directory.Changes{Entries: []directory.Entry{e}}, start.Add(after))
		return d.Snapshot().Endpoints["s"][0]
	}
	const second = time.Second
	for _, c := range []struct {
		name        string
		revision    uint64
		left, after time.Duration
		warmAt      time.Duration
	}{
		{"started", 5, 3 * second, 0, 3 * second},
		{"the same entry once more", 5, 3 * second, second, 3 * second},
		{"counted down, and read late", 6, 2 * second, 2 * second, 3 * second},
		{"an older one", 4, 3 * second, 2 * second, 3 * second},
		{"warm", 7, 0, 3 * second, 3 * second},
		{"cold again", 8, 3 * second, 10 * second, 13 * second},
		{"cold again before it was warm", 9, 3 * second, 11 * second, 14 * second},
		{"counts down", 10, second, 12 * second, 13 * second},
		{"cold once more", 11, 2 * second, 13 * second, 15 * second},
		{"cold again, with less time left than before", 12, second, 20 * second, 21 * second},
	} {
		assert.Equal(t, applyEntry(c.revision, c.left, c.after).WarmUntil, start.Add(c.warmAt), c.name)
	}
}

// TestLeavingIsRememberedWhileListed checks that an endpoint stays leaving for as long as the store
// lists it as ready, and is remembered for a while after its entry is deleted.
func TestLeavingIsRememberedWhileListed(t *testing.T) {
	d := directory.New()
	d.Apply(directory.Changes{Complete: true, Revision: 2, Entries: []directory.Entry{entry("a", 1), entry("b", 2)}}, start)
	assert.Assert(t, d.MarkLeaving("a", 0, start))
	revision := uint64(3)
	for after := 5 * time.Minute; after < time.Hour; after += 5 * time.Minute {
		d.Apply(directory.Changes{Revision: revision}, start.Add(after))
		d.Apply(directory.Changes{Complete: true, Revision: revision, Entries: []directory.Entry{entry("a", 1), entry("b", 2)}}, start.Add(after))
		assert.DeepEqual(t, snapshotIDs(d), []string{"b"})
		revision++
	}
	end := start.Add(time.Hour)
	d.Apply(directory.Changes{Revision: revision, Gone: []directory.RemovedEntry{{ID: "a", Revision: revision}}}, end)
	d.Apply(directory.Changes{Revision: revision + 1}, end.Add(time.Minute))
	_, known := d.Endpoint("a")
	assert.Assert(t, known, "a late read may repeat its entry")
	d.Apply(directory.Changes{Revision: revision + 2}, end.Add(time.Hour))
	_, known = d.Endpoint("a")
	assert.Assert(t, !known, "no read can repeat its entry any more")
}

// TestLeavingNoticesAreBounded checks that the oldest notices are dropped and the latest are kept.
func TestLeavingNoticesAreBounded(t *testing.T) {
	d := directory.New()
	const many = 5000
	for i := range many {
		assert.Assert(t, d.MarkLeaving(fmt.Sprint("e", i), 1, start.Add(time.Duration(i)*time.Millisecond)))
	}
	d.Apply(directory.Changes{Entries: []directory.Entry{entryOfStart("e0", 1), entryOfStart(fmt.Sprint("e", many-1), 1)}}, start.Add(time.Minute))
	assert.DeepEqual(t, snapshotIDs(d), []string{"e0"})
}

// entryOfStart returns an entry of one start of an endpoint.
func entryOfStart(id string, start int64) directory.Entry {
	e := entry(id, 1)
	e.Endpoint.Start = start
	return e
}

// TestUnreadableEntryIsNotUsedAfterFullRead guards against a full read that takes an entry that cannot be read for a deleted one.
func TestUnreadableEntryIsNotUsedAfterFullRead(t *testing.T) {
	start := time.Unix(1_800_000_000, 0)
	d := directory.New()
	d.Apply(directory.Changes{Complete: true, Revision: 4, Entries: []directory.Entry{entry("a", 2)}}, start)
	d.Apply(directory.Changes{Complete: true, Revision: 6, Gone: []directory.RemovedEntry{{ID: "a", Revision: 5, Unreadable: true}}}, start)
	assert.Equal(t, len(snapshotIDs(d)), 0)
	d.Apply(directory.Changes{Complete: true, Revision: 7, Entries: []directory.Entry{entry("a", 7)}}, start)
	assert.DeepEqual(t, snapshotIDs(d), []string{"a"})
}

// TestUnreadableRecordIsLoggedOnce guards against lines of the log for each full read while such records stand in the store.
func TestUnreadableRecordIsLoggedOnce(t *testing.T) {
	var log strings.Builder
	f := directory.NewFollower(directory.New(), newFakeSource(), directory.Options{Log: hclog.New(&hclog.LoggerOptions{Output: &log})})
	odd := directory.Record{Key: directory.RolloutRecordName("s"), Value: []byte(strings.Repeat("[", 1000)), Revision: 3}
	for revision := uint64(4); revision < 10; revision++ {
		f.Apply(directory.Changes{
			Complete: true, Revision: revision, Registrations: []directory.Record{odd}, Errors: []error{untrusted.NewRecordError("servers/i-1", 2, errors.New("odd"))},
		})
	}
	assert.Equal(t, strings.Count(log.String(), "unusable entry"), 2, log.String())
}
