package server

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/lotuswing/lotuswing/coord/retry"
	"github.com/lotuswing/lotuswing/coord/urgency"
)

const (
	// firstWait is how long callers wait for the first configuration of a balancer that has just
	// started, rather than being refused.
	firstWait = 300 * time.Millisecond
	// orderedFirstWait is the same where requests are ordered by urgency: callers that are refused
	// return together, while others that come meanwhile are served.
	orderedFirstWait = time.Second
	// readyPoll is the pause between two checks whether requests can be routed.
	readyPoll = 2 * time.Millisecond
)

// serveFront serves callers as soon as requests can be routed or wait for that in awaitReady.
// Connections that come before that wait in the listener's queue.
func (s *Server) serveFront() {
	if s.direct != nil {
		go s.watchReady()
		s.waitToServe()
	}
	s.serveUntilClosed(s.front, s.frontL)
}

// waitToServe waits until requests can be routed or wait in awaitReady, or until a planned stop begins,
// at most until firstWait after the start.
func (s *Server) waitToServe() {
	for time.Since(s.startedAt) < firstWait && !s.isReady() && !s.holdsAtStart() && !s.isStopping() {
		time.Sleep(readyPoll)
	}
}

// watchReady closes s.routable once requests can be routed. It ends after orderedFirstWait.
func (s *Server) watchReady() {
	for time.Since(s.startedAt) < orderedFirstWait {
		if ok, _ := s.direct.Ready(); ok {
			close(s.routable)
			return
		}
		time.Sleep(readyPoll)
	}
}

// isReady reports whether requests can be routed.
func (s *Server) isReady() bool {
	ok, _ := s.direct.Ready()
	return ok
}

// holdsAtStart reports whether requests that come before the first configuration wait for it for up
// to orderedFirstWait after the start of the process. They are read then, since callers give up
// attempts that are not. The settings decide or, as long as there is no configuration, what the
// registrations of relays say.
func (s *Server) holdsAtStart() bool {
	switch s.cfg.Settings.Overload.Order {
	case urgency.On:
		return true
	case urgency.Auto:
		return s.relays != nil && s.relays.RegisteredByUrgency()
	}
	return false
}

// awaitReady waits for the first configuration, if requests are held at the start, and reports
// whether it has come.
func (s *Server) awaitReady(ctx context.Context) bool {
	remaining := orderedFirstWait - time.Since(s.startedAt)
	if remaining <= 0 || !s.holdsAtStart() {
		return false
	}
	timer := time.NewTimer(remaining)
	defer timer.Stop()
	select {
	case <-s.routable:
		return true
	case <-timer.C:
	case <-s.stopping:
		return isClosed(s.routable)
	case <-ctx.Done():
	}
	return false
}

// defaultNotReadyRetryAfter is the Retry-After of a balancer without a configuration where requests
// are not held at the start.
const defaultNotReadyRetryAfter = time.Second

// notReadyRetryAfter returns the Retry-After of a request that came before the first configuration.
func (s *Server) notReadyRetryAfter() time.Duration {
	if !s.holdsAtStart() {
		return defaultNotReadyRetryAfter
	}
	return retry.DelayUntilReady(time.Since(s.startedAt), rand.Float64())
}
