package detour

import (
	"bufio"
	"context"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/lotuswing/lotuswing/coord/reach"
	"github.com/lotuswing/lotuswing/internal/dial"
	"github.com/rcrowley/go-metrics"
)

const (
	// requestTimeout limits the time until a request to open a connection has arrived.
	requestTimeout = time.Second
	// endpointDialTimeout limits the time to open the connection to the endpoint. The balancer that
	// asks does not wait longer.
	endpointDialTimeout = 200 * time.Millisecond
	// idleTimeout closes connections on which nothing was sent. Balancers close theirs earlier.
	idleTimeout = 2 * time.Minute
	// drainPoll is the pause between two looks at carried connections in a planned stop.
	drainPoll = 50 * time.Millisecond
	// copyBufferSize is the size of the buffer for one direction of a connection.
	copyBufferSize = frameHeaderSize + maxFrame
)

// ServerConfig configures a Server.
type ServerConfig struct {
	// Find returns the service of the usable endpoint at an address, and false if there is none.
	Find func(addr string, now time.Time) (service string, ok bool)
	// PathLost reports whether this balancer reaches the endpoint only through a carrier itself.
	PathLost func(addr string) bool
	// Dial opens a connection to an endpoint.
	Dial       func(ctx context.Context, network, addr string) (net.Conn, error)
	MaxCarried int // limit on the connections that are carried at once; 0 to carry none
	Log        hclog.Logger
	Metrics    metrics.Registry
}

// Server carries connections to endpoints for other balancers.
type Server struct {
	cfg     ServerConfig
	buffers sync.Pool
	carried metrics.Counter
	refused metrics.Counter
	bytes   metrics.Counter
	cut     metrics.Counter

	mu       sync.Mutex
	tunnels  map[*tunnel]struct{}
	opening  int // connections that are being opened
	stopping bool
}

// NewServer returns a server.
func NewServer(cfg ServerConfig) *Server {
	return &Server{
		cfg: cfg, tunnels: map[*tunnel]struct{}{},
		buffers: sync.Pool{New: func() any { b := make([]byte, copyBufferSize); return &b }},
		carried: metrics.GetOrRegisterCounter("carried_connections", cfg.Metrics),
		refused: metrics.GetOrRegisterCounter("carried_refused", cfg.Metrics),
		bytes:   metrics.GetOrRegisterCounter("carried_bytes", cfg.Metrics),
		cut:     metrics.GetOrRegisterCounter("carried_cut", cfg.Metrics),
	}
}

// Carried returns the number of connections that are carried now.
func (s *Server) Carried() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.tunnels)
}

// MaxCarried returns the limit on the connections that are carried at once.
func (s *Server) MaxCarried() int { return s.cfg.MaxCarried }

// Serve serves a stream from another balancer until one of its ends closes it. r reads from conn.
func (s *Server) Serve(conn net.Conn, r *bufio.Reader) {
	defer func() { _ = conn.Close() }() // the stream is over
	_ = conn.SetReadDeadline(time.Now().Add(requestTimeout))
	var request openRequest
	if err := readLine(r, &request); err != nil {
		s.refuse(conn, request, reach.Malformed, err)
		return
	}
	_ = conn.SetReadDeadline(time.Time{})
	if answer := s.reserve(request.Endpoint, time.Now()); answer != reach.Accepted {
		s.refuse(conn, request, answer, nil)
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), endpointDialTimeout)
	endpoint, err := s.cfg.Dial(ctx, "tcp", request.Endpoint)
	cancel()
	if err != nil {
		s.release(nil)
		s.refuse(conn, request, reach.Unreachable, err)
		return
	}
	t := &tunnel{server: s, id: request.Tunnel, understands: request.Draining, caller: conn, endpoint: dial.NewConn(endpoint)}
	t.lastByte.Store(time.Now().UnixNano())
	t.sending.Lock() // a mark must not come before the reply
	s.release(t)
	defer s.remove(t)
	err = writeLine(conn, openReply{Answer: reach.Accepted})
	t.sending.Unlock()
	if err == nil {
		_ = dial.SetUserTimeout(conn) // without it the connection ends later
		s.cfg.Log.Info("carrying a connection", "tunnel", request.Tunnel, "from", request.From, "endpoint", request.Endpoint)
		t.run(r)
	}
	_ = endpoint.Close() // both ends are closed together
}

// reserve decides whether to carry one more connection, and counts it if so.
func (s *Server) reserve(endpoint string, now time.Time) reach.Answer {
	_, listed := s.cfg.Find(endpoint, now)
	load := reach.Load{MaxCarried: s.cfg.MaxCarried, Listed: listed, PathLost: s.cfg.PathLost(endpoint)}
	s.mu.Lock()
	defer s.mu.Unlock()
	load.Carried, load.Stopping = len(s.tunnels)+s.opening, s.stopping
	answer := reach.Admit(load)
	if answer == reach.Accepted {
		s.opening++
	}
	return answer
}

// release ends the opening of a connection; t is nil if it failed.
func (s *Server) release(t *tunnel) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.opening--
	if t == nil {
		return
	}
	s.tunnels[t] = struct{}{}
	s.carried.Inc(1)
	if s.stopping { // the stop began meanwhile
		t.tellIfDue(time.Now())
	}
}

// remove removes a connection that has ended.
func (s *Server) remove(t *tunnel) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.tunnels, t)
}

// refuse refuses a request to open a connection.
func (s *Server) refuse(conn net.Conn, r openRequest, answer reach.Answer, cause error) {
	s.refused.Inc(1)
	s.cfg.Log.Debug("connection not carried", "answer", string(answer), "from", r.From, "tunnel", r.Tunnel, "endpoint", r.Endpoint, "error", cause)
	_ = conn.SetWriteDeadline(time.Now().Add(requestTimeout))
	_ = writeLine(conn, openReply{Answer: answer}) // the other balancer asks elsewhere in any case
}
