package server

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/pprof"
	"time"

	"github.com/go-kit/kit/endpoint"
	kithttp "github.com/go-kit/kit/transport/http"
	"github.com/lotuswing/lotuswing/direct"
	"github.com/lotuswing/lotuswing/directory"
	"github.com/lotuswing/lotuswing/node"
	"github.com/lotuswing/lotuswing/relay"
	"github.com/lotuswing/lotuswing/telemetry"
	"github.com/rcrowley/go-metrics"
)

// health is the answer of /livez and /readyz.
type health struct {
	OK  bool   `json:"ok"`
	Why string `json:"why,omitempty"`
}

// adminHandler serves operators and the platform's balancer.
func (s *Server) adminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /livez", kitHandler(s.live))
	mux.Handle("GET /readyz", kitHandler(s.ready))
	mux.Handle("GET /status", kitHandler(s.status))
	mux.HandleFunc("GET /metrics", s.writeMetrics)
	mux.HandleFunc("GET /trace", s.trace)
	s.addQuarantine(mux)
	s.addTeams(mux)
	s.addLimits(mux)
	s.addWarmups(mux)
	s.addSaid(mux)
	s.addQueues(mux)
	s.addRollouts(mux)
	s.addPaths(mux)
	mux.HandleFunc("/debug/pprof/", pprof.Index)
	mux.HandleFunc("/debug/pprof/cmdline", pprof.Cmdline)
	mux.HandleFunc("/debug/pprof/profile", pprof.Profile)
	mux.HandleFunc("/debug/pprof/symbol", pprof.Symbol)
	mux.HandleFunc("/debug/pprof/trace", pprof.Trace)
	return mux
}

func kitHandler(e endpoint.Endpoint) http.Handler {
	decode := func(context.Context, *http.Request) (any, error) { return nil, nil }
	return kithttp.NewServer(e, decode, encode)
}

