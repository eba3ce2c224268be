package node

import (
	"context"
	"errors"
	"io"
	"sync"
	"time"

	"github.com/lotuswing/lotuswing/coord/contract"
	"github.com/lotuswing/lotuswing/coord/leaving"
	"github.com/lotuswing/lotuswing/coord/placement"
)

// errMoved: this balancer is no longer the home of the service.
var errMoved = errors.New("node: service has moved to another home")

// errRecording: only one trace of a ledger is recorded at a time.
var errRecording = errors.New("node: a trace of this service is being recorded already")

// errNotWaiting: no request of this identity waits here.
var errNotWaiting = errors.New("node: request does not wait here")

// keepDecision is how long a decision waits to be fetched.
const keepDecision = 10 * time.Second

// waiter is a queued request and, once made, the decision about it.
type waiter struct {
	decision chan contract.Decision // has room for the one decision
	decided  time.Time
}

// host serves one ledger to many callers.
type host struct {
	mu      sync.Mutex
	ledger  *contract.Ledger
	waiters map[string]*waiter
	moved   chan struct{}
	gone    bool
	// recorder writes a trace; nil for none.
	recorder *contract.Recorder
}

func newHost(l *contract.Ledger) *host {
	return &host{ledger: l, waiters: map[string]*waiter{}, moved: make(chan struct{})}
}

// apply does a step and hands the decisions to those who wait for them.
func (h *host) apply(s contract.Step) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.deliver(s.At, h.decide(s))
}

// decide does a step and records it. h.mu is held.
func (h *host) decide(s contract.Step) []contract.Decision {
	decisions := h.ledger.Apply(s)
	if h.recorder != nil {
		h.recorder.Record(s, decisions)
	}
	return decisions
}

// record writes a trace of all steps until ctx ends.
func (h *host) record(ctx context.Context, w io.Writer) error {
	h.mu.Lock()
	if h.recorder != nil {
		h.mu.Unlock()
		return errRecording
	}
	r := contract.NewRecorder(w, h.ledger)
	h.recorder = r
	h.mu.Unlock()
	<-ctx.Done()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.recorder = nil
	return r.Err()
}

// deliver keeps each decision until the holder fetches it with await.
func (h *host) deliver(now time.Time, decisions []contract.Decision) {
	for _, d := range decisions {
		w, ok := h.waiters[d.Request]
		if !ok || d.Kind == contract.Queued || !w.decided.IsZero() {
			continue
		}
		w.decided = now
		w.decision <- d
	}
}

// tick lets time pass and forgets decisions that nobody fetched.
func (h *host) tick(now time.Time) {
	h.apply(contract.Step{At: now, Op: contract.OpTick})
	h.mu.Lock()
	defer h.mu.Unlock()
	for id, w := range h.waiters {
		if !w.decided.IsZero() && now.Sub(w.decided) > keepDecision {
			delete(h.waiters, id)
		}
	}
}

// acquire asks for a contract and does not wait.
func (h *host) acquire(now time.Time, r contract.Request) (contract.Decision, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.gone {
		return contract.Decision{}, errMoved
	}
	decisions := h.decide(contract.Step{At: now, Op: contract.OpAcquire, Request: r})
	first := decisions[0]
	if first.Kind == contract.Queued {
		h.waiters[r.ID] = &waiter{decision: make(chan contract.Decision, 1)}
	}
	h.deliver(now, decisions[1:])
	return first, nil
}

// await waits for the decision about a queued request; after wait it answers
// that the request is still queued.
func (h *host) await(ctx context.Context, id string, wait time.Duration) (contract.Decision, error) {
	h.mu.Lock()
	w, ok := h.waiters[id]
	h.mu.Unlock()
	if !ok {
		return contract.Decision{}, errNotWaiting
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case d := <-w.decision:
		h.forget(id)
		return d, nil
	case <-h.moved:
		return contract.Decision{}, errMoved
	case <-timer.C:
	case <-ctx.Done():
	}
	return contract.Decision{Request: id, Kind: contract.Queued}, nil
}

func (h *host) forget(id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.waiters, id)
}

// cancel takes back a request, waiting or granted.
func (h *host) cancel(now time.Time, id string) {
	h.apply(contract.Step{At: now, Op: contract.OpCancel, ID: id})
	h.forget(id)
}

// update replaces the endpoints and marks the leaving ones.
func (h *host) update(now time.Time, list []placement.Endpoint, marks leaving.Set) {
	s := contract.Step{At: now, Op: contract.OpEndpoints, Endpoints: list}
	for _, e := range list {
		if marks.Has(e.VM) {
			s.Leaving = append(s.Leaving, e.VM)
		}
	}
	h.apply(s)
}

// move turns away those who wait.
func (h *host) move() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.gone {
		h.gone = true
		close(h.moved)
	}
}

func (h *host) status(now time.Time) contract.Status {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.ledger.Status(now)
}

// unconfirmed lists the endpoints worth a measurement.
func (h *host) unconfirmed(now time.Time, silent time.Duration) []placement.Endpoint {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.ledger.Unconfirmed(now, silent)
}
