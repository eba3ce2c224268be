package directory_test

import (
	"testing"
	"time"

	"github.com/lotuswing/lotuswing/coord/contract"
	"github.com/lotuswing/lotuswing/directory"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

func entry(id string, revision uint64) directory.Entry {
	return directory.Entry{
		Endpoint: directory.Endpoint{Endpoint: contract.Endpoint{VM: id, Addr: "10.0.0.1:80", Slots: 3}, Service: "s"},
		Revision: revision,
	}
}

func listed(d *directory.Directory) []string {
	var ids []string
	for _, e := range d.Snapshot().Endpoints["s"] {
		ids = append(ids, e.VM)
	}
	return ids
}

// TestVersionNeverGoesBack, whatever order configurations come in.
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

// TestLeavingIsNeverTakenBack: neither an older entry nor a newer one brings an
// endpoint back that said it leaves.
func TestLeavingIsNeverTakenBack(t *testing.T) {
	d := directory.New()
	d.Apply(directory.Changes{Entries: []directory.Entry{entry("a", 1), entry("b", 2)}}, start)
	draining := entry("a", 5)
	draining.Leaving = true
	d.Apply(directory.Changes{Entries: []directory.Entry{draining}}, start)
	assert.DeepEqual(t, listed(d), []string{"b"})
	d.Apply(directory.Changes{Entries: []directory.Entry{entry("a", 3)}}, start)
	d.Apply(directory.Changes{Entries: []directory.Entry{entry("a", 9)}}, start)
	assert.DeepEqual(t, listed(d), []string{"b"})
	assert.Assert(t, d.MarkLeaving("b", start))
	assert.Assert(t, !d.MarkLeaving("b", start), "no news")
	assert.Equal(t, len(listed(d)), 0)
}

// TestSingleEntryThatWentIsNotUsed, and one that comes back is.
func TestSingleEntryThatWentIsNotUsed(t *testing.T) {
	d := directory.New()
	d.Apply(directory.Changes{Entries: []directory.Entry{entry("a", 1), entry("b", 2), entry("c", 3)}}, start)
	d.Apply(directory.Changes{Gone: []directory.Gone{{ID: "a", Revision: 4}}}, start)
	assert.DeepEqual(t, listed(d), []string{"b", "c"})
	d.Apply(directory.Changes{Entries: []directory.Entry{entry("a", 1)}}, start)
	assert.DeepEqual(t, listed(d), []string{"b", "c"}) // an entry older than its end is no news
	d.Apply(directory.Changes{Entries: []directory.Entry{entry("a", 5)}}, start)
	assert.DeepEqual(t, listed(d), []string{"a", "b", "c"})
}

// TestEntriesThatWentTogetherStay as a last resort: the store lost them.
func TestEntriesThatWentTogetherStay(t *testing.T) {
	d := directory.New()
	d.Apply(directory.Changes{Entries: []directory.Entry{entry("a", 1), entry("b", 2), entry("c", 3)}}, start)
	d.Apply(directory.Changes{Whole: true, At: 9, Entries: []directory.Entry{entry("c", 3)}}, start)
	assert.DeepEqual(t, listed(d), []string{"a", "b", "c"})
	later := start.Add(time.Hour)
	d.Apply(directory.Changes{At: 10}, later)
	assert.DeepEqual(t, listed(d), []string{"c"}) // they are not remembered for ever
}

// TestLastResortEnds: one that is still missing some seconds after the store lost
// its entry is gone.
func TestLastResortEnds(t *testing.T) {
	d := directory.New()
	d.Apply(directory.Changes{Entries: []directory.Entry{entry("a", 1), entry("b", 2)}}, start)
	d.Apply(directory.Changes{Whole: true, At: 9}, start)
	missing := d.Snapshot().Endpoints["s"][0]
	assert.Assert(t, missing.Usable(start.Add(2*time.Second)), "its entry may be on its way back")
	assert.Assert(t, !missing.Usable(start.Add(5*time.Second)))
	d.Apply(directory.Changes{Entries: []directory.Entry{entry("a", 10)}}, start.Add(time.Hour))
	assert.Assert(t, d.Snapshot().Endpoints["s"][0].Usable(start.Add(2*time.Hour)), "listed again")
}

// TestMissingEndpointThatLeavesIsGone: its own word outweighs the last resort.
func TestMissingEndpointThatLeavesIsGone(t *testing.T) {
	d := directory.New()
	d.Apply(directory.Changes{Entries: []directory.Entry{entry("a", 1), entry("b", 2)}}, start)
	d.Apply(directory.Changes{Whole: true, At: 9}, start)
	assert.DeepEqual(t, listed(d), []string{"a", "b"})
	d.MarkLeaving("a", start)
	assert.DeepEqual(t, listed(d), []string{"b"})
}
