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
	mu           sync.Mutex
	table        *access.Table
	disconnected bool // receives no changes
}

func (f *fakeTeams) Teams() *access.Table {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.table
}

func (f *fakeTeams) ReceivesChanges(time.Time) bool { return !f.disconnected }

// setTeams replaces the teams.
func (f *fakeTeams) setTeams(t assert.TestingT, teams ...access.Team) {
	table, faults := access.NewTable(teams)
	assert.Equal(t, len(faults), 0, "%v", faults)
	f.setTable(table)
}

// setTable replaces the teams by those of a table.
func (f *fakeTeams) setTable(table *access.Table) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.table = table.WithHistory(f.table)
}

// fakeQuotas admits a fixed number of requests.
type fakeQuotas struct {
	mu            sync.Mutex
	left          int
	taken         []string
	repeated      []string
	returnedTeams []string
}

func (f *fakeQuotas) AwaitSnapshot(context.Context, string, quota.Limit) {}

func (f *fakeQuotas) Take(team string, _ quota.Limit, _ quota.Attempt, _ time.Time) (bool, time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.left == 0 {
		return false, 1500 * time.Millisecond
	}
	f.left--
	f.taken = append(f.taken, team)
	return true, 0
}

func (f *fakeQuotas) CountRetry(team string, _ time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.repeated = append(f.repeated, team)
}

func (f *fakeQuotas) Refund(team string, _ time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.left++
	f.returnedTeams = append(f.returnedTeams, team)
}

func (f *fakeQuotas) returned() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.returnedTeams)
}

const keyPropagationTime = 300 * time.Millisecond

// newTeamHarness returns a harness whose configuration has teams.
func newTeamHarness(t testingT, endpoints int) (*harness, *fakeTeams, *fakeQuotas) {
	teams, quotas := &fakeTeams{}, &fakeQuotas{left: 1000}
	teams.setTeams(t, access.Team{Name: "medina", Keys: []string{"key-m"}, Quota: quota.Limit{Rate: 1, Burst: 1}}, access.Team{Name: "tribunal", Keys: []string{"key-t"}})
	b := newHarnessWith(t, endpoints, func(c *balancer.Config) {
		c.Access, c.Quotas, c.KeyPropagationTime = teams, quotas, keyPropagationTime
	})
	return b, teams, quotas
}

func bearer(key string) http.Header { return http.Header{"Authorization": {"Bearer " + key}} }

// TestKeyIsNotForwarded: the endpoint gets the name of the team that holds the key, whatever team
// the caller names, and never the key.
func TestKeyIsNotForwarded(t *testing.T) {
	b, _, _ := newTeamHarness(t, 1)
	header := bearer("key-m")
	header.Set(upstream.TeamHeader, "tribunal")
	got := b.call(t, "GET", "/read", "k", "", header)
	assert.Equal(t, got.status, http.StatusOK)
	sent := b.endpoints[0].Header("k")
	assert.Equal(t, sent.Get(upstream.TeamHeader), "medina")
	assert.Equal(t, len(sent.Values(upstream.TeamHeader)), 1)
	assert.Equal(t, sent.Get("Authorization"), "")
}

// TestAuthorizationIsForwardedWithoutTeams: without teams in the configuration, the Authorization
// header belongs to the endpoint.
func TestAuthorizationIsForwardedWithoutTeams(t *testing.T) {
	b := newHarness(t, 1)
	b.call(t, "GET", "/read", "k", "", bearer("key-m"))
	assert.Equal(t, b.endpoints[0].Header("k").Get("Authorization"), "Bearer key-m")
}

// TestMalformedKeysAreRefused checks that the request is refused at once and not sent.
func TestMalformedKeysAreRefused(t *testing.T) {
	b, _, _ := newTeamHarness(t, 1)
	for _, values := range [][]string{nil, {""}, {"Basic abc"}, {"Bearer"}, {"Bearer key-m", "Bearer key-m"}, {"Bearer key-m x"}} {
		got := b.call(t, "GET", "/read", "k", "", http.Header{"Authorization": values})
		assert.Equal(t, got.status, http.StatusUnauthorized, "%q", values)
		assert.Equal(t, got.reason, "LW1007", "%q", values)
		assert.Equal(t, got.verdict, "not-run", "%q", values)
	}
	assert.Equal(t, b.ran("k"), 0)
}

// TestUnknownKeyIsRetryableAtFirst: an unknown key may be new, so it gets a Retry-After until
// every balancer must know it, and 401 afterwards. A balancer that receives no changes always
// responds with a Retry-After.
func TestUnknownKeyIsRetryableAtFirst(t *testing.T) {
	b, teams, _ := newTeamHarness(t, 1)
	got := b.call(t, "GET", "/read", "k", "", bearer("new"))
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assert.Equal(t, got.reason, "LW1008")
	assert.Assert(t, got.retryAfter != "")
	wrong := b.call(t, "GET", "/read", "k", "", bearer("wrong"))
	assert.Equal(t, wrong.reason, "LW1008")
	teams.setTeams(t, access.Team{Name: "medina", Keys: []string{"key-m", "new"}})
	assert.Equal(t, b.call(t, "GET", "/read", "k", "", bearer("new")).status, http.StatusOK)
	time.Sleep(keyPropagationTime)
	assert.Equal(t, b.call(t, "GET", "/read", "k", "", bearer("wrong")).status, http.StatusUnauthorized)
	teams.disconnected = true
	assert.Equal(t, b.call(t, "GET", "/read", "k", "", bearer("wrong")).reason, "LW1008", "a balancer without changes cannot tell a new key from a wrong one")
}

