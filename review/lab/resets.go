//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// The case stop-resets: balancers are stopped and started in turn, while clients send more safe requests
// behind a large answer that they wait for. Rule LOST: a request that was passed on to a server ends
// without a complete answer around a SIGTERM.

const (
	resetServers  = 14
	resetSlots    = 2
	resetRounds   = 3
	resetClients  = 6 // of each balancer
	resetSize     = 400_000
	resetWorkMin  = 100 * time.Millisecond
	resetWorkMax  = 600 * time.Millisecond
	resetNext     = 100 * time.Millisecond // mean time between two requests on one connection
	resetBetween  = 500 * time.Millisecond // mean pause between two uses of a connection
	resetMore     = 4                      // most requests behind the first one
	resetGap      = 2 * time.Second        // between the start of one balancer and the stop of the next
	missesTime    = 2 * time.Second        // after which the platform sends no new connections to a balancer that is not ready
	lossSlack     = 200 * time.Millisecond
	statusSize    = 400
	statusPath    = "status/"
	warmUp        = 2 * time.Second
	clientsWait   = 6 * time.Second
	startWait     = 10 * time.Second
	lastOfGrace   = grace / 6 // in which a server's work excuses an end
	lateAfterTerm = 3 * time.Second
)

// stopResets is the case.
func stopResets(l *lab) (broken bool, err error) {
	l.store.publish(1, []route{packRoute}, packService)
	p := &pool{lab: l, answerOf: resetAnswer}
	if err := p.fill(resetServers); err != nil {
		return false, err
	}
	if err := l.startBalancers(vpat, zones...); err != nil {
		return false, err
	}
	s := &stopping{lab: l}
	for _, b := range l.balancers {
		link, err := newMachineLink(b.front, vpat.linkMbps)
		if err != nil {
			return false, err
		}
		s.nodes = append(s.nodes, &node{balancer: b, link: link})
	}
	var clients sync.WaitGroup
	for n := range resetClients * len(s.nodes) {
		clients.Go(func() { s.client(n) })
	}
	time.Sleep(warmUp)
	if l.trouble {
		err = s.roll()
	} else {
		time.Sleep(resetRounds * time.Duration(len(s.nodes)) * (clientsWait - warmUp + resetGap))
	}
	s.over.Store(true)
	clients.Wait()
	l.record.line("requests %d, lost around a stop %d, otherwise not whole %d", s.asked.Load(), s.lost.Load(), s.other.Load())
	return s.lost.Load() > 0, err
}

// resetAnswer returns the answer to a request.
func resetAnswer(path string) answer {
	if strings.HasPrefix(path, packPrefix+statusPath) {
		return answer{work: resetWorkMin, size: statusSize}
	}
	return answer{work: resetWorkMin + rand.N(resetWorkMax-resetWorkMin), size: resetSize}
}

// node is a balancer behind its link.
type node struct {
	*balancer
	link *machineLink

	mu        sync.Mutex
	stoppedAt time.Time // zero unless it is stopping or stopped
}

// takesNew reports whether the platform sends new connections to the balancer.
func (n *node) takesNew(now time.Time) bool {
	at := n.stopped()
	return at.IsZero() || now.Sub(at) < missesTime
}

// stopped returns when the stop was asked for.
func (n *node) stopped() time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.stoppedAt
}

func (n *node) setStopped(at time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.stoppedAt = at
}

// stopping is the state of the case.
type stopping struct {
	lab                *lab
	nodes              []*node
	over               atomic.Bool
	asked, lost, other atomic.Int64
	sequence           atomic.Int64
}

// roll stops and starts the balancers in turn.
func (s *stopping) roll() error {
	for range resetRounds {
		for n, node := range s.nodes {
			node.setStopped(time.Now())
			s.lab.stop(node.balancer)
			node.ended = make(chan struct{})
			if err := s.lab.start(node.balancer, vpat, zones[n], zones); err != nil {
				return err
			}
			for until := time.Now().Add(startWait); !s.lab.allReady(); time.Sleep(endPoll) {
				if time.Now().After(until) {
					return fmt.Errorf("%s is not ready", node.id)
				}
			}
			node.setStopped(time.Time{})
			time.Sleep(resetGap)
		}
	}
	return nil
}

