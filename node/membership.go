package node

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/lotuswing/lotuswing/coord/leaving"
	"github.com/lotuswing/lotuswing/coord/member"
	"github.com/lotuswing/lotuswing/link"
)

// membership is what the fleet knows together, as far as this node has heard: who
// is a member, which endpoints leave, and whether this node has the fleet's versions
// of the documents. It is safe for concurrent use; the rules are those of packages
// member and leaving.
type membership struct {
	mu      sync.Mutex
	table   *member.Table
	marks   leaving.Set
	rng     *rand.Rand
	settled bool // it has the versions of the fleet, or there is no fleet
}

func newMembership(self member.Member, seed uint64) *membership {
	return &membership{
		table: member.NewTable(self, member.Options{}),
		rng:   rand.New(rand.NewPCG(seed, self.Incarnation)),
	}
}

// tick lets time pass, and returns whether the view has changed and so many members
// whose turn it is.
func (m *membership) tick(now time.Time, count int) (changed bool, targets []member.Member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	changed = m.table.Tick(now)
	for range count {
		if target, ok := m.table.Next(m.rng); ok {
			targets = append(targets, target)
		}
	}
	return changed, targets
}

// digest returns what is told to a peer. The versions of the documents are read
// while nothing can settle this node: a peer takes the versions of a settled node
// for those of the fleet.
func (m *membership) digest(versions func() map[string]uint64) link.Digest {
	m.mu.Lock()
	defer m.mu.Unlock()
	return link.Digest{
		From:     m.table.Self(),
		Members:  m.table.Digest(),
		Leaving:  m.marks.Marks(),
		Versions: versions(),
		Settled:  m.settled,
	}
}

// merge merges what a peer said, and reports whether that was news.
func (m *membership) merge(d link.Digest, now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	changed := m.table.Merge(now, append([]member.Member{d.From}, d.Members...))
	marks, fresh := m.marks.Merge(d.Leaving, now)
	m.marks = marks
	return changed || len(fresh) > 0
}

// unreachable notes that a member did not answer, and reports whether it is now
// suspected.
func (m *membership) unreachable(id string, now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.Unreachable(now, id)
}

// leave notes that this node stops.
func (m *membership) leave() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.table.Leave()
}

// knows reports whether a member is known.
func (m *membership) knows(id string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.Knows(id)
}

// all returns all members, those that are gone included.
func (m *membership) all() []member.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.All()
}

// view returns the members and the marks.
func (m *membership) view() (member.View, leaving.Set) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.View(), m.marks
}

// mark notes that an endpoint leaves, and reports whether that was news.
func (m *membership) mark(mark leaving.Mark, now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	known := m.marks.Has(mark.VM)
	m.marks = m.marks.With(mark, now)
	return !known
}

// forgetMarks drops the marks of VMs that are not listed and were heard of before a
// time, and reports whether there were any.
func (m *membership) forgetMarks(before time.Time, listed map[string]bool) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	count := m.marks.Len()
	m.marks = m.marks.Forget(before, func(vm string) bool { return listed[vm] })
	return m.marks.Len() != count
}

// settle notes that this node has the versions of the fleet, so that what it
// reads from a lagging store cannot bring an older one back into force.
func (m *membership) settle() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.settled = true
}

func (m *membership) isSettled() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.settled
}

// shuffled returns the numbers below n in a random order.
func (m *membership) shuffled(n int) []int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.rng.Perm(n)
}