func encode(_ context.Context, w http.ResponseWriter, response any) error {
	w.Header().Set("Content-Type", "application/json")
	if h, ok := response.(health); ok && !h.OK {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	return json.NewEncoder(w).Encode(response)
}

func (s *Server) live(context.Context, any) (any, error) { return health{OK: true}, nil }

func (s *Server) ready(context.Context, any) (any, error) {
	if s.isStopping() {
		return health{Why: "planned stop: " + s.stopStatus(time.Now()).Phase}, nil
	}
	if s.noneReached(time.Now()) {
		return health{Why: "no endpoint is reached"}, nil
	}
	if s.direct != nil && s.direct.Stuck() {
		return health{Why: "no endpoint can be chosen"}, nil
	}
	ok, why := s.chooser.Ready()
	return health{OK: ok, Why: why}, nil
}

// Status is the answer of /status.
type Status struct {
	node.Status
	InFlight int64
	Stopping bool
	Stop     StopStatus
}

// DirectStatus is the answer of /status of a balancer that chooses on its own.
type DirectStatus struct {
	direct.Status
	Copy     relay.Status // of the store; zero where no changes are handed on
	InFlight int64
	Stopping bool
	Stop     StopStatus
	Store    directory.Status
}

func (s *Server) status(context.Context, any) (any, error) {
	if s.direct != nil {
		st := DirectStatus{Status: s.direct.Status(), InFlight: s.balancer.InFlight(), Stopping: s.isStopping(), Stop: s.stopStatus(time.Now())}
		st.Store = s.follower.Status(time.Now())
		if s.relays != nil {
			st.Copy = s.relays.Status(time.Now())
		}
		return st, nil
	}
	return Status{Status: s.node.Status(), InFlight: s.balancer.InFlight(), Stopping: s.isStopping(), Stop: s.stopStatus(time.Now())}, nil
}

// isStopping reports whether a planned stop has begun.
func (s *Server) isStopping() bool {
	select {
	case <-s.stopping:
		return true
	default:
		return false
	}
}

func (s *Server) writeMetrics(w http.ResponseWriter, _ *http.Request) {
	metrics.GetOrRegisterGauge("requests_in_flight", s.metrics).Update(s.balancer.InFlight())
	s.updateConnectionMetrics()
	metrics.GetOrRegisterGauge("stopping", s.metrics).Update(gaugeOf(s.isStopping()))
	s.updateStopMetrics(time.Now())
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	if s.follower != nil {
		metrics.GetOrRegisterGauge("store_calls", s.metrics).Update(s.follower.Calls())
		metrics.GetOrRegisterGauge("following_store", s.metrics).Update(gaugeOf(s.follower.Active()))
		st := s.follower.Status(time.Now())
		metrics.GetOrRegisterGauge("store_era", s.metrics).Update(int64(s.follower.Era()))
		metrics.GetOrRegisterGauge("store_rereads", s.metrics).Update(st.Rereads)
		metrics.GetOrRegisterGauge("store_unconfirmed_ms", s.metrics).Update(st.Age.Milliseconds())
		metrics.GetOrRegisterGauge("store_holding", s.metrics).Update(gaugeOf(st.Holding))
		metrics.GetOrRegisterGauge("configuration_unusable_parts", s.metrics).Update(int64(st.Unusable))
		metrics.GetOrRegisterGauge("store_lost", s.metrics).Update(gaugeOf(s.follower.Lost()))
	}
	if s.directory != nil {
		metrics.GetOrRegisterGauge("evacuated_zones", s.metrics).Update(int64(len(s.directory.Snapshot().Evacuated)))
	}
	if s.direct != nil {
		metrics.GetOrRegisterGauge("endpoints_backing_off", s.metrics).Update(int64(s.direct.BackingOffCount(time.Now())))
		metrics.GetOrRegisterGauge("endpoints_leaving", s.metrics).Update(int64(len(s.directory.Leaving())))
	}
	s.updateQueueMetrics(time.Now())
	s.updatePathMetrics(time.Now())
	if s.limits != nil {
		metrics.GetOrRegisterGauge("limited_endpoints", s.metrics).Update(int64(s.limits.Limited(time.Now())))
	}
	if s.relays != nil {
		st := s.relays.Status(time.Now())
		metrics.GetOrRegisterGauge("first_copy_ms", s.metrics).Update(st.FirstAfter.Milliseconds())
		metrics.GetOrRegisterGauge("copy_age_ms", s.metrics).Update(st.Age.Milliseconds())
	}
	if s.cfg.Requests != nil {
		skipped := s.cfg.Requests.Skipped()
		metrics.GetOrRegisterGauge(`log_skipped{outcome="succeeded"}`, s.metrics).Update(skipped.Succeeded)
		metrics.GetOrRegisterGauge(`log_skipped{outcome="failed"}`, s.metrics).Update(skipped.Failed)
	}
	telemetry.WritePrometheus(w, s.metrics)
	s.latency.Write(w)
}

// updateConnectionMetrics sets the gauges of callers' connections.
func (s *Server) updateConnectionMetrics() {
	n := s.front.Counts()
	for state, count := range map[string]int{"idle": n.Idle, "in-service": n.InService, "sealed": n.Sealed, "opaque": n.Opaque, "http2": n.HTTP2} {
		metrics.GetOrRegisterGauge(fmt.Sprintf("caller_connections{state=%q}", state), s.metrics).Update(int64(count))
	}
}

// gaugeOf is 1 for true and 0 for false.
func gaugeOf(b bool) int64 {
	if b {
		return 1
	}
	return 0
}

// longestTrace bounds the recording of a trace.
const longestTrace = 10 * time.Minute

// trace records the decisions about a service, for "lotusctl replay".
func (s *Server) trace(w http.ResponseWriter, r *http.Request) {
	span, err := time.ParseDuration(r.URL.Query().Get("for"))
	if err != nil || span <= 0 || span > longestTrace {
		http.Error(w, "for: a duration of at most 10m belongs here", http.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), span)
	defer cancel()
	if s.node == nil {
		http.Error(w, "this balancer chooses on its own and keeps no ledger to record", http.StatusNotImplemented)
		return
	}
	if err := s.node.Record(ctx, r.URL.Query().Get("service"), w); err != nil {
		s.cfg.Log.Warn("trace not recorded", "error", err)
		http.Error(w, err.Error(), http.StatusConflict)
	}
}
