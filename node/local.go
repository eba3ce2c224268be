package node

import (
	"sync"
	"time"

	"github.com/lotuswing/lotuswing/coord/admission"
	"github.com/lotuswing/lotuswing/coord/contract"
	"github.com/lotuswing/lotuswing/coord/health"
	"github.com/lotuswing/lotuswing/coord/placement"
	"github.com/lotuswing/lotuswing/upstream"
)

// local is what this node knows from its own requests, for choosing without a
// home, and the grants that it uses.
type local struct {
	mu        sync.Mutex
	held      map[string]placement.Grant
	endpoints map[string]own
	silent    map[string]time.Time // homes that did not answer, until when they are left alone
}

// own is this node's own account of one endpoint.
type own struct {
	inFlight   int
	health     health.State
	admission  admission.State
	sheds      int       // in a row
	pauseUntil time.Time // it shed a request and is left alone until then
}

func (p *local) begin(g placement.Grant) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.held == nil {
		p.held = map[string]placement.Grant{}
		p.endpoints = map[string]own{}
	}
	p.held[g.ID] = g
	o, ok := p.endpoints[g.Endpoint.VM]
	if !ok {
		o.health = health.New(health.Options{})
	}
	o.inFlight++
	p.endpoints[g.Endpoint.VM] = o
}

func (p *local) end(g placement.Grant, e placement.Result, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.held, g.ID)
	o := p.endpoints[g.Endpoint.VM]
	o.inFlight--
	switch e.Outcome {
	case placement.Completed:
		o.health = o.health.WithCompletion(1)
		o.sheds = 0
	case placement.Shed:
		// Not a failure: during a change of home, two homes and balancers without one together
		// fill all endpoints, and requests would be refused if those counted as unusable.
		o.pauseUntil = now.Add(contract.ShedPause(0, o.sheds))
		o.sheds++
	case placement.Failed:
		o.health = o.health.WithFailure(now)
	case placement.Unused:
	}
	p.endpoints[g.Endpoint.VM] = o
}

// hear takes what an answer says of whether its endpoint wants requests.
func (p *local) hear(g placement.Grant, r upstream.Report) {
	if r.Admission.IsEmpty() && !r.Ran {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	o, ok := p.endpoints[g.Endpoint.VM]
	if !ok {
		return
	}
	o.admission = o.admission.With(r.Admission, r.ReceivedAt)
	if r.Ran {
		o.admission = o.admission.WithRun(r.SentAt)
	}
	p.endpoints[g.Endpoint.VM] = o
}

// admission returns what an endpoint has said to this node.
func (p *local) admission(vm string) admission.State {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.endpoints[vm].admission
}

func (p *local) isSilent(home string, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now.Before(p.silent[home])
}

func (p *local) setSilent(home string, until time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.silent == nil {
		p.silent = map[string]time.Time{}
	}
	p.silent[home] = until
}
