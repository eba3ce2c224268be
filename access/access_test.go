package access_test

import (
	"fmt"
	"maps"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/lotuswing/lotuswing/access"
	"github.com/lotuswing/lotuswing/coord/quota"
	"gotest.tools/v3/assert"
)

func table(t testing.TB, teams ...access.Team) *access.Table {
	t.Helper()
	tbl, faults := access.NewTable(teams)
	assert.Equal(t, len(faults), 0, "%v", faults)
	return tbl
}

func find(tbl *access.Table, key string) (string, access.KeyState) {
	team, state := tbl.Find(access.DigestOf(key))
	return team.Name, state
}

// TestKeyStateAcrossVersions checks that a revoked key stays known as such in all later
// versions, until a team holds it again.
func TestKeyStateAcrossVersions(t *testing.T) {
	first := table(t, access.Team{Name: "a", Keys: []string{"k1", "k2"}}, access.Team{Name: "b", Keys: []string{"k3"}})
	second := table(t, access.Team{Name: "a", Keys: []string{"k2"}}, access.Team{Name: "b", Keys: []string{"k3", "k4"}}).WithHistory(first)
	third := table(t, access.Team{Name: "b", Keys: []string{"k1"}}).WithHistory(second)
	cases := []struct {
		tbl   *access.Table
		key   string
		team  string
		state access.KeyState
	}{
		{first, "k1", "a", access.Valid},
		{first, "k4", "", access.Unknown},
		{second, "k1", "", access.Revoked},
		{second, "k2", "a", access.Valid},
		{second, "k4", "b", access.Valid},
		{third, "k1", "b", access.Valid},
		{third, "k3", "", access.Revoked},
		{third, "never", "", access.Unknown},
		{nil, "k1", "", access.Unknown},
	}
	for i, c := range cases {
		team, state := find(c.tbl, c.key)
		assert.Equal(t, team, c.team, "case %d", i)
		assert.Equal(t, state, c.state, "case %d", i)
	}
}

// TestUnusableTeamCostsItselfAlone guards against a team or key that cannot be used keeping the others, and
// the keys that its version takes away, out of force.
func TestUnusableTeamCostsItselfAlone(t *testing.T) {
	before := table(t, access.Team{Name: "sound", Keys: []string{"kept", "withdrawn"}}, access.Team{Name: "other", Keys: []string{"other"}})
	sound, other := access.Team{Name: "sound", Keys: []string{"kept"}}, access.Team{Name: "other", Keys: []string{"other"}}
	cases := []struct {
		name  string
		odd   access.Team
		want  map[string]access.KeyState
		fault string
	}{
		{"name of control characters", access.Team{Name: "a\nb", Keys: []string{"new"}}, map[string]access.KeyState{"new": access.Unusable}, "the name is not valid in a header"},
		{"name that ends with a blank", access.Team{Name: "a ", Keys: []string{"new"}}, map[string]access.KeyState{"new": access.Unusable}, "the name is not valid in a header"},
		{"no name", access.Team{Keys: []string{"new"}}, map[string]access.KeyState{"new": access.Unusable}, "the name is not valid in a header"},
		{"negative rate", access.Team{Name: "a", Keys: []string{"new"}, Quota: quota.Limit{Rate: -1}}, map[string]access.KeyState{"new": access.Unusable}, "neither may be negative"},
		{"fault of its source", access.Team{Name: "a", Keys: []string{"new"}, Fault: "cannot be decoded"}, map[string]access.KeyState{"new": access.Unusable}, "cannot be decoded"},
		{"team of a name that is taken", access.Team{Name: "sound", Keys: []string{"new"}}, map[string]access.KeyState{"new": access.Unusable}, "is configured twice"},
		{"key of another team", access.Team{Name: "a", Keys: []string{"other", "new"}}, map[string]access.KeyState{"new": access.Valid, "other": access.Unusable}, `key 1 is also a key of team "other"`},
		{"key withdrawn from another team", access.Team{Name: "a", Fault: "x", Keys: []string{"withdrawn"}}, map[string]access.KeyState{"withdrawn": access.Unusable}, `team "a": x`},
		{"key with a blank", access.Team{Name: "a", Keys: []string{"one two", "new"}}, map[string]access.KeyState{"new": access.Valid, "one two": access.Unknown}, "key 1 is not a valid bearer token"},
		{"empty key", access.Team{Name: "a", Keys: []string{"", "new"}}, map[string]access.KeyState{"new": access.Valid, "": access.Unknown}, "key 1 is not a valid bearer token"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			next, faults := access.NewTable([]access.Team{sound, other, c.odd})
			assert.Equal(t, len(faults), 1, "%v", faults)
			assert.ErrorContains(t, faults[0], c.fault)
			next = next.WithHistory(before)
			want := map[string]access.KeyState{"kept": access.Valid, "withdrawn": access.Revoked, "other": access.Valid}
			maps.Copy(want, c.want)
			for key, state := range want {
				team, got := next.Find(access.DigestOf(key))
				assert.Equal(t, got, state, "key %q", key)
				assert.Equal(t, team.Name != "", state == access.Valid, "key %q", key)
			}
			last := table(t, sound).WithHistory(next)
			_, state := find(last, "other")
			assert.Equal(t, state, access.Revoked, "taken away later, whatever it was before")
		})
	}
}

