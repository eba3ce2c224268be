package soak

import (
	"slices"
	"sync"
	"time"
)

// Limits of the promises that have one. They are the platform's bounds with
// time for a machine that many processes share.
const (
	leaveLimit  = 3 * time.Second
	applyLimit  = 3 * time.Second
	answerSlack = 2 * time.Second
	// touchTime is how long a balancer must have been left alone for a promise
	// with a limit to bind it.
	touchTime = 3 * time.Second
)

// disturbance is a time in which a balancer, or all of them, could not keep
// promises that have a limit.
type disturbance struct {
	balancer string // empty for all
	from, to time.Time
	bearable bool // it excuses nothing around a planned stop
}

// calendar holds what happened when.
type calendar struct {
	mu           sync.Mutex
	disturbances []disturbance
	versions     []version
	emptyings    []emptying
	coolings     []cooling
	limitings    []limiting

	partitionings []partitioning
	stops         []plannedStop
	troubles      []trouble
}

// version is a configuration with the service that it sends "/move/" to.
type version struct {
	number  uint64
	service string
	at      time.Time
}

func (c *calendar) disturb(balancer string, from, to time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.disturbances = append(c.disturbances, disturbance{balancer: balancer, from: from, to: to})
}

// bear notes a disturbance that excuses nothing around a planned stop: of the store, or the stop itself.
func (c *calendar) bear(balancer string, from, to time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.disturbances = append(c.disturbances, disturbance{balancer: balancer, from: from, to: to, bearable: true})
}

func (c *calendar) publish(v version) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.versions = append(c.versions, v)
}

// quiet reports whether nothing disturbed a balancer in a time and the touch
// time before it; c.mu is held.
func (c *calendar) quiet(balancer string, from, to time.Time) bool {
	from = from.Add(-touchTime)
	return !slices.ContainsFunc(c.disturbances, func(d disturbance) bool {
		return (d.balancer == "" || d.balancer == balancer) && d.from.Before(to) && d.to.After(from)
	})
}

// checkTimed compares what ran with the promises that have a limit.
func (l *ledger) checkTimed(c *calendar, endpoints []*endpoint) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, e := range endpoints {
		for _, run := range e.server.Runs() {
			l.mu.Lock()
			r := l.sent[run.Request]
			l.mu.Unlock()
			if r == nil {
				continue
			}
			if !e.left.IsZero() && run.At.Sub(e.left) > leaveLimit && c.quiet(r.balancer, e.left, run.At) {
				l.broken(NoLateWork, r.id, "%s left %v before the request reached it, by %s", e.server.ID, run.At.Sub(e.left), r.balancer)
			}
			l.checkEmptied(c, r, run.At, e)
			if r.prefix() == movePrefix {
				l.checkMove(c, r, run.At, e.service)
			}
		}
	}
	l.checkEnds(c)
}

// checkMove compares where a request ran with the configurations that may have
// been in force when it was sent; c.mu is held.
func (l *ledger) checkMove(c *calendar, r *sentRequest, ranAt time.Time, service string) {
	allowed := map[string]bool{}
	for i, v := range c.versions {
		if v.at.After(ranAt) {
			break
		}
		if r.at.Sub(v.at) > applyLimit && c.quiet(r.balancer, v.at, ranAt) {
			clear(allowed) // this one was in force; older ones are not any more
		}
		allowed[c.versions[i].service] = true
	}
	if len(allowed) > 0 && !allowed[service] {
		l.broken(InForce, r.id, "%s sent it to %s, which only an older configuration does", r.balancer, service)
	}
}

// begins returns when the time of a request began at the latest: one behind others waits for its turn.
func (r *sentRequest) begins() time.Time {
	if r.turn.After(r.at) {
		return r.turn
	}
	return r.at
}

// checkEnds compares the times of final answers with the routes' timeout; c.mu
// is held.
func (l *ledger) checkEnds(c *calendar) {
	l.mu.Lock()
	var late []*sentRequest
	for _, r := range l.sent {
		if !r.ended.IsZero() && r.ended.Sub(r.begins()) > routeTimeout+answerSlack && c.quiet(r.balancer, r.begins(), r.ended) {
			late = append(late, r)
		}
	}
	l.mu.Unlock()
	for _, r := range late {
		l.broken(FinalInTime, r.id, "%s answered with %d after %v", r.balancer, r.status, r.ended.Sub(r.begins()))
	}
}
