// Package server runs one balancer process: listeners for callers, operators
// and peers (server.go), what chooses endpoints, alone or with peers (chooser.go),
// the admin address (admin.go), the planned stop (stop.go, its schedule in plannedstop.go, its state in
// stopstatus.go) and the end of the process (close.go).
//
// It owns the listeners and the order in which parts start and stop. It relies on
// checked settings.
//
// # Usage
//
//	s, err := server.Start(server.Config{Settings: settings, Log: log, Traces: os.Stderr})
//	...
//	cut, err := s.Stop(ctx, time.Now())
package server

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/lotuswing/lotuswing/balancer"
	"github.com/lotuswing/lotuswing/coord/retry"
	"github.com/lotuswing/lotuswing/detour"
	"github.com/lotuswing/lotuswing/direct"
	"github.com/lotuswing/lotuswing/directory"
	"github.com/lotuswing/lotuswing/fleet"
	"github.com/lotuswing/lotuswing/internal/bootclock"
	"github.com/lotuswing/lotuswing/internal/suspend"
	"github.com/lotuswing/lotuswing/limits"
	"github.com/lotuswing/lotuswing/node"
	"github.com/lotuswing/lotuswing/pipeline"
	"github.com/lotuswing/lotuswing/quarantine"
	"github.com/lotuswing/lotuswing/relay"
	"github.com/lotuswing/lotuswing/rollout"
	"github.com/lotuswing/lotuswing/settings"
	"github.com/lotuswing/lotuswing/telemetry"
	"github.com/lotuswing/lotuswing/warmups"
	"github.com/rcrowley/go-metrics"
)

// Config of a process.
type Config struct {
	Settings settings.Settings
	Log      hclog.Logger
	Traces   io.Writer // of the exporter "stderr"
	// Source of configuration and endpoints; nil for those of peers.
	Source directory.Source
	// Relays says what balancers need that hand on the source's changes; nil
	// where each of them follows the source.
	Relays Relays
	// Requests writes the log lines of requests; nil for none.
	Requests *telemetry.RequestLogger
	// Suspended tells for how long the VM has been suspended; nil for the kernel's word.
	Suspended func() time.Duration
	// Policy towards callers and endpoints; the zero value is the product's.
	Policy balancer.Policy
}

// Relays keeps registrations of balancers and reads the source's records.
type Relays interface {
	relay.Registry
	relay.Decoder
	quarantine.Registry
	rollout.Registry
}

// Server is a running balancer process.
type Server struct {
	cfg        Config
	chooser    chooser
	node       *node.Node           // nil with a Source
	relays     *relay.Group         // nil where no changes are handed on
	direct     *direct.Chooser      // nil without one
	follower   *directory.Follower  // nil without one
	directory  *directory.Directory // nil without a follower
	quarantine *quarantine.Tracker  // nil without relays
	fleet      *fleet.Keeper        // nil without a follower
	limits     *limits.Keeper       // nil without a follower
	warmups    *warmups.Keeper      // nil without a follower
	rollouts   *rollout.Controller  // nil without relays
	peers      *startingPeers       // nil where all connections to endpoints are direct
	paths      *detour.Table        // nil where all connections to endpoints are direct
	carrier    *detour.Server       // nil where no connections are carried
	suspended  *suspend.Detector
	balancer   *balancer.Balancer
	tracing    *telemetry.Tracing
	metrics    metrics.Registry
	latency    *telemetry.Histograms
	front      *pipeline.Server
	admin      *http.Server
	scrapes    *http.Server // nil without a metrics address
	frontL     net.Listener
	adminL     net.Listener
	stopping   chan struct{}
	startedAt  time.Time

	stop         atomic.Pointer[plannedStop]   // nil until one begins
	stopSettings atomic.Pointer[settings.Stop] // nil for those of the start

	stopDetours func() // ends the checks of lost paths; nil where there are none

	routable chan struct{} // closed once requests can be routed, if that is within orderedFirstWait
}

