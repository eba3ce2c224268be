//go:build review

package main

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// answer says how a server answers a request, by its path.
type answer struct {
	work time.Duration // until the answer begins
	size int           // of its body
	send time.Duration // that the body takes, evenly
}

// backend is a stand-in of a server.
type backend struct {
	id, service, zone, addr string
	slots                   int
	record                  *record // nil for none of its own
	answerOf                func(path string) answer

	mu      sync.Mutex
	running int
	dark    chan struct{} // closed while the server has no power
}

// startBackend starts a server and writes its entry.
func (l *lab) startBackend(id, service, zone string, slots int, answerOf func(path string) answer) (*backend, error) {
	b := &backend{id: id, service: service, zone: zone, slots: slots, record: l.record, answerOf: answerOf, dark: make(chan struct{})}
	var err error
	if b.addr, err = serve(b); err != nil {
		return nil, err
	}
	l.enter(b)
	return b, nil
}

// note records what the server does.
func (b *backend) note(format string, args ...any) {
	if b.record != nil {
		b.record.line(format, args...)
	}
}

// enter writes the entry of a server.
func (l *lab) enter(b *backend) {
	l.store.put("servers/"+b.id, map[string]any{
		"address": b.addr, "born": time.Now().UnixMilli(),
		"info":   map[string]any{"service": b.service, "version": "v1", "zone": b.zone, "slots": b.slots},
		"status": map[string]any{"state": "ready", "seq": 1, "warmupLeftMs": 0},
	})
}

// loseEntryAfter is three heartbeats of silence.
const loseEntryAfter = 4500 * time.Millisecond

// losePower makes a server silent for good: it says nothing more on any connection, and its entry goes
// after three heartbeats.
func (l *lab) losePower(b *backend) {
	l.record.line("server %s is lost, silent", b.id)
	close(b.dark)
	time.AfterFunc(loseEntryAfter, func() { l.store.remove("servers/" + b.id) })
}

// isDark reports whether the server has no power.
func (b *backend) isDark() bool {
	select {
	case <-b.dark:
		return true
	default:
		return false
	}
}

// begin takes a slot.
func (b *backend) begin() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.running >= b.slots {
		return false
	}
	b.running++
	return true
}

// end frees a slot.
func (b *backend) end() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.running--
}

// load returns the load report.
func (b *backend) load() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return fmt.Sprintf("%d,0,%d,100", b.running, b.slots)
}

// ServeHTTP serves requests and health checks.
func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	b.silence(r)
	w.Header().Set("Server-Load", b.load())
	if r.URL.Path == "/health" {
		w.Header().Set("Instance-Id", b.id)
		w.WriteHeader(http.StatusOK)
		return
	}
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	switch expected := r.Header.Get("Expected-Instance"); {
	case expected != "" && expected != b.id:
		w.Header().Set("Instance-Id", b.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case !b.begin():
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer b.end()
	b.note("server %s runs %s %s", b.id, id, r.URL.Path)
	b.run(w, r, id)
}

// run runs a request and sends its answer in parts.
func (b *backend) run(w http.ResponseWriter, r *http.Request, id string) {
	a := b.answerOf(r.URL.Path)
	b.pause(r, a.work)
	w.Header().Set("Response-Signature", fmt.Sprintf("%s.%s.%d", b.id, id, a.size))
	w.Header().Set("Content-Length", strconv.Itoa(a.size))
	const parts = 20
	part := make([]byte, a.size/parts+1)
	for sent := 0; sent < a.size; {
		b.silence(r)
		n, err := w.Write(part[:min(len(part), a.size-sent)])
		if err != nil {
			b.note("server %s: answer to %s broken off by the balancer", b.id, id)
			return
		}
		sent += n
		if a.send > 0 {
			_ = http.NewResponseController(w).Flush()
			b.pause(r, a.send/parts)
		}
	}
	b.note("server %s has sent its answer to %s", b.id, id)
}

// pause pauses, for good if the server loses its power.
func (b *backend) pause(r *http.Request, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-b.dark:
	}
	b.silence(r)
}

// silence says nothing more if the server has no power.
func (b *backend) silence(*http.Request) {
	if b.isDark() {
		select {}
	}
}
