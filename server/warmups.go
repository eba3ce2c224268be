package server

import (
	"net/http"
	"time"

	"github.com/lotuswing/lotuswing/direct"
	"github.com/lotuswing/lotuswing/warmups"
)

// WarmupStatus is what operators are told of endpoints in warm-up. The field names are also the JSON names.
type WarmupStatus struct {
	Permits   warmups.Status
	Endpoints []direct.WarmupStatus
}

// addWarmups serves what operators ask about endpoints that are warming up:
//
//	GET /warmups    the endpoints that this balancer knows or must assume to be warming up, and the permits
func (s *Server) addWarmups(mux *http.ServeMux) {
	mux.HandleFunc("GET /warmups", func(w http.ResponseWriter, _ *http.Request) { s.encode(w, s.warmupStatus(time.Now())) })
}

// warmupStatus returns the permits and the endpoints in warm-up; empty with homes, which ask for none.
func (s *Server) warmupStatus(now time.Time) WarmupStatus {
	if s.warmups == nil || s.direct == nil {
		return WarmupStatus{}
	}
	return WarmupStatus{Permits: s.warmups.Status(s.cfg.Settings.Zone, now), Endpoints: s.direct.Warmups(now)}
}

// warmupRate returns how many requests a second one endpoint of a service takes while it warms up; 0 if the
// configuration does not say.
func (s *Server) warmupRate(service string) float64 {
	cfg := s.directory.Snapshot().Config
	if cfg == nil {
		return 0
	}
	return cfg.Services[service].WarmupRate
}
