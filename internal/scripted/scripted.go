// Package scripted is an endpoint that answers with the raw texts it is given,
// one for each request, for tests of what a balancer makes of an answer.
//
// # Usage
//
//	e, err := scripted.New("X-Id", scripted.Answer("HTTP/1.1 200 OK\r\nX-Id: {id}\r\n\r\n"), scripted.Reset())
//	e.Requests() // what it has read
package scripted

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
)

// Step is what the endpoint does with one request.
type Step struct {
	text  string
	reset bool // the connection is reset afterwards
	close bool // the connection is closed afterwards
}

// Answer answers with a text, in which {id} stands for the request's identity.
func Answer(text string) Step { return Step{text: text} }

// Cut answers with a text and closes the connection.
func Cut(text string) Step { return Step{text: text, close: true} }

// Reset resets the connection without an answer.
func Reset() Step { return Step{reset: true} }

// Endpoint serves the steps in turn, the last one again and again.
type Endpoint struct {
	listener net.Listener
	idHeader string // names a request

	mu       sync.Mutex
	steps    []Step
	requests []*http.Request
	conns    int
}

// New returns an endpoint that serves on a port of its own. idHeader is the
// header that names a request.
func New(idHeader string, steps ...Step) (*Endpoint, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("scripted: %w", err)
	}
	e := &Endpoint{listener: l, idHeader: idHeader, steps: steps}
	go e.accept()
	return e, nil
}

// Addr returns the address.
func (e *Endpoint) Addr() string { return e.listener.Addr().String() }

// Close ends the listener.
func (e *Endpoint) Close() { _ = e.listener.Close() }

// Requests returns the requests that were read, without their bodies.
func (e *Endpoint) Requests() []*http.Request {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]*http.Request(nil), e.requests...)
}

// Connections returns how many connections were opened.
func (e *Endpoint) Connections() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.conns
}

func (e *Endpoint) accept() {
	for {
		c, err := e.listener.Accept()
		if err != nil {
			return
		}
		e.mu.Lock()
		e.conns++
		e.mu.Unlock()
		go e.serve(c)
	}
}

func (e *Endpoint) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		step := e.next(req)
		if step.reset {
			_ = c.(*net.TCPConn).SetLinger(0)
			return
		}
		text := strings.ReplaceAll(step.text, "{id}", req.Header.Get(e.idHeader))
		if _, err := io.WriteString(c, text); err != nil || step.close {
			return
		}
	}
}

func (e *Endpoint) next(req *http.Request) Step {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.requests = append(e.requests, req)
	step := e.steps[0]
	if len(e.steps) > 1 {
		e.steps = e.steps[1:]
	}
	return step
}