// TestKeyOfUnusableTeamIsRefused guards against serving a key whose team cannot be used, or answering 401 to it:
// the caller did nothing wrong.
func TestKeyOfUnusableTeamIsRefused(t *testing.T) {
	b, teams, _ := newTeamHarness(t, 1)
	table, faults := access.NewTable([]access.Team{{Name: "medina", Keys: []string{"key-m"}, Fault: "cannot be decoded"}})
	assert.Equal(t, len(faults), 1)
	teams.setTable(table)
	got := b.call(t, "GET", "/read", "k", "", bearer("key-m"))
	assert.Equal(t, got.status, http.StatusServiceUnavailable)
	assert.Equal(t, got.reason, "LW1009")
	assert.Equal(t, got.verdict, "not-run")
	assert.Equal(t, b.ran("k"), 0)
}

// TestKeyWithdrawnDuringAcquireIsRefused: a request that waited for an endpoint is not sent if its
// key was withdrawn meanwhile, and neither is the next one.
func TestKeyWithdrawnDuringAcquireIsRefused(t *testing.T) {
	b, teams, quotas := newTeamHarness(t, 1)
	b.chooser.onAcquire = func(int) {
		teams.setTeams(t, access.Team{Name: "medina", Keys: []string{"other"}, Quota: quota.Limit{Rate: 1, Burst: 1}})
	}
	got := b.call(t, "GET", "/read", "k", "", bearer("key-m"))
	assert.Equal(t, got.status, http.StatusUnauthorized)
	assert.Equal(t, b.ran("k"), 0)
	assert.Equal(t, quotas.returned(), 1, "a request that was not sent is refunded")
	assert.Equal(t, b.call(t, "GET", "/read", "k", "", bearer("key-m")).status, http.StatusUnauthorized)
}

// TestQuotaExceededHasRetryAfter: a request beyond the quota is refused at once with a
// Retry-After. A team without a quota is not charged.
func TestQuotaExceededHasRetryAfter(t *testing.T) {
	b, _, quotas := newTeamHarness(t, 1)
	quotas.left = 1
	assert.Equal(t, b.call(t, "GET", "/read", "k", "", bearer("key-m")).status, http.StatusOK)
	got := b.call(t, "POST", "/once", "k2", "x", bearer("key-m"))
	assert.Equal(t, got.status, http.StatusTooManyRequests)
	assert.Equal(t, got.reason, "LW2011")
	assert.Equal(t, got.verdict, "not-run")
	assert.Equal(t, got.retryAfter, "2")
	assert.Equal(t, b.ran("k2"), 0)
	assert.Equal(t, b.call(t, "POST", "/once", "k3", "x", bearer("key-t")).status, http.StatusOK)
	assert.DeepEqual(t, quotas.taken, []string{"medina"})
}

// TestWeightOfTeam guards against teams that wait in a queue not sharing it by their quotas.
func TestWeightOfTeam(t *testing.T) {
	b, teams, _ := newTeamHarness(t, 1)
	teams.setTeams(t, access.Team{Name: "medina", Keys: []string{"key-m"}, Quota: quota.Limit{Rate: 3, Burst: 1}}, access.Team{Name: "tribunal", Keys: []string{"key-t"}})
	for key, want := range map[string]float64{"key-m": 3, "key-t": 0} {
		b.call(t, "GET", "/read", key, "", bearer(key))
		assert.Equal(t, b.chooser.requested.Weight, want, key)
	}
}

// TestRetriesAreChargedToQuota: a request that is retried after an attempt which may have run is
// charged twice, because endpoints may run it twice.
func TestRetriesAreChargedToQuota(t *testing.T) {
	b, _, quotas := newTeamHarness(t, 2)
	b.endpoints[0].Set(rawendpoint.CloseAfterRead)
	assert.Equal(t, b.call(t, "GET", "/read", "k", "", bearer("key-m")).status, http.StatusOK)
	assert.DeepEqual(t, quotas.repeated, []string{"medina"})
	b.endpoints[0].Set(rawendpoint.AnswerNotRun)
	assert.Equal(t, b.call(t, "GET", "/read", "k", "", bearer("key-m")).status, http.StatusOK)
	assert.Equal(t, len(quotas.repeated), 1, "an attempt that did not run is not charged")
}

// TestQuotaIsRefunded: a request is refunded only if no endpoint ran it or may have run it.
func TestQuotaIsRefunded(t *testing.T) {
	b, _, quotas := newTeamHarness(t, 1)
	b.endpoints[0].Set(rawendpoint.AnswerNotRun)
	assert.Equal(t, b.call(t, "POST", "/once", "k", "x", bearer("key-m")).status, http.StatusServiceUnavailable)
	assert.Equal(t, quotas.returned(), 1)
	b.endpoints[0].Set(rawendpoint.CloseAfterRead)
	assert.Equal(t, b.call(t, "POST", "/once", "k", "x", bearer("key-m")).status, http.StatusBadGateway)
	assert.Equal(t, quotas.returned(), 1)
}