// TestOnlyUnusableTeamsAreNoOpenTable guards against serving callers without a key when no configured team
// can be used.
func TestOnlyUnusableTeamsAreNoOpenTable(t *testing.T) {
	tbl, faults := access.NewTable([]access.Team{{Name: "a", Fault: "cannot be decoded"}})
	assert.Assert(t, tbl != nil && len(faults) == 1)
}

// TestNamesOfTeams checks that a name is accepted if a header carries it unchanged.
func TestNamesOfTeams(t *testing.T) {
	for _, name := range []string{"a b", "Petición", "京都", strings.Repeat("n", 600)} {
		team, _ := find(table(t, access.Team{Name: name, Keys: []string{"k"}}), "k")
		assert.Equal(t, team, name)
	}
}

// TestManyKeysAreDistinct checks that 10,000 keys are each found with the right team.
func TestManyKeysAreDistinct(t *testing.T) {
	var teams []access.Team
	for i := range 100 {
		team := access.Team{Name: fmt.Sprintf("team-%d", i)}
		for j := range 100 {
			team.Keys = append(team.Keys, fmt.Sprintf("key-%d-%d", i, j))
		}
		teams = append(teams, team)
	}
	tbl := table(t, teams...)
	n, keys := tbl.Counts()
	assert.Assert(t, n == 100 && keys == 10000)
	for _, team := range teams {
		for _, key := range team.Keys {
			name, _ := find(tbl, key)
			assert.Equal(t, name, team.Name)
		}
	}
}

// TestBearerToken checks which values of the Authorization header are accepted.
func TestBearerToken(t *testing.T) {
	cases := []struct {
		values []string
		key    string
		err    error
	}{
		{nil, "", access.ErrNoKey},
		{[]string{"Bearer abc"}, "abc", nil},
		{[]string{"bearer abc"}, "abc", nil},
		{[]string{"BEARER   abc"}, "abc", nil},
		{[]string{"Bearer a.b-c_d~e+f/g=="}, "a.b-c_d~e+f/g==", nil},
		{[]string{""}, "", access.ErrMalformed},
		{[]string{"Bearer"}, "", access.ErrMalformed},
		{[]string{"Bearer "}, "", access.ErrMalformed},
		{[]string{"Bearer   "}, "", access.ErrMalformed},
		{[]string{"Bearerabc"}, "", access.ErrMalformed},
		{[]string{"Basic abc"}, "", access.ErrMalformed},
		{[]string{"abc"}, "", access.ErrMalformed},
		{[]string{"Bearer a b"}, "", access.ErrMalformed},
		{[]string{"Bearer a\tb"}, "", access.ErrMalformed},
		{[]string{"Bearer \u00e9"}, "", access.ErrMalformed},
		{[]string{"Bearer a", "Bearer a"}, "", access.ErrMalformed},
		{[]string{"Bearer " + strings.Repeat("a", 513)}, strings.Repeat("a", 513), nil},
		{[]string{"Bearer " + strings.Repeat("a", 1<<16)}, strings.Repeat("a", 1<<16), nil},
	}
	for _, c := range cases {
		key, err := access.BearerToken(http.Header{"Authorization": c.values})
		assert.Equal(t, key, c.key, "%.40q", c.values)
		assert.Equal(t, err, c.err, "%.40q", c.values)
	}
}

