package rawendpoint

import (
	"bufio"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
)

// Fault says how a Faulty endpoint misbehaves, and at which point of the exchange.
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

// Faults that begin a response and say nothing more, until the other side closes the connection.
const (
	SilentInLength  Fault = "says nothing in a body with length"
	SilentInChunks  Fault = "says nothing in a chunked body"
	SilentUnbounded Fault = "says nothing in a body without length"
	SilentTrailer   Fault = "says nothing before the trailer of a chunked body"
)

// silentText is, for each fault of silence, what is written before.
var silentText = map[Fault]string{
	SilentInLength:  "HTTP/1.1 200 OK\r\nLotuswing-Request-Id: {id}\r\nContent-Length: 9\r\n\r\npart",
	SilentInChunks:  "HTTP/1.1 200 OK\r\nLotuswing-Request-Id: {id}\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n",
	SilentUnbounded: "HTTP/1.1 200 OK\r\nLotuswing-Request-Id: {id}\r\n\r\npart",
	SilentTrailer:   "HTTP/1.1 200 OK\r\nLotuswing-Request-Id: {id}\r\nTransfer-Encoding: chunked\r\nTrailer: X-Sum\r\n\r\n4\r\npart\r\n0\r\n",
}

// SilentFaults lists every fault of silence within a response.
var SilentFaults = []Fault{SilentInLength, SilentInChunks, SilentUnbounded, SilentTrailer}

// AllFaults lists every fault.
var AllFaults = []Fault{
	None, CloseAtAccept, CloseMidHeader, CloseAfterRead, ResetAfterRead, CloseMidAnswer, CutBody,
	CutChunked, AnswerNotRun, Bare503, AnswerTwice, AnswerForeign, SilentAfterRead,
}

// Faults whose bytes come without end, until the other side closes the connection.
const (
	EndlessHead    Fault = "writes a header field without end"
	EndlessFields  Fault = "writes header fields without end"
	EndlessInterim Fault = "writes informational responses without end"
	EndlessBody    Fault = "writes a body without length and without end"
	EndlessChunks  Fault = "writes chunks without end"

	EndlessLine      Fault = "writes bytes that are no response and no line"
	EndlessLines     Fault = "writes lines that are no response"
	EndlessStatus    Fault = "writes a status line without end"
	EndlessLong1xx   Fault = "writes long informational responses without end"
	EndlessChunk     Fault = "writes a chunk without end"
	EndlessChunkSize Fault = "writes the size of a chunk without end"
	EndlessTrailer   Fault = "writes trailers without end"
	EndlessSurplus   Fault = "writes bytes without end behind a whole response"
)

// endlessText is, for each fault without end, what is written once and what is repeated.
var endlessText = map[Fault][2]string{
	EndlessHead:    {"HTTP/1.1 200 OK\r\nX-Text: ", strings.Repeat("x", endlessPiece)},
	EndlessFields:  {"HTTP/1.1 200 OK\r\n", strings.Repeat("X-Text: x\r\n", endlessPiece/11)},
	EndlessInterim: {"", strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", endlessPiece/28)},
	EndlessBody:    {"HTTP/1.1 200 OK\r\nLotuswing-Request-Id: {id}\r\n\r\n", strings.Repeat("x", endlessPiece)},
	EndlessChunks: {
		chunkedHead,
		fmt.Sprintf("%x\r\n%s\r\n", endlessPiece, strings.Repeat("x", endlessPiece)),
	},
	EndlessLine:      {"", strings.Repeat("\x00", endlessPiece)},
	EndlessLines:     {"", strings.Repeat("x\r\n", endlessPiece/3)},
	EndlessStatus:    {"HTTP/1.1 200 ", strings.Repeat("x", endlessPiece)},
	EndlessLong1xx:   {"", "HTTP/1.1 103 Early Hints\r\nLink: " + strings.Repeat("x", 40*endlessPiece) + "\r\n\r\n"},
	EndlessChunk:     {chunkedHead + "7fffffffffffffff\r\n", strings.Repeat("x", endlessPiece)},
	EndlessChunkSize: {chunkedHead, strings.Repeat("0", endlessPiece)},
	EndlessTrailer:   {chunkedHead + "0\r\n", strings.Repeat("X-Text: x\r\n", endlessPiece/11)},
	EndlessSurplus:   {"HTTP/1.1 200 OK\r\nLotuswing-Request-Id: {id}\r\nContent-Length: 4\r\n\r\nbody", strings.Repeat("x", endlessPiece)},
}

// chunkedHead is the head of a chunked response.
const chunkedHead = "HTTP/1.1 200 OK\r\nLotuswing-Request-Id: {id}\r\nTransfer-Encoding: chunked\r\n\r\n"

// endlessPiece is about how many bytes are written at once.
const endlessPiece = 4096

// EndlessFaults lists faults without end, and AllEndlessFaults every one.
var (
	EndlessFaults    = []Fault{EndlessHead, EndlessFields, EndlessInterim, EndlessBody, EndlessChunks}
	AllEndlessFaults = slices.Collect(maps.Keys(endlessText))
)

// KeyHeader is the header that identifies a request to a Faulty endpoint.
const KeyHeader = "X-Request-Key"

// Faulty is an endpoint that misbehaves in a chosen way and counts the requests that ran. A request
// counts as run as soon as it has been read completely, unless the fault is AnswerNotRun.
type Faulty struct {
	*server

	mu      sync.Mutex
	runs    map[string]int         // number of runs, by the value of KeyHeader
	headers map[string]http.Header // request header of the last run, by the value of KeyHeader
	fault   Fault
	sent    int64 // bytes of responses without end
	endless int   // responses without end that are being written
}

// Endless returns how many responses without end are being written, and the bytes of all of them so far.
func (e *Faulty) Endless() (writing int, sent int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.endless, e.sent
}

// writeEndless writes a response without end until the other side closes the connection.
func (e *Faulty) writeEndless(c net.Conn, text [2]string, id string) {
	count := func(writing int, n int) {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.endless, e.sent = e.endless+writing, e.sent+int64(n)
	}
	count(1, 0)
	defer count(-1, 0)
	for next := strings.ReplaceAll(text[0], "{id}", id); ; next = text[1] {
		n, err := io.WriteString(c, next)
		count(0, n)
		if err != nil {
			return
		}
	}
}

// NewFaulty starts an endpoint without a fault.
func NewFaulty() (e *Faulty, err error) {
	e = &Faulty{runs: map[string]int{}, headers: map[string]http.Header{}, fault: None}
	e.server, err = listen(e.serve)
	return e, err
}

// Set sets the fault of the requests that follow.
func (e *Faulty) Set(f Fault) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fault = f
}

