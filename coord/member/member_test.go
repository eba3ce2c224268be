package member_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/lotuswing/lotuswing/coord/member"
	"gotest.tools/v3/assert"
)

const period = 300 * time.Millisecond

var start = time.Unix(1e9, 0)

// fleet is tables that exchange digests in virtual time.
type fleet struct {
	rng    *rand.Rand
	now    time.Time
	tables []*member.Table
	down   map[string]bool
	cut    map[[2]string]bool // from, to: messages that do not arrive
	worst  int                // size of a digest
}

func newFleet(size int, seed uint64) *fleet {
	f := &fleet{rng: rand.New(rand.NewPCG(seed, 1)), now: start, down: map[string]bool{}, cut: map[[2]string]bool{}}
	for i := range size {
		self := member.Member{ID: fmt.Sprintf("vm-%03d", i), Addr: fmt.Sprint(i), Incarnation: 1}
		t := member.NewTable(self, member.Options{})
		f.tables = append(f.tables, t)
		if i > 0 { // joins by the first, which tells it of all
			f.tables[0].Merge(f.now, []member.Member{self})
			t.Merge(f.now, f.tables[0].All())
		}
	}
	return f
}

func (f *fleet) table(id string) *member.Table {
	for _, t := range f.tables {
		if t.Self().ID == id {
			return t
		}
	}
	return nil
}

func (f *fleet) passes(from, to string) bool {
	return !f.down[from] && !f.down[to] && !f.cut[[2]string{from, to}] && !f.cut[[2]string{to, from}]
}

// round is one heartbeat of every member, to two others each.
func (f *fleet) round() {
	f.now = f.now.Add(period)
	for _, t := range f.tables {
		self := t.Self().ID
		if f.down[self] {
			continue
		}
		t.Tick(f.now)
		for range 2 {
			target, ok := t.Next(f.rng)
			if !ok {
				continue
			}
			if f.passes(self, target.ID) {
				f.exchange(t, f.table(target.ID))
			} else if !f.indirect(self, target.ID) {
				t.Unreachable(f.now, target.ID)
			}
		}
	}
}

func (f *fleet) exchange(a, b *member.Table) {
	digest := a.Digest()
	f.worst = max(f.worst, len(digest))
	b.Merge(f.now, digest)
	a.Merge(f.now, b.Digest())
}

func (f *fleet) indirect(self, target string) bool {
	for range 2 {
		via := f.tables[f.rng.IntN(len(f.tables))].Self().ID
		if via != self && via != target && f.passes(self, via) && f.passes(via, target) {
			return true
		}
	}
	return false
}

// agree counts the rounds until all members that are up have the wanted view.
func (f *fleet) agree(t *testing.T, want int, most int) int {
	t.Helper()
	for rounds := 1; rounds <= most; rounds++ {
		f.round()
		all := true
		for _, table := range f.tables {
			if !f.down[table.Self().ID] && len(table.View().Members) != want {
				all = false
			}
		}
		if all {
			return rounds
		}
	}
	t.Fatalf("no agreement on %d members in %d rounds", want, most)
	return 0
}

// TestJoinCrashAndReturn at three sizes: everybody learns of everybody, of a
// crash, and of the same VM's return with a higher incarnation. The size of a
// message stays the same.
func TestJoinCrashAndReturn(t *testing.T) {
	for size, seeds := range map[int]uint64{3: 20, 16: 20, 128: 2} {
		for seed := range seeds {
			f := newFleet(size, seed)
			joined := f.agree(t, size, 200)
			victim := f.tables[size-1]
			f.down[victim.Self().ID] = true
			crashed := f.agree(t, size-1, 100)
			f.down[victim.Self().ID] = false
			back := victim.Self()
			back.Incarnation++
			f.tables[size-1] = member.NewTable(back, member.Options{})
			f.tables[0].Merge(f.now, []member.Member{back})
			f.tables[size-1].Merge(f.now, f.tables[0].All())
			returned := f.agree(t, size, 200)
			assert.Assert(t, f.worst <= 13, "digest of %d members", f.worst)
			if seed == 0 {
				t.Logf("%d members: joined in %d rounds, crash known in %d, return in %d", size, joined, crashed, returned)
			}
		}
	}
}

// TestAsymmetricLink: two members that cannot reach each other stay in every
// view, because others can reach both.
func TestAsymmetricLink(t *testing.T) {
	f := newFleet(16, 3)
	f.agree(t, 16, 200)
	f.cut[[2]string{"vm-001", "vm-002"}] = true
	for range 100 {
		f.round()
	}
	for _, table := range f.tables {
		assert.Equal(t, len(table.View().Members), 16)
	}
}

// TestFalseSuspicionIsRefuted with a higher incarnation.
func TestFalseSuspicionIsRefuted(t *testing.T) {
	f := newFleet(5, 1)
	f.agree(t, 5, 100)
	f.tables[0].Unreachable(f.now, "vm-003")
	assert.Equal(t, len(f.tables[0].View().Trusted()), 4)
	for range 10 {
		f.round()
	}
	for _, table := range f.tables {
		assert.Equal(t, len(table.View().Trusted()), 5)
	}
	assert.Equal(t, f.tables[3].Self().Incarnation, uint64(2))
}

// TestLeavingIsNotRefuted: a planned stop ends membership at once.
func TestLeavingIsNotRefuted(t *testing.T) {
	f := newFleet(5, 2)
	f.agree(t, 5, 100)
	f.tables[4].Leave()
	for range 10 {
		f.round()
	}
	assert.Equal(t, len(f.tables[0].View().Members), 4)
}
