package server

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/lotuswing/lotuswing/coord/drain"
	"github.com/lotuswing/lotuswing/settings"
	"github.com/rcrowley/go-metrics"
)

// ErrCut means that the end of a planned stop came before that of all that callers had open.
var ErrCut = errors.New("server: the stop ended before all requests and sessions")

// stoppingBalancer is what a planned stop needs of the balancer.
type stoppingBalancer interface {
	Stop(plan drain.Plan)
	CutAttempts() int
	InFlight() int64
	WaitUpgraded()
}

// stoppingFront is what a planned stop needs of the callers' server.
type stoppingFront interface {
	BeginStop()
	Shutdown(ctx context.Context) error
	Close() error
	Connections() int
}

// Stop is the planned stop, which was asked for at began. It follows one drain.Plan, made of the settings
// that are in force now. It returns how many requests were given up or closed, and ErrCut if there were any or the end of the
// plan or of ctx came before that of all that callers had open.
func (s *Server) Stop(ctx context.Context, began time.Time) (cut int64, err error) {
	times := s.stopTimes()
	steps := &stopOf{server: s, balancer: s.balancer, front: s.front, began: began}
	stop := newPlannedStop(steps, times, s.suspended.Check, began)
	s.stop.Store(stop)
	close(s.stopping)
	steps.front.BeginStop()
	s.cfg.Log.Info("stop begins", "in_flight", s.balancer.InFlight(), "connections", s.front.Connections())
	drained := stop.run(ctx)
	cut = stop.cut()
	if !drained || cut > 0 {
		err = ErrCut
	}
	metrics.GetOrRegisterCounter("stop_cut", s.metrics).Inc(cut)
	s.close(closeWait(stop.plan.Began().Add(times.Grace), times, time.Now()))
	return cut, err
}

// SetStop takes settings into force for the next planned stop. One that runs keeps its own.
func (s *Server) SetStop(next settings.Stop) { s.stopSettings.Store(&next) }

// stopTimes returns the settings in force.
func (s *Server) stopTimes() drain.Times {
	if changed := s.stopSettings.Load(); changed != nil {
		return changed.Times()
	}
	return s.cfg.Settings.Stop.Times()
}

// stopOf are the steps of the planned stop of a server.
type stopOf struct {
	server   *Server
	balancer stoppingBalancer
	front    stoppingFront
	began    time.Time
	drained  atomic.Bool
}

// SetPlan implements stopSteps.
func (o *stopOf) SetPlan(plan drain.Plan) { o.balancer.Stop(plan) }

// HandOver implements stopSteps.
func (o *stopOf) HandOver(ctx context.Context) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		o.server.chooser.HandOver(ctx)
		took := time.Since(o.began)
		if ctx.Err() != nil {
			o.server.cfg.Log.Warn("duties not handed over", "after", took)
			return
		}
		metrics.GetOrRegisterGauge("stop_handover_ms", o.server.metrics).Update(took.Milliseconds())
		o.server.cfg.Log.Info("duties handed over", "took", took)
	}()
	return done
}

// DrainCarried implements stopSteps.
func (o *stopOf) DrainCarried(ctx context.Context) <-chan struct{} { return o.server.drainCarried(ctx) }

// CloseListener implements stopSteps.
func (o *stopOf) CloseListener(ctx context.Context) <-chan struct{} {
	o.log("stop closes the listener")
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := o.front.Shutdown(ctx); err != nil {
			o.server.cfg.Log.Debug("callers' server not shut down", "error", err)
			if ctx.Err() != nil {
				return
			}
		}
		o.drained.Store(o.waitSessions(ctx))
	}()
	return done
}

// waitSessions waits for upgraded connections, which Shutdown does not know, and reports whether they
// have ended.
func (o *stopOf) waitSessions(ctx context.Context) bool {
	done := make(chan struct{})
	go func() {
		o.balancer.WaitUpgraded()
		close(done)
	}()
	select {
	case <-done:
		return true
	case <-ctx.Done():
		return awaitAll(time.Millisecond, done) // with no session it ends at once
	}
}

// Drained implements stopSteps.
func (o *stopOf) Drained() bool { return o.drained.Load() }

// CutAttempts implements stopSteps.
func (o *stopOf) CutAttempts() int {
	o.log("stop gives up attempts")
	return o.balancer.CutAttempts()
}

// CloseAll implements stopSteps.
func (o *stopOf) CloseAll() int64 {
	count := o.balancer.InFlight()
	o.server.cfg.Log.Error("stop cuts requests", "in_flight", count, "connections", o.front.Connections(), "after", time.Since(o.began))
	_ = o.front.Close() // what is still open is cut, whatever it says
	return count
}

func (o *stopOf) log(step string) {
	o.server.cfg.Log.Info(step, "in_flight", o.balancer.InFlight(), "connections", o.front.Connections(), "after", time.Since(o.began))
}
