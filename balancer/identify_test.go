package balancer_test

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/lotuswing/lotuswing/access"
	"github.com/lotuswing/lotuswing/balancer"
	"github.com/lotuswing/lotuswing/coord/quota"
	"github.com/lotuswing/lotuswing/internal/rawendpoint"
	"github.com/lotuswing/lotuswing/upstream"
	"gotest.tools/v3/assert"
)

// fakeTeams is a configuration of teams that can change.
type fakeTeams struct {
	mu    sync.Mutex
	table *access.Table
	deaf  bool // hears of no changes
}

func (f *fakeTeams) Teams() *access.Table {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.table
}

func (f *fakeTeams) InTouch(time.Time) bool { return !f.deaf }

// set brings another version into force.
func (f *fakeTeams) set(t assert.TestingT, teams ...access.Team) {
	table, err := access.NewTable(teams)
	assert.NilError(t, err)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.table = table.After(f.table)
}

// fakeQuotas lets a number of requests through.
type fakeQuotas struct {
	mu       sync.Mutex
	left     int
	taken    []string
	repeated []string
	back     []string
}

func (f *fakeQuotas) Await(context.Context, string, quota.Limit) {}

func (f *fakeQuotas) Take(team string, _ quota.Limit, _ time.Time) (bool, time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.left == 0 {
		return false, 1500 * time.Millisecond
	}
	f.left--
	f.taken = append(f.taken, team)
	return true, 0
}

func (f *fakeQuotas) Repeat(team string, _ time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.repeated = append(f.repeated, team)
}

func (f *fakeQuotas) Return(team string, _ time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.left++
	f.back = append(f.back, team)
}

func (f *fakeQuotas) returned() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.back)
}

const keysWithin = 300 * time.Millisecond

// teamBench is a balancer whose configuration has teams.
func teamBench(t cleaner, endpoints int) (*bench, *fakeTeams, *fakeQuotas) {
	teams, quotas := &fakeTeams{}, &fakeQuotas{left: 1000}
	teams.set(t, access.Team{Name: "medina", Keys: []string{"key-m"}, Quota: quota.Limit{Rate: 1, Burst: 1}}, access.Team{Name: "tribunal", Keys: []string{"key-t"}})
	b := newBenchWith(t, endpoints, func(c *balancer.Config) {
		c.Access, c.Quotas, c.KeysWithin = teams, quotas, keysWithin
	})
	return b, teams, quotas
}

func bearer(key string) http.Header { return http.Header{"Authorization": {"Bearer " + key}} }

// TestKeyStopsHere: the endpoint hears the team's name, whatever the caller says, and never
// the key.
func TestKeyStopsHere(t *testing.T) {
	b, _, _ := teamBench(t, 1)
	header := bearer("key-m")
	header.Set(upstream.TeamHeader, "tribunal")
	got := b.call(t, "GET", "/read", "k", "", header)
	assert.Equal(t, got.status, http.StatusOK)
	sent := b.endpoints[0].Header("k")
	assert.Equal(t, sent.Get(upstream.TeamHeader), "medina")
	assert.Equal(t, len(sent.Values(upstream.TeamHeader)), 1)
	assert.Equal(t, sent.Get("Authorization"), "")
}

// TestWithoutTeamsHeadersPass: a configuration without teams takes nothing away.
func TestWithoutTeamsHeadersPass(t *testing.T) {
	b := newBench(t, 1)
	b.call(t, "GET", "/read", "k", "", bearer("key-m"))
	assert.Equal(t, b.endpoints[0].Header("k").Get("Authorization"), "Bearer key-m")
}

// TestMalformedKeysAreRefused at once, and nothing is sent on.
func TestMalformedKeysAreRefused(t *testing.T) {
	b, _, _ := teamBench(t, 1)
	for _, values := range [][]string{nil, {""}, {"Basic abc"}, {"Bearer"}, {"Bearer key-m", "Bearer key-m"}, {"Bearer key-m x"}} {
		got := b.call(t, "GET", "/read", "k", "", http.Header{"Authorization": values})
		assert.Equal(t, got.status, http.StatusUnauthorized, "%q", values)
		assert.Equal(t, got.reason, "LW1007", "%q", values)
		assert.Equal(t, got.verdict, "not-run", "%q", values)
	}
	assert.Equal(t, b.ran("k"), 0)
}

