package queue

import (
	"cmp"
	"slices"
	"time"
)

// The order in which waiting requests are served.

// Next takes the first request in order out of the queue, since capacity may be free for it. The
// caller must then call either Return or Ended.
func (q *Queue) Next(now time.Time) (*Place, bool) {
	q.advance(now)
	i, byTurn := q.nextGroup(now)
	if i < 0 {
		return nil, false
	}
	g := q.groups[i]
	p := g.next()
	p.byTurn, p.passed = byTurn, nil
	if byTurn {
		g.passedOver = 0
	}
	if next := q.nextWaiting(i); next != nil {
		next.passedOver++
		p.passed = next
	}
	g.take(p, now)
	p.taken = true
	q.waiting--
	q.taken++
	return p, true
}

// nextGroup returns the index of the group whose turn it is, and whether it was passed over often
// enough to come before a more urgent one. The index is -1 if nobody waits.
func (q *Queue) nextGroup(now time.Time) (index int, byTurn bool) {
	q.moveLate(now)
	first := slices.IndexFunc(q.groups, func(g *group) bool { return g.waiting > 0 })
	if first < 0 || q.groups[first].late {
		return first, false
	}
	for i := len(q.groups) - 1; i > first; i-- {
		g := q.groups[i]
		if !g.late && g.waiting > 0 && g.passedOver >= turnAfter && !q.isFavoured(g.priority) {
			return i, true
		}
	}
	return first, false
}

// moveLate moves the first requests of the groups that are on time to the groups of late ones, until
// the first one of each is on time.
func (q *Queue) moveLate(now time.Time) {
	for i := 0; i < len(q.groups); i++ {
		g := q.groups[i]
		for !g.late && g.waiting > 0 && g.next().request.Late(now) {
			p := g.next()
			g.remove(p, now)
			q.groupOf(g.priority, true).add(p, now)
		}
	}
}

// nextWaiting returns the first group after an index that is on time and not empty; nil for none.
func (q *Queue) nextWaiting(index int) *group {
	for _, g := range q.groups[index+1:] {
		if !g.late && g.waiting > 0 {
			return g
		}
	}
	return nil
}

// groupKey orders groups.
type groupKey struct {
	late     bool
	priority int
}

func newGroupKey(priority int, late bool) groupKey { return groupKey{late, priority} }

func (g *group) key() groupKey { return groupKey{g.late, g.priority} }

func (k groupKey) compare(o groupKey) int {
	if k.late != o.late {
		if k.late {
			return 1
		}
		return -1
	}
	return cmp.Compare(k.priority, o.priority)
}

// groupOf returns a group, and creates it if there is none.
func (q *Queue) groupOf(priority int, late bool) *group {
	key := newGroupKey(priority, late)
	i, ok := q.find(key)
	if !ok {
		q.groups = slices.Insert(q.groups, i, newGroup(priority, late))
	}
	return q.groups[i]
}

// find returns the index at which a group is or would be inserted, and whether it exists.
func (q *Queue) find(key groupKey) (int, bool) {
	return slices.BinarySearchFunc(q.groups, key, func(g *group, k groupKey) int { return g.key().compare(k) })
}

// lastGroup returns the group that is served last of those that are not empty; nil for none.
func (q *Queue) lastGroup() *group {
	for _, g := range slices.Backward(q.groups) {
		if g.waiting > 0 {
			return g
		}
	}
	return nil
}

// anyOnTime reports whether a request on time waits or was taken.
func (q *Queue) anyOnTime() bool {
	return slices.ContainsFunc(q.groups, func(g *group) bool { return !g.late && g.waiting+g.taken > 0 })
}

// precedesAll reports whether a new request on time of a priority comes before all that wait or were
// taken.
func (q *Queue) precedesAll(priority int) bool {
	return !slices.ContainsFunc(q.groups, func(g *group) bool { return !g.late && g.priority <= priority && g.waiting+g.taken > 0 })
}
