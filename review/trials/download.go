//go:build review

package main

import (
	"fmt"
	"sync"
	"time"

	"github.com/lotuswing/lotuswing/tenant"
)

// Figures of the case: a small deployment whose service has eight servers, and answers of 256 KiB.
const (
	downloadServers  = 8
	downloadSlots    = 48
	downloadBytes    = 256 << 10
	downloadWork     = 900 * time.Millisecond
	downloadTimeout  = 2500 * time.Millisecond // of the route
	downloadDeadline = 10 * time.Second        // of the client
	downloadEvery    = 5 * time.Millisecond
	downloadFor      = 6 * time.Second
	downloadDarkAt   = 3 * time.Second
	finalAnswerSlack = 500 * time.Millisecond // by the rule
	mostOutlasting   = 8                      // by the rule
)

// stalledDownload lets one of eight servers fall silent while it sends answers.
func stalledDownload(w *world) (bool, error) {
	var servers []*server
	for i := range downloadServers {
		s, err := w.startServer(fmt.Sprintf("i-%d", i+1), "packs", "medina", downloadSlots, 16)
		if err != nil {
			return false, err
		}
		servers = append(servers, s)
	}
	w.store.Publish(2, []tenant.PrefixRoute{{
		Name: "pack-fetch", Host: "packs.example", Prefix: "/packs/", Repeatable: true, Timeout: downloadTimeout, Target: 1500 * time.Millisecond,
		Priority: 2, MaxAttempts: 2, Split: []tenant.Share{{Service: "packs", Weight: 1}},
	}}, map[string]tenant.Service{"packs": {ProbePath: "/health", Connections: 260}})
	if err := w.startBalancers(3, "medina"); err != nil {
		return false, err
	}
	if w.trouble {
		time.AfterFunc(downloadDarkAt, servers[0].goDark)
	}
	client := newClient()
	path := fmt.Sprintf("/packs/%d/%d", downloadWork.Milliseconds(), downloadBytes)
	var mu sync.Mutex
	var all []outcome
	var clients sync.WaitGroup
	for i := 0; time.Duration(i)*downloadEvery < downloadFor; i++ {
		to := w.balancers[i%len(w.balancers)].listen
		clients.Go(func() {
			o := get(client, to, "packs.example", path, fmt.Sprintf("r%06d", i), downloadDeadline)
			w.note("%v", o)
			mu.Lock()
			defer mu.Unlock()
			all = append(all, o)
		})
		time.Sleep(downloadEvery)
	}
	clients.Wait()
	return w.judgeFinalAnswers(all, downloadTimeout), nil
}

// judgeFinalAnswers checks the rule CONFIG: of the requests that outlast the timeout of their route, eight
// or more and over a quarter get no final answer half a second after it.
func (w *world) judgeFinalAnswers(all []outcome, timeout time.Duration) (broken bool) {
	outlast, late, whole, never := 0, 0, 0, 0
	for _, o := range all {
		if o.whole {
			whole++
		}
		if !o.ended {
			never++
		}
		if o.took > timeout {
			outlast++
		}
		if o.took > timeout+finalAnswerSlack {
			late++
		}
	}
	w.note("%d requests, %d answered whole; %d outlast the timeout of %v; %d of these have no final answer %v after it; %d have none at the client's deadline",
		len(all), whole, outlast, timeout, late, finalAnswerSlack, never)
	return late >= mostOutlasting && 4*late > outlast
}
