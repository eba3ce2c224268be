//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// request is a request of a client.
type request struct {
	id, host, path string
	deadline       time.Duration // that the client waits
}

// text returns a request as it is sent.
func (r request) text() string {
	return fmt.Sprintf("GET %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n\r\n", r.path, r.host, r.id, r.deadline.Milliseconds())
}

// outcome is how a request ended at the client.
type outcome struct {
	status    int // 0 for no answer
	begun     bool
	complete  bool
	closes    bool // the answer says that the connection ends
	read      int  // bytes of the body
	length    int64
	signed    bool
	signature string
	err       error
}

// String describes the outcome.
func (o outcome) String() string {
	switch {
	case !o.begun:
		return fmt.Sprintf("no answer: %v", o.err)
	case !o.complete:
		return fmt.Sprintf("%d, %d of %d bytes, then %v", o.status, o.read, o.length, o.err)
	}
	return fmt.Sprintf("%d whole, %d bytes, signed %t, closes %t", o.status, o.read, o.signed, o.closes)
}

// readAnswer reads an answer. begun is called with its header.
func readAnswer(r *bufio.Reader, begun func()) outcome {
	answer, err := http.ReadResponse(r, nil)
	if err != nil {
		return outcome{err: err}
	}
	begun()
	defer func() { _ = answer.Body.Close() }()
	o := outcome{status: answer.StatusCode, begun: true, closes: answer.Close, length: answer.ContentLength, signed: answer.Header.Get("Response-Signature") != "", signature: answer.Header.Get("Response-Signature")}
	n, err := io.Copy(io.Discard, answer.Body)
	o.read, o.err, o.complete = int(n), err, err == nil
	return o
}

// ask sends one request over a connection of its own, and gives up at its deadline.
func ask(addr string, r request) outcome {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return outcome{err: err}
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(r.deadline))
	if _, err := io.Copy(c, strings.NewReader(r.text())); err != nil {
		return outcome{err: err}
	}
	return readAnswer(bufio.NewReader(c), func() {})
}
