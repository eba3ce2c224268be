// Package faulty is an endpoint that speaks HTTP/1.1 by hand, fails at a chosen
// point of the exchange and counts what ran. Tests of several packages use it.
//
// # Usage
//
//	e, err := faulty.New()
//	e.Set(faulty.CloseAfterRead)
//	e.Ran("request-1")
package faulty

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
)

// Fault says at which point of the exchange an endpoint misbehaves.
type Fault string

// The faults, in the order of the exchange.
const (
	None            Fault = "none"
	CloseAtAccept   Fault = "closes before it reads"
	CloseMidHeader  Fault = "closes in the middle of the header"
	CloseAfterRead  Fault = "reads the request and closes"
	ResetAfterRead  Fault = "reads the request and resets"
	CloseMidAnswer  Fault = "closes in the middle of the answer's header"
	CutBody         Fault = "closes in the middle of the answer's body"
	CutChunked      Fault = "closes in the middle of a chunked body"
	AnswerNotRun    Fault = "answers that it did not run the request"
	Bare503         Fault = "runs the request and answers 503"
	AnswerTwice     Fault = "answers twice"
	AnswerForeign   Fault = "answers another request"
	SilentAfterRead Fault = "reads the request and says nothing"
)

// All lists every fault.
var All = []Fault{
	None, CloseAtAccept, CloseMidHeader, CloseAfterRead, ResetAfterRead, CloseMidAnswer, CutBody,
	CutChunked, AnswerNotRun, Bare503, AnswerTwice, AnswerForeign, SilentAfterRead,
}

// Endpoint speaks HTTP/1.1 by hand and counts the requests that it read
// whole, which is when a request runs.
type Endpoint struct {
	listener net.Listener

	mu    sync.Mutex
	runs  map[string]int // by the key header
	fault Fault
}

// KeyHeader names a request.
const KeyHeader = "X-Request-Key"

// New returns an endpoint that serves on a port of its own.
func New() (*Endpoint, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("faulty: %w", err)
	}
	e := &Endpoint{listener: l, runs: map[string]int{}, fault: None}
	go e.accept()
	return e, nil
}

// Close ends the listener.
func (e *Endpoint) Close() { _ = e.listener.Close() }

// Addr returns the address.
func (e *Endpoint) Addr() string { return e.listener.Addr().String() }

// Set chooses the fault of what comes next.
func (e *Endpoint) Set(f Fault) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fault = f
}

func (e *Endpoint) current() Fault {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.fault
}

// Ran returns how often a request ran.
func (e *Endpoint) Ran(key string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runs[key]
}

func (e *Endpoint) accept() {
	for {
		c, err := e.listener.Accept()
		if err != nil {
			return
		}
		go e.serve(c)
	}
}

func (e *Endpoint) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for {
		if e.current() == CloseAtAccept {
			return
		}
		first, err := r.Peek(1)
		if err != nil || len(first) == 0 {
			return
		}
		if e.current() == CloseMidHeader {
			_, _ = r.ReadString('\n')
			return
		}
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		if !e.answer(c, req) {
			return
		}
	}
}

// answer runs the request, unless the fault says otherwise, and reports
// whether the connection goes on.
func (e *Endpoint) answer(c net.Conn, req *http.Request) bool {
	f := e.current()
	key := req.Header.Get(KeyHeader)
	if f == AnswerNotRun {
		_, err := io.WriteString(c, "HTTP/1.1 503 Busy\r\nLotuswing-Verdict: not-run\r\nContent-Length: 0\r\n\r\n")
		return err == nil
	}
	e.mu.Lock()
	e.runs[key]++
	e.mu.Unlock()
	body := "answer to " + key
	whole := fmt.Sprintf("HTTP/1.1 200 OK\r\nLotuswing-Request-Id: %s\r\nContent-Length: %d\r\n\r\n%s",
		req.Header.Get("Lotuswing-Request-Id"), len(body), body)
	switch f {
	case CloseAfterRead:
		return false
	case ResetAfterRead:
		_ = c.(*net.TCPConn).SetLinger(0)
		return false
	case CloseMidAnswer:
		_, _ = io.WriteString(c, whole[:12])
		return false
	case CutBody:
		_, _ = io.WriteString(c, whole[:len(whole)-3])
		return false
	case CutChunked:
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nanswer\r\n")
		return false
	case Bare503:
		_, err := io.WriteString(c, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
		return err == nil
	case AnswerTwice:
		_, err := io.WriteString(c, whole+whole)
		return err == nil
	case AnswerForeign:
		_, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nLotuswing-Request-Id: another\r\nContent-Length: 5\r\n\r\nother")
		return err == nil
	case SilentAfterRead:
		_, _ = io.Copy(io.Discard, c)
		return false
	}
	_, err := io.WriteString(c, whole)
	return err == nil
}
