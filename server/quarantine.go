package server

import (
	"context"
	"errors"
	"net/http"

	"github.com/lotuswing/lotuswing/coord/crash"
	"github.com/lotuswing/lotuswing/quarantine"
)

// addQuarantine serves what operators do about requests under which endpoints ended:
//
//	GET /quarantine                        lists them
//	POST /quarantine/FINGERPRINT/release   lets one be tried again
//	POST /quarantine/FINGERPRINT/refuse    has one refused until it is released
func (s *Server) addQuarantine(mux *http.ServeMux) {
	mux.HandleFunc("GET /quarantine", func(w http.ResponseWriter, _ *http.Request) {
		if s.quarantine == nil {
			http.Error(w, errNoQuarantine.Error(), http.StatusNotImplemented)
			return
		}
		s.encode(w, s.quarantine.List())
	})
	mux.HandleFunc("POST /quarantine/{fingerprint}/release", s.decree((*quarantine.Tracker).Release))
	mux.HandleFunc("POST /quarantine/{fingerprint}/refuse", s.decree((*quarantine.Tracker).OrderRefusal))
}

// errNoQuarantine says that a balancer has none.
var errNoQuarantine = errors.New("this balancer does not follow a store that is shared, and keeps no quarantine")

// decree returns a handler that does an operator's will about one request.
func (s *Server) decree(will func(*quarantine.Tracker, context.Context, crash.Fingerprint) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if s.quarantine == nil {
			http.Error(w, errNoQuarantine.Error(), http.StatusNotImplemented)
			return
		}
		err := will(s.quarantine, r.Context(), crash.Fingerprint(r.PathValue("fingerprint")))
		if err == nil {
			w.WriteHeader(http.StatusNoContent)
			return
		}
		s.cfg.Log.Warn("operator's word not carried out", "path", r.URL.Path, "error", err)
		http.Error(w, err.Error(), decreeStatus(err))
	}
}

// decreeStatus returns the status that tells an operator what became of a word: where it is
// none of the known reasons, all balancers have heard it and the store may have it.
func decreeStatus(err error) int {
	switch {
	case errors.Is(err, quarantine.ErrInvalid):
		return http.StatusBadRequest
	case errors.Is(err, quarantine.ErrUnknown):
		return http.StatusNotFound
	case errors.Is(err, quarantine.ErrChanged):
		return http.StatusConflict
	}
	return http.StatusBadGateway
}
