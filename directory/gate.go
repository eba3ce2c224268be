package directory

import (
	"context"
	"sync"
)

// gate blocks the callers of wait while it is closed. It can be opened and closed repeatedly.
type gate struct {
	mu      sync.Mutex
	opened  chan struct{} // closed while the gate is open
	openNow bool
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
	if g.openNow == open {
		return false
	}
	g.openNow = open
	if open {
		close(g.opened)
	} else {
		g.opened = make(chan struct{})
	}
	return true
}

// isOpen reports whether the gate is open.
func (g *gate) isOpen() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.openNow
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
