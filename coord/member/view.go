package member

import (
	"slices"
	"strings"
)

// View returns the members that are alive or only suspected, in order of ID.
func (t *Table) View() View {
	var v View
	for _, r := range t.records {
		if r.State <= Suspect {
			v.Members = append(v.Members, r.Member)
		}
	}
	slices.SortFunc(v.Members, func(a, b Member) int { return strings.Compare(a.ID, b.ID) })
	return v
}

// View is an immutable list of the members in use.
type View struct {
	Members []Member
}

// IDs returns the members' identities in order.
func (v View) IDs() []string {
	ids := make([]string, len(v.Members))
	for i, m := range v.Members {
		ids[i] = m.ID
	}
	return ids
}

// Trusted returns the identities of the members that nobody suspects; all,
// where every one is suspected. A home is chosen among them: a suspicion that
// turns out false costs a moment with two homes, waiting for certainty would
// cost seconds with none.
func (v View) Trusted() []string {
	var ids []string
	for _, m := range v.Members {
		if m.State == Alive {
			ids = append(ids, m.ID)
		}
	}
	if len(ids) == 0 {
		return v.IDs()
	}
	return ids
}

// Find returns the member with an identity.
func (v View) Find(id string) (Member, bool) {
	for _, m := range v.Members {
		if m.ID == id {
			return m, true
		}
	}
	return Member{}, false
}

// All returns every member, for one that has just joined.
func (t *Table) All() []Member {
	out := make([]Member, 0, len(t.records))
	for _, r := range t.records {
		out = append(out, r.Member)
	}
	slices.SortFunc(out, func(a, b Member) int { return strings.Compare(a.ID, b.ID) })
	return out
}

// Knows reports whether a member is in the table.
func (t *Table) Knows(id string) bool {
	_, ok := t.records[id]
	return ok
}
