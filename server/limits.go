package server

import (
	"net/http"
	"time"

	"github.com/lotuswing/lotuswing/limits"
)

// addLimits serves what operators ask about endpoints that name how many requests a second they
// take:
//
//	GET /limits    the endpoints, what they name, and how much of it is used
func (s *Server) addLimits(mux *http.ServeMux) {
	mux.HandleFunc("GET /limits", func(w http.ResponseWriter, _ *http.Request) { s.encode(w, s.limitList()) })
}

// limitList returns the endpoints that have named a limit; nil with homes, which read none.
func (s *Server) limitList() []limits.Status {
	if s.limits == nil {
		return nil
	}
	return s.limits.List(time.Now())
}
