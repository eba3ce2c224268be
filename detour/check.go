package detour

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/lotuswing/lotuswing/coord/reach"
	"github.com/lotuswing/lotuswing/internal/pause"
)

const (
	// checkInterval is the time between two rounds of direct checks.
	checkInterval = 50 * time.Millisecond
	// maxDirectChecks is the maximum number of lost paths that are tried in one round.
	maxDirectChecks = 8
	// maxLostChecks is the same while all paths count as lost: one that works again shows that the
	// others are to be tried.
	maxLostChecks = 2
	// directCheckTimeout limits the time to open a connection for a direct check.
	directCheckTimeout = 300 * time.Millisecond
)

// Run tries lost paths until ctx ends. It sleeps while no path is lost.
func (t *Table) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if !t.active.Load() {
			select {
			case <-t.wake:
			case <-ctx.Done():
			}
			continue
		}
		t.checkDirect(ctx)
		pause.For(ctx, checkInterval)
	}
}

// checkDirect tries the lost paths that are due, and waits for the results.
func (t *Table) checkDirect(ctx context.Context) {
	var checks sync.WaitGroup
	for _, addr := range t.dueChecks(time.Now()) {
		checks.Go(func() {
			dialCtx, cancel := context.WithTimeout(ctx, directCheckTimeout)
			defer cancel()
			conn, err := t.cfg.Dial(dialCtx, "tcp", addr)
			switch {
			case err == nil:
				_ = conn.Close() // it was opened as a test
				t.recordReturn(addr)
			case ctx.Err() == nil:
				t.recordDirectFailure(addr)
			}
		})
	}
	checks.Wait()
}

// dueChecks returns the addresses of the lost paths to try now.
func (t *Table) dueChecks(now time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.dropUnlisted(now)
	limit := maxDirectChecks
	if t.outlook.Lost() {
		limit = maxLostChecks
	}
	var due []string
	for addr, path := range t.paths {
		if path.DirectCheckDue(now) {
			due = append(due, addr)
		}
	}
	t.rng.Shuffle(len(due), func(i, j int) { due[i], due[j] = due[j], due[i] })
	return due[:min(limit, len(due))]
}

// dropUnlisted drops the lost paths to endpoints that are gone; t.mu must be held.
func (t *Table) dropUnlisted(now time.Time) {
	before := len(t.paths)
	maps.DeleteFunc(t.paths, func(addr string, p reach.Path) bool {
		_, listed := t.cfg.Find(addr, now)
		return p.Detoured() && !listed
	})
	if len(t.paths) == before {
		return
	}
	t.outlook = t.outlook.WithDetoured(t.detoured())
	t.active.Store(t.outlook.Detoured() > 0)
}

// detoured returns the number of paths that are known to be lost; t.mu must be held.
func (t *Table) detoured() int {
	n := 0
	for _, p := range t.paths {
		if p.Detoured() && !p.Presumed() {
			n++
		}
	}
	return n
}

// recordDirectFailure records that a direct connection failed to open. Requests that wait for a
// response on the direct path are given up.
func (t *Table) recordDirectFailure(addr string) {
	now := time.Now()
	t.mu.Lock()
	path := t.paths[addr]
	if !path.Detoured() { // a concurrent check has found that it works
		t.mu.Unlock()
		return
	}
	t.paths[addr] = path.WithDirectFailure(t.outlook.DirectCheckPause(t.opts, t.rng.Float64()), now)
	given := t.outstanding[addr]
	delete(t.outstanding, addr)
	calls := slices.Collect(maps.Keys(given))
	t.mu.Unlock()
	for _, f := range calls {
		(*f)()
	}
}

// recordReturn records that the path to an endpoint works again. Other lost paths are tried at once.
func (t *Table) recordReturn(addr string) {
	now := time.Now()
	t.mu.Lock()
	path := t.paths[addr]
	if !path.Detoured() {
		t.mu.Unlock()
		return
	}
	delete(t.paths, addr)
	for other, p := range t.paths {
		switch {
		case p.Presumed():
			delete(t.paths, other)
		case p.Detoured():
			t.paths[other] = p.WithDirectCheckDue(now)
		}
	}
	remaining := t.detoured()
	wasLost := t.outlook.Lost()
	t.outlook = t.outlook.WithReturn(path, remaining, now)
	t.silence.Store(int64(t.outlook.Silence(t.opts)))
	t.active.Store(remaining > 0)
	t.mu.Unlock()
	t.cfg.Log.Info("path to endpoint works again", "addr", addr, "after", now.Sub(path.DetouredAt()).Round(time.Millisecond).String(), "remaining", remaining)
	if wasLost || remaining == 0 {
		t.closeIdle(true)
	}
}

// Status returns the state of all paths.
func (t *Table) Status(now time.Time) Status {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := Status{
		Lost: t.outlook.Lost(), NoneReached: t.noneReached(now), Carriers: t.carriers.Len(), Detoured: []PathStatus{},
	}
	for _, addr := range slices.Sorted(maps.Keys(t.paths)) {
		if p := t.paths[addr]; p.Detoured() {
			service, _ := t.cfg.Find(addr, now)
			s.Detoured = append(s.Detoured, PathStatus{Addr: addr, Service: service, Since: now.Sub(p.DetouredAt()), Confirmed: p.Confirmed(), Presumed: p.Presumed()})
		}
	}
	return s
}
