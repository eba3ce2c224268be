package rawendpoint

import (
	"bufio"
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

// Scripted serves steps in turn, the last one again and again.
type Scripted struct {
	*server
	idHeader string // names a request

	mu       sync.Mutex
	steps    []Step
	requests []*http.Request
}

// NewScripted returns an endpoint that serves the steps. idHeader is the header
// that names a request.
func NewScripted(idHeader string, steps ...Step) (e *Scripted, err error) {
	e = &Scripted{idHeader: idHeader, steps: steps}
	e.server, err = start(e.serve)
	return e, err
}

// Requests returns the requests that were read, without their bodies.
func (e *Scripted) Requests() []*http.Request {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]*http.Request(nil), e.requests...)
}

// Connections returns how many connections were opened.
func (e *Scripted) Connections() int { return int(e.accepted.Load()) }

func (e *Scripted) serve(c net.Conn) {
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
			reset(c)
			return
		}
		text := strings.ReplaceAll(step.text, "{id}", req.Header.Get(e.idHeader))
		if !write(c, text) || step.close {
			return
		}
	}
}

func (e *Scripted) next(req *http.Request) Step {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.requests = append(e.requests, req)
	step := e.steps[0]
	if len(e.steps) > 1 {
		e.steps = e.steps[1:]
	}
	return step
}
