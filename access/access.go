// Package access identifies the team of a caller by the API key that it sends.
//
// A Table holds the teams and keys of one version of the shared configuration. It stores salted
// digests instead of keys: memory, log lines and traces of a balancer reveal no key, and the time of
// a look-up tells nothing about the keys. BearerToken reads the key from the headers of a request.
// Decide decides whether a request is admitted. UnknownKeys remembers unknown keys, because a
// balancer may learn of a new key later than its caller does.
//
// A team or key that cannot be used as configured does not keep the others out of a Table. Its callers
// are refused, and keys that the same version takes away are Revoked.
//
// The package reads no clock and depends only on the configuration. Each process draws a random
// salt, so that digests of two processes cannot be compared.
//
// # Usage
//
//	table, faults := access.NewTable([]access.Team{{Name: "medina", Keys: []string{key}}})
//	key, err := access.BearerToken(r.Header)
//	team, state := table.Find(access.DigestOf(key))
package access

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"maps"
	"strings"

	"github.com/lotuswing/lotuswing/coord/quota"
	"golang.org/x/net/http/httpguts"
)

// Team is a group of callers that share API keys and a quota, as configured.
type Team struct {
	Name     string
	Keys     []string
	Priority int         // 0 is the most urgent; overrides the priority of a route
	Quota    quota.Limit // for all balancers together; the zero value for none
	Regions  []string    // where its requests may be served; empty for all
	Fault    string      // why the team cannot be used as configured; empty if it can
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
	// Unusable keys are configured, but their team cannot be used, or several teams hold them.
	Unusable
)

// Table holds the teams and keys of one version of the configuration. It is an immutable value; nil
// stands for a configuration without teams, under which callers need no key.
type Table struct {
	teams    map[string]Team     // by name, without their keys
	byKey    map[Digest]string   // names of teams
	unusable map[Digest]struct{} // not in byKey
	revoked  map[Digest]struct{} // bounded by maxRevoked
}

// NewTable returns the table of the teams that can be used, nil if no team is configured at all, and an
// error for each team and key that cannot be used. The errors contain no key.
func NewTable(teams []Team) (*Table, []error) {
	if len(teams) == 0 {
		return nil, nil
	}
	t := &Table{teams: make(map[string]Team, len(teams)), byKey: map[Digest]string{}, unusable: map[Digest]struct{}{}}
	var faults []error
	for _, team := range teams {
		faults = append(faults, t.add(team)...)
	}
	return t, faults
}

// add adds a team to a table under construction, and returns what of the team cannot be used.
func (t *Table) add(team Team) []error {
	var faults []error
	fault := team.fault()
	if _, ok := t.teams[team.Name]; ok && fault == "" {
		fault = "is configured twice"
	}
	if fault != "" {
		faults = append(faults, fmt.Errorf("team %q: %s", team.Name, fault))
	}
	for i, key := range team.Keys {
		if !isToken(key) {
			faults = append(faults, fmt.Errorf("team %q: key %d is not a valid bearer token", team.Name, i+1))
			continue
		}
		if other, shared := t.addKey(DigestOf(key), team.Name, fault == ""); shared {
			faults = append(faults, fmt.Errorf("team %q: key %d is also a key of team %q", team.Name, i+1, other))
		}
	}
	if fault == "" {
		team.Keys = nil
		t.teams[team.Name] = team
	}
	return faults
}

// addKey adds a key of a team, which may be unusable. A key of two teams belongs to neither of them: addKey
// returns the other team.
func (t *Table) addKey(d Digest, team string, usable bool) (other string, shared bool) {
	holder, held := t.byKey[d]
	_, unusable := t.unusable[d]
	switch {
	case held && holder != team:
		delete(t.byKey, d)
		t.unusable[d] = struct{}{}
		return holder, true
	case held, unusable:
	case usable:
		t.byKey[d] = team
	default:
		t.unusable[d] = struct{}{}
	}
	return "", false
}

// fault returns why a team cannot be used, or an empty text. Its name is sent in a request header, and has
// to be valid there and arrive unchanged.
func (t Team) fault() string {
	switch {
	case t.Fault != "":
		return t.Fault
	case t.Name == "" || t.Name != strings.Trim(t.Name, " \t") || !httpguts.ValidHeaderFieldValue(t.Name):
		return "the name is not valid in a header"
	case t.Quota.Rate < 0 || t.Quota.Burst < 0:
		return fmt.Sprintf("quota rate %v and burst %v: neither may be negative", t.Quota.Rate, t.Quota.Burst)
	}
	return ""
}

// isToken reports whether a text can be sent as a bearer token: it is not empty and has only ASCII
// characters without spaces and control characters. The limit on the header of a request limits its length.
func isToken(text string) bool {
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
	for d := range before.unusable {
		next.revoked[d] = struct{}{}
	}
	for d := range t.byKey {
		delete(next.revoked, d)
	}
	for d := range t.unusable {
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
	if _, ok := t.unusable[d]; ok {
		return Team{}, Unusable
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
