//go:build review

package lab2

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Run is one run of a request at a server.
type Run struct {
	ID, Server, Service, Method, Target string
	Tenant, Key                         string
	Body                                int
	At                                  time.Time
}

// Ledger notes what servers run.
type Ledger struct {
	mu   sync.Mutex
	runs []Run
}

// Runs returns what was run.
func (l *Ledger) Runs() []Run {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Run(nil), l.runs...)
}

func (l *Ledger) add(r Run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs = append(l.runs, r)
}

// Server is a server of a service.
type Server struct {
	ID, Service, Zone, Addr string
	Slots                   int
	Work                    time.Duration
	// Answer writes the answer to a request that was run, in place of the usual one; nil for the usual one.
	Answer func(w http.ResponseWriter, r *http.Request, body []byte)
	// Load replaces the load report of an answer; nil for none.
	Load func(usual string) string

	ledger *Ledger
	mu     sync.Mutex
	now    int
	seq    int
}

// StartServer starts a server at a loopback address.
func StartServer(id, service, zone, ip string, slots int, work time.Duration, ledger *Ledger) (*Server, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, err
	}
	s := &Server{ID: id, Service: service, Zone: zone, Addr: l.Addr().String(), Slots: slots, Work: work, ledger: ledger}
	go func() { _ = http.Serve(l, s) }() // ends with the process
	return s, nil
}

// Entry returns the server's entry in the store.
func (s *Server) Entry(state string) []byte {
	s.mu.Lock()
	s.seq++
	seq := s.seq
	s.mu.Unlock()
	raw, err := json.Marshal(map[string]any{
		"address": s.Addr,
		"info":    map[string]any{"service": s.Service, "version": "v1", "zone": s.Zone, "slots": s.Slots},
		"status":  map[string]any{"state": state, "seq": seq, "warmupLeftMs": 0},
	})
	if err != nil {
		panic(err)
	}
	return raw
}

// Signature returns the signature of a server's answer.
func Signature(server, id string) string { return "sig." + server + "." + id }

// ServeHTTP serves probes and requests.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	report := fmt.Sprintf("%d,0,%d,100", s.now, s.Slots)
	if s.Load != nil {
		report = s.Load(report)
	}
	w.Header().Set("Server-Load", report)
	if r.URL.Path == "/health" {
		s.mu.Unlock()
		w.Header().Set("Instance-Id", s.ID)
		return
	}
	full := s.now >= s.Slots
	if !full {
		s.now++
	}
	s.mu.Unlock()
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	if !full {
		defer func() {
			s.mu.Lock()
			s.now--
			s.mu.Unlock()
		}()
	}
	if want := r.Header.Get("Expected-Instance"); want != "" && want != s.ID {
		w.Header().Set("Instance-Id", s.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if full || id == "" {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.ledger.add(Run{
		ID: id, Server: s.ID, Service: s.Service, Method: r.Method, Target: r.RequestURI, Body: len(body), At: time.Now(),
		Tenant: r.Header.Get("Tenant"), Key: r.Header.Get("Authorization"),
	})
	select {
	case <-time.After(s.Work):
	case <-r.Context().Done():
		return
	}
	if s.Answer != nil {
		s.Answer(w, r, body)
		return
	}
	w.Header().Set("Response-Signature", Signature(s.ID, id))
	_, _ = io.WriteString(w, "body of "+id+"\n")
}
