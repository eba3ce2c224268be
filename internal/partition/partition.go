// Package partition simulates the loss of network paths in tests and soaks: connections that are
// opened through a Network can be silenced, reset or refused.
//
// A Network owns the connections opened through it until they are closed.
//
// # Usage
//
//	var n partition.Network
//	dial := n.Wrap(net.Dialer{}.DialContext)
//	n.Set(partition.Silent)
package partition

import (
	"context"
	"fmt"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// Mode is the state of the network's paths.
type Mode string

// The modes.
const (
	Open       Mode = ""            // all paths work
	Silent     Mode = "silent"      // all bytes are lost, and new connections do not open
	Reset      Mode = "reset"       // open connections are reset, and new ones do not open
	Refused    Mode = "refused"     // open connections are reset, and new ones are refused
	NewRefused Mode = "new-refused" // open connections work, and new ones are refused
)

// Modes are all modes in which paths are lost.
var Modes = []Mode{Silent, Reset, Refused, NewRefused}

// ParseMode returns the mode with the given name.
func ParseMode(name string) (Mode, error) {
	switch m := Mode(name); m {
	case Open, Silent, Reset, Refused, NewRefused:
		return m, nil
	}
	return Open, fmt.Errorf("partition: no mode %q", name)
}

// unackedTimeout is how long a silent connection stays open after data was written to it, as with
// TCP_USER_TIMEOUT.
const unackedTimeout = 1500 * time.Millisecond

// Network opens connections whose paths can be lost. The zero value has working paths. It is safe for
// concurrent use.
type Network struct {
	// Affects reports whether a path to an address is lost in the current mode; nil for all. It must
	// not change after the first connection was opened.
	Affects func(addr string) bool

	mu    sync.Mutex
	mode  Mode
	conns map[*conn]bool // the value says whether the connection has lost bytes
}

// Set changes the mode. Connections that lost bytes are reset once bytes pass again.
func (n *Network) Set(m Mode) {
	n.mu.Lock()
	n.mode = m
	var reset []*conn
	for c, lost := range n.conns {
		if m == Reset || m == Refused || m != Silent && lost {
			reset = append(reset, c)
		}
	}
	n.mu.Unlock()
	for _, c := range reset {
		_ = c.Close() // the error has no effect: nothing more is read
	}
}

// Mode returns the current mode.
func (n *Network) Mode() Mode {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.mode
}

// Wrap returns a function that opens connections with dial unless their path is lost.
func (n *Network) Wrap(dial func(ctx context.Context, network, addr string) (net.Conn, error)) func(ctx context.Context, network, addr string) (net.Conn, error) {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		if n.Affects != nil && !n.Affects(addr) {
			return dial(ctx, network, addr)
		}
		switch n.Mode() {
		case Silent, Reset:
			<-ctx.Done()
			return nil, &net.OpError{Op: "dial", Net: network, Err: os.ErrDeadlineExceeded}
		case Refused, NewRefused:
			return nil, &net.OpError{Op: "dial", Net: network, Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}
		case Open:
		}
		opened, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		c := &conn{Conn: opened, network: n}
		n.mu.Lock()
		defer n.mu.Unlock()
		if n.conns == nil {
			n.conns = map[*conn]bool{}
		}
		n.conns[c] = false
		return c, nil
	}
}

// loses reports whether bytes on a connection are lost now, and notes that they were.
func (n *Network) loses(c *conn) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.mode != Silent {
		return false
	}
	if _, open := n.conns[c]; open {
		n.conns[c] = true
	}
	return true
}

// conn is a connection whose path can be lost.
type conn struct {
	net.Conn
	network *Network
	timeout sync.Once // starts the end of a connection with unacknowledged data
}

// Read reads, and drops what arrives while the path is lost.
func (c *conn) Read(p []byte) (int, error) {
	for {
		count, err := c.Conn.Read(p)
		if err != nil || !c.network.loses(c) {
			return count, err
		}
	}
}

// Write writes, and drops what is written while the path is lost.
func (c *conn) Write(p []byte) (int, error) {
	if !c.network.loses(c) {
		return c.Conn.Write(p)
	}
	c.timeout.Do(func() { time.AfterFunc(unackedTimeout, func() { _ = c.Close() }) })
	return len(p), nil
}

// CloseWrite closes the sending direction.
func (c *conn) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return c.Close()
}

// Close closes the connection with a reset.
func (c *conn) Close() error {
	c.network.mu.Lock()
	delete(c.network.conns, c)
	c.network.mu.Unlock()
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // without it the peer would see an ordinary end
	}
	return c.Conn.Close()
}
