package server

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/lotuswing/lotuswing/balancer"
	"github.com/lotuswing/lotuswing/direct"
	"github.com/lotuswing/lotuswing/directory"
	"github.com/lotuswing/lotuswing/fleet"
	"github.com/lotuswing/lotuswing/limits"
	"github.com/lotuswing/lotuswing/link"
	"github.com/lotuswing/lotuswing/node"
	"github.com/lotuswing/lotuswing/quarantine"
	"github.com/lotuswing/lotuswing/relay"
	"github.com/lotuswing/lotuswing/rollout"
	"github.com/lotuswing/lotuswing/warmups"
	"github.com/rcrowley/go-metrics"
)

// chooser routes requests and chooses their endpoints, alone or with other
// balancers.
type chooser interface {
	balancer.Chooser
	// HandOver announces a planned stop.
	HandOver(ctx context.Context)
	// Shutdown is Close, but lets calls of other balancers that are under way be answered until ctx ends.
	Shutdown(ctx context.Context)
	Close()
}

// Without this the balancer would not hedge.
var _ balancer.UrgencyOrder = (*direct.Chooser)(nil)

// startChooser starts what chooses endpoints: with a source on its own, else
// together with peers.
func (s *Server) startChooser() error {
	s.addDetours()
	cfg := s.cfg
	if cfg.Source != nil {
		if err := s.startDirect(); err != nil {
			return err
		}
		s.chooser = s.direct
		return nil
	}
	n, err := node.Start(node.Config{
		Settings: cfg.Settings,
		Log:      cfg.Log.Named("node"),
		Metrics:  s.metrics,
		Streams:  s.streams(),
	})
	if err != nil {
		return err
	}
	s.node, s.chooser = n, n
	s.startDetours(n)
	return nil
}

func (s *Server) startDirect() error {
	settings := s.cfg.Settings
	d := directory.New()
	opts := directory.OptionsWithin(settings.Discovery.Within())
	opts.Log = s.cfg.Log.Named("directory")
	s.directory = d
	s.fleet = s.newFleet()
	if s.cfg.Relays != nil && settings.Link != "" {
		s.warmups = warmups.New(warmups.Config{Rate: s.warmupRate, Log: s.cfg.Log.Named("warmups"), Metrics: s.metrics})
	} else {
		s.cfg.Log.Warn("without a link address, balancers do not bound together what endpoints in warm-up get")
	}
	s.limits = limits.New(limits.Config{Addr: settings.Link, Log: s.cfg.Log.Named("limits"), Metrics: s.metrics})
	if s.cfg.Relays != nil {
		s.quarantine, s.rollouts = s.newQuarantine(), s.newRollouts()
		opts.OnApplied = s.observe
	}
	if s.cfg.Relays != nil && settings.Link != "" {
		var err error
		if s.relays, err = s.newRelays(); err != nil {
			return err
		}
		s.warmups.SetTransport(s.relays) // before any balancer can ask
		opts.Standby, opts.Bootstrap = true, s.relays.Bootstrap
		opts.OnAnswer, opts.OnFailure = s.relays.OnAnswer, s.relays.OnFailure
	}
	s.follower = directory.NewFollower(d, s.cfg.Source, opts)
	ctx, stop := context.WithCancel(context.Background())
	s.direct = direct.New(s.choiceConfig(stop)) // before notes can come
	if s.relays != nil {
		if err := s.startRelays(); err != nil {
			stop()
			return err
		}
		s.limits.SetTransport(s.relays)
		s.startDetours(relayPeers{Group: s.relays, endpoints: &endpointIndex{directory: s.directory}})
	}
	if s.quarantine != nil {
		go s.quarantine.Run(ctx)
		go s.rollouts.Run(ctx)
	}
	go s.fleet.Run(ctx, s.transport())
	go s.follower.Run(ctx)
	return nil
}

// choiceConfig returns what choosing endpoints needs; stop ends the following of the store.
func (s *Server) choiceConfig(stop func()) direct.Config {
	cfg := direct.Config{
		ID: s.cfg.Settings.ID, Zone: s.cfg.Settings.Zone, Regions: s.cfg.Settings.Regions, Directory: s.directory, Client: s.cfg.Policy.Client,
		Log: s.cfg.Log.Named("choice"), Metrics: s.metrics, Stop: stop, Suspensions: s.suspended,
		Limits: s.limits, Publish: s.tell, Order: s.cfg.Settings.Overload.Order, MaxWaiting: maxWaiting(s.cfg.Settings.Memory),
	}
	if s.warmups != nil {
		cfg.Warmups = s.warmups
	}
	if s.quarantine != nil {
		cfg.RolloutRecorder = s.rollouts
	}
	if s.paths != nil {
		cfg.Paths = s.paths
	}
	if s.relays != nil {
		cfg.Handover, cfg.Shutdown = s.relays.Leave, s.relays.AnswerCalls
		cfg.Stop = func() {
			stop()
			s.relays.Close()
		}
	}
	return cfg
}

// spareShare is the part of what the operators bear with above a quota that a balancer gives out
// to each team; the rest is for what balancers cannot know of one another.
const spareShare = 0.25

