// Package member keeps one process's view of which balancers are alive.
//
// It follows SWIM (Das, Gupta, Motivala, 2002): each period a member probes
// one other, asks others to probe it when it does not answer, suspects before
// it declares dead, and refutes a suspicion of itself with a higher
// incarnation. The number of messages a member sends does not depend on the
// size of the fleet. The package decides; it does no input or output.
//
// A Table owns the view; what it hears is in digest.go, what others read in view.go.
// What a digest costs is in docs/CAPACITY.md.
//
// # Usage
//
//	t := member.NewTable(self, member.Options{})
//	t.Merge(now, heardFromPeer)
//	target, ok := t.Next(rng)
//	t.Unreachable(now, target.ID)
//	t.Tick(now)
package member

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// State of a member.
type State uint8

// The states, in the order in which they override one another at one
// incarnation.
const (
	Alive State = iota
	Suspect
	Left // a planned stop, announced by the member itself
	Dead
)

// String returns the state's name.
func (s State) String() string {
	return [...]string{"alive", "suspect", "left", "dead"}[s]
}

// Member is what is known of one balancer.
type Member struct {
	ID          string
	Addr        string // of its link listener
	Zone        string
	Incarnation uint64
	State       State
}

// Options of a table. Zero fields take the defaults.
type Options struct {
	SuspectFor time.Duration // before a suspect is dead; default 2 s
}

const (
	suspectFor = 2 * time.Second
	forgetFor  = time.Hour // before a dead member is forgotten
)

type record struct {
	Member
	since time.Time // of the state
	sent  int       // times it was in a digest since it changed
}

// Table is the view. It is not safe for concurrent use.
type Table struct {
	self    string
	opts    Options
	records map[string]*record
	order   []string // members still to be probed in this round
	news    []string // members that changed and have not been told often enough
	ring    []string // all members, told in turn
	next    int      // in ring
}

// NewTable returns a table that knows only self.
func NewTable(self Member, opts Options) *Table {
	opts.SuspectFor = cmp.Or(opts.SuspectFor, suspectFor)
	t := &Table{self: self.ID, opts: opts, records: map[string]*record{}}
	t.records[self.ID] = &record{Member: self}
	return t
}

// Self returns this process's own entry.
func (t *Table) Self() Member { return t.records[t.self].Member }

// Merge takes in what a peer said and reports whether anything changed.
func (t *Table) Merge(now time.Time, heard []Member) bool {
	changed := false
	for _, m := range heard {
		if m.ID == t.self {
			changed = t.refute(m) || changed
			continue
		}
		changed = t.mergeOne(now, m) || changed
	}
	return changed
}

func (t *Table) mergeOne(now time.Time, m Member) bool {
	old, known := t.records[m.ID]
	if !known {
		if m.State == Dead || m.State == Left {
			return false
		}
		t.set(now, m)
		return true
	}
	if !overrides(m, old.Member) {
		return false
	}
	t.set(now, m)
	return true
}

// set puts in an entry and makes it news.
func (t *Table) set(now time.Time, m Member) {
	if _, known := t.records[m.ID]; !known {
		t.ring = append(t.ring, m.ID)
	}
	t.records[m.ID] = &record{Member: m, since: now}
	if !slices.Contains(t.news, m.ID) {
		t.news = append(t.news, m.ID)
	}
}

// overrides is SWIM's order of claims about one member.
func overrides(claim, known Member) bool {
	if claim.Incarnation != known.Incarnation {
		return claim.Incarnation > known.Incarnation
	}
	return claim.State > known.State
}

// refute raises the own incarnation when a peer believes us gone.
func (t *Table) refute(m Member) bool {
	self := t.records[t.self]
	if m.State == Alive && m.Incarnation <= self.Incarnation || self.State == Left {
		return false
	}
	if m.Incarnation < self.Incarnation {
		return false
	}
	self.Incarnation = m.Incarnation + 1
	return true
}

// Leave marks this process as stopping, to be told to the peers.
func (t *Table) Leave() {
	self := t.records[t.self]
	self.State = Left
}

// Unreachable notes that a member answered neither a direct nor an indirect
// probe.
func (t *Table) Unreachable(now time.Time, id string) bool {
	r, ok := t.records[id]
	if !ok || id == t.self || r.State != Alive {
		return false
	}
	suspect := r.Member
	suspect.State = Suspect
	t.set(now, suspect)
	return true
}

// Tick turns suspects into dead members and forgets old ones.
func (t *Table) Tick(now time.Time) bool {
	changed := false
	for id, r := range t.records {
		switch {
		case r.State == Suspect && now.Sub(r.since) >= t.opts.SuspectFor:
			dead := r.Member
			dead.State = Dead
			t.set(now, dead)
			changed = true
		case (r.State == Dead || r.State == Left) && id != t.self && now.Sub(r.since) >= forgetFor:
			delete(t.records, id)
			changed = true
		}
	}
	return changed
}

// Next returns the member to probe: each once a round, in random order.
func (t *Table) Next(rng *rand.Rand) (Member, bool) {
	for {
		if len(t.order) == 0 {
			t.order = t.peers()
			rng.Shuffle(len(t.order), func(i, j int) { t.order[i], t.order[j] = t.order[j], t.order[i] })
		}
		if len(t.order) == 0 {
			return Member{}, false
		}
		id := t.order[0]
		t.order = t.order[1:]
		if r, ok := t.records[id]; ok && r.State <= Suspect {
			return r.Member, true
		}
	}
}

func (t *Table) peers() []string {
	var ids []string
	for id, r := range t.records {
		if id != t.self && r.State <= Suspect {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}
