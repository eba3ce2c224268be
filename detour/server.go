package detour

import (
	"bufio"
	"context"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/lotuswing/lotuswing/coord/reach"
	"github.com/lotuswing/lotuswing/internal/dial"
	"github.com/lotuswing/lotuswing/internal/pause"
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
	// quietAfter is how long nothing was sent on a connection since the endpoint's last response
	// before a planned stop closes it. A balancer reuses connections for requests that must not be
	// repeated only for a shorter time after a response.
	quietAfter = 300 * time.Millisecond
	// drainPoll is the pause between two looks for quiet connections in a planned stop.
	drainPoll = 50 * time.Millisecond
	// copyBufferSize is the size of the buffer for one direction of a connection.
	copyBufferSize = 16 << 10
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
	t := &tunnel{server: s, caller: conn, endpoint: endpoint}
	t.lastByte.Store(time.Now().UnixNano())
	s.release(t)
	defer s.remove(t)
	if writeLine(conn, openReply{Answer: reach.Accepted}) == nil {
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
	if t != nil {
		s.tunnels[t] = struct{}{}
		s.carried.Inc(1)
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

// Refuse makes the server carry no further connections.
func (s *Server) Refuse() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopping = true
}

// Drain carries no further connections and closes the open ones: each once it is quiet, and all when
// ctx ends. It returns how many were not quiet.
func (s *Server) Drain(ctx context.Context) (cut int) {
	s.Refuse()
	for s.closeQuiet(time.Now()) > 0 && ctx.Err() == nil {
		pause.For(ctx, drainPoll)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for t := range s.tunnels {
		if t.close() {
			cut++
		}
	}
	return cut
}

// closeQuiet closes the connections that are quiet and returns how many remain.
func (s *Server) closeQuiet(now time.Time) (remaining int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for t := range s.tunnels {
		if t.quiet(now) {
			t.close()
			continue
		}
		remaining++
	}
	return remaining
}

// tunnel is one connection that is carried.
type tunnel struct {
	server   *Server
	caller   net.Conn // to the balancer that asked
	endpoint net.Conn
	lastByte atomic.Int64 // when bytes last passed, in Unix nanoseconds
	answered atomic.Bool  // the last bytes came from the endpoint
	closed   atomic.Bool
}

// quiet reports whether the endpoint sent the last bytes some time ago, so that no response is
// outstanding.
func (t *tunnel) quiet(now time.Time) bool {
	return t.answered.Load() && now.Sub(time.Unix(0, t.lastByte.Load())) >= quietAfter
}

// close closes both ends, and reports whether they were open.
func (t *tunnel) close() bool {
	if t.closed.Swap(true) {
		return false
	}
	_ = reset(t.caller)
	_ = reset(t.endpoint)
	return true
}

// run copies bytes in both directions until both have ended or one has failed. r reads from the
// balancer that asked.
func (t *tunnel) run(r io.Reader) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		t.copyRequests(r)
	}()
	t.copyResponses()
	<-done
}

// copyRequests copies bytes to the endpoint. At their end it closes the sending direction; after a
// failure it closes both connections.
func (t *tunnel) copyRequests(r io.Reader) {
	buffer := t.server.buffers.Get().(*[]byte)
	defer t.server.buffers.Put(buffer)
	for {
		n, err := t.read(t.caller, r, *buffer, false)
		if _, werr := t.endpoint.Write((*buffer)[:n]); werr != nil {
			t.close()
			return
		}
		if err == nil {
			continue
		}
		if !errors.Is(err, io.EOF) || closeWrite(t.endpoint) != nil {
			t.close()
		}
		return
	}
}

// copyResponses copies bytes from the endpoint in frames. At their end it sends an empty frame and
// closes the sending direction; after a failure it closes both connections.
func (t *tunnel) copyResponses() {
	buffer := t.server.buffers.Get().(*[]byte)
	defer t.server.buffers.Put(buffer)
	for {
		n, err := t.read(t.endpoint, t.endpoint, (*buffer)[frameHeaderSize:], true)
		ended := errors.Is(err, io.EOF)
		if n > 0 && t.writeFrame(*buffer, n) != nil || err != nil && !ended {
			t.close()
			return
		}
		if !ended {
			continue
		}
		if t.writeFrame(*buffer, 0) != nil || closeWrite(t.caller) != nil {
			t.close()
		}
		return
	}
}

// writeFrame sends a frame of n bytes, which follow the space for its header in buffer.
func (t *tunnel) writeFrame(buffer []byte, n int) error {
	binary.BigEndian.PutUint16(buffer, uint16(n))
	_, err := t.caller.Write(buffer[:frameHeaderSize+n])
	return err
}

// read reads the next bytes, src reading from conn, unless nothing passes in either direction for
// idleTimeout.
func (t *tunnel) read(conn net.Conn, src io.Reader, buffer []byte, fromEndpoint bool) (int, error) {
	for {
		_ = conn.SetReadDeadline(time.Now().Add(idleTimeout))
		n, err := src.Read(buffer)
		if n > 0 {
			t.lastByte.Store(time.Now().UnixNano())
			t.answered.Store(fromEndpoint)
			t.server.bytes.Inc(int64(n))
		}
		if errors.Is(err, os.ErrDeadlineExceeded) && time.Since(time.Unix(0, t.lastByte.Load())) < idleTimeout {
			continue // the other direction is in use
		}
		return n, err
	}
}
