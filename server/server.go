// Package server runs one balancer process: listeners for callers, operators
// and peers, and the planned stop.
//
// # Usage
//
//	s, err := server.Start(server.Config{Settings: settings, Log: log, Errors: os.Stderr})
//	...
//	cut, err := s.Stop(ctx)
package server

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/lotuswing/lotuswing/balancer"
	"github.com/lotuswing/lotuswing/coord/retry"
	"github.com/lotuswing/lotuswing/direct"
	"github.com/lotuswing/lotuswing/directory"
	"github.com/lotuswing/lotuswing/internal/pause"
	"github.com/lotuswing/lotuswing/link"
	"github.com/lotuswing/lotuswing/node"
	"github.com/lotuswing/lotuswing/relay"
	"github.com/lotuswing/lotuswing/settings"
	"github.com/lotuswing/lotuswing/telemetry"
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
	// Policy towards callers and endpoints; the zero value is the product's.
	Policy balancer.Policy
}

// Relays keeps registrations of balancers and reads the source's records.
type Relays interface {
	relay.Registry
	relay.Decoder
}

// chooser routes requests and chooses their endpoints, alone or with other
// balancers.
type chooser interface {
	balancer.Chooser
	// Leave announces a planned stop.
	Leave(ctx context.Context)
	Close()
}

// Server is a running balancer process.
type Server struct {
	cfg      Config
	chooser  chooser
	node     *node.Node          // nil with a Source
	relays   *relay.Group        // nil where no changes are handed on
	direct   *direct.Chooser     // nil without one
	follower *directory.Follower // nil without one
	balancer *balancer.Balancer
	tracing  *telemetry.Tracing
	metrics  metrics.Registry
	latency  *telemetry.Histograms
	front    *http.Server
	admin    *http.Server
	scrapes  *http.Server // nil without a metrics address
	frontL   net.Listener
	adminL   net.Listener
	stopping chan struct{}
}

// Start binds all addresses and serves.
func Start(cfg Config) (*Server, error) {
	tracing, err := telemetry.NewTracing(cfg.Settings.Trace, cfg.Traces)
	if err != nil {
		return nil, err
	}
	s := &Server{cfg: cfg, tracing: tracing, metrics: metrics.NewRegistry(), latency: telemetry.NewHistograms(), stopping: make(chan struct{})}
	if s.frontL, err = net.Listen("tcp", cfg.Settings.Listen); err != nil {
		return nil, fmt.Errorf("server: callers' address: %w", err)
	}
	if s.adminL, err = net.Listen("tcp", cfg.Settings.Admin); err != nil {
		return nil, errors.Join(fmt.Errorf("server: admin address: %w", err), s.frontL.Close())
	}
	if err := s.startChooser(); err != nil {
		return nil, errors.Join(err, s.frontL.Close(), s.adminL.Close())
	}
	s.balancer = balancer.New(balancer.Config{
		Chooser: s.chooser,
		Limits:  cfg.Settings.Limits,
		Policy:  cfg.Policy,
		Log:     cfg.Log.Named("request"),
		Metrics: s.metrics,
		Tracing: tracing,

		Requests:   cfg.Requests,
		Histograms: s.latency,
	})
	s.front = s.frontServer()
	s.admin = &http.Server{Handler: s.adminHandler(), ReadHeaderTimeout: cfg.Settings.Limits.HeaderTimeout}
	if err := s.startMetrics(); err != nil {
		s.Kill()
		return nil, err
	}
	go s.serveFront()
	go func() { _ = s.admin.Serve(s.adminL) }()
	cfg.Log.Info("started", "id", cfg.Settings.ID, "zone", cfg.Settings.Zone, "listen", s.frontL.Addr().String(),
		"admin", s.adminL.Addr().String(), "link", s.LinkAddr(), "discovery", cfg.Settings.Discovery.Kind)
	return s, nil
}

// startChooser starts what chooses endpoints: with a source on its own, else
// together with peers.
func (s *Server) startChooser() error {
	cfg := s.cfg
	if cfg.Source != nil {
		var err error
		if s.direct, err = s.startDirect(); err != nil {
			return err
		}
		s.chooser = s.direct
		return nil
	}
	n, err := node.Start(node.Config{
		Settings: cfg.Settings,
		Log:      cfg.Log.Named("node"),
		Metrics:  s.metrics,
	})
	if err != nil {
		return err
	}
	s.node, s.chooser = n, n
	return nil
}

