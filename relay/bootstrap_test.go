package relay

import (
	"fmt"
	"testing"
	"time"

	"github.com/lotuswing/lotuswing/bootstrap"
	"github.com/lotuswing/lotuswing/directory"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// fleetModel models a store, the replicas of balancers and the copies in transit between them,
// which may be old, late, repeated, reordered or lost.
type fleetModel struct {
	store     *storeModel
	pastReads []directory.Changes // full reads at earlier times
	replicas  []*replica
	copies    []bootstrap.Copy
	now       time.Time
}

// follow brings a replica up to date with the store, like a watch from its revision.
func (f *fleetModel) follow(rep *replica) {
	at, _ := rep.revision()
	c := directory.Changes{Revision: f.store.revision}
	for _, r := range f.store.records {
		if r.Revision > at {
			c.Records = append(c.Records, r)
		}
	}
	rep.apply(c, f.now)
}

// step performs one random action.
func (f *fleetModel) step(t *rapid.T) {
	i := rapid.IntRange(0, len(f.replicas)-1).Draw(t, "balancer")
	rep := f.replicas[i]
	_, known := rep.revision()
	switch rapid.SampledFrom([]string{"change", "restart", "stale read", "stale part", "ask", "deliver", "deliver again", "drop", "follow", "time"}).Draw(t, "step") {
	case "change":
		f.store.change(t)
		f.pastReads = append(f.pastReads, f.store.fullRead())
	case "restart":
		f.replicas[i] = newReplica()
	case "stale read":
		rep.apply(rapid.SampledFrom(f.pastReads).Draw(t, "read"), f.now)
	case "stale part": // some keys of an earlier full read, as the store or another balancer may send them
		part := rapid.SampledFrom(f.pastReads).Draw(t, "read")
		part.Complete, part.Partial, part.Revision = false, true, 0
		part.Records = part.Records[:rapid.IntRange(0, len(part.Records)).Draw(t, "keys")]
		rep.apply(part, f.now)
	case "ask":
		if d := rep.since(0); known {
			c, err := bootstrap.Pack(d.records, d.knownRevision)
			assert.NilError(t, err)
			f.copies = append(f.copies, c)
		}
	case "deliver", "deliver again":
		f.deliver(t, rep)
	case "drop":
		f.copies = nil
	case "follow":
		if known {
			f.follow(rep)
		}
	case "time": // copies in transit are dropped long before a tombstone expires
		f.now = f.now.Add(tombstoneTTL / 100)
	}
}

// deliver applies a random copy in transit to a replica; the copy may be delivered again.
func (f *fleetModel) deliver(t *rapid.T, rep *replica) {
	if len(f.copies) == 0 {
		return
	}
	c := rapid.SampledFrom(f.copies).Draw(t, "copy")
	records, err := c.Unpack()
	assert.NilError(t, err)
	rep.apply(directory.Changes{Records: records, Revision: c.At, Complete: true}, f.now)
}

// revisions returns the revision of each key that a replica has a record of.
func (rep *replica) revisions() map[string]uint64 {
	out := map[string]uint64{}
	for key, r := range rep.records {
		out[key] = r.Revision
	}
	return out
}

// TestPeerCopiesConvergeWithStore checks that no record replaces a newer one, whatever copies a
// balancer receives, and that a replica that has followed the store matches it.
func TestPeerCopiesConvergeWithStore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &fleetModel{store: &storeModel{revision: 1, records: map[string]directory.Record{}}, now: start}
		f.pastReads = []directory.Changes{f.store.fullRead()}
		for range 4 {
			f.replicas = append(f.replicas, newReplica())
		}
		f.replicas[0].apply(f.store.fullRead(), f.now)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			before := map[*replica]map[string]uint64{}
			for _, rep := range f.replicas {
				before[rep] = rep.revisions()
			}
			f.step(t)
			for i, rep := range f.replicas {
				after := rep.revisions()
				for key, revision := range before[rep] {
					assert.Assert(t, after[key] >= revision, "balancer %d: %s went back from %d to %d", i, key, revision, after[key])
				}
			}
		}
		for i, rep := range f.replicas {
			if _, known := rep.revision(); !known {
				continue
			}
			f.follow(rep)
			assert.DeepEqual(t, rep.liveContent(), f.store.liveContent())
			assert.Assert(t, rep.knownRevision == f.store.revision, fmt.Sprint("balancer ", i))
		}
	})
}

// TestOutdatedReadDoesNotRestoreDeletedKey covers a key whose deletion precedes the read that is
// already applied.
func TestOutdatedReadDoesNotRestoreDeletedKey(t *testing.T) {
	rep := newReplica()
	a, gone := directory.Record{Key: "a", Revision: 2}, directory.Record{Key: "gone", Revision: 3}
	rep.apply(directory.Changes{Complete: true, Revision: 6, Records: []directory.Record{a}}, start)
	rep.apply(directory.Changes{Complete: true, Revision: 4, Records: []directory.Record{a, gone}}, start)
	assert.Equal(t, len(rep.liveContent()), 1)
	assert.Equal(t, rep.knownRevision, uint64(6))
}
