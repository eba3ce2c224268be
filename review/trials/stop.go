//go:build review

package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/lotuswing/lotuswing/tenant"
)

// Figures of the case.
const (
	stopBytes   = 160 << 10
	stopWork    = 100 * time.Millisecond
	stopTimeout = 5 * time.Second // of the route, and of the client
	stopClients = 12
	stopDepth   = 3         // requests that a client has sent before it has the first answer
	stopLink    = 1_250_000 // bytes a second that a client takes: 10 Mbit/s
	stopWindow  = 16 << 10  // of a client, in bytes
	stopFor     = 9 * time.Second
	stopAt      = 3 * time.Second
)

// stoppedUnderPipelines stops one of three balancers, as a planned stop, under clients that send further
// safe requests before the first has its answer, and that take an answer in 130 ms.
func stoppedUnderPipelines(w *world) (bool, error) {
	var servers []*server
	for i := range 8 {
		s, err := w.startServer(fmt.Sprintf("i-%d", i+1), "packs", "medina", 24, 1)
		if err != nil {
			return false, err
		}
		servers = append(servers, s)
	}
	w.store.Publish(2, []tenant.PrefixRoute{{
		Name: "pack-fetch", Host: "packs.example", Prefix: "/packs/", Repeatable: true, Timeout: stopTimeout, Target: 1500 * time.Millisecond,
		Priority: 2, MaxAttempts: 2, Split: []tenant.Share{{Service: "packs", Weight: 1}},
	}}, map[string]tenant.Service{"packs": {ProbePath: "/health", Connections: 260}})
	if err := w.startBalancers(3, "medina"); err != nil {
		return false, err
	}
	stopped := w.balancers[0]
	var out atomic.Bool // the platform sends no new connections to it any more
	if w.trouble {
		time.AfterFunc(stopAt, func() {
			time.AfterFunc(2*time.Second, func() { out.Store(true) })
			w.note("SIGTERM to %s", stopped.id)
			_ = stopped.cmd.Process.Signal(syscall.SIGTERM)
		})
	}
	var mu sync.Mutex
	var all []outcome
	var clients sync.WaitGroup
	until := time.Now().Add(stopFor)
	for i := range stopClients {
		p := &pipelined{
			name: fmt.Sprintf("c%02d", i), host: "packs.example", path: fmt.Sprintf("/packs/%d/%d", stopWork.Milliseconds(), stopBytes),
			link: link{bytesPerS: stopLink, window: stopWindow}, depth: stopDepth, deadline: stopTimeout,
		}
		clients.Go(func() {
			for n := 0; time.Now().Before(until); n++ {
				to := w.balancers[(i+n)%len(w.balancers)]
				if to == stopped && out.Load() {
					continue
				}
				seen, err := p.run(to.listen, until)
				if err != nil {
					w.note("client %s: %v", p.name, err)
				}
				mu.Lock()
				all = append(all, seen...)
				mu.Unlock()
			}
		})
	}
	clients.Wait()
	return w.judgeLost(all, servers), nil
}

// judgeLost checks the rule LOST: around a planned stop, a connection ends without a complete answer to a
// request that had been passed on to a server.
func (w *world) judgeLost(all []outcome, servers []*server) (broken bool) {
	whole, unread, lost, other := 0, 0, 0, 0
	for _, o := range all {
		ran := 0
		for _, s := range servers {
			s.mu.Lock()
			ran += s.ran[o.id]
			s.mu.Unlock()
		}
		w.note("%v; ran %d times", o, ran)
		switch {
		case o.whole:
			whole++
		case o.err == nil:
			other++
		case ran == 0:
			unread++
		default:
			lost++
			w.note("lost, though a server ran it: %s", o.id)
		}
	}
	w.note("%d requests: %d answered whole, %d answered otherwise, %d not passed on, %d run by a server and without a complete answer", len(all), whole, other, unread, lost)
	return lost > 0
}
