package node

import (
	"maps"
	"sync"
	"time"

	"github.com/lotuswing/lotuswing/coord/contract"
	"github.com/lotuswing/lotuswing/coord/lease"
)

// homes holds the ledgers that this node keeps as a home.
type homes struct {
	node  *Node
	mu    sync.Mutex
	hosts map[string]*host
	left  bool // this node stops: it is no home any more
	pause *lease.PauseDetector
}

func (h *homes) init(n *Node) {
	h.node = n
	h.hosts = map[string]*host{}
	h.pause = lease.NewPauseDetector(pauseLimit)
}

// get returns the host of a service, made on first use.
func (h *homes) get(service string) *host {
	h.mu.Lock()
	defer h.mu.Unlock()
	if found, ok := h.hosts[service]; ok {
		return found
	}
	s := h.node.snapshot.Load()
	made := newHost(contract.NewLedger(contract.Options{}))
	made.apply(contract.Step{At: h.node.now(), Op: contract.OpBegin})
	made.update(h.node.now(), s.endpoints[service], s.leaving)
	if h.left {
		made.move()
	}
	h.hosts[service] = made
	return made
}

func (h *homes) all() map[string]*host {
	h.mu.Lock()
	defer h.mu.Unlock()
	return maps.Clone(h.hosts)
}

func (h *homes) tick(now time.Time) {
	for _, host := range h.all() {
		host.tick(now)
	}
}

// update tells the ledgers of a new list of endpoints and marks, and makes the
// ledgers of services that have come to this home.
func (h *homes) update(s *snapshot) {
	for service, home := range s.homes {
		if home.ID == h.node.cfg.Settings.ID {
			h.get(service)
		}
	}
	for service, host := range h.all() {
		host.update(h.node.now(), s.endpoints[service], s.leaving)
	}
}

// dropHolder ends the contracts of a balancer that is gone.
func (h *homes) dropHolder(id string) {
	for _, host := range h.all() {
		host.apply(contract.Step{At: h.node.now(), Op: contract.OpDrop, Holder: id})
	}
}

// leave makes this node no home any more, and tells those who wait here to ask the new ones.
func (h *homes) leave() {
	h.mu.Lock()
	h.left = true
	h.mu.Unlock()
	h.move()
}

// move tells those who wait here to ask the new home.
func (h *homes) move() {
	for _, host := range h.all() {
		host.move()
	}
}

// reset forgets all ledgers, whose contents may be out of date.
func (h *homes) reset() {
	h.move()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.hosts = map[string]*host{}
}
