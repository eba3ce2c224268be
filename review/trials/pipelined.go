//go:build review

package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"github.com/lotuswing/lotuswing/platform/platformtest"
)

// link is the way between a client and a balancer: what a client takes in a second, and its window.
type link struct {
	bytesPerS int
	window    int
}

// dial opens a connection whose window is small from its beginning.
func (l link) dial(to string) (net.Conn, error) {
	d := net.Dialer{Timeout: time.Second, Control: func(_, _ string, raw syscall.RawConn) error {
		var err error
		if cerr := raw.Control(func(fd uintptr) {
			err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, l.window)
		}); cerr != nil {
			return cerr
		}
		return err
	}}
	return d.Dial("tcp", to)
}

// paced reads no faster than the link carries.
type paced struct {
	c    net.Conn
	l    link
	next time.Time
}

// Read reads a part and waits as long as the link takes for it.
func (p *paced) Read(b []byte) (int, error) {
	const step = 8 << 10
	time.Sleep(time.Until(p.next))
	n, err := p.c.Read(b[:min(len(b), step)])
	if now := time.Now(); p.next.Before(now) {
		p.next = now
	}
	p.next = p.next.Add(time.Duration(n) * time.Second / time.Duration(p.l.bytesPerS))
	return n, err
}

// pipelined is a client that sends further safe requests before the first has its answer.
type pipelined struct {
	name     string
	host     string
	path     string
	link     link
	depth    int           // requests that are under way on the connection
	deadline time.Duration // of each request

	sent int
}

// run sends requests on one connection until a time, or until the connection ends, and returns what it
// saw of each request that it sent.
func (p *pipelined) run(to string, until time.Time) ([]outcome, error) {
	c, err := p.link.dial(to)
	if err != nil {
		return nil, err
	}
	defer func() { _ = c.Close() }()
	var open []outcome
	send := func() error {
		p.sent++
		id := fmt.Sprintf("%s-%05d", p.name, p.sent)
		open = append(open, outcome{id: id, to: to, sent: time.Now()})
		_, err := fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n\r\n", p.path, p.host, id, p.deadline.Milliseconds())
		return err
	}
	for range p.depth {
		if err := send(); err != nil {
			return open, nil
		}
	}
	reader := bufio.NewReaderSize(&paced{c: c, l: p.link}, 4<<10)
	_ = c.SetReadDeadline(time.Now().Add(time.Minute))
	var all []outcome
	closing := false
	for len(open) > 0 && !closing {
		o := &open[0]
		closing = p.read(reader, o)
		all = append(all, *o)
		open = open[1:]
		if !closing && time.Now().Before(until) {
			_ = send() // a failure shows in the next read
		}
	}
	for i := range open { // sent behind an answer that closed the connection: not read
		open[i].err = errBehind
		all = append(all, open[i])
	}
	return all, nil
}

var errBehind = errors.New("sent behind the answer with which the connection ended")

// read reads the answer to a request and reports whether the connection is over.
func (p *pipelined) read(reader *bufio.Reader, o *outcome) (closing bool) {
	resp, err := http.ReadResponse(reader, &http.Request{Method: http.MethodGet})
	if err == nil {
		o.status = resp.StatusCode
		var body []byte
		body, err = io.ReadAll(resp.Body)
		o.bytes = len(body)
		o.whole = err == nil && resp.StatusCode == http.StatusOK && resp.Header.Get("Request-Id") == o.id &&
			bytes.Equal(body, content(o.id, len(body))) && resp.Header.Get("Response-Signature") == platformtest.Signature(o.id, string(body))
		closing = resp.Close
		if length, _ := strconv.Atoi(resp.Header.Get("Content-Length")); err == nil && length != len(body) {
			err = io.ErrUnexpectedEOF
		}
	}
	o.err, o.ended, o.took = err, true, time.Since(o.sent)
	return closing || err != nil
}
