package access_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/lotuswing/lotuswing/access"
	"gotest.tools/v3/assert"
)

func table(t testing.TB, teams ...access.Team) *access.Table {
	t.Helper()
	tbl, err := access.NewTable(teams)
	assert.NilError(t, err)
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
		{[]string{"Bearer " + strings.Repeat("a", 513)}, "", access.ErrMalformed},
		{[]string{"Bearer " + strings.Repeat("a", 1<<16)}, "", access.ErrMalformed},
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
