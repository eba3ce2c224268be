package soak

import (
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

// Mode is what a proxy does with bytes.
type Mode uint8

const (
	// Pass hands bytes on.
	Pass Mode = iota
	// Delay hands bytes on late.
	Delay
	// Reset resets connections, open and new.
	Reset
	// Silence swallows all bytes; connections stay open.
	Silence
	// CutForward swallows bytes from the caller.
	CutForward
	// CutBack swallows bytes to the caller.
	CutBack
	modes
)

// String returns the name used in the log of a soak.
func (m Mode) String() string {
	return [...]string{"pass", "delay", "reset", "silence", "cut forward", "cut back"}[m]
}

// delayTime is how late bytes come in mode Delay, unless SetDelay changes it.
const delayTime = 40 * time.Millisecond

// Proxy is a TCP proxy on loopback whose connections can be disturbed.
type Proxy struct {
	listener net.Listener
	target   string

	seen sightings

	mu    sync.Mutex
	mode  Mode
	delay time.Duration // in mode Delay
	conns map[net.Conn]bool
}

// NewProxy starts a proxy in front of an address.
func NewProxy(target string) (*Proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("soak: proxy: %w", err)
	}
	p := &Proxy{listener: l, target: target, delay: delayTime, conns: map[net.Conn]bool{}}
	go p.accept()
	return p, nil
}

// Addr returns the proxy's address.
func (p *Proxy) Addr() string { return p.listener.Addr().String() }

// Close ends the proxy and its connections.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.resetAll()
}

// Set changes the mode. Connections that lost bytes are reset when bytes pass
// again, as nothing can be sent on them that would make sense.
func (p *Proxy) Set(m Mode) {
	p.mu.Lock()
	old := p.mode
	p.mode = m
	p.mu.Unlock()
	if m == Reset || old >= Silence {
		p.resetAll()
	}
}

// SetDelay changes how late bytes come in mode Delay.
func (p *Proxy) SetDelay(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay = d
}

// Retarget resets all connections, and lets new ones lead to another address.
func (p *Proxy) Retarget(target string) {
	p.mu.Lock()
	p.target = target
	p.mu.Unlock()
	p.resetAll()
}

func (p *Proxy) resetAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		resetConn(c)
	}
	p.conns = map[net.Conn]bool{}
}

func resetConn(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

func (p *Proxy) current() (Mode, time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode, p.delay
}

// connect opens a connection to the address behind the proxy.
func (p *Proxy) connect() (net.Conn, error) {
	p.mu.Lock()
	target := p.target
	p.mu.Unlock()
	return net.Dial("tcp", target)
}

func (p *Proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(c)
	}
}

func (p *Proxy) serve(front net.Conn) {
	if mode, _ := p.current(); mode == Reset {
		resetConn(front)
		return
	}
	back, err := p.connect()
	if err != nil {
		resetConn(front)
		return
	}
	p.mu.Lock()
	p.conns[front], p.conns[back] = true, true
	p.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { p.copy(back, front, CutForward) })
	both.Go(func() { p.copy(front, back, CutBack) })
	both.Wait()
	p.mu.Lock()
	delete(p.conns, front)
	delete(p.conns, back)
	p.mu.Unlock()
	_ = front.Close()
	_ = back.Close()
}

// copy hands bytes on in one direction, unless a mode cuts it.
func (p *Proxy) copy(to, from net.Conn, cut Mode) {
	buffer := make([]byte, 16<<10)
	var heads headScanner
	for {
		n, err := from.Read(buffer)
		if cut == CutForward {
			p.seen.note(heads.scan(buffer[:n]), time.Now())
		}
		mode, delay := p.current()
		if mode == Delay {
			time.Sleep(delay)
		}
		if n > 0 && mode != Silence && mode != cut {
			if _, werr := to.Write(buffer[:n]); werr != nil {
				resetConn(from)
				return
			}
		}
		if err == io.EOF {
			if half, ok := to.(*net.TCPConn); ok {
				_ = half.CloseWrite()
			}
			return
		}
		if err != nil {
			resetConn(to)
			return
		}
	}
}
