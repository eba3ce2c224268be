// Package rawendpoint provides test endpoints that write HTTP/1.1 as raw text, to test how
// a balancer handles responses that no HTTP server would send. A Scripted endpoint sends
// given texts in turn; a Faulty endpoint fails at a chosen point of the exchange and
// counts the requests that ran.
//
// # Usage
//
//	e, err := rawendpoint.NewScripted("X-Id", rawendpoint.Answer("HTTP/1.1 200 OK\r\nX-Id: {id}\r\n\r\n"), rawendpoint.Reset())
//	e.Requests() // the requests read so far
//
//	e, err := rawendpoint.NewFaulty()
//	e.Set(rawendpoint.CloseAfterRead)
//	e.Ran("request-1")
package rawendpoint

import (
	"fmt"
	"io"
	"net"
	"sync/atomic"
)

// server accepts connections on a free port of the loopback interface.
type server struct {
	listener net.Listener
	accepted atomic.Int64 // number of connections accepted so far
}

// listen opens a listener and calls serve for each connection in a goroutine of its own.
// The connection is closed when serve returns.
func listen(serve func(net.Conn)) (*server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("rawendpoint: %w", err)
	}
	s := &server{listener: l}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return // the listener is closed
			}
			s.accepted.Add(1)
			go func() {
				defer func() { _ = c.Close() }() // the error does not matter
				serve(c)
			}()
		}
	}()
	return s, nil
}

// Addr returns the address of the listener as host:port.
func (s *server) Addr() string { return s.listener.Addr().String() }

// Close closes the listener. Open connections stay open.
func (s *server) Close() { _ = s.listener.Close() } // the error does not matter

// resetOnClose makes closing c send a TCP reset.
func resetOnClose(c net.Conn) { _ = c.(*net.TCPConn).SetLinger(0) } // cannot fail for TCP on the loopback interface

// writeText writes text to c and reports whether that succeeded.
func writeText(c net.Conn, text string) bool {
	_, err := io.WriteString(c, text)
	return err == nil
}
