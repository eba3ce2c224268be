package directory_test

import (
	"slices"
	"testing"
	"time"

	"github.com/lotuswing/lotuswing/coord/position"
	"github.com/lotuswing/lotuswing/directory"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// at returns a position.
func at(era, revision uint64) uint64 {
	p, err := position.New(era, revision)
	if err != nil {
		panic(err)
	}
	return p
}

const hold = 3 * time.Second // as long as what is known counts after a restore

// TestKnownStateCountsAfterRestore checks which endpoints are usable just after the first read of a restored
// store and once its content counts. Endpoints a to c have entries at revisions 1 to 3 before.
func TestKnownStateCountsAfterRestore(t *testing.T) {
	leaving := func(id string, revision uint64) directory.Entry {
		e := inZone(id, "x", revision)
		e.Leaving = true
		return e
	}
	type entries = []directory.Entry
	cases := []struct {
		name       string
		before     directory.Changes // after the first read
		read, news directory.Changes // of the restored store: the first read, and what comes a second later
		held, then []string          // usable after read, and once the hold has ended
	}{
		{
			"the copy lacks an entry",
			directory.Changes{},
			directory.Changes{Entries: entries{inZone("a", "x", at(1, 1)), inZone("b", "x", at(1, 2))}},
			directory.Changes{},
			[]string{"a", "b", "c"},
			[]string{"a", "b"},
		},
		{
			"it is written again",
			directory.Changes{},
			directory.Changes{Entries: entries{inZone("a", "x", at(1, 1)), inZone("b", "x", at(1, 2))}},
			directory.Changes{Entries: entries{inZone("c", "x", at(1, 9))}},
			[]string{"a", "b", "c"},
			[]string{"a", "b", "c"},
		},
		{
			"an entry that the copy had is gone",
			directory.Changes{},
			directory.Changes{Entries: entries{inZone("a", "x", at(1, 1)), inZone("c", "x", at(1, 3))}},
			directory.Changes{},
			[]string{"a", "c"},
			[]string{"a", "c"},
		},
		{
			"an endpoint that had gone is in the copy",
			directory.Changes{Gone: []directory.RemovedEntry{{ID: "c", Revision: 4}}},
			directory.Changes{Entries: entries{inZone("a", "x", at(1, 1)), inZone("b", "x", at(1, 2)), inZone("c", "x", at(1, 3))}},
			directory.Changes{Gone: []directory.RemovedEntry{{ID: "c", Revision: at(1, 9)}}},
			[]string{"a", "b"},
			[]string{"a", "b"},
		},
		{
			"it stays in the store",
			directory.Changes{Gone: []directory.RemovedEntry{{ID: "c", Revision: 4}}},
			directory.Changes{Entries: entries{inZone("a", "x", at(1, 1)), inZone("b", "x", at(1, 2)), inZone("c", "x", at(1, 3))}},
			directory.Changes{},
			[]string{"a", "b"},
			[]string{"a", "b", "c"},
		},
		{
			"it has written its entry again",
			directory.Changes{Gone: []directory.RemovedEntry{{ID: "c", Revision: 4}}},
			directory.Changes{Entries: entries{inZone("a", "x", at(1, 1)), inZone("b", "x", at(1, 2)), inZone("c", "x", at(1, 5))}},
			directory.Changes{},
			[]string{"a", "b", "c"},
			[]string{"a", "b", "c"},
		},
		{
			"one that leaves is ready in the copy",
			directory.Changes{Entries: entries{leaving("c", 4)}},
			directory.Changes{Entries: entries{inZone("a", "x", at(1, 1)), inZone("b", "x", at(1, 2)), inZone("c", "x", at(1, 3))}},
			directory.Changes{},
			[]string{"a", "b"},
			[]string{"a", "b"},
		},
		{
			"one that leaves since the restore",
			directory.Changes{},
			directory.Changes{Entries: entries{inZone("a", "x", at(1, 1)), inZone("b", "x", at(1, 2)), leaving("c", at(1, 3))}},
			directory.Changes{},
			[]string{"a", "b"},
			[]string{"a", "b"},
		},
		{
			"an evacuation that the copy lacks",
			directory.Changes{Entries: entries{inZone("b", "y", 4)}, Evacuations: evacuate("x", 5)},
			directory.Changes{Entries: entries{inZone("a", "x", at(1, 1)), inZone("b", "y", at(1, 4)), inZone("c", "x", at(1, 3))}},
			directory.Changes{},
			[]string{"b"},
			[]string{"a", "b", "c"},
		},
		{
			"an evacuation that had ended",
			directory.Changes{Evacuations: append(evacuate("x", 4), evacuationEnd("x", 5)...)},
			directory.Changes{Entries: entries{inZone("a", "x", at(1, 1)), inZone("b", "x", at(1, 2)), inZone("c", "x", at(1, 3))}, Evacuations: evacuate("x", at(1, 4))},
			directory.Changes{Evacuations: evacuationEnd("x", at(1, 9))},
			[]string{"a", "b", "c"},
			[]string{"a", "b", "c"},
		},
		{
			"an evacuation since the restore",
			directory.Changes{Evacuations: append(evacuate("x", 4), evacuationEnd("x", 5)...)},
			directory.Changes{Entries: entries{inZone("a", "x", at(1, 1)), inZone("b", "x", at(1, 2)), inZone("c", "x", at(1, 3))}, Evacuations: evacuate("x", at(1, 6))},
			directory.Changes{},
			nil, nil,
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			d := directory.New()
			d.Apply(directory.Changes{Complete: true, Revision: 3, Entries: entries{inZone("a", "x", 1), inZone("b", "x", 2), inZone("c", "x", 3)}}, start)
			c.before.Revision = 10
			d.Apply(c.before, start)
			c.read.Complete, c.read.Revision = true, at(1, 8)
			assert.Assert(t, d.Apply(c.read, start).Restored)
			assert.DeepEqual(t, usableIDs(d, start), c.held)
			c.news.Revision = at(1, 9)
			d.Apply(c.news, start.Add(time.Second))
			d.EndHold(start.Add(hold))
			// An endpoint that went missing may be a last resort for some seconds.
			assert.DeepEqual(t, usableIDs(d, start.Add(hold)), c.then)
			assert.Assert(t, !d.Holding())
		})
	}
}

