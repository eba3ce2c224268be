package node

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/lotuswing/lotuswing/coord/contract"
	"github.com/lotuswing/lotuswing/coord/leaving"
)

// errMoved: this balancer is no longer the home of the service.
var errMoved = errors.New("node: service has moved to another home")

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
}

func newHost(l *contract.Ledger) *host {
	return &host{ledger: l, waiters: map[string]*waiter{}, moved: make(chan struct{})}
}

// do calls the ledger and hands its decisions to those who wait for them.
func (h *host) do(now time.Time, f func(*contract.Ledger) []contract.Decision) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.deliver(now, f(h.ledger))
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
	h.do(now, func(l *contract.Ledger) []contract.Decision { return l.Tick(now) })
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
	decisions := h.ledger.Acquire(now, r)
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
	h.do(now, func(l *contract.Ledger) []contract.Decision { return l.Cancel(now, id) })
	h.forget(id)
}

// update replaces the endpoints and marks the leaving ones.
func (h *host) update(now time.Time, list []contract.Endpoint, marks leaving.Set) {
	h.do(now, func(l *contract.Ledger) []contract.Decision {
		return l.SetEndpoints(now, list, marks.Has)
	})
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
