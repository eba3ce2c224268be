// Package rawendpoint has endpoints that speak HTTP/1.1 by hand, for tests of what a
// balancer makes of responses that no HTTP server would send. A Scripted one serves
// given texts in turn, a Faulty one fails at a chosen point of the exchange and
// counts what ran.
//
// # Usage
//
//	e, err := rawendpoint.NewScripted("X-Id", rawendpoint.Answer("HTTP/1.1 200 OK\r\nX-Id: {id}\r\n\r\n"), rawendpoint.Reset())
//	e.Requests() // what it has read
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

// server accepts connections on a port of its own.
type server struct {
	listener net.Listener
	accepted atomic.Int64 // connections
}

// start serves each connection in a goroutine of its own.
func start(serve func(net.Conn)) (*server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("rawendpoint: %w", err)
	}
	s := &server{listener: l}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return // closed
			}
			s.accepted.Add(1)
			go func() {
				defer func() { _ = c.Close() }() // whatever it says
				serve(c)
			}()
		}
	}()
	return s, nil
}

// Addr returns the address.
func (s *server) Addr() string { return s.listener.Addr().String() }

// Close ends the listener.
func (s *server) Close() { _ = s.listener.Close() } // whatever it says

// reset makes the end of a connection a reset.
func reset(c net.Conn) { _ = c.(*net.TCPConn).SetLinger(0) } // loopback TCP always takes it

// write writes a text and reports whether the connection goes on.
func write(c net.Conn, text string) bool {
	_, err := io.WriteString(c, text)
	return err == nil
}