// TestRolloutGoesOnAfterRestore checks that a rollout whose order and record a copy lacks, or has at other
// revisions, is neither begun again nor forgotten to be bad.
func TestRolloutGoesOnAfterRestore(t *testing.T) {
	record := func(revision uint64) directory.Record {
		return directory.Record{Key: directory.RolloutRecordName("s"), Revision: revision, Value: []byte(`{"order":5,"version":"v2","state":"running","stage":2}`)}
	}
	order := func(revision uint64) []directory.RolloutOrder {
		return []directory.RolloutOrder{{Service: "s", Version: "v2", Duration: time.Minute, Revision: revision}}
	}
	d := directory.New()
	d.Apply(directory.Changes{Complete: true, Revision: 6, Rollouts: order(5), Registrations: []directory.Record{record(6)}}, start)
	share := d.Snapshot().Rollouts[0].Share()
	assert.Assert(t, share > 0)
	d.Apply(directory.Changes{Complete: true, Revision: at(1, 6), Rollouts: order(at(1, 5)), Registrations: []directory.Record{record(at(1, 6))}}, start)
	d.EndHold(start.Add(hold))
	assert.Equal(t, d.Snapshot().Rollouts[0].Share(), share, "the copy has all of it")
	assert.Assert(t, d.MarkBad("s", 5, "v2", start))
	assert.Assert(t, !d.MarkBad("s", 5, "v2", start), "known")

	d.Apply(directory.Changes{Complete: true, Revision: at(2, 4)}, start)
	assert.Equal(t, d.Snapshot().Rollouts[0].Order.Version, "v2", "the copy lacks the order")
	d.Apply(directory.Changes{Revision: at(2, 6), Rollouts: order(at(2, 6))}, start)
	d.EndHold(start.Add(hold))
	assert.Assert(t, d.Snapshot().Rollouts[0].Bad, "it was written again")
	assert.Equal(t, d.Snapshot().Rollouts[0].Order.Revision, at(2, 6))
	other := order(at(2, 7))
	other[0].Version = "v3"
	d.Apply(directory.Changes{Revision: at(2, 7), Rollouts: other}, start)
	assert.Assert(t, !d.Snapshot().Rollouts[0].Bad, "another version")
	assert.Assert(t, d.MarkBad("s", 7, "v3", start))
}

// TestNothingComesBackOlder plays writes, restores and reads in any order. The version in force never
// decreases, an endpoint that left is never used, and once holds have ended the directory has what the store has.
func TestNothingComesBackOlder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type content struct {
			revision, version uint64
			entries           map[string]directory.Entry
		}
		clone := func(c content) content {
			entries := map[string]directory.Entry{}
			for id, e := range c.entries {
				entries[id] = e
			}
			c.entries = entries
			return c
		}
		store, era := content{revision: 1, entries: map[string]directory.Entry{}}, uint64(0)
		saved := []content{clone(store)}
		left := map[string]bool{}
		d, now, version := directory.New(), start, uint64(0)
		read := func() {
			c := directory.Changes{Complete: true, Revision: at(era, store.revision), Config: &directory.Config{Version: store.version}}
			for _, e := range store.entries {
				e.Revision = at(era, e.Revision)
				c.Entries = append(c.Entries, e)
			}
			d.Apply(c, now)
		}
		read()
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond)
			d.EndHold(now)
			switch id := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "endpoint"); rapid.IntRange(0, 5).Draw(t, "step") {
			case 0:
				store.revision++
				e := inZone(id, "x", store.revision)
				e.Leaving = left[id]
				store.entries[id] = e
			case 1:
				store.revision++
				e := inZone(id, "x", store.revision)
				e.Leaving = true
				store.entries[id] = e
				read() // the balancer learns of it
				left[id] = true
			case 2:
				store.revision++
				store.version = max(store.version, version) + 1
			case 3:
				saved = append(saved, clone(store))
			case 4:
				store, era = clone(rapid.SampledFrom(saved).Draw(t, "copy")), era+1
				saved = []content{clone(store)}
			case 5:
				read()
			}
			current := d.Snapshot().Config.Version
			assert.Assert(t, current >= version, "%d after %d", current, version)
			version = current
			for _, id := range usableIDs(d, now) {
				assert.Assert(t, !left[id], "%s left", id)
			}
		}
		read()
		now = now.Add(hold)
		d.EndHold(now)
		now = now.Add(10 * time.Second) // those that went missing together are no last resort any more
		read()
		var want []string
		for id, e := range store.entries {
			if !e.Leaving && !left[id] {
				want = append(want, id)
			}
		}
		slices.Sort(want)
		assert.DeepEqual(t, usableIDs(d, now), want)
	})
}
