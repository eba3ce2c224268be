package rawendpoint

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

// AllFaults lists every fault.
var AllFaults = []Fault{
	None, CloseAtAccept, CloseMidHeader, CloseAfterRead, ResetAfterRead, CloseMidAnswer, CutBody,
	CutChunked, AnswerNotRun, Bare503, AnswerTwice, AnswerForeign, SilentAfterRead,
}

// KeyHeader names a request to a Faulty endpoint.
const KeyHeader = "X-Request-Key"

// Faulty counts the requests that it read whole, which is when a request runs.
type Faulty struct {
	*server

	mu      sync.Mutex
	runs    map[string]int         // by the key header
	headers map[string]http.Header // of the last run, by the same
	fault   Fault
}

// NewFaulty returns an endpoint without a fault.
func NewFaulty() (e *Faulty, err error) {
	e = &Faulty{runs: map[string]int{}, headers: map[string]http.Header{}, fault: None}
	e.server, err = start(e.serve)
	return e, err
}

// Set chooses the fault of what comes next.
func (e *Faulty) Set(f Fault) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fault = f
}

func (e *Faulty) current() Fault {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.fault
}

// Ran returns how often a request ran.
func (e *Faulty) Ran(key string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runs[key]
}

// Header returns the header with which a request ran last.
func (e *Faulty) Header(key string) http.Header {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.headers[key]
}

func (e *Faulty) serve(c net.Conn) {
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
			_, _ = r.ReadString('\n') // a part of the header
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

// answer runs the request, unless the fault says otherwise, and reports whether the
// connection goes on.
func (e *Faulty) answer(c net.Conn, req *http.Request) bool {
	f := e.current()
	if f == AnswerNotRun {
		return write(c, "HTTP/1.1 503 Busy\r\nLotuswing-Verdict: not-run\r\nContent-Length: 0\r\n\r\n")
	}
	key := req.Header.Get(KeyHeader)
	e.mu.Lock()
	e.runs[key]++
	e.headers[key] = req.Header
	e.mu.Unlock()
	body := "answer to " + key
	whole := fmt.Sprintf("HTTP/1.1 200 OK\r\nLotuswing-Request-Id: %s\r\nContent-Length: %d\r\n\r\n%s",
		req.Header.Get("Lotuswing-Request-Id"), len(body), body)
	switch f {
	case Bare503:
		return write(c, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
	case AnswerTwice:
		return write(c, whole+whole)
	case AnswerForeign:
		return write(c, "HTTP/1.1 200 OK\r\nLotuswing-Request-Id: another\r\nContent-Length: 5\r\n\r\nother")
	case CloseAfterRead, ResetAfterRead, CloseMidAnswer, CutBody, CutChunked, SilentAfterRead:
		breakOff(c, f, whole)
		return false
	}
	return write(c, whole)
}

// breakOff does what a fault does that ends the connection.
func breakOff(c net.Conn, f Fault, whole string) {
	switch f {
	case ResetAfterRead:
		reset(c)
	case CloseMidAnswer:
		write(c, whole[:12])
	case CutBody:
		write(c, whole[:len(whole)-3])
	case CutChunked:
		write(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nanswer\r\n")
	case SilentAfterRead:
		_, _ = io.Copy(io.Discard, c) // until the other side closes
	}
}