// TestUnknownKeyMayBeNew: it is told to come back until every balancer knows of a key that
// was added, and is refused for good then.
func TestUnknownKeyMayBeNew(t *testing.T) {
	b, teams, _ := teamBench(t, 1)
	got := b.call(t, "GET", "/read", "k", "", bearer("new"))
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assert.Equal(t, got.reason, "LW1008")
	assert.Assert(t, got.retry != "")
	wrong := b.call(t, "GET", "/read", "k", "", bearer("wrong"))
	assert.Equal(t, wrong.reason, "LW1008")
	teams.set(t, access.Team{Name: "medina", Keys: []string{"key-m", "new"}})
	assert.Equal(t, b.call(t, "GET", "/read", "k", "", bearer("new")).status, http.StatusOK)
	time.Sleep(keysWithin)
	assert.Equal(t, b.call(t, "GET", "/read", "k", "", bearer("wrong")).status, http.StatusUnauthorized)
	teams.deaf = true
	assert.Equal(t, b.call(t, "GET", "/read", "k", "", bearer("wrong")).reason, "LW1008", "a balancer that hears nothing cannot tell")
}

// TestWithdrawnKeyIsRefusedWhileWaiting: a request that waited for room is not sent once its
// key is taken away, and neither is the next one.
func TestWithdrawnKeyIsRefusedWhileWaiting(t *testing.T) {
	b, teams, quotas := teamBench(t, 1)
	b.chooser.during = func(int) {
		teams.set(t, access.Team{Name: "medina", Keys: []string{"other"}, Quota: quota.Limit{Rate: 1, Burst: 1}})
	}
	got := b.call(t, "GET", "/read", "k", "", bearer("key-m"))
	assert.Equal(t, got.status, http.StatusUnauthorized)
	assert.Equal(t, b.ran("k"), 0)
	assert.Equal(t, quotas.returned(), 1, "what was not sent is put back")
	assert.Equal(t, b.call(t, "GET", "/read", "k", "", bearer("key-m")).status, http.StatusUnauthorized)
}

// TestQuotaIsRefusedAtOnce with when to come back; a team without one is not asked.
func TestQuotaIsRefusedAtOnce(t *testing.T) {
	b, _, quotas := teamBench(t, 1)
	quotas.left = 1
	assert.Equal(t, b.call(t, "GET", "/read", "k", "", bearer("key-m")).status, http.StatusOK)
	got := b.call(t, "POST", "/once", "k2", "x", bearer("key-m"))
	assert.Equal(t, got.status, http.StatusTooManyRequests)
	assert.Equal(t, got.reason, "LW2011")
	assert.Equal(t, got.verdict, "not-run")
	assert.Equal(t, got.retry, "2")
	assert.Equal(t, b.ran("k2"), 0)
	assert.Equal(t, b.call(t, "POST", "/once", "k3", "x", bearer("key-t")).status, http.StatusOK)
	assert.DeepEqual(t, quotas.taken, []string{"medina"})
}

// TestRepeatsCount: a request that is sent once more, after an attempt that may have run, has
// its endpoints run two.
func TestRepeatsCount(t *testing.T) {
	b, _, quotas := teamBench(t, 2)
	b.endpoints[0].Set(rawendpoint.CloseAfterRead)
	assert.Equal(t, b.call(t, "GET", "/read", "k", "", bearer("key-m")).status, http.StatusOK)
	assert.DeepEqual(t, quotas.repeated, []string{"medina"})
	b.endpoints[0].Set(rawendpoint.AnswerNotRun)
	assert.Equal(t, b.call(t, "GET", "/read", "k", "", bearer("key-m")).status, http.StatusOK)
	assert.Equal(t, len(quotas.repeated), 1, "what did not run does not count")
}

// TestQuotaIsPutBack where no endpoint ran the request, and only there.
func TestQuotaIsPutBack(t *testing.T) {
	b, _, quotas := teamBench(t, 1)
	b.endpoints[0].Set(rawendpoint.AnswerNotRun)
	assert.Equal(t, b.call(t, "POST", "/once", "k", "x", bearer("key-m")).status, http.StatusServiceUnavailable)
	assert.Equal(t, quotas.returned(), 1)
	b.endpoints[0].Set(rawendpoint.CloseAfterRead)
	assert.Equal(t, b.call(t, "POST", "/once", "k", "x", bearer("key-m")).status, http.StatusBadGateway)
	assert.Equal(t, quotas.returned(), 1)
}
