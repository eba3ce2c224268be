package server

import (
	"time"

	"github.com/rcrowley/go-metrics"
)

// idleCloser is a source that keeps connections.
type idleCloser interface {
	// CloseIdleConnections closes those that nobody uses.
	CloseIdleConnections()
}

// resume brings what the process believes up to date after its VM was suspended, before
// anything is done with it: connections that rested may have been closed by now, reports
// and copies are older than they look, and what waited for an answer may wait for nothing.
func (s *Server) resume(slept time.Duration) {
	s.cfg.Log.Warn("VM was suspended", "for", slept.String())
	metrics.GetOrRegisterCounter("suspensions", s.metrics).Inc(1)
	s.balancer.CloseIdle()
	if s.direct != nil {
		s.direct.Resume(slept)
	}
	if s.paths != nil {
		s.paths.Resume()
	}
	if s.limits != nil {
		s.limits.Resume()
	}
	if s.warmups != nil {
		s.warmups.Resume()
	}
	if s.follower != nil {
		s.follower.Resume(slept)
	}
	if r, ok := s.cfg.Source.(idleCloser); ok {
		r.CloseIdleConnections()
	}
}
