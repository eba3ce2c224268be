package server

import (
	"errors"
	"net/http"

	"github.com/lotuswing/lotuswing/rollout"
)

// errNoRollouts says that a balancer carries no roll-outs out.
var errNoRollouts = errors.New("this balancer does not follow a store that is shared, and brings no versions in")

// addRollouts serves what operators do about versions that come in:
//
//	GET /rollouts                  lists them, with the evidence where this balancer decides
//	POST /rollouts/SERVICE/stop    has one rolled back
func (s *Server) addRollouts(mux *http.ServeMux) {
	mux.HandleFunc("GET /rollouts", func(w http.ResponseWriter, _ *http.Request) {
		if s.rollouts == nil {
			http.Error(w, errNoRollouts.Error(), http.StatusNotImplemented)
			return
		}
		s.encode(w, s.rollouts.Statuses())
	})
	mux.HandleFunc("POST /rollouts/{service}/stop", func(w http.ResponseWriter, r *http.Request) {
		if s.rollouts == nil {
			http.Error(w, errNoRollouts.Error(), http.StatusNotImplemented)
			return
		}
		err := s.rollouts.Stop(r.Context(), r.PathValue("service"))
		if err == nil {
			w.WriteHeader(http.StatusNoContent)
			return
		}
		s.cfg.Log.Warn("operator's word not carried out", "path", r.URL.Path, "error", err)
		http.Error(w, err.Error(), rolloutStatus(err))
	})
}

// rolloutStatus returns the status that tells an operator what became of a word: where it is
// none of the known reasons the store may have it.
func rolloutStatus(err error) int {
	switch {
	case errors.Is(err, rollout.ErrNoRollout):
		return http.StatusNotFound
	case errors.Is(err, rollout.ErrChanged):
		return http.StatusConflict
	}
	return http.StatusBadGateway
}
