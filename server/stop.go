package server

import (
	"context"
	"time"

	"github.com/lotuswing/lotuswing/coord/drain"
	"github.com/lotuswing/lotuswing/internal/pause"
)

// Stop is the planned stop: not ready first, then the notice for the
// platform's balancer, then no new connections, and every request in flight
// is served to its end. It returns how many requests were cut because ctx or
// the limit ended first.
func (s *Server) Stop(ctx context.Context) (cut int64, err error) {
	close(s.stopping)
	s.front.BeginStop()
	began := time.Now()
	times := s.cfg.Settings.Stop
	plan := drain.NewPlan(began, drain.Times{Notice: times.Notice, Limit: times.Limit, Grace: times.Grace})
	s.balancer.Stop(plan)
	defer time.AfterFunc(time.Until(plan.CutAt()), func() { s.balancer.CutAttempts() }).Stop()
	s.cfg.Log.Info("stop begins", "in_flight", s.balancer.InFlight())
	stop := s.cfg.Settings.Stop.Within()
	draining, endDrain := context.WithTimeout(ctx, stop.Notice+stop.Limit)
	defer endDrain()
	drained := s.drainCarried(draining)
	s.announce(ctx, stop.Notice)
	s.cfg.Log.Info("stop closes the listener", "in_flight", s.balancer.InFlight(), "connections", s.front.Connections(), "after", time.Since(began))
	limited, cancel := context.WithTimeout(ctx, stop.Limit)
	defer cancel()
	err = s.front.Shutdown(limited)
	if err == nil {
		err = s.waitSessions(limited)
	}
	if err != nil {
		cut = s.balancer.InFlight()
		s.cfg.Log.Error("stop cuts requests", "in_flight", cut, "connections", s.front.Connections(), "after", time.Since(began), "error", err)
		_ = s.front.Close() // what is still open is cut, whatever it says
	}
	<-drained
	s.close()
	return cut, err
}

// announce hands duties over and gives the platform's balancer its notice, both
// at the same time: the process may be killed when its grace has passed, however
// long a store or a peer takes to answer.
func (s *Server) announce(ctx context.Context, notice time.Duration) {
	left := make(chan struct{})
	go func() {
		s.chooser.HandOver(ctx)
		close(left)
	}()
	pause.For(ctx, notice)
	<-left
}

// waitSessions waits for upgraded connections, which Shutdown does not know.
func (s *Server) waitSessions(ctx context.Context) error {
	done := make(chan struct{})
	go func() {
		s.balancer.WaitUpgraded()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Kill ends the process's part at once, as a crash does.
func (s *Server) Kill() {
	_ = s.front.Close() // as a crash, without a word
	s.close()
}

// traceFlushWait bounds the sending of the last spans.
const traceFlushWait = time.Second

// close ends what callers do not see. The listeners are closed whatever they say.
func (s *Server) close() {
	if s.stopDetours != nil {
		s.stopDetours()
	}
	s.chooser.Close()
	_ = s.admin.Close()
	if s.scrapes != nil {
		_ = s.scrapes.Close()
	}
	ctx, cancel := context.WithTimeout(context.Background(), traceFlushWait)
	defer cancel()
	if err := s.tracing.Shutdown(ctx); err != nil {
		s.cfg.Log.Warn("last spans not sent", "error", err)
	}
}