// TestDecide checks that an unknown key is denied only once it is certain that no team holds it.
func TestDecide(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	const within = 2 * time.Second
	cases := []struct {
		state   access.KeyState
		ago     time.Duration
		inTouch bool
		want    access.Verdict
	}{
		{access.Valid, 0, false, access.Admit},
		{access.Revoked, 0, true, access.Deny},
		{access.Revoked, 0, false, access.Deny},
		{access.Unusable, 0, true, access.Deny},
		{access.Unusable, 0, false, access.Deny},
		{access.Unknown, 0, true, access.RetryLater},
		{access.Unknown, within - 1, true, access.RetryLater},
		{access.Unknown, within, true, access.Deny},
		{access.Unknown, time.Hour, false, access.RetryLater},
	}
	for i, c := range cases {
		assert.Equal(t, access.Decide(c.state, now.Add(-c.ago), within, c.inTouch, now), c.want, "case %d", i)
	}
}

// TestUnknownKeysAreBounded checks that the time at which an unknown key was first sent is
// remembered, and is forgotten once too many unknown keys are sent.
func TestUnknownKeysAreBounded(t *testing.T) {
	var d access.UnknownKeys
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	first := access.DigestOf("first")
	assert.Equal(t, d.FirstSeen(first, now), now)
	assert.Equal(t, d.FirstSeen(first, now.Add(time.Second)), now)
	for i := range 10000 {
		d.FirstSeen(access.DigestOf(fmt.Sprint(i)), now)
	}
	assert.Equal(t, d.FirstSeen(first, now.Add(time.Minute)), now.Add(time.Minute), "the key is forgotten after thousands of others")
}

// TestDigestDoesNotRevealKey checks that a formatted digest does not contain the key.
func TestDigestDoesNotRevealKey(t *testing.T) {
	d := access.DigestOf("key-of-medina")
	assert.Equal(t, len(d.String()), 8)
	assert.Assert(t, !strings.Contains(fmt.Sprintf("%v %+v %x", d, d, d), "key"))
}

// FuzzBearerToken checks that an accepted key has no spaces and no control characters.
func FuzzBearerToken(f *testing.F) {
	f.Add("Bearer abc", "")
	f.Add("bearer \x00", "Basic a")
	f.Fuzz(func(t *testing.T, one, two string) {
		h := http.Header{"Authorization": {one}}
		if two != "" {
			h.Add("Authorization", two)
		}
		key, err := access.BearerToken(h)
		if (err == nil) != (key != "") || strings.ContainsAny(key, " \t\r\n\x00") || two != "" && err == nil {
			t.Fatalf("%q %v", key, err)
		}
	})
}

// BenchmarkFind measures the look-up of a key among 10,000: 0.3 us, most of it for the digest.
func BenchmarkFind(b *testing.B) {
	team := access.Team{Name: "a"}
	for i := range 10000 {
		team.Keys = append(team.Keys, fmt.Sprintf("key-%d", i))
	}
	tbl := table(b, team)
	for b.Loop() {
		tbl.Find(access.DigestOf("key-5000"))
	}
}
