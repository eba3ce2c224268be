package directory

import (
	"context"
	"sync"
)

// gate makes wait block until the gate is open.
type gate struct {
	mu     sync.Mutex
	opened chan struct{} // closed while the gate is open
	isOpen bool
}

// newGate returns a gate that is open or closed.
func newGate(open bool) *gate {
	g := &gate{opened: make(chan struct{})}
	g.set(open)
	return g
}

// set opens or closes the gate and reports whether its state changed.
func (g *gate) set(open bool) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.isOpen == open {
		return false
	}
	g.isOpen = open
	if open {
		close(g.opened)
	} else {
		g.opened = make(chan struct{})
	}
	return true
}

// open reports whether the gate is open.
func (g *gate) open() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.isOpen
}

// wait waits until the gate is open, and returns false if ctx ends first.
func (g *gate) wait(ctx context.Context) bool {
	g.mu.Lock()
	opened := g.opened
	g.mu.Unlock()
	select {
	case <-ctx.Done():
		return false
	case <-opened:
		return ctx.Err() == nil
	}
}
