//go:build review

package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/lotuswing/lotuswing/platform/platformtest"
)

// server is a stand-in of a server. It works for a while on each request and sends its answer in pieces
// while it works. It writes its entry to the store.
type server struct {
	w       *world
	id      string
	service string
	zone    string
	slots   int
	pieces  int
	l       net.Listener

	mu      sync.Mutex
	running int
	ran     map[string]int
	dark    chan struct{} // closed when the server falls silent
}

// entry returns the server as it stands in the store.
func (s *server) entry() platformtest.Server {
	return platformtest.Server{Address: s.l.Addr().String(), Service: s.service, Zone: s.zone, Slots: s.slots}
}

// startServer starts a server.
func (w *world) startServer(id, service, zone string, slots, pieces int) (*server, error) {
	l, err := net.Listen("tcp", "127.0.2.1:0")
	if err != nil {
		return nil, err
	}
	s := &server{w: w, id: id, service: service, zone: zone, slots: slots, pieces: pieces, l: l, ran: map[string]int{}, dark: make(chan struct{})}
	own := &http.Server{Handler: s}
	go func() { _ = own.Serve(l) }()
	w.ends = append(w.ends, func() { _ = own.Close() })
	w.store.PutServer(id, s.entry())
	return s, nil
}

// goDark lets the server fall silent for good, as one that lost its power. Its entry goes after three
// heartbeats of silence.
func (s *server) goDark() {
	close(s.dark)
	s.w.note("server %s falls silent with %d requests running", s.id, s.load())
	time.AfterFunc(3*heartbeat, func() { s.w.store.RemoveServer(s.id) })
}

// heartbeat is the time between two writes of a server's entry.
const heartbeat = 1500 * time.Millisecond

func (s *server) load() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running
}

// ServeHTTP serves the health path and requests.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.silent(r.Context())
	w.Header().Set("Server-Load", fmt.Sprintf("%d,0,%d,100", s.load(), s.slots))
	if r.URL.Path == "/health" {
		w.Header().Set("Instance-Id", s.id)
		return
	}
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	if want := r.Header.Get("Expected-Instance"); want != "" && want != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.ReadAll(r.Body); err != nil {
		return
	}
	if !s.begin(id) {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer s.finish()
	s.answer(w, r, id)
}

// begin takes a slot for a request, which has run then.
func (s *server) begin(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.running >= s.slots {
		return false
	}
	s.running++
	s.ran[id]++
	return true
}

func (s *server) finish() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}

// answer sends the body in pieces, over the time that the path names. The body's length stands there too:
// /service/MILLISECONDS/BYTES.
func (s *server) answer(w http.ResponseWriter, r *http.Request, id string) {
	var millis, size int
	_, _ = fmt.Sscanf(r.URL.Path, "/"+s.service+"/%d/%d", &millis, &size)
	body := content(id, size)
	w.Header().Set("Response-Signature", platformtest.Signature(id, string(body)))
	w.Header().Set("Content-Length", strconv.Itoa(size))
	w.Header().Set("Content-Type", "application/octet-stream")
	for i := range s.pieces {
		select {
		case <-time.After(time.Duration(millis) * time.Millisecond / time.Duration(s.pieces)):
		case <-r.Context().Done():
			return
		}
		s.silent(r.Context())
		if _, err := w.Write(body[size*i/s.pieces : size*(i+1)/s.pieces]); err != nil {
			return
		}
		_ = http.NewResponseController(w).Flush()
	}
}

// silent waits forever once the server is dark. The connection stays open and carries nothing more.
func (s *server) silent(ctx context.Context) {
	select {
	case <-s.dark:
		<-ctx.Done()
		time.Sleep(time.Hour)
	default:
	}
}

// content returns the body of an answer.
func content(id string, size int) []byte {
	body := make([]byte, 0, size+len(id))
	for len(body) < size {
		body = append(body, id...)
	}
	return body[:size]
}