// client uses connections until the case is over. Its home is one balancer, and another one while that takes
// no new connections.
func (s *stopping) client(number int) {
	for !s.over.Load() {
		node := s.nodes[number%len(s.nodes)]
		for next := number + 1; !node.takesNew(time.Now()); next++ {
			node = s.nodes[next%len(s.nodes)]
		}
		c, err := net.DialTimeout("tcp", node.link.addr, time.Second)
		if err != nil {
			time.Sleep(resetBetween)
			continue
		}
		for s.use(node, c) && !s.over.Load() {
			time.Sleep(rand.N(2 * resetBetween))
		}
		_ = c.Close()
	}
}

// sent is a request that a client has sent.
type sent struct {
	request
	at time.Time
}

// use sends a request for a large answer and some more behind it, until the answer begins, and reads the
// answers. It reports whether the connection is kept.
func (s *stopping) use(node *node, c net.Conn) bool {
	_ = c.SetDeadline(time.Now().Add(clientsWait))
	u := &usage{stopping: s, node: node, conn: c, begun: make(chan struct{})}
	if !u.send(fmt.Sprintf("%s%d", packPrefix, s.sequence.Add(1))) {
		return false
	}
	more := make(chan struct{})
	go func() {
		defer close(more)
		u.sendMore()
	}()
	r := bufio.NewReader(c)
	kept := true
	for n := 0; kept; n++ {
		if n == 1 {
			<-more
		}
		next, ok := u.request(n)
		if !ok {
			break
		}
		o := readAnswer(r, u.begins)
		u.begins()
		kept = u.judge(next, o)
	}
	<-more
	return kept
}

// usage is one use of a connection.
type usage struct {
	stopping *stopping
	node     *node
	conn     net.Conn
	begun    chan struct{} // closed when the first answer has begun
	once     sync.Once

	mu   sync.Mutex
	sent []sent
}

// begins notes that the first answer has begun, or failed.
func (u *usage) begins() { u.once.Do(func() { close(u.begun) }) }

// request returns the n-th request that was sent.
func (u *usage) request(n int) (sent, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if n >= len(u.sent) {
		return sent{}, false
	}
	return u.sent[n], true
}

// send sends a request.
func (u *usage) send(path string) bool {
	s := sent{request: request{id: fmt.Sprintf("r%06d", u.stopping.asked.Add(1)), host: packHost, path: path, deadline: packDeadline}, at: time.Now()}
	u.mu.Lock()
	u.sent = append(u.sent, s)
	u.mu.Unlock()
	u.stopping.lab.record.line("client %s sends %s %s to %s", u.conn.LocalAddr(), s.id, path, u.node.id)
	_, err := io.Copy(u.conn, strings.NewReader(s.text()))
	return err == nil
}

// sendMore sends requests behind the first one until its answer begins.
func (u *usage) sendMore() {
	for range resetMore {
		select {
		case <-u.begun:
			return
		case <-time.After(rand.N(2 * resetNext)):
		}
		select {
		case <-u.begun:
			return
		default:
		}
		if !u.send(fmt.Sprintf("%s%s%d", packPrefix, statusPath, u.stopping.sequence.Add(1))) {
			return
		}
	}
}

// judge records how a request ended, and reports whether the connection is kept. A request whose answer has
// begun was passed on to a server.
func (u *usage) judge(r sent, o outcome) (kept bool) {
	now := time.Now()
	u.stopping.lab.record.line("client %s, %s of %s: %s after %.3f s", u.conn.LocalAddr(), r.id, u.node.id, o, now.Sub(r.at).Seconds())
	if o.complete {
		return !o.closes
	}
	stopped := u.node.stopped()
	inTime := now.Sub(r.at) < packTimeout
	around := !stopped.IsZero() && r.at.Before(stopped.Add(lateAfterTerm)) && now.Before(stopped.Add(grace-lastOfGrace))
	switch {
	case o.begun && inTime && around:
		u.stopping.lab.record.line("LOST: %s was passed on, and ended without a complete answer %.3f s after SIGTERM to %s", r.id, now.Sub(stopped).Seconds(), u.node.id)
		u.stopping.lost.Add(1)
	case o.begun:
		u.stopping.other.Add(1)
	}
	return false
}