func (e *Faulty) currentFault() Fault {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.fault
}

// Ran returns how often the request with the given key ran.
func (e *Faulty) Ran(key string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runs[key]
}

// Header returns the header of the last run of the request with the given key.
func (e *Faulty) Header(key string) http.Header {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.headers[key]
}

func (e *Faulty) serve(c net.Conn) {
	r := bufio.NewReader(c)
	for {
		if e.currentFault() == CloseAtAccept {
			return
		}
		first, err := r.Peek(1)
		if err != nil || len(first) == 0 {
			return
		}
		if e.currentFault() == CloseMidHeader {
			_, _ = r.ReadString('\n') // the request line only
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

// answer counts a run of the request, unless the fault is AnswerNotRun, and responds as the
// fault says. It reports whether the connection stays open.
func (e *Faulty) answer(c net.Conn, req *http.Request) bool {
	f := e.currentFault()
	if f == AnswerNotRun {
		return writeText(c, "HTTP/1.1 503 Busy\r\nLotuswing-Verdict: not-run\r\nContent-Length: 0\r\n\r\n")
	}
	key := req.Header.Get(KeyHeader)
	e.mu.Lock()
	e.runs[key]++
	e.headers[key] = req.Header
	e.mu.Unlock()
	body := "answer to " + key
	response := fmt.Sprintf("HTTP/1.1 200 OK\r\nLotuswing-Request-Id: %s\r\nContent-Length: %d\r\n\r\n%s",
		req.Header.Get("Lotuswing-Request-Id"), len(body), body)
	if text, ok := endlessText[f]; ok {
		e.writeEndless(c, text, req.Header.Get("Lotuswing-Request-Id"))
		return false
	}
	switch f {
	case Bare503:
		return writeText(c, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
	case AnswerTwice:
		return writeText(c, response+response)
	case AnswerForeign:
		return writeText(c, "HTTP/1.1 200 OK\r\nLotuswing-Request-Id: another\r\nContent-Length: 5\r\n\r\nother")
	case SilentInLength, SilentInChunks, SilentUnbounded, SilentTrailer:
		writeText(c, strings.ReplaceAll(silentText[f], "{id}", req.Header.Get("Lotuswing-Request-Id")))
		_, _ = io.Copy(io.Discard, c) // until the other side closes
		return false
	case CloseAfterRead, ResetAfterRead, CloseMidAnswer, CutBody, CutChunked, SilentAfterRead:
		applyClosingFault(c, f, response)
		return false
	}
	return writeText(c, response)
}

// applyClosingFault carries out a fault that ends the connection: it sends a part of the
// response or nothing, makes c reset, or waits for the peer to close. The caller closes c.
func applyClosingFault(c net.Conn, f Fault, response string) {
	switch f {
	case ResetAfterRead:
		resetOnClose(c)
	case CloseMidAnswer:
		writeText(c, response[:12])
	case CutBody:
		writeText(c, response[:len(response)-3])
	case CutChunked:
		writeText(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nanswer\r\n")
	case SilentAfterRead:
		_, _ = io.Copy(io.Discard, c) // until the other side closes
	}
}
