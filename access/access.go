// Package access identifies the team of a caller by the API key that it sends.
//
// A Table holds the teams and keys of one version of the shared configuration. It stores salted
// digests instead of keys: memory, log lines and traces of a balancer reveal no key, and the time of
// a look-up tells nothing about the keys. BearerToken reads the key from the headers of a request.
// Decide decides whether a request is admitted. UnknownKeys remembers unknown keys, because a
// balancer may learn of a new key later than its caller does.
//
// The package reads no clock and depends only on the configuration. Each process draws a random
// salt, so that digests of two processes cannot be compared.
//
// # Usage
//
//	table, err := access.NewTable([]access.Team{{Name: "medina", Keys: []string{key}}})
//	key, err := access.BearerToken(r.Header)
//	team, state := table.Find(access.DigestOf(key))
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

// Team is a group of callers that share API keys and a quota, as configured.
type Team struct {
	Name     string
	Keys     []string
	Priority int         // 0 is the most urgent; overrides the priority of a route
	Quota    quota.Limit // for all balancers together; the zero value for none
	Regions  []string    // where its requests may be served; empty for all
}

// digestBytes is the length of a digest: half of a SHA-256 sum, long enough that nobody finds a
// second key with the same digest.
const digestBytes = 16

// Digest identifies a key within one process.
type Digest [digestBytes]byte

// salt is prepended to each key before it is hashed. rand.Text never fails.
var salt = rand.Text()

// DigestOf returns the salted digest of a key.
func DigestOf(key string) Digest {
	sum := sha256.Sum256([]byte(salt + key))
	return Digest(sum[:digestBytes])
}

// loggedBytes is how many bytes of a digest are logged: enough to distinguish some thousand keys.
const loggedBytes = 4

// String returns the first loggedBytes of the digest in hexadecimal, for logs.
func (d Digest) String() string { return hex.EncodeToString(d[:loggedBytes]) }

// KeyState is the state of a key in a Table.
type KeyState uint8

const (
	// Unknown keys were in no version of the configuration that this process has used.
	Unknown KeyState = iota
	// Valid keys belong to a team.
	Valid
	// Revoked keys belonged to a team in an earlier version, and belong to none now.
	Revoked
)

// Table holds the teams and keys of one version of the configuration. It is an immutable value; nil
// stands for a configuration without teams, under which callers need no key.
type Table struct {
	teams   map[string]Team     // by name, without their keys
	byKey   map[Digest]string   // names of teams
	revoked map[Digest]struct{} // bounded by maxRevoked
}

// NewTable returns the table of the teams; nil if there are none. It returns an error that lists all
// invalid teams.
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

// add adds a team to a table under construction.
func (t *Table) add(team Team) error {
	if err := checkTeam(team); err != nil {
		return fmt.Errorf("team %q: %w", team.Name, err)
	}
	if _, ok := t.teams[team.Name]; ok {
		return fmt.Errorf("team %q is configured twice", team.Name)
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

// checkTeam returns an error if a team is invalid on its own. Its name and its keys are sent in
// request headers, and have to be valid there.
func checkTeam(team Team) error {
	switch {
	case !isVisibleASCII(team.Name):
		return errors.New("the name is not valid in a header")
	case team.Quota.Rate < 0 || team.Quota.Burst < 0:
		return fmt.Errorf("quota rate %v and burst %v: neither may be negative", team.Quota.Rate, team.Quota.Burst)
	}
	for i, key := range team.Keys {
		if !isVisibleASCII(key) || len(key) > maxKeyBytes {
			return fmt.Errorf("key %d is not a valid bearer token", i+1) // the error must not reveal the key
		}
	}
	return nil
}

// isVisibleASCII reports whether a text is not empty and has only ASCII characters without spaces
// and control characters.
func isVisibleASCII(text string) bool {
	return text != "" && !strings.ContainsFunc(text, func(c rune) bool { return c <= ' ' || c > '~' })
}

// maxRevoked limits how many revoked keys are remembered, at 16 bytes each. Once a table has as
// many, its successor forgets them and remembers only those revoked since.
const maxRevoked = 1 << 16

// WithHistory returns the table that also remembers which keys of the previous table, and of those
// before it, belong to no team any more.
func (t *Table) WithHistory(before *Table) *Table {
	if t == nil || before == nil {
		return t
	}
	next := *t
	next.revoked = map[Digest]struct{}{}
	if len(before.revoked) < maxRevoked {
		maps.Copy(next.revoked, before.revoked)
	}
	for d := range before.byKey {
		next.revoked[d] = struct{}{}
	}
	for d := range t.byKey {
		delete(next.revoked, d)
	}
	return &next
}

// Find returns the team of a key, and the state of the key; the team is empty unless the key is
// Valid.
func (t *Table) Find(d Digest) (Team, KeyState) {
	if t == nil {
		return Team{}, Unknown
	}
	if name, ok := t.byKey[d]; ok {
		return t.teams[name], Valid
	}
	if _, ok := t.revoked[d]; ok {
		return Team{}, Revoked
	}
	return Team{}, Unknown
}

// Team returns the team with a name, without its keys.
func (t *Table) Team(name string) (Team, bool) {
	if t == nil {
		return Team{}, false
	}
	team, ok := t.teams[name]
	return team, ok
}

// KeyCount returns the number of keys of a team.
func (t *Table) KeyCount(name string) int {
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

// Counts returns the numbers of teams and of their keys.
func (t *Table) Counts() (teams, keys int) {
	if t == nil {
		return 0, 0
	}
	return len(t.teams), len(t.byKey)
}

// Teams returns the teams in no particular order, without their keys.
func (t *Table) Teams() []Team {
	if t == nil {
		return nil
	}
	all := make([]Team, 0, len(t.teams))
	for _, team := range t.teams {
		all = append(all, team)
	}
	return all
}
