package soak

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/lotuswing/lotuswing/access"
	"github.com/lotuswing/lotuswing/platform/platformtest"
	"gotest.tools/v3/assert"
)

// TestPlantedFaultsOfTeamsAreCaught: what endpoints ran beyond a quota, with a key, for another team or
// long after a key was taken away, and a key that is held and was not known.
func TestPlantedFaultsOfTeamsAreCaught(t *testing.T) {
	const allowed = 26 // of the team "small": (1 x 5 + 1) x 1.1 + 20
	for name, c := range map[string]struct {
		team      string
		requests  int
		named     string // team that the balancer names; empty for the right one
		keyed     bool   // the balancer passes the key on
		after     time.Duration
		disturbed bool
		status    int
		want      Promise
	}{
		"within the quota":                      {team: "small", requests: allowed},
		"beyond the quota":                      {team: "small", requests: allowed + 1, want: QuotasHold},
		"no quota":                              {team: commonTeam, requests: 10 * allowed},
		"a key at an endpoint":                  {team: "small", requests: 1, keyed: true, want: KeysStay},
		"named as another team":                 {team: "small", requests: 1, named: "busy", want: KeysStay},
		"soon after its key was taken away":     {team: "small", requests: 1, after: applyLimit - time.Second},
		"long after its key was taken away":     {team: "small", requests: 1, after: applyLimit + time.Second, want: KeysEnd},
		"long after, at a disturbed balancer":   {team: "small", requests: 1, after: applyLimit + time.Second, disturbed: true},
		"a key that is held and is not known":   {team: commonTeam, requests: 1, status: http.StatusUnauthorized, want: KeysEnd},
		"a key that is not held is not known":   {team: "small", requests: 1, after: time.Second, status: http.StatusUnauthorized},
		"a new key, which may be known nowhere": {team: "small", requests: 1, status: http.StatusServiceUnavailable},
	} {
		synctest.Test(t, func(t *testing.T) {
			l, cal, all := newLedger(), &calendar{}, newTeams()
			e := &endpoint{server: platformtest.NewEndpoint("i-1", platformtest.Behavior{Slots: 1000}), service: serviceAlpha}
			key, began := all.key(c.team), time.Now()
			if c.after > 0 {
				all.ended(all.take(c.team))
				time.Sleep(c.after)
			}
			for i := range c.requests {
				sent := &sentRequest{id: fmt.Sprint("r-", i), method: http.MethodGet, path: readPrefix, repeatable: true, balancer: "vm-0", team: c.team, key: key, at: time.Now()}
				l.begin(sent)
				if c.status == 0 {
					e.server.ServeHTTP(httptest.NewRecorder(), asSent(sent, c.named, c.keyed))
				}
				l.end(sent, c.status, time.Now())
			}
			if c.disturbed {
				cal.disturb("vm-0", began, time.Now())
			}
			l.checkTeams(all, cal, []*endpoint{e})
			assert.Equal(t, promises(l), string(c.want), "%s: %v", name, l.violations)
		})
	}
}

// asSent returns a request as a balancer sends it on.
func asSent(sent *sentRequest, team string, keyed bool) *http.Request {
	r := httptest.NewRequest(sent.method, sent.path, nil)
	r.Header.Set(dialect.RequestID, sent.id)
	if team == "" {
		team = sent.team
	}
	r.Header.Set(dialect.Team, team)
	if keyed {
		r.Header.Set(access.AuthorizationHeader, bearer+sent.key)
	}
	return r
}