// newFleet returns this balancer's knowledge of what all of them count.
func (s *Server) newFleet() *fleet.Keeper {
	settings := s.cfg.Settings
	return fleet.New(fleet.Config{
		Addr: settings.Link, Zone: settings.Zone, Spare: spareShare * settings.Quotas.Slack,
		Limit: s.quotaOf, Log: s.cfg.Log.Named("fleet"), Metrics: s.metrics,
	})
}

// newRollouts returns this balancer's part in bringing versions in.
func (s *Server) newRollouts() *rollout.Controller {
	settings := s.cfg.Settings
	cfg := rollout.Config{
		ID: settings.ID, Zone: settings.Zone, Directory: s.directory, Counts: s.fleet, Registry: s.cfg.Relays, Publish: s.tell,
		SettleTime: settings.Discovery.ApplyWithin, Log: s.cfg.Log.Named("rollout"), Metrics: s.metrics,
	}
	if settings.Link != "" {
		cfg.Zones = relayZones{s}
	}
	return rollout.New(cfg)
}

// relayZones is which zones have a relay, once this balancer knows.
type relayZones struct{ server *Server }

// Serving reports whether this balancer is its zone's relay and does not stop.
func (z relayZones) Serving() bool { return z.server.relays.TakesDuties() }

// RelayZones returns the zones that have one.
func (z relayZones) RelayZones() []string { return z.server.relays.RelayZones() }

// transport returns what takes counts to other balancers; nil where there is nothing.
func (s *Server) transport() fleet.Transport {
	if s.relays == nil {
		return nil
	}
	return s.relays
}

// newQuarantine returns this balancer's knowledge of requests under which endpoints ended.
func (s *Server) newQuarantine() *quarantine.Tracker {
	return quarantine.New(quarantine.Config{
		ID: s.cfg.Settings.ID, Log: s.cfg.Log.Named("quarantine"), Metrics: s.metrics,
		Endpoints: s.directory, Prober: prober{s}, Registry: s.cfg.Relays, Publish: s.tell, Serving: s.serving,
		MayProbe: func(endpoint string) bool { return s.direct.MayProbe(endpoint, time.Now()) },
	})
}

// tell tells all other balancers something, where they can be reached.
func (s *Server) tell(topic string, data []byte) error {
	if s.relays == nil {
		return nil
	}
	return s.relays.Publish(topic, data)
}

// hearNote takes a note of another balancer.
func (s *Server) hearNote(n relay.Note) {
	var err error
	switch n.Topic {
	case limits.Topic:
		err = s.limits.HandleNote(n)
	case direct.LeavingTopic, direct.BackoffTopic:
		err = s.direct.HandleNote(n)
	case rollout.BadVersionTopic:
		err = s.rollouts.HandleNote(n)
	default:
		s.quarantine.HandleNote(n)
	}
	if err != nil {
		s.cfg.Log.Warn("note not read", "from", n.Origin, "topic", n.Topic, "error", err)
	}
}

// serving reports whether this balancer does what one of its zone should do.
func (s *Server) serving() bool {
	return !s.isStopping() && (s.relays == nil || s.relays.TakesDuties())
}

// observe hands changes that are in force to all that keep something of them.
func (s *Server) observe(c directory.Changes) {
	s.recordAge(c, time.Now())
	if s.relays != nil {
		s.relays.ApplyChanges(c)
	}
	s.quarantine.ApplyChanges(c)
	s.rollouts.Observe(c)
}

// recordAge records for how long the store may have had changes before this balancer learnt of them.
func (s *Server) recordAge(c directory.Changes, now time.Time) {
	if age := c.Age(now); age > 0 && c.Count() > 0 && !c.Complete {
		metrics.GetOrRegisterTimer(fmt.Sprintf("change_age{via=%q}", c.Via), s.metrics).Update(age)
	}
}

// bytesPerMegabit turns a rate in Mbit/s into bytes a second.
const bytesPerMegabit = 1e6 / 8

// newRelays returns this balancer's part in handing changes on.
func (s *Server) newRelays() (*relay.Group, error) {
	settings, log := s.cfg.Settings, s.cfg.Log.Named("relay")
	t := settings.TLS
	secured, err := link.Secure(t.Insecure, link.Files{Cert: t.Cert, Key: t.Key, CA: t.CA}, log)
	if err != nil {
		return nil, err
	}
	return relay.New(relay.Config{
		ID: settings.ID, Zone: settings.Zone, Addr: settings.Link, Seeds: settings.Peers, Cores: settings.Cores,
		LinkRate: settings.LinkRate * bytesPerMegabit,
		Registry: s.cfg.Relays, Decoder: s.cfg.Relays, Log: log, TLS: secured,
		ByUrgency: func() bool { return s.direct.OrdersByUrgency() },
		PathsLost: s.pathsLost, Streams: s.streams(),
		Options: relay.OptionsWithin(settings.Discovery.Within()), OnNote: s.hearNote, OnReport: s.fleet.HandleReport, OnAsk: s.limits.HandleAsks, OnWarmupAsk: s.warmups.HandleAsk, Suspensions: s.suspended,
	}), nil
}

// startRelays starts it.
func (s *Server) startRelays() error {
	l, err := net.Listen("tcp", s.cfg.Settings.Link)
	if err != nil {
		return fmt.Errorf("server: link address: %w", err)
	}
	if err := s.relays.Start(l, s.follower); err != nil {
		return errors.Join(err, l.Close())
	}
	return nil
}
