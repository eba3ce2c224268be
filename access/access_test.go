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
	made, err := access.NewTable(teams)
	assert.NilError(t, err)
	return made
}

func find(made *access.Table, key string) (string, access.Standing) {
	team, standing := made.Find(access.DigestOf(key))
	return team.Name, standing
}

// TestKeysOfVersions: a key that was taken away is known as such, whatever versions follow,
// until a team holds it again.
func TestKeysOfVersions(t *testing.T) {
	first := table(t, access.Team{Name: "a", Keys: []string{"k1", "k2"}}, access.Team{Name: "b", Keys: []string{"k3"}})
	second := table(t, access.Team{Name: "a", Keys: []string{"k2"}}, access.Team{Name: "b", Keys: []string{"k3", "k4"}}).After(first)
	third := table(t, access.Team{Name: "b", Keys: []string{"k1"}}).After(second)
	cases := []struct {
		made     *access.Table
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
		team, standing := find(c.made, c.key)
		assert.Equal(t, team, c.team, "case %d", i)
		assert.Equal(t, standing, c.standing, "case %d", i)
	}
}

// TestThousandsOfKeys are told apart.
func TestThousandsOfKeys(t *testing.T) {
	var teams []access.Team
	for i := range 100 {
		team := access.Team{Name: fmt.Sprintf("team-%d", i)}
		for j := range 100 {
			team.Keys = append(team.Keys, fmt.Sprintf("key-%d-%d", i, j))
		}
		teams = append(teams, team)
	}
	made := table(t, teams...)
	n, keys := made.Len()
	assert.Assert(t, n == 100 && keys == 10000)
	for _, team := range teams {
		for _, key := range team.Keys {
			name, _ := find(made, key)
			assert.Equal(t, name, team.Name)
		}
	}
}

// TestBearer: what a caller may send in the place of a key.
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

// TestJudge: a key that nobody holds is refused for good only once that is certain.
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

// TestDoubtsAreBounded and keep when a key was first sent.
func TestDoubtsAreBounded(t *testing.T) {
	var d access.Doubts
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	first := access.DigestOf("first")
	assert.Equal(t, d.Since(first, now), now)
	assert.Equal(t, d.Since(first, now.Add(time.Second)), now)
	for i := range 10000 {
		d.Since(access.DigestOf(fmt.Sprint(i)), now)
	}
	assert.Equal(t, d.Since(first, now.Add(time.Minute)), now.Add(time.Minute), "who sends thousands is told to come back")
}

// TestDigestShowsNothing of a key.
func TestDigestShowsNothing(t *testing.T) {
	d := access.DigestOf("key-of-medina")
	assert.Equal(t, len(d.String()), 8)
	assert.Assert(t, !strings.Contains(fmt.Sprintf("%v %+v %x", d, d, d), "key"))
}

// FuzzBearer: whatever is sent, a key has no blanks and no control characters.
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

// BenchmarkFind: 0.3 us for a key among 10,000, most of it the digest.
func BenchmarkFind(b *testing.B) {
	team := access.Team{Name: "a"}
	for i := range 10000 {
		team.Keys = append(team.Keys, fmt.Sprintf("key-%d", i))
	}
	made := table(b, team)
	for b.Loop() {
		made.Find(access.DigestOf("key-5000"))
	}
}
