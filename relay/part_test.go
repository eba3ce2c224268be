package relay

import (
	"fmt"
	"strings"
	"testing"

	"github.com/lotuswing/lotuswing/directory"
	"github.com/lotuswing/lotuswing/internal/pause"
	"gotest.tools/v3/assert"
)

// prefixDecoder is a Decoder that recognizes endpoints by the prefix of their keys.
type prefixDecoder struct{}

func (prefixDecoder) Decode([]directory.Record, uint64, bool) directory.Changes {
	return directory.Changes{}
}

func (prefixDecoder) IsEndpointKey(key string) bool { return strings.HasPrefix(key, "servers/") }

// endpointPage returns a partial read of n endpoints, numbered from the given one.
func endpointPage(from, n int) directory.Changes {
	c := directory.Changes{Partial: true}
	for i := range n {
		id := fmt.Sprintf("i-%05d", from+i)
		c.Records = append(c.Records, directory.Record{Key: "servers/" + id, Revision: uint64(from + i + 1)})
		c.Entries = append(c.Entries, directory.Entry{})
	}
	return c
}

// TestPartIsEnoughToServe checks that a replica becomes servable once it knows enough endpoints,
// that a part contains directory.MinServingEntries endpoints and all other records, and that a complete
// copy replaces a partial one.
func TestPartIsEnoughToServe(t *testing.T) {
	rep := newReplica().withDecoder(prefixDecoder{})
	rep.apply(directory.Changes{Partial: true, Records: []directory.Record{{Key: "op/config", Revision: 1}, {Key: "lotuswing/relays/a", Revision: 2}}}, start)
	for from := 0; from < 1000; from += 200 {
		rep.apply(endpointPage(from, 200), start)
		assert.Assert(t, !pause.Over(rep.servable) && !rep.isComplete())
	}
	rep.apply(endpointPage(1000, 200), start)
	assert.Assert(t, pause.Over(rep.servable) && !rep.isComplete())
	whole := endpointPage(0, 10000)
	whole.Partial, whole.Complete, whole.Revision = false, true, 10000
	whole.Records = append(whole.Records, directory.Record{Key: "op/config", Revision: 1})
	rep.apply(whole, start)
	assert.Assert(t, rep.isComplete() && !rep.isSmall())
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
	assert.Equal(t, endpoints, directory.MinServingEntries)
	assert.DeepEqual(t, others, map[string]bool{"op/config": true})
}

// TestSmallStoreIsHandedOnWhole checks that a store whose part would be nearly everything counts as
// small, so that peers get the complete copy.
func TestSmallStoreIsHandedOnWhole(t *testing.T) {
	rep := newReplica().withDecoder(prefixDecoder{})
	c := endpointPage(0, 300)
	c.Partial, c.Complete, c.Revision = false, true, 300
	rep.apply(c, start)
	assert.Assert(t, pause.Over(rep.servable) && rep.isSmall())
}
