package server

import (
	"cmp"
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"github.com/lotuswing/lotuswing/access"
	"github.com/lotuswing/lotuswing/coord/quota"
)

// teams is what the request path knows of teams and their keys.
type teams struct{ server *Server }

// Teams returns the teams of the configuration in force; nil where callers need no keys.
func (t teams) Teams() *access.Table { return t.server.teams() }

// ReceivesChanges reports whether this balancer has heard of the store's present state within the
// time after which changes must be in force.
func (t teams) ReceivesChanges(now time.Time) bool {
	s := t.server
	if s.follower.UpToDate(now) {
		return true
	}
	if s.relays == nil {
		return false
	}
	st := s.relays.Status(now)
	return st.Following != "" && st.Age <= s.cfg.Settings.Discovery.ApplyWithin
}

// teams returns the teams of the configuration in force.
func (s *Server) teams() *access.Table {
	cfg := s.directory.Snapshot().Config
	if cfg == nil {
		return nil
	}
	return cfg.Teams
}

// quotaOf returns the quota of a team, as it is configured.
func (s *Server) quotaOf(name string) (quota.Limit, bool) {
	team, ok := s.teams().Team(name)
	return team.Quota, ok
}

// TeamStatus is what operators are told of a team. Its names are the JSON's.
type TeamStatus struct {
	Team     string
	Keys     int
	Priority int
	Limit    quota.Limit
}

// addTeams serves what operators ask about teams:
//
//	GET /teams    the teams of the configuration in force, without their keys
//	GET /quota    what is left of the quotas of teams that have sent anything here
func (s *Server) addTeams(mux *http.ServeMux) {
	mux.HandleFunc("GET /teams", func(w http.ResponseWriter, _ *http.Request) { s.encode(w, s.teamList()) })
	mux.HandleFunc("GET /quota", func(w http.ResponseWriter, _ *http.Request) { s.encode(w, s.quotaList()) })
}

// teamList returns the teams in force by name.
func (s *Server) teamList() []TeamStatus {
	if s.directory == nil {
		return nil
	}
	var list []TeamStatus
	table := s.teams()
	for _, team := range table.Teams() {
		list = append(list, TeamStatus{Team: team.Name, Keys: table.KeyCount(team.Name), Priority: team.Priority, Limit: team.Quota})
	}
	slices.SortFunc(list, func(a, b TeamStatus) int { return cmp.Compare(a.Team, b.Team) })
	return list
}

// quotaList returns what is left of quotas.
func (s *Server) quotaList() []quota.Status {
	if s.fleet == nil {
		return nil
	}
	return s.fleet.Status(time.Now())
}

// encode answers an operator in JSON.
func (s *Server) encode(w http.ResponseWriter, answer any) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(answer); err != nil {
		s.cfg.Log.Debug("answer not sent", "error", err)
	}
}
