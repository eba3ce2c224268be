package member

import (
	"math/bits"
	"slices"
)

const (
	digestNews = 8 // that changed
	digestRest = 4 // others, in turn
)

// spreadFactor times the binary logarithm of the fleet's size is how often a
// change is sent by each member that hears of it.
const spreadFactor = 3

// Digest returns the members to send along: self, some that changed lately,
// and some others in turn. Neither its size nor its cost depends on the size
// of the fleet.
func (t *Table) Digest() []Member {
	out := []Member{t.Self()}
	enough := spreadFactor * bits.Len(uint(len(t.records)))
	var again []string
	for i, id := range t.news {
		if len(out) > digestNews {
			again = append(again, t.news[i:]...)
			break
		}
		r, ok := t.records[id]
		if !ok {
			continue
		}
		out = append(out, r.Member)
		if r.sent++; r.sent < enough {
			again = append(again, id)
		}
	}
	t.news = rotate(again, len(out)-1)
	return t.rest(out)
}

// rotate moves the first n names to the end, so that all have their turn.
func rotate(names []string, n int) []string {
	if n >= len(names) {
		return names
	}
	return append(slices.Clone(names[n:]), names[:n]...)
}

// rest adds members in turn to a digest; names of forgotten members leave the
// ring on the way.
func (t *Table) rest(out []Member) []Member {
	for range min(digestRest, len(t.ring)) {
		t.next %= len(t.ring)
		r, ok := t.records[t.ring[t.next]]
		if !ok {
			t.ring = slices.Delete(t.ring, t.next, t.next+1)
			if len(t.ring) == 0 {
				break
			}
			continue
		}
		out = append(out, r.Member)
		t.next++
	}
	return out
}