func (s *Server) startDirect() (*direct.Chooser, error) {
	settings := s.cfg.Settings
	d := directory.New()
	opts := directory.OptionsWithin(settings.Discovery.Within())
	opts.Log = s.cfg.Log.Named("directory")
	if s.cfg.Relays != nil && settings.Link != "" {
		var err error
		if s.relays, err = s.newRelays(); err != nil {
			return nil, err
		}
		opts.Standby, opts.Observe = true, s.relays.Observe
	}
	s.follower = directory.NewFollower(d, s.cfg.Source, opts)
	ctx, stop := context.WithCancel(context.Background())
	cfg := direct.Config{
		ID:        settings.ID,
		Zone:      settings.Zone,
		Directory: d,
		Client:    s.cfg.Policy.Client,
		Log:       s.cfg.Log.Named("choice"),
		Metrics:   s.metrics,
		Stop:      stop,
	}
	if s.relays != nil {
		if err := s.startRelays(&cfg); err != nil {
			stop()
			return nil, err
		}
	}
	go s.follower.Run(ctx)
	return direct.New(cfg), nil
}

// newRelays returns this balancer's part in handing changes on.
func (s *Server) newRelays() (*relay.Group, error) {
	settings, log := s.cfg.Settings, s.cfg.Log.Named("relay")
	t := settings.TLS
	secured, err := link.Secure(t.Insecure, link.Files{Cert: t.Cert, Key: t.Key, CA: t.CA}, log)
	if err != nil {
		return nil, err
	}
	return relay.New(relay.Config{
		ID: settings.ID, Zone: settings.Zone, Addr: settings.Link, Cores: settings.Cores,
		Registry: s.cfg.Relays, Decoder: s.cfg.Relays, Log: log, TLS: secured,
		Options: relay.OptionsWithin(settings.Discovery.Within()),
	}), nil
}

// startRelays starts it and lets it end with the chooser.
func (s *Server) startRelays(cfg *direct.Config) error {
	l, err := net.Listen("tcp", s.cfg.Settings.Link)
	if err != nil {
		return fmt.Errorf("server: link address: %w", err)
	}
	if err := s.relays.Start(l, s.follower); err != nil {
		return errors.Join(err, l.Close())
	}
	stop := cfg.Stop
	cfg.Handover = s.relays.Leave
	cfg.Stop = func() {
		stop()
		s.relays.Close()
	}
	return nil
}

func (s *Server) frontServer() *http.Server {
	limits := s.cfg.Settings.Limits
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler:           s.balancer,
		Protocols:         protocols,
		MaxHeaderBytes:    limits.HeaderBytes,
		ReadHeaderTimeout: limits.HeaderTimeout,
		IdleTimeout:       limits.IdleTimeout,
		ErrorLog:          s.cfg.Log.Named("http").StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug}),
	}
}

// firstWait is how long callers wait for the first configuration of a balancer
// that has just started, rather than being refused.
const firstWait = 300 * time.Millisecond

// serveFront serves callers as soon as requests can be routed. Connections that
// come before that wait in the listener's queue.
func (s *Server) serveFront() {
	if s.direct != nil {
		s.direct.WaitReady(firstWait)
	}
	_ = s.front.Serve(s.frontL)
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
	go func() { _ = s.scrapes.Serve(l) }()
	return nil
}

// Addr returns the callers' address.
func (s *Server) Addr() string { return s.frontL.Addr().String() }

// AdminAddr returns the operators' address.
func (s *Server) AdminAddr() string { return s.adminL.Addr().String() }

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

// Stop is the planned stop: not ready first, then the notice for the
// platform's balancer, then no new connections, and every request in flight
// is served to its end. It returns how many requests were cut because ctx or
// the limit ended first.
func (s *Server) Stop(ctx context.Context) (cut int64, err error) {
	close(s.stopping)
	s.balancer.Stop()
	s.cfg.Log.Info("stop begins", "in_flight", s.balancer.InFlight())
	stop := s.cfg.Settings.Stop.Within()
	s.announce(ctx, stop.Notice)
	limited, cancel := context.WithTimeout(ctx, stop.Limit)
	defer cancel()
	err = s.front.Shutdown(limited)
	if err == nil {
		err = s.waitSessions(limited)
	}
	if err != nil {
		cut = s.balancer.InFlight()
		s.cfg.Log.Error("stop cuts requests", "in_flight", cut, "error", err)
		_ = s.front.Close()
	}
	s.close()
	return cut, err
}

// announce hands duties over and gives the platform's balancer its notice, both
// at the same time: the process may be killed when its grace has passed, however
// long a store or a peer takes to answer.
func (s *Server) announce(ctx context.Context, notice time.Duration) {
	left := make(chan struct{})
	go func() {
		s.chooser.Leave(ctx)
		close(left)
	}()
	pause.For(ctx, notice)
	<-left
}

// waitSessions waits for upgraded connections, which Shutdown does not know.
func (s *Server) waitSessions(ctx context.Context) error {
	done := make(chan struct{})
	go func() {
		s.balancer.WaitSessions()
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
	_ = s.front.Close()
	s.close()
}

func (s *Server) close() {
	s.chooser.Close()
	_ = s.admin.Close()
	if s.scrapes != nil {
		_ = s.scrapes.Close()
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = s.tracing.Shutdown(ctx)
}
