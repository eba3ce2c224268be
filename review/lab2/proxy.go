//go:build review

package lab2

import (
	"bytes"
	"net"
	"sync"
	"sync/atomic"
)

// Proxy passes connections on, and can make some of them silent: they stay open, and nothing more passes.
type Proxy struct {
	Addr   string
	target string

	mu    sync.Mutex
	conns []*proxied
}

// proxied is a connection that is passed on.
type proxied struct {
	watch  atomic.Bool // its last request is a watch
	silent atomic.Bool
}

// StartProxy passes connections on to an address.
func StartProxy(target string) (*Proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{Addr: l.Addr().String(), target: target}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.pass(c)
		}
	}()
	return p, nil
}

// pass passes one connection on.
func (p *Proxy) pass(in net.Conn) {
	out, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = in.Close()
		return
	}
	c := &proxied{}
	p.mu.Lock()
	p.conns = append(p.conns, c)
	p.mu.Unlock()
	go c.copy(in, out, nil)
	c.copy(out, in, c.see)
}

// see notes what a request is.
func (c *proxied) see(request []byte) {
	c.watch.Store(bytes.HasPrefix(request, []byte("GET /api/kv-watch")))
}

// copy copies one direction until it ends. A silent connection is read and nothing is passed on, also not its end.
// see is called with what may be the start of a request; nil for none.
func (c *proxied) copy(to, from net.Conn, see func([]byte)) {
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		if see != nil && bytes.Contains(buffer[:n], []byte(" /api/")) {
			see(buffer[:n])
		}
		if n > 0 && !c.silent.Load() {
			if _, werr := to.Write(buffer[:n]); werr != nil {
				err = werr
			}
		}
		if err != nil {
			if !c.silent.Load() {
				_ = to.Close()
			}
			return
		}
	}
}

// SilenceWatches makes the connections silent on which a watch waits, and returns their number and that of all.
func (p *Proxy) SilenceWatches() (silenced, all int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns {
		if c.watch.Load() {
			c.silent.Store(true)
			silenced++
		}
	}
	return silenced, len(p.conns)
}
