package server

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lotuswing/lotuswing/coord/reach"
	"github.com/lotuswing/lotuswing/detour"
	"github.com/lotuswing/lotuswing/directory"
	"github.com/lotuswing/lotuswing/internal/dial"
	"github.com/lotuswing/lotuswing/link"
	"github.com/lotuswing/lotuswing/relay"
	"github.com/lotuswing/lotuswing/settings"
	"github.com/lotuswing/lotuswing/upstream"
	"github.com/rcrowley/go-metrics"
)

// directDialTimeout limits the time to open a connection to an endpoint for another balancer.
const directDialTimeout = 300 * time.Millisecond

// peers knows other balancers and the endpoints. relayPeers and node.Node implement it.
type peers interface {
	detour.Finder
	// OpenStream opens a stream to the balancer at an address.
	OpenStream(ctx context.Context, addr string) (net.Conn, error)
	// FindEndpoint returns the service of the usable endpoint at an address, and false if there is none.
	FindEndpoint(addr string, now time.Time) (service string, ok bool)
	// CountEndpoints returns the number of usable endpoints of a service.
	CountEndpoints(service string, now time.Time) int
}

// startingPeers are peers that are not known until set is called. It is safe for concurrent use.
type startingPeers struct {
	known atomic.Pointer[peers]
}

// errNoPeers means that this process is still starting.
var errNoPeers = errors.New("server: other balancers are not known yet")

func (p *startingPeers) set(known peers) { p.known.Store(&known) }

// Carriers implements detour.Finder.
func (p *startingPeers) Carriers(ctx context.Context) []reach.Carrier {
	if known := p.known.Load(); known != nil {
		return (*known).Carriers(ctx)
	}
	return nil
}

// OpenStream opens a stream to the balancer at an address.
func (p *startingPeers) OpenStream(ctx context.Context, addr string) (net.Conn, error) {
	if known := p.known.Load(); known != nil {
		return (*known).OpenStream(ctx, addr)
	}
	return nil, errNoPeers
}

// FindEndpoint returns the service of the usable endpoint at an address, and false if there is none.
func (p *startingPeers) FindEndpoint(addr string, now time.Time) (service string, ok bool) {
	if known := p.known.Load(); known != nil {
		return (*known).FindEndpoint(addr, now)
	}
	return "", false
}

// CountEndpoints returns the number of usable endpoints of a service.
func (p *startingPeers) CountEndpoints(service string, now time.Time) int {
	if known := p.known.Load(); known != nil {
		return (*known).CountEndpoints(service, now)
	}
	return 0
}

// relayPeers are the balancers that relays know, and the endpoints of the directory.
type relayPeers struct {
	*relay.Group
	endpoints *endpointIndex
}

// FindEndpoint returns the service of the usable endpoint at an address, and false if there is none.
func (p relayPeers) FindEndpoint(addr string, now time.Time) (service string, ok bool) {
	return p.endpoints.find(addr, now)
}

// CountEndpoints returns the number of usable endpoints of a service.
func (p relayPeers) CountEndpoints(service string, now time.Time) (usable int) {
	for _, e := range p.endpoints.directory.Snapshot().Endpoints[service] {
		if e.Usable(now) {
			usable++
		}
	}
	return usable
}

// addDetours lets this balancer reach endpoints through others while its own paths are lost, and
// carry connections for others, once the peers are set.
func (s *Server) addDetours() {
	if s.cfg.Settings.Detours.Mode == settings.DetoursOff || s.cfg.Settings.Link == "" {
		return
	}
	open := s.cfg.Policy.Dial
	if open == nil {
		open = dial.Dialer(directDialTimeout).DialContext
	}
	s.peers = &startingPeers{}
	log := s.cfg.Log.Named("detour")
	s.paths = detour.NewTable(detour.Config{
		ID: s.cfg.Settings.ID, Finder: s.peers, Find: s.peers.FindEndpoint, Count: s.peers.CountEndpoints, Open: s.peers.OpenStream, Dial: open, Log: log, Metrics: s.metrics,
	})
	s.carrier = detour.NewServer(detour.ServerConfig{
		Find: s.peers.FindEndpoint, PathLost: s.paths.Detoured, Dial: open, MaxCarried: s.cfg.Settings.Detours.MaxCarried, Log: log, Metrics: s.metrics,
	})
	s.cfg.Policy = s.cfg.Policy.WithPaths(s.paths)
}

