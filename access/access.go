// Package access finds out which team a caller belongs to, by the key that it sends.
//
// A Table is what one version of the shared configuration says of teams and their keys.
// It holds salted digests in place of keys: whoever sees the memory, a log line or a
// trace of a balancer learns no key from them, and a look-up takes the same time for
// whatever is sent. Bearer reads the key from a request's headers, Judge says what
// becomes of a request, and Doubts remembers keys that nobody knew yet, because a
// balancer may hear later than the caller of a key that was just added.
//
// The package owns no clock and relies on nothing but the configuration. The salt is
// drawn anew by each process, so that digests of two processes cannot be compared.
//
// # Usage
//
//	table, err := access.NewTable([]access.Team{{Name: "medina", Keys: []string{key}}})
//	key, err := access.Bearer(r.Header)
//	team, standing := table.Find(access.DigestOf(key))
package access

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"maps"
	"strings"

	"github.com/lotuswing/lotuswing/coord/quota"
)

// Team is a group of callers that share keys and a quota, as the configuration names it.
type Team struct {
	Name     string
	Keys     []string
	Priority int         // 0 the most urgent; it goes before that of a route
	Quota    quota.Limit // of all balancers together; the zero value for none
	Regions  []string    // in which its requests may be served; empty for all
}

// digestBytes is the length of a digest: half of a SHA-256, so that nobody finds a second
// key with the digest of another one.
const digestBytes = 16

// Digest stands for a key within one process.
type Digest [digestBytes]byte

// salt begins what digests are made of. rand.Text never fails.
var salt = rand.Text()

// DigestOf returns the digest of a key.
func DigestOf(key string) Digest {
	sum := sha256.Sum256([]byte(salt + key))
	return Digest(sum[:digestBytes])
}

// shownBytes is how much of a digest a log line shows: enough to tell some thousand apart.
const shownBytes = 4

// String returns the beginning of the digest, for logs.
func (d Digest) String() string { return hex.EncodeToString(d[:shownBytes]) }

// Standing is what a Table knows of a key.
type Standing uint8

const (
	// Unknown keys were in no version that this process has had in force.
	Unknown Standing = iota
	// Held keys belong to a team.
	Held
	// Withdrawn keys belonged to a team in an earlier version.
	Withdrawn
)

// Table is what one version of the configuration says of teams. It is an immutable value;
// nil stands for a configuration without teams, under which nobody needs a key.
type Table struct {
	teams     map[string]Team // by name, without their keys
	byKey     map[Digest]string
	withdrawn map[Digest]struct{}
}

// NewTable returns the table of the teams; nil where there is none.
func NewTable(teams []Team) (*Table, error) {
	if len(teams) == 0 {
		return nil, nil
	}
	t := &Table{teams: make(map[string]Team, len(teams)), byKey: map[Digest]string{}}
	var faults []error
	for _, team := range teams {
		faults = append(faults, t.add(team))
	}
	if err := errors.Join(faults...); err != nil {
		return nil, err
	}
	return t, nil
}

// add adds a team to a table that is being made.
func (t *Table) add(team Team) error {
	if err := checkTeam(team); err != nil {
		return fmt.Errorf("team %q: %w", team.Name, err)
	}
	if _, ok := t.teams[team.Name]; ok {
		return fmt.Errorf("team %q stands there twice", team.Name)
	}
	for _, key := range team.Keys {
		d := DigestOf(key)
		if other, ok := t.byKey[d]; ok && other != team.Name {
			return fmt.Errorf("teams %q and %q share a key", other, team.Name)
		}
		t.byKey[d] = team.Name
	}
	team.Keys = nil
	t.teams[team.Name] = team
	return nil
}

// checkTeam returns what is wrong with a team on its own. Its name stands in a header of
// each request, a key in one of the caller's.
func checkTeam(team Team) error {
	switch {
	case !plain(team.Name):
		return errors.New("the name cannot stand in a header")
	case team.Quota.Rate < 0 || team.Quota.Burst < 0:
		return fmt.Errorf("quota of %v and %v; neither is below 0", team.Quota.Rate, team.Quota.Burst)
	}
	for i, key := range team.Keys {
		if !plain(key) || len(key) > mostKeyBytes {
			return fmt.Errorf("key %d cannot be sent by a caller", i+1) // which it is stays untold
		}
	}
	return nil
}

// plain reports whether a text is not empty and has neither blanks nor control characters.
func plain(text string) bool {
	return text != "" && !strings.ContainsFunc(text, func(c rune) bool { return c <= ' ' || c > '~' })
}

// mostWithdrawn bounds what is remembered of keys that were taken away: 16 bytes each.
const mostWithdrawn = 1 << 16

// After returns the table with what it has to remember of the one in force before: keys
// that are held by nobody any more.
func (t *Table) After(before *Table) *Table {
	if t == nil || before == nil {
		return t
	}
	next := *t
	next.withdrawn = map[Digest]struct{}{}
	if len(before.withdrawn) < mostWithdrawn {
		maps.Copy(next.withdrawn, before.withdrawn)
	}
	for d := range before.byKey {
		next.withdrawn[d] = struct{}{}
	}
	for d := range t.byKey {
		delete(next.withdrawn, d)
	}
	return &next
}

// Find returns the team that holds a key, if one does.
func (t *Table) Find(d Digest) (Team, Standing) {
	if t == nil {
		return Team{}, Unknown
	}
	if name, ok := t.byKey[d]; ok {
		return t.teams[name], Held
	}
	if _, ok := t.withdrawn[d]; ok {
		return Team{}, Withdrawn
	}
	return Team{}, Unknown
}

// Team returns a team by its name.
func (t *Table) Team(name string) (Team, bool) {
	if t == nil {
		return Team{}, false
	}
	team, ok := t.teams[name]
	return team, ok
}

// Keys returns how many keys a team has.
func (t *Table) Keys(name string) int {
	if t == nil {
		return 0
	}
	n := 0
	for _, holder := range t.byKey {
		if holder == name {
			n++
		}
	}
	return n
}

// Len returns the numbers of teams and of their keys.
func (t *Table) Len() (teams, keys int) {
	if t == nil {
		return 0, 0
	}
	return len(t.teams), len(t.byKey)
}

// All returns the teams in no order, without their keys.
func (t *Table) All() []Team {
	if t == nil {
		return nil
	}
	all := make([]Team, 0, len(t.teams))
	for _, team := range t.teams {
		all = append(all, team)
	}
	return all
}
