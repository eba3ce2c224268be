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

func find(tbl *access.Table, key string) (string, access.Standing) {
	team, standing := tbl.Find(access.DigestOf(key))
	return team.Name, standing
}

// TestKeyStandingAcrossVersions checks that a withdrawn key stays known as such in all later
// versions, until a team holds it again.
func TestKeyStandingAcrossVersions(t *testing.T) {
	first := table(t, access.Team{Name: "a", Keys: []string{"k1", "k2"}}, access.Team{Name: "b", Keys: []string{"k3"}})
	second := table(t, access.Team{Name: "a", Keys: []string{"k2"}}, access.Team{Name: "b", Keys: []string{"k3", "k4"}}).After(first)
	third := table(t, access.Team{Name: "b", Keys: []string{"k1"}}).After(second)
	cases := []struct {
		tbl      *access.Table
		key      string
		team     string
		standing access.Standing
	}{
		{first, "k1", "a", access.Held},
		{first, "k4", "", access.Unknown},
		{second, "k1", "", access.Withdrawn},
		{second, "k2", "a", access.Held},
		{second, "k4", "b", access.Held},
		{third, "k1", "b", access.Held},
		{third, "k3", "", access.Withdrawn},
		{third, "never", "", access.Unknown},
		{nil, "k1", "", access.Unknown},
	}
	for i, c := range cases {
		team, standing := find(c.tbl, c.key)
		assert.Equal(t, team, c.team, "case %d", i)
		assert.Equal(t, standing, c.standing, "case %d", i)
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
	n, keys := tbl.Len()
	assert.Assert(t, n == 100 && keys == 10000)
	for _, team := range teams {
		for _, key := range team.Keys {
			name, _ := find(tbl, key)
			assert.Equal(t, name, team.Name)
		}
	}
}

// TestBearer checks which values of the Authorization header are accepted.
func TestBearer(t *testing.T) {
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
		key, err := access.Bearer(http.Header{"Authorization": c.values})
		assert.Equal(t, key, c.key, "%.40q", c.values)
		assert.Equal(t, err, c.err, "%.40q", c.values)
	}
}

// TestJudge checks that an unknown key is denied only once it is certain that no team holds it.
func TestJudge(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	const within = 2 * time.Second
	cases := []struct {
		standing access.Standing
		ago      time.Duration
		inTouch  bool
		want     access.Verdict
	}{
		{access.Held, 0, false, access.Admit},
		{access.Withdrawn, 0, true, access.Deny},
		{access.Withdrawn, 0, false, access.Deny},
		{access.Unknown, 0, true, access.ComeBack},
		{access.Unknown, within - 1, true, access.ComeBack},
		{access.Unknown, within, true, access.Deny},
		{access.Unknown, time.Hour, false, access.ComeBack},
	}
	for i, c := range cases {
		assert.Equal(t, access.Judge(c.standing, now.Add(-c.ago), within, c.inTouch, now), c.want, "case %d", i)
	}
}

// TestDoubtsAreBounded checks that the time at which an unknown key was first sent is remembered, and
// is forgotten once too many unknown keys are sent.
func TestDoubtsAreBounded(t *testing.T) {
	var d access.Doubts
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	first := access.DigestOf("first")
	assert.Equal(t, d.Since(first, now), now)
	assert.Equal(t, d.Since(first, now.Add(time.Second)), now)
	for i := range 10000 {
		d.Since(access.DigestOf(fmt.Sprint(i)), now)
	}
	assert.Equal(t, d.Since(first, now.Add(time.Minute)), now.Add(time.Minute), "the key is forgotten after thousands of others")
}

// TestDigestDoesNotRevealKey checks that a formatted digest does not contain the key.
func TestDigestDoesNotRevealKey(t *testing.T) {
	d := access.DigestOf("key-of-medina")
	assert.Equal(t, len(d.String()), 8)
	assert.Assert(t, !strings.Contains(fmt.Sprintf("%v %+v %x", d, d, d), "key"))
}

// FuzzBearer checks that an accepted key has no spaces and no control characters.
func FuzzBearer(f *testing.F) {
	f.Add("Bearer abc", "")
	f.Add("bearer \x00", "Basic a")
	f.Fuzz(func(t *testing.T, one, two string) {
		h := http.Header{"Authorization": {one}}
		if two != "" {
			h.Add("Authorization", two)
		}
		key, err := access.Bearer(h)
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
