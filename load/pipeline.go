package load

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// errUnread says that the connection ended before the answer to a request that waited
// behind others. The server may have begun it all the same.
var errUnread = errors.New("load: connection ended before the answer")

// dialTimeout bounds the opening of a connection.
const dialTimeout = 10 * time.Second

// Pipeline sends requests on a connection before those ahead of them have their answers,
// as some callers do. It owns the connections and is safe for concurrent use. Answers
// come in the order of the requests; they are read whole.
type Pipeline struct {
	depth int

	mu    sync.Mutex
	pipes map[string][]*pipe // open ones by address
}

// NewPipeline returns an http.RoundTripper that lets so many requests wait on a
// connection for their answers, and opens another one when all are full.
func NewPipeline(depth int) *Pipeline {
	return &Pipeline{depth: max(1, depth), pipes: map[string][]*pipe{}}
}

// RoundTrip sends a request and waits for its answer. One that is given up leaves its
// answer to be read by nobody: those behind it still get theirs.
func (p *Pipeline) RoundTrip(req *http.Request) (*http.Response, error) {
	w := &waiter{request: req, answer: make(chan answered, 1)}
	if err := p.send(req.Context(), w); err != nil {
		return nil, err
	}
	select {
	case a := <-w.answer:
		return a.response, a.err
	case <-req.Context().Done():
		return nil, req.Context().Err()
	}
}

// CloseIdleConnections closes all connections. No request may wait.
func (p *Pipeline) CloseIdleConnections() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, open := range p.pipes {
		for _, c := range open {
			<-c.opened
			if c.conn != nil {
				_ = c.conn.Close() // nothing is under way on it
			}
		}
	}
}

// send writes a request on a connection that has room, or on a new one.
func (p *Pipeline) send(ctx context.Context, w *waiter) error {
	for {
		c, err := p.take(ctx, w.request.URL.Host)
		if err != nil {
			return err
		}
		if c.write(w) {
			return nil
		}
	}
}

// take returns a connection to an address on which a place is taken for a request.
func (p *Pipeline) take(ctx context.Context, addr string) (*pipe, error) {
	c, open := p.place(addr)
	if !open {
		p.open(ctx, addr, c)
	}
	select {
	case <-c.opened:
		return c, c.failed
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// place takes a place on a connection, and reports false if it has still to be opened.
func (p *Pipeline) place(addr string) (c *pipe, open bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.pipes[addr] {
		if c.taken < p.depth {
			c.taken++
			return c, true
		}
	}
	c = &pipe{taken: 1, opened: make(chan struct{}), queue: make(chan *waiter, p.depth)}
	p.pipes[addr] = append(p.pipes[addr], c)
	return c, false
}

// open opens a connection.
func (p *Pipeline) open(ctx context.Context, addr string, c *pipe) {
	defer close(c.opened)
	// Others wait for it as well: it does not end with the request that opens it.
	conn, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(context.WithoutCancel(ctx), "tcp", addr)
	if err != nil {
		p.drop(addr, c)
		c.failed = fmt.Errorf("load: %w", err)
		return
	}
	c.conn = conn
	go p.read(addr, c)
}

// read hands answers to those that wait, in their order, until the connection ends.
func (p *Pipeline) read(addr string, c *pipe) {
	in := bufio.NewReader(c.conn)
	for c.answerNext(in) {
		p.mu.Lock()
		c.taken--
		p.mu.Unlock()
	}
	p.drop(addr, c)
	_ = c.conn.Close() // whatever it says, nothing is read from it any more
	c.end()
}

// drop lets no more requests take the connection.
func (p *Pipeline) drop(addr string, ended *pipe) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var open []*pipe
	for _, c := range p.pipes[addr] {
		if c != ended {
			open = append(open, c)
		}
	}
	p.pipes[addr] = open
}

// readWhole reads the next answer with its body.
func readWhole(in *bufio.Reader, req *http.Request) (*http.Response, error) {
	response, err := http.ReadResponse(in, req)
	if err != nil {
		return nil, fmt.Errorf("load: answer: %w", err)
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, fmt.Errorf("load: body: %w", err)
	}
	response.Body = io.NopCloser(bytes.NewReader(body))
	return response, nil
}

// pipe is one connection.
type pipe struct {
	taken  int           // places taken by requests; Pipeline.mu is held
	opened chan struct{} // closed when conn or failed is set
	conn   net.Conn
	failed error // why there is no connection

	writing sync.Mutex // requests are written one after the other, in the order of queue
	ended   bool       // no answer will be read any more; writing is held
	queue   chan *waiter
}

// waiter is a request that waits for its answer.
type waiter struct {
	request *http.Request
	answer  chan answered // of one place
}

// answered is how a request ended.
type answered struct {
	response *http.Response
	err      error
}

// write lets a request wait for its answer and writes it. It reports false if the
// connection had ended before, so that nothing was written.
func (c *pipe) write(w *waiter) bool {
	c.writing.Lock()
	defer c.writing.Unlock()
	if c.ended {
		return false
	}
	c.queue <- w // never full: as many places were taken at most
	if err := w.request.Write(c.conn); err != nil {
		_ = c.conn.Close() // its reader tells all that wait
	}
	return true
}

// answerNext hands the next answer to whoever waits for it, and reports whether the
// connection goes on. Waiting for its first byte notices a server that closes an unused
// connection.
func (c *pipe) answerNext(in *bufio.Reader) bool {
	if _, err := in.Peek(1); err != nil {
		return false
	}
	select {
	case w := <-c.queue:
		response, err := readWhole(in, w.request)
		w.answer <- answered{response, err}
		return err == nil && !response.Close
	default:
		return false // an answer that nobody has asked for
	}
}

// end tells all that wait, and will, that no answer comes.
func (c *pipe) end() {
	c.writing.Lock()
	defer c.writing.Unlock()
	c.ended = true
	close(c.queue)
	for w := range c.queue {
		w.answer <- answered{err: errUnread}
	}
}
