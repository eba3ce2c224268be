//go:build review

package main

import (
	"fmt"
	"sync"
	"time"
)

// The case stalled-answer: servers are lost in the middle of their answers, silent. Rule CONFIG: of the
// requests that outlast the timeoutMs of their route, balancers give no final answer 0.5 s after it to
// eight or more and to over a quarter.

const (
	stalledServers = 14
	stalledSlots   = 2
	stalledLost    = 2 // 0.143 of the servers, at a time
	stalledLosses  = 9
	stalledGap     = 5 * time.Second // between two losses
	stalledDark    = 4500 * time.Millisecond
	stalledEvery   = 65 * time.Millisecond // between two requests
	stalledSize    = 500_000
	stalledWork    = 130 * time.Millisecond
	stalledSend    = 1200 * time.Millisecond

	packTimeout  = 2500 * time.Millisecond
	packTarget   = 1500 * time.Millisecond
	packDeadline = 5 * time.Second
	answerSlack  = 500 * time.Millisecond

	packHost    = "packs.example"
	packPrefix  = "/packs/"
	packService = "pack-store"
)

// packRoute is the route of large answers.
var packRoute = route{name: "pack-fetch", host: packHost, prefix: packPrefix, kind: "download", service: packService, timeout: packTimeout, target: packTarget}

var zones = []string{"suva-a", "nadi-b", "lautoka-c"}

// stalledAnswer is the case.
func stalledAnswer(l *lab) (broken bool, err error) {
	l.store.publish(1, []route{packRoute}, packService)
	p := &pool{lab: l, answerOf: func(string) answer { return answer{work: stalledWork, size: stalledSize, send: stalledSend} }}
	if err := p.fill(stalledServers); err != nil {
		return false, err
	}
	if err := l.startBalancers(vpat, zones...); err != nil {
		return false, err
	}
	if l.trouble {
		go p.lose()
	}
	counts := &timeouts{}
	var all sync.WaitGroup
	ticker := time.NewTicker(stalledEvery)
	defer ticker.Stop()
	end := time.Now().Add((stalledLosses + 1) * stalledGap)
	for n := 0; time.Now().Before(end); n++ {
		<-ticker.C
		r := request{id: fmt.Sprintf("pack%06d", n), host: packHost, path: fmt.Sprintf("%s%d", packPrefix, n), deadline: packDeadline}
		b := l.balancers[n%len(l.balancers)]
		all.Go(func() { counts.ask(l, b, r) })
	}
	all.Wait()
	return counts.broken(l), nil
}

// pool is a service's servers.
type pool struct {
	lab      *lab
	answerOf func(path string) answer

	started int
	servers []*backend
}

// fill starts servers.
func (p *pool) fill(count int) error {
	for range count {
		p.started++
		b, err := p.lab.startBackend(fmt.Sprintf("i-%04d", p.started), packService, zones[p.started%len(zones)], stalledSlots, p.answerOf)
		if err != nil {
			return err
		}
		p.servers = append(p.servers, b)
	}
	return nil
}

// lose makes servers lose their power again and again; others come in their place.
func (p *pool) lose() {
	for range stalledLosses {
		time.Sleep(stalledGap - stalledDark)
		for _, b := range p.servers[:stalledLost] {
			p.lab.losePower(b)
		}
		p.servers = p.servers[stalledLost:]
		time.Sleep(stalledDark)
		if err := p.fill(stalledLost); err != nil {
			p.lab.record.line("no server started: %v", err)
		}
	}
}

// timeouts counts requests by how long they waited for their final answer.
type timeouts struct {
	mu         sync.Mutex
	asked      int
	outlasted  int // without one at the timeout of their route
	unanswered int // without one answerSlack later
}

// ask sends a request and counts it.
func (t *timeouts) ask(l *lab, b *balancer, r request) {
	l.record.line("client sends %s to %s", r.id, b.id)
	sent := time.Now()
	o := ask(b.front, r)
	took := time.Since(sent)
	l.record.line("client of %s after %.3f s: %s", r.id, took.Seconds(), o)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.asked++
	if took > packTimeout {
		t.outlasted++
	}
	if took > packTimeout+answerSlack {
		t.unanswered++
	}
}

// Bounds of the rule.
const (
	mostUnanswered      = 8
	unansweredShareDiv  = 4
	unansweredAllowance = mostUnanswered - 1
)

// broken reports whether the rule was broken.
func (t *timeouts) broken(l *lab) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	l.record.line("asked %d, without a final answer at timeoutMs %d, and 0.5 s later %d", t.asked, t.outlasted, t.unanswered)
	return t.unanswered > unansweredAllowance && t.unanswered*unansweredShareDiv > t.outlasted
}