// Start binds all addresses and serves.
func Start(cfg Config) (*Server, error) {
	tracing, err := telemetry.NewTracing(cfg.Settings.Trace, cfg.Traces)
	if err != nil {
		return nil, err
	}
	s := &Server{cfg: cfg, tracing: tracing, metrics: metrics.NewRegistry(), latency: telemetry.NewHistograms(), stopping: make(chan struct{}), startedAt: time.Now(), routable: make(chan struct{})}
	if cfg.Suspended == nil {
		cfg.Suspended = bootclock.Suspended
	}
	s.suspended = suspend.New(cfg.Suspended)
	if s.frontL, err = net.Listen("tcp", cfg.Settings.Listen); err != nil {
		return nil, fmt.Errorf("server: callers' address: %w", err)
	}
	if s.adminL, err = net.Listen("tcp", cfg.Settings.Admin); err != nil {
		return nil, errors.Join(fmt.Errorf("server: admin address: %w", err), s.frontL.Close())
	}
	if err := s.startChooser(); err != nil {
		return nil, errors.Join(err, s.frontL.Close(), s.adminL.Close())
	}
	balancerConfig := balancer.Config{
		Chooser: s.chooser,
		Limits:  cfg.Settings.Limits,
		Policy:  s.cfg.Policy,
		Log:     cfg.Log.Named("request"),
		Metrics: s.metrics,
		Tracing: tracing,

		RequestLog: cfg.Requests,
		Histograms: s.latency,

		Suspensions: s.suspended,
	}
	if s.direct != nil {
		balancerConfig.AwaitReady, balancerConfig.NotReadyRetryAfter = s.awaitReady, s.notReadyRetryAfter
		balancerConfig.ByUrgency = s.direct.OrdersByUrgency
	}
	if s.quarantine != nil {
		balancerConfig.Quarantine = s.quarantine
	}
	if s.fleet != nil {
		balancerConfig.Access, balancerConfig.Quotas, balancerConfig.KeyPropagationTime = teams{s}, s.fleet, cfg.Settings.Discovery.ApplyWithin
	}
	s.balancer = balancer.New(balancerConfig)
	s.front = s.frontServer()
	s.admin = &http.Server{Handler: s.adminHandler(), ReadHeaderTimeout: cfg.Settings.Limits.HeaderTimeout}
	if err := s.startMetrics(); err != nil {
		s.Kill()
		return nil, err
	}
	s.suspended.OnResume(s.resume)
	go s.serveFront()
	go s.serveUntilClosed(s.admin, s.adminL)
	cfg.Log.Info("started", "id", cfg.Settings.ID, "zone", cfg.Settings.Zone, "listen", s.frontL.Addr().String(),
		"admin", s.adminL.Addr().String(), "link", s.LinkAddr(), "discovery", cfg.Settings.Discovery.Kind)
	return s, nil
}

func (s *Server) frontServer() *pipeline.Server {
	limits := s.cfg.Settings.Limits
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	return pipeline.New(&http.Server{
		Handler:           s.balancer,
		Protocols:         protocols,
		MaxHeaderBytes:    limits.HeaderBytes,
		ReadHeaderTimeout: limits.HeaderTimeout,
		IdleTimeout:       limits.IdleTimeout,
		ErrorLog:          s.cfg.Log.Named("http").StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug}),
	})
}

// serving is a server of package net/http or pipeline.
type serving interface {
	Serve(l net.Listener) error
}

// serveUntilClosed serves a listener. It ends by itself only where the listener
// fails.
func (s *Server) serveUntilClosed(server serving, l net.Listener) {
	if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		s.cfg.Log.Error("listener failed", "listen", l.Addr().String(), "error", err)
	}
}

// startMetrics serves the metrics on their own address, where one is set.
func (s *Server) startMetrics() error {
	if s.cfg.Settings.Metrics == "" {
		return nil
	}
	l, err := net.Listen("tcp", s.cfg.Settings.Metrics)
	if err != nil {
		return fmt.Errorf("server: metrics address: %w", err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /metrics", s.writeMetrics)
	s.scrapes = &http.Server{Handler: mux, ReadHeaderTimeout: s.cfg.Settings.Limits.HeaderTimeout}
	go s.serveUntilClosed(s.scrapes, l)
	return nil
}

// Addr returns the callers' address.
func (s *Server) Addr() string { return s.frontL.Addr().String() }

// LinkAddr returns the peers' address; empty where there is none.
func (s *Server) LinkAddr() string {
	switch {
	case s.node != nil:
		return s.node.LinkAddr()
	case s.relays != nil:
		return s.cfg.Settings.Link
	}
	return ""
}

// Node returns the process's part in the fleet; nil with a Source.
func (s *Server) Node() *node.Node { return s.node }

// SetRetryLimit changes the bound on retries.
func (s *Server) SetRetryLimit(limit retry.WindowLimit) { s.balancer.SetRetryLimit(limit) }
