//go:build review

package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lotuswing/lotuswing/platform/platformtest"
	"github.com/lotuswing/lotuswing/tenant"
)

// Figures of the case. A half of the servers rejects two in a hundred long requests before they are in.
const (
	earlyServers  = 8
	earlyFaulty   = earlyServers / 2
	earlyShare    = 0.02
	earlyClients  = 60
	earlyFor      = 12 * time.Second
	rejectAfter   = 3 * time.Second // from the begin of the requests
	rejectFor     = 5 * time.Second
	documentBytes = 12 << 10
	lastPartPause = 60 * time.Millisecond // between a document and its last part
	betweenPause  = 20 * time.Millisecond // between the end of a request and the next one on its connection
	earlyDeadline = 2500 * time.Millisecond
)

// earlyServer is a stand-in of a server that may reject a long request before it is in.
type earlyServer struct {
	id       string
	faulty   atomic.Bool
	rejected *atomic.Int64

	mu  sync.Mutex
	ran map[string]int // requests by their Request-Id
}

// ServeHTTP serves the health path and requests.
func (s *earlyServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Server-Load", "0,0,32,100")
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
	if s.faulty.Load() && r.ContentLength < 0 && rand.Float64() < earlyShare {
		s.rejected.Add(1)
		s.reject(w, r)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.mu.Lock()
	s.ran[id]++
	s.mu.Unlock()
	time.Sleep(20 * time.Millisecond)
	answer := fmt.Sprintf("%s: %s with %d bytes", id, r.Method, len(body))
	w.Header().Set("Response-Signature", platformtest.Signature(id, answer))
	_, _ = io.WriteString(w, answer)
}

// reject answers that the request was not executed, before its body is in, and reads on afterwards.
func (s *earlyServer) reject(w http.ResponseWriter, r *http.Request) {
	control := http.NewResponseController(w)
	_ = control.EnableFullDuplex()
	w.Header().Set("Not-Executed", "1")
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(http.StatusServiceUnavailable)
	_ = control.Flush()
	_, _ = io.Copy(io.Discard, r.Body)
}

// seenAnswer is an answer as a client reads it.
type seenAnswer struct {
	status   int
	id, text string
	signed   bool
	closes   bool
	first    time.Time // when its first byte came
}

// earlyClient is a client that keeps its connection. It files a long petition, which it sends in two
// parts, and a short one behind it.
type earlyClient struct {
	w    *world
	name string
	to   string

	long, rejected, short, answered, foreign, lost int

	pairs []pairSeen
}

// pairSeen is a pair of petitions and the statuses of their answers, 0 for none.
type pairSeen struct {
	long, short             string
	longStatus, shortStatus int
}

// run files petitions until a time, on as many connections as it takes.
func (c *earlyClient) run(until time.Time) {
	for n := 0; time.Now().Before(until); {
		conn, err := net.DialTimeout("tcp", c.to, time.Second)
		if err != nil {
			c.w.note("%s: %v", c.name, err)
			return
		}
		for open := true; open && time.Now().Before(until); n++ {
			open = c.pair(conn, n)
		}
		_ = conn.Close()
	}
}

// pair files a long petition and, on the same connection, a short one. It reports whether the connection
// can be used further.
func (c *earlyClient) pair(conn net.Conn, n int) (open bool) {
	answers := make(chan seenAnswer, 4)
	go readAnswers(bufio.NewReader(conn), answers)
	defer func() {
		_ = conn.SetReadDeadline(time.Unix(1, 0))
		drain(answers)
		_ = conn.SetReadDeadline(time.Time{})
	}()
	long, short := fmt.Sprintf("%s-long-%04d", c.name, n), fmt.Sprintf("%s-short-%04d", c.name, n)
	var first, second seenAnswer
	defer func() { c.pairs = append(c.pairs, pairSeen{long, short, first.status, second.status}) }()
	c.long++
	if err := c.sendLong(conn, long, n); err != nil {
		c.w.note("%s: %v", long, err)
		return false
	}
	var ok bool
	first, ok = await(answers)
	if !ok || first.closes {
		c.w.note("%s: answered %t, with status %d, the connection is to be closed", long, ok, first.status)
		return false
	}
	if first.status == http.StatusServiceUnavailable {
		c.rejected++
	}
	time.Sleep(betweenPause)
	sent := time.Now()
	c.short++
	_, err := fmt.Fprintf(conn, "POST /depot/short HTTP/1.1\r\nHost: depot.example\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\nContent-Length: 8\r\n\r\npetition", short, earlyDeadline.Milliseconds())
	second, ok = await(answers)
	switch {
	case !ok:
		c.lost++
		c.w.note("%s: no answer (sending it: %v) on the connection on which %s was answered %d", short, err, long, first.status)
	case second.first.Before(sent):
		c.foreign++
		c.w.note("%s: gets the answer %d, Request-Id %q, whose first byte had come %v before it was sent; %s had been answered %d: %.120s",
			short, second.status, second.id, sent.Sub(second.first).Round(time.Microsecond), long, first.status, second.text)
	case second.status == http.StatusOK && second.id == short && second.signed:
		c.answered++
	default:
		c.w.note("%s: status %d, Request-Id %q: %.120s", short, second.status, second.id, second.text)
	}
	return ok && !second.closes && second.id == short
}

// sendLong sends a petition in one chunk, whose last part comes after a pause. Of every other petition
// the last part quotes a request.
func (c *earlyClient) sendLong(conn net.Conn, id string, n int) error {
	document := strings.Repeat("a line of the petition\r\n", documentBytes/24)
	last := strings.Repeat("stamp ", 50)
	if n%2 == 1 {
		last = "POST /depot/quoted HTTP/1.1\r\nHost: depot.example\r\nRequest-Id: quoted-in-" + id + "\r\nDeadline-Ms: 2000\r\nContent-Length: 4\r\n\r\ntext"
	}
	_, err := fmt.Fprintf(conn, "POST /depot/long HTTP/1.1\r\nHost: depot.example\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s",
		id, earlyDeadline.Milliseconds(), len(document)+len(last), document)
	time.Sleep(lastPartPause)
	if err == nil {
		_, err = io.WriteString(conn, last+"\r\n0\r\n\r\n")
	}
	return err
}

// readAnswers reads answers until the connection ends or a deadline passes.
func readAnswers(reader *bufio.Reader, answers chan<- seenAnswer) {
	defer close(answers)
	for {
		if _, err := reader.Peek(1); err != nil {
			return
		}
		a := seenAnswer{first: time.Now()}
		resp, err := http.ReadResponse(reader, nil)
		if err != nil {
			return
		}
		body, _ := io.ReadAll(resp.Body) // an answer that is cut short has a head as well
		a.status, a.id, a.closes = resp.StatusCode, resp.Header.Get("Request-Id"), resp.Close
		a.text = string(bytes.TrimSpace(body))
		a.signed = a.id != "" && resp.Header.Get("Response-Signature") == platformtest.Signature(a.id, string(body))
		answers <- a
	}
}

// drain waits until no more answers come.
func drain(answers <-chan seenAnswer) {
	for {
		if _, more := <-answers; !more {
			return
		}
	}
}

// await waits for the next answer.
func await(answers <-chan seenAnswer) (seenAnswer, bool) {
	select {
	case a, ok := <-answers:
		return a, ok
	case <-time.After(earlyDeadline):
		return seenAnswer{}, false
	}
}

// rejectedEarly files petitions, of which some servers reject a few before they are in.
func rejectedEarly(w *world) (bool, error) {
	var rejected atomic.Int64
	var servers []*earlyServer
	for i := range earlyServers {
		l, err := net.Listen("tcp", "127.0.2.1:0")
		if err != nil {
			return false, err
		}
		s := &earlyServer{id: fmt.Sprintf("i-%d", i+1), rejected: &rejected, ran: map[string]int{}}
		servers = append(servers, s)
		own := &http.Server{Handler: s}
		go func() { _ = own.Serve(l) }()
		w.ends = append(w.ends, func() { _ = own.Close() })
		w.store.PutServer(s.id, platformtest.Server{Address: l.Addr().String(), Service: "depot", Zone: "medina", Slots: 32})
	}
	w.store.Publish(2, []tenant.PrefixRoute{{
		Name: "petition-submit", Host: "depot.example", Prefix: "/depot/", Timeout: 1200 * time.Millisecond, Target: 300 * time.Millisecond,
		Priority: 1, MaxAttempts: 2, Split: []tenant.Share{{Service: "depot", Weight: 1}},
	}}, map[string]tenant.Service{"depot": {ProbePath: "/health", Connections: 260}})
	if err := w.startBalancers(3, "medina"); err != nil {
		return false, err
	}
	if w.trouble {
		setFaulty := func(faulty bool) {
			for _, s := range servers[:earlyFaulty] {
				s.faulty.Store(faulty)
			}
			w.note("%d servers reject long requests early: %t", earlyFaulty, faulty)
		}
		time.AfterFunc(rejectAfter, func() { setFaulty(true) })
		time.AfterFunc(rejectAfter+rejectFor, func() { setFaulty(false) })
	}
	until := time.Now().Add(earlyFor)
	var all []*earlyClient
	var running sync.WaitGroup
	for i := range earlyClients {
		c := &earlyClient{w: w, name: fmt.Sprintf("c%02d", i), to: w.balancers[i%len(w.balancers)].listen}
		all = append(all, c)
		running.Go(func() { c.run(until) })
	}
	running.Wait()
	var sum earlyClient
	for _, c := range all {
		sum.long += c.long
		sum.rejected += c.rejected
		sum.short += c.short
		sum.answered += c.answered
		sum.foreign += c.foreign
		sum.lost += c.lost
	}
	for _, c := range all {
		for _, p := range c.pairs {
			w.note("sent %s: answered %d, ran %d times; sent %s: answered %d, ran %d times",
				p.long, p.longStatus, timesRun(servers, p.long), p.short, p.shortStatus, timesRun(servers, p.short))
		}
	}
	w.note("%d long petitions, of which servers rejected %d before they were in and clients saw %d answers 503", sum.long, rejected.Load(), sum.rejected)
	w.note("%d short petitions behind them on the same connections: %d answered by their server, %d got an answer that had come before they were sent, %d got none",
		sum.short, sum.answered, sum.foreign, sum.lost)
	return sum.foreign > 0, nil
}

// timesRun returns how often servers ran a request.
func timesRun(servers []*earlyServer, id string) int {
	ran := 0
	for _, s := range servers {
		s.mu.Lock()
		ran += s.ran[id]
		s.mu.Unlock()
	}
	return ran
}
