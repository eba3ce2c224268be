package rawendpoint

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
)

// Step is what a Scripted endpoint does with one request.
type Step struct {
	text         string
	resetOnClose bool // the connection is reset, and no text is sent
	close        bool // the connection is closed afterwards
}

// Answer returns a step that sends text, with each {id} replaced by the request ID.
func Answer(text string) Step { return Step{text: text} }

// Cut returns a step that sends text as Answer does and then closes the connection.
func Cut(text string) Step { return Step{text: text, close: true} }

// Reset returns a step that resets the connection without a response.
func Reset() Step { return Step{resetOnClose: true} }

// Scripted is an endpoint that handles each request by the next step, and repeats the last one.
type Scripted struct {
	*server
	idHeader string // header that holds the request ID

	mu       sync.Mutex
	steps    []Step
	requests []*http.Request
}

// NewScripted starts an endpoint that runs the steps, of which there must be at least one.
// idHeader is the header that holds the request ID.
func NewScripted(idHeader string, steps ...Step) (e *Scripted, err error) {
	e = &Scripted{idHeader: idHeader, steps: steps}
	e.server, err = listen(e.serve)
	return e, err
}

// Requests returns the requests read so far. Their bodies have been consumed.
func (e *Scripted) Requests() []*http.Request {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]*http.Request(nil), e.requests...)
}

// Connections returns how many connections were accepted.
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
		step := e.nextStep(req)
		if step.resetOnClose {
			resetOnClose(c)
			return
		}
		text := strings.ReplaceAll(step.text, "{id}", req.Header.Get(e.idHeader))
		if !writeText(c, text) || step.close {
			return
		}
	}
}

// nextStep records req and returns the step for it.
func (e *Scripted) nextStep(req *http.Request) Step {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.requests = append(e.requests, req)
	step := e.steps[0]
	if len(e.steps) > 1 {
		e.steps = e.steps[1:]
	}
	return step
}
