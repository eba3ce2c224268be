package relay

import (
	"fmt"
	"strings"
	"testing"

	"github.com/lotuswing/lotuswing/directory"
	"github.com/lotuswing/lotuswing/internal/pause"
	"gotest.tools/v3/assert"
)

// namesEndpoints is a Decoder that knows endpoints by their keys alone.
type namesEndpoints struct{}

func (namesEndpoints) Decode([]directory.Record, uint64, bool) directory.Changes {
	return directory.Changes{}
}

func (namesEndpoints) NamesEndpoint(key string) bool { return strings.HasPrefix(key, "servers/") }

// page returns a part of a reading with so many endpoints.
func page(from, n int) directory.Changes {
	c := directory.Changes{Part: true}
	for i := range n {
		id := fmt.Sprintf("i-%05d", from+i)
		c.Records = append(c.Records, directory.Record{Key: "servers/" + id, Revision: uint64(from + i + 1)})
		c.Entries = append(c.Entries, directory.Entry{})
	}
	return c
}

// TestPartIsEnoughToServe: a replica says so once it knows enough endpoints, hands on
// everything else and some of these, and a copy of everything takes its place.
func TestPartIsEnoughToServe(t *testing.T) {
	rep := newReplica().countingEndpoints(namesEndpoints{})
	rep.apply(directory.Changes{Part: true, Records: []directory.Record{{Key: "op/config", Revision: 1}, {Key: "lotuswing/relays/a", Revision: 2}}}, start)
	for from := 0; from < 1000; from += 200 {
		rep.apply(page(from, 200), start)
		assert.Assert(t, !pause.Over(rep.partly) && !rep.isKnown())
	}
	rep.apply(page(1000, 200), start)
	assert.Assert(t, pause.Over(rep.partly) && !rep.isKnown())
	whole := page(0, 10000)
	whole.Part, whole.Whole, whole.At = false, true, 10000
	whole.Records = append(whole.Records, directory.Record{Key: "op/config", Revision: 1})
	rep.apply(whole, start)
	assert.Assert(t, rep.isKnown() && !rep.isSmall())
	part := rep.part()
	endpoints := 0
	others := map[string]bool{}
	for _, r := range part {
		if strings.HasPrefix(r.Key, "servers/") {
			endpoints++
		} else {
			others[r.Key] = true
		}
	}
	assert.Equal(t, endpoints, directory.PartEntries)
	assert.DeepEqual(t, others, map[string]bool{"op/config": true})
}

// TestSmallStoreIsHandedOnWhole: where a part would be everything, or nearly, nobody is given
// a part.
func TestSmallStoreIsHandedOnWhole(t *testing.T) {
	rep := newReplica().countingEndpoints(namesEndpoints{})
	c := page(0, 300)
	c.Part, c.Whole, c.At = false, true, 300
	rep.apply(c, start)
	assert.Assert(t, pause.Over(rep.partly) && rep.isSmall())
}
