//go:build review

package main

import (
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

const (
	linkDelay  = 3 * time.Millisecond // one way, to clients
	linkWindow = 64 << 10             // bytes of a connection that wait for the link
	linkPart   = 16 << 10             // bytes that are sent at a time
	bitsOfByte = 8
	millionBit = 1e6
)

// machineLink is the link of a balancer's machine: a proxy in front of it that delays what passes, and sends
// the answers of all connections one after the other at the rate of the link. A reset passes.
type machineLink struct {
	addr string // for clients
	rate float64

	mu     sync.Mutex
	target string    // of the balancer
	free   time.Time // when the link has sent all that was given to it
}

// newMachineLink starts a link with a rate in Mbit/s.
func newMachineLink(target string, mbps float64) (*machineLink, error) {
	listener, err := net.Listen("tcp", host+":0")
	if err != nil {
		return nil, err
	}
	m := &machineLink{addr: listener.Addr().String(), rate: mbps * millionBit / bitsOfByte, target: target}
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go m.pass(c)
		}
	}()
	return m, nil
}

// pass passes a connection.
func (m *machineLink) pass(client net.Conn) {
	dialer := net.Dialer{Timeout: time.Second, Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, linkWindow)
		})
	}}
	server, err := dialer.Dial("tcp", m.target)
	if err != nil {
		resetConn(client)
		return
	}
	go func() {
		m.copy(server, client, func(int) { time.Sleep(linkDelay) })
	}()
	m.copy(client, server, m.occupy)
}

// copy copies from src to dst; each part takes what delay takes. An ordinary end and a reset pass.
func (m *machineLink) copy(dst, src net.Conn, delay func(n int)) {
	part := make([]byte, linkPart)
	for {
		n, err := src.Read(part)
		if n > 0 {
			delay(n)
			if _, werr := dst.Write(part[:n]); werr != nil {
				resetConn(src)
				return
			}
		}
		switch {
		case err == io.EOF:
			time.Sleep(linkDelay)
			_ = dst.(*net.TCPConn).CloseWrite()
			return
		case err != nil:
			resetConn(dst)
			return
		}
	}
}

// occupy waits until the link has sent n bytes and they have arrived.
func (m *machineLink) occupy(n int) {
	m.mu.Lock()
	now := time.Now()
	if m.free.Before(now) {
		m.free = now
	}
	m.free = m.free.Add(time.Duration(float64(n) / m.rate * float64(time.Second)))
	until := m.free.Add(linkDelay)
	m.mu.Unlock()
	time.Sleep(time.Until(until))
}

// resetConn closes a connection with a reset.
func resetConn(c net.Conn) {
	_ = c.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
}