// startDetours begins to check lost paths. The peers must not change afterwards.
func (s *Server) startDetours(known peers) {
	if s.paths == nil {
		return
	}
	s.peers.set(known)
	ctx, stop := context.WithCancel(context.Background())
	s.stopDetours = stop
	go s.paths.Run(ctx)
}

// streams returns the handler of the streams that other balancers open.
func (s *Server) streams() link.StreamHandler {
	return func(conn net.Conn, r *bufio.Reader) {
		if s.carrier == nil {
			_ = conn.Close() // the other balancer takes it for an earlier version
			return
		}
		s.carrier.Serve(conn, r)
	}
}

// pathsLost reports whether this balancer has lost its paths to all endpoints.
func (s *Server) pathsLost() bool { return s.paths != nil && s.paths.Lost() }

// drainCarried ends the connections that this balancer carries for others, each once no response is
// outstanding on it, and closes done afterwards.
func (s *Server) drainCarried(ctx context.Context) (done <-chan struct{}) {
	drained := make(chan struct{})
	if s.carrier == nil {
		close(drained)
		return drained
	}
	s.carrier.Refuse()
	go func() {
		defer close(drained)
		if cut := s.carrier.Drain(ctx); cut > 0 {
			s.cfg.Log.Warn("stop cuts carried connections", "cut", cut)
		}
	}()
	return drained
}

// prober probes endpoints as the policy in force says.
type prober struct{ server *Server }

// Probe implements quarantine.Prober.
func (p prober) Probe(ctx context.Context, addr, path string, within time.Duration) (upstream.Report, error) {
	return p.server.cfg.Policy.Client.Probe(ctx, addr, path, within)
}

// endpointIndex finds endpoints by address. The index is made anew when the directory has changed, and
// only while paths are lost or connections are carried.
type endpointIndex struct {
	directory *directory.Directory

	mu       sync.Mutex
	snapshot *directory.Snapshot
	byAddr   map[string]indexedEndpoint
}

// indexedEndpoint is an endpoint with its service.
type indexedEndpoint struct {
	directory.Endpoint
	service string
}

// find returns the service of the usable endpoint at an address, and false if there is none.
func (x *endpointIndex) find(addr string, now time.Time) (service string, ok bool) {
	snapshot := x.directory.Snapshot()
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.snapshot != snapshot {
		x.snapshot, x.byAddr = snapshot, map[string]indexedEndpoint{}
		for service, list := range snapshot.Endpoints {
			for _, e := range list {
				x.byAddr[e.Addr] = indexedEndpoint{Endpoint: e, service: service}
			}
		}
	}
	e, ok := x.byAddr[addr]
	return e.service, ok && e.Usable(now)
}

// noneReached reports whether this balancer reaches no endpoint of any service that has endpoints.
func (s *Server) noneReached(now time.Time) bool {
	if s.paths == nil {
		return false
	}
	missing := s.paths.NoneReached(now)
	if len(missing) == 0 {
		return false
	}
	if s.directory == nil {
		return false // a home knows other ways to be served
	}
	for service, list := range s.directory.Snapshot().Endpoints {
		if len(list) > 0 && !slices.Contains(missing, service) {
			return false
		}
	}
	return true
}

// addPaths serves what operators ask about the paths to endpoints:
//
//	GET /paths    which are lost, and how many connections are carried for others
func (s *Server) addPaths(mux *http.ServeMux) {
	mux.HandleFunc("GET /paths", func(w http.ResponseWriter, _ *http.Request) { s.encode(w, s.pathStatus(time.Now())) })
}

// pathStatus returns the state of the paths to endpoints as a list of one; it is empty where all
// connections are direct.
func (s *Server) pathStatus(now time.Time) []detour.Status {
	if s.paths == nil {
		return []detour.Status{}
	}
	st := s.paths.Status(now)
	st.Carried, st.MaxCarried = s.carrier.Carried(), s.carrier.MaxCarried()
	return []detour.Status{st}
}

// updatePathMetrics sets the gauges of paths and carried connections.
func (s *Server) updatePathMetrics(now time.Time) {
	for _, st := range s.pathStatus(now) {
		metrics.GetOrRegisterGauge("paths_detoured", s.metrics).Update(int64(len(st.Detoured)))
		metrics.GetOrRegisterGauge("paths_lost", s.metrics).Update(gaugeOf(st.Lost))
		metrics.GetOrRegisterGauge("services_unreached", s.metrics).Update(int64(len(st.NoneReached)))
		metrics.GetOrRegisterGauge("carried", s.metrics).Update(int64(st.Carried))
	}
}
