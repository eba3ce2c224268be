package server

import (
	"time"

	"github.com/lotuswing/lotuswing/coord/drain"
	"github.com/rcrowley/go-metrics"
)

// StopStatus is the state of a planned stop. Only Phase, InFlight and Connections are set where none has
// begun.
type StopStatus struct {
	Phase        string
	Since        time.Duration // since it began, by the plan: what the VM was suspended counts
	EndsIn       time.Duration // until what is open is closed; negative afterwards
	InFlight     int64
	Connections  int           // of callers
	HandedOver   bool          // duties, in time
	HandOverTook time.Duration // 0 until they are handed over
	GivenUp      int64         // attempts
	Cut          int64         // requests that were given up or closed
}

// stopStatus returns the state of the planned stop.
func (s *Server) stopStatus(now time.Time) StopStatus {
	st := StopStatus{Phase: drain.Running.String()}
	if stop := s.stop.Load(); stop != nil {
		st = stop.status(now)
	}
	st.InFlight, st.Connections = s.balancer.InFlight(), s.front.Connections()
	return st
}

// updateStopMetrics brings the gauges of the stop up to date.
func (s *Server) updateStopMetrics(now time.Time) {
	phase := drain.Running
	if stop := s.stop.Load(); stop != nil {
		phase = stop.phaseAt(now)
	}
	metrics.GetOrRegisterGauge("stop_phase", s.metrics).Update(int64(phase))
	metrics.GetOrRegisterCounter("stop_cut", s.metrics)
	metrics.GetOrRegisterGauge("stop_handover_ms", s.metrics)
}

// phaseAt returns the phase: that of the plan, or a later one after a second signal.
func (p *plannedStop) phaseAt(now time.Time) drain.Phase {
	p.mu.Lock()
	defer p.mu.Unlock()
	return max(p.phase, p.plan.Phase(now))
}

// status returns what the stop itself knows of its state.
func (p *plannedStop) status(now time.Time) StopStatus {
	phase, cut := p.phaseAt(now), p.cut()
	p.mu.Lock()
	defer p.mu.Unlock()
	return StopStatus{
		Phase: phase.String(), Since: now.Sub(p.plan.Began()), EndsIn: p.plan.EndsAt().Sub(now),
		HandedOver: p.handedOver, HandOverTook: p.handOverTook, GivenUp: p.givenUp, Cut: cut,
	}
}

// Stopping reports whether a planned stop has begun.
func (st StopStatus) Stopping() bool { return st.Phase != drain.Running.String() }
