package directory_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/lotuswing/lotuswing/coord/placement"
	"github.com/lotuswing/lotuswing/directory"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

func entry(id string, revision uint64) directory.Entry {
	return directory.Entry{
		Endpoint: directory.Endpoint{Endpoint: placement.Endpoint{VM: id, Addr: "10.0.0.1:80", Slots: 3}, Service: "s"},
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
	assert.Assert(t, d.MarkLeaving("b", 0, start))
	assert.Assert(t, !d.MarkLeaving("b", 0, start), "no news")
	assert.Equal(t, len(listed(d)), 0)
}

// TestListsAreThoseOfAllThatIsKnown, in order, whatever changes they were made by: a few are
// merged into the lists, many make them anew.
func TestListsAreThoseOfAllThatIsKnown(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := directory.New()
		now := start
		ids := map[string]bool{}
		for revision := uint64(1); revision < 40; revision++ {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			c := directory.Changes{At: revision}
			most := rapid.SampledFrom([]int{1, 2, 60}).Draw(t, "most")
			for range rapid.IntRange(1, most).Draw(t, "changes") {
				id := fmt.Sprintf("e%02d", rapid.IntRange(0, 59).Draw(t, "id"))
				ids[id] = true
				e := entry(id, revision)
				e.Endpoint.Service = rapid.SampledFrom([]string{"s", "s", "s", "other"}).Draw(t, "service")
				e.Endpoint.Start = rapid.Int64Range(1, 2).Draw(t, "start")
				switch rapid.IntRange(0, 9).Draw(t, "what") {
				case 0:
					c.Gone = append(c.Gone, directory.Gone{ID: id, Revision: revision})
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

// checkList compares a list with what is known of each endpoint. Those that are missing may
// stand in it or not.
func checkList(t *rapid.T, d *directory.Directory, service string, ids map[string]bool) {
	in := map[string]bool{}
	last := ""
	for _, e := range d.Snapshot().Endpoints[service] {
		assert.Assert(t, e.VM > last, "in order, each once")
		last = e.VM
		in[e.VM] = true
		known, ok := d.Endpoint(e.VM)
		assert.Assert(t, ok && known.Service == service && known.State != directory.Leaving && known.Revision == e.Revision, "%+v", known)
	}
	for id := range ids {
		known, ok := d.Endpoint(id)
		if ok && known.Service == service && known.State == directory.Listed {
			assert.Assert(t, in[id], "%s is listed", id)
		}
	}
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
	all := []directory.Entry{entry("a", 1), entry("b", 2), entry("c", 3), entry("d", 4), entry("e", 5)}
	d.Apply(directory.Changes{Entries: all}, start)
	d.Apply(directory.Changes{Whole: true, At: 9, Entries: all[4:]}, start)
	assert.DeepEqual(t, listed(d), []string{"a", "b", "c", "d", "e"})
	later := start.Add(time.Hour)
	d.Apply(directory.Changes{At: 10}, later)
	assert.DeepEqual(t, listed(d), []string{"e"}) // they are not remembered for ever
}

// TestReplacedEndpointsAreNoLoss: in a release of a small service the entries of
// endpoints that never say that they leave go one after the other. None of them
// is used again, however many went lately.
func TestReplacedEndpointsAreNoLoss(t *testing.T) {
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
		d.Apply(directory.Changes{Gone: []directory.Gone{{ID: gone, Revision: revision}}}, now)
		if i%2 == 1 { // what takes its place comes late
			d.Apply(directory.Changes{Entries: []directory.Entry{entry(fmt.Sprint("new", i), revision+1)}}, now.Add(time.Second))
		}
		revision += 2
		for _, e := range d.Snapshot().Endpoints["s"] {
			assert.Equal(t, e.State, directory.Listed, "%s after %s went", e.VM, gone)
		}
	}
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
	d.MarkLeaving("a", 0, start)
	assert.DeepEqual(t, listed(d), []string{"b"})
}

// TestOutdatedReadingBringsNothingBack: an endpoint whose entry had gone before what is
// known was read does not come back by an older reading that comes late.
func TestOutdatedReadingBringsNothingBack(t *testing.T) {
	d := directory.New()
	d.Apply(directory.Changes{Whole: true, At: 6, Entries: []directory.Entry{entry("a", 2)}}, start)
	d.Apply(directory.Changes{Whole: true, At: 4, Entries: []directory.Entry{entry("a", 2), entry("gone", 3)}}, start)
	assert.DeepEqual(t, listed(d), []string{"a"})
	assert.Equal(t, d.Snapshot().At, uint64(6))
}

// TestFirstCopyIsOneLine of the log, and later changes a line each.
func TestFirstCopyIsOneLine(t *testing.T) {
	var log strings.Builder
	f := directory.NewFollower(directory.New(), newFakeSource(), directory.Options{
		Log: hclog.New(&hclog.LoggerOptions{Level: hclog.Info, Output: &log, DisableTime: true}),
	})
	whole := directory.Changes{Whole: true, At: 100}
	for i := range 70 {
		whole.Entries = append(whole.Entries, entry(fmt.Sprint("e", i), uint64(i+1)))
	}
	whole.Entries[3].Leaving = true
	f.Apply(whole)
	assert.Equal(t, log.String(), "[INFO]  endpoints: listed=69 missing=0 leaving=1 revision=100\n")
	log.Reset()
	f.Apply(directory.Changes{At: 101, Gone: []directory.Gone{{ID: "e7", Revision: 101}}})
	assert.Equal(t, log.String(), "[INFO]  endpoint: id=e7 service=s state=missing revision=101\n")
}

// TestWarmupCountsDownFromItsFirstWord: an entry that is read late, or once more, tells
// what was left when it was written; a newer one that tells more says that the endpoint
// has turned cold again.
func TestWarmupCountsDownFromItsFirstWord(t *testing.T) {
	d := directory.New()
	tell := func(revision uint64, left, after time.Duration) directory.Endpoint {
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
		{"cold again before it was warm", 9, 3 * second, 11 * second, 13 * second},
		{"counts down", 10, second, 12 * second, 13 * second},
		{"cold once more", 11, 2 * second, 13 * second, 15 * second},
	} {
		assert.Equal(t, tell(c.revision, c.left, c.after).WarmAt, start.Add(c.warmAt), c.name)
	}
}

// TestLeavingIsRememberedWhileListed: the store may go on to say ready for as long as it likes.
func TestLeavingIsRememberedWhileListed(t *testing.T) {
	d := directory.New()
	d.Apply(directory.Changes{Whole: true, At: 2, Entries: []directory.Entry{entry("a", 1), entry("b", 2)}}, start)
	assert.Assert(t, d.MarkLeaving("a", 0, start))
	revision := uint64(3)
	for after := 5 * time.Minute; after < time.Hour; after += 5 * time.Minute {
		d.Apply(directory.Changes{At: revision}, start.Add(after))
		d.Apply(directory.Changes{Whole: true, At: revision, Entries: []directory.Entry{entry("a", 1), entry("b", 2)}}, start.Add(after))
		assert.DeepEqual(t, listed(d), []string{"b"})
		revision++
	}
	end := start.Add(time.Hour)
	d.Apply(directory.Changes{At: revision, Gone: []directory.Gone{{ID: "a", Revision: revision}}}, end)
	d.Apply(directory.Changes{At: revision + 1}, end.Add(time.Minute))
	_, known := d.Endpoint("a")
	assert.Assert(t, known, "a late read may repeat its entry")
	d.Apply(directory.Changes{At: revision + 2}, end.Add(time.Hour))
	_, known = d.Endpoint("a")
	assert.Assert(t, !known, "nothing has to be remembered")
}

// TestDeparturesAreBounded, and the latest ones are kept.
func TestDeparturesAreBounded(t *testing.T) {
	d := directory.New()
	const many = 5000
	for i := range many {
		assert.Assert(t, d.MarkLeaving(fmt.Sprint("e", i), 1, start.Add(time.Duration(i)*time.Millisecond)))
	}
	d.Apply(directory.Changes{Entries: []directory.Entry{startOf("e0", 1), startOf(fmt.Sprint("e", many-1), 1)}}, start.Add(time.Minute))
	assert.DeepEqual(t, listed(d), []string{"e0"})
}

// startOf is an entry of one start.
func startOf(id string, start int64) directory.Entry {
	e := entry(id, 1)
	e.Endpoint.Start = start
	return e
}
