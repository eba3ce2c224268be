package soak

import (
	"cmp"
	"fmt"
	"slices"
	"syscall"
	"time"

	"github.com/lotuswing/lotuswing/platform/platformtest"
)

// A planned stop is SIGTERM and, for a process that is still there after the grace, SIGKILL. What
// callers saw around it is compared with the promises below. A planned stop binds whatever the store
// does meanwhile, and whatever other balancers do.

// Times of the balancers' planned stops.
const (
	stopNotice = 700 * time.Millisecond
	stopLimit  = 5 * time.Second // more than the grace leaves
	stopGrace  = 2 * time.Second
)

const (
	// signalDelay is how long a signal takes at most until its process knows of it; it only excuses.
	signalDelay = 200 * time.Millisecond
	// troubleStays is how long the trouble of an endpoint shows in requests after its end.
	troubleStays = time.Second
)

// Promises of planned stops. They bind requests of callers that keep their connections, at a balancer
// that was being stopped at some time between sending and end of the request, if since touchTime before
// the sending nothing else disturbed it (a pause, a kill, a suspension, a second signal) and no
// endpoint that ran the request was in trouble. The store and other balancers excuse nothing.
const (
	// StopsLoseNothing: a request that was sent before the notice had ended, and that an endpoint ran,
	// does not lose its connection without a byte of its response. Any whole response will do, and a
	// response before it that closes the connection.
	StopsLoseNothing Promise = "a planned stop cuts no request that was passed on"
	// LateIsAnswered: the same for a request that was sent after the notice. If no endpoint ran it, a
	// lost connection is allowed: its caller knows no more than that it was closed.
	LateIsAnswered Promise = "a request sent after the notice of a planned stop is answered, or was not read"
	// StopsEndBetween: no connection ends within a response.
	StopsEndBetween Promise = "in a planned stop no connection ends within a response"
	// LateNotGivenUp: a request that was sent later than signalDelay after the notice, and that an
	// endpoint ran, gets no 502 or 504 that says that it may have run before its time is up.
	LateNotGivenUp Promise = "a request sent after the notice of a planned stop is not given up for it"
	// StopsInTime: a process that nothing else disturbed has ended by itself at its grace. It depends on a
	// machine that gives every process its turn. Losses that begin with the kill count here alone.
	StopsInTime Promise = "a planned stop ends before its grace"
)

// plannedStop is one planned stop of a balancer.
type plannedStop struct {
	balancer     string
	began, ended time.Time
	killed       time.Time // at its grace; zero for one that ended by itself
}

// trouble is a time in which an endpoint, or the link to it, spoilt responses.
type trouble struct {
	endpoint string
	from, to time.Time
}

// stop notes a planned stop that has ended.
func (c *calendar) stop(s plannedStop) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stops = append(c.stops, s)
}

// spoil notes the trouble of an endpoint.
func (c *calendar) spoil(endpoint string, from, to time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.troubles = append(c.troubles, trouble{endpoint, from, to})
}

// bindsStop reports whether the promises of planned stops bind a balancer in a time; c.mu is held.
func (c *calendar) bindsStop(balancer string, from, to time.Time) bool {
	from = from.Add(-touchTime)
	return !slices.ContainsFunc(c.disturbances, func(d disturbance) bool {
		return !d.bearable && (d.balancer == "" || d.balancer == balancer) && d.from.Before(to) && d.to.After(from)
	})
}

// spoilt reports whether one of some endpoints was in trouble in a time; c.mu is held.
func (c *calendar) spoilt(endpoints []string, from, to time.Time) bool {
	return slices.ContainsFunc(c.troubles, func(t trouble) bool {
		return slices.Contains(endpoints, t.endpoint) && t.from.Before(to) && t.to.Add(troubleStays).After(from)
	})
}

// stopDuring returns the first stop of a balancer that overlaps a time; c.mu is held.
func (c *calendar) stopDuring(balancer string, from, to time.Time) (plannedStop, bool) {
	i := slices.IndexFunc(c.stops, func(s plannedStop) bool {
		return s.balancer == balancer && !s.began.After(to) && !s.ended.Before(from)
	})
	if i < 0 {
		return plannedStop{}, false
	}
	return c.stops[i], true
}

// beginStop begins a planned stop, whose process is killed at the grace. The function that it returns
// waits for the end of the process.
func (w *world) beginStop(b *balancer) (gone func()) {
	s := plannedStop{balancer: b.id, began: time.Now()}
	b.signal(syscall.SIGCONT)
	b.signal(syscall.SIGTERM)
	done := make(chan struct{})
	go func() {
		defer close(done)
		if !b.goneWithin(stopGrace) {
			s.killed = time.Now()
			b.signal(syscall.SIGKILL)
			b.gone()
		}
		s.ended = time.Now()
		w.calendar.stop(s)
		w.log.Info("planned stop ended", "id", b.id, "took", s.ended.Sub(s.began), "killed", !s.killed.IsZero())
	}()
	return func() { <-done }
}

// goneWithin waits for the process's end, but not longer than d, and reports whether it came.
func (b *balancer) goneWithin(d time.Duration) bool {
	b.mu.Lock()
	exited := b.exited
	b.mu.Unlock()
	limit := time.NewTimer(d)
	defer limit.Stop()
	select {
	case <-exited:
		return true
	case <-limit.C:
		return false
	}
}

// checkStops compares what callers with kept connections saw in planned stops with the promises, and
// returns how many processes were killed at their grace.
func (l *ledger) checkStops(c *calendar, endpoints []*endpoint, timed bool) (killed int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range c.stops {
		if s.killed.IsZero() {
			continue
		}
		killed++
		if timed && c.bindsStop(s.balancer, s.began, s.killed) {
			l.broken(StopsInTime, s.balancer, "killed %v after SIGTERM", s.killed.Sub(s.began))
		}
	}
	ran := ranAt(endpoints)
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, r := range l.sent {
		if v, broken := c.brokenByStop(r, ran[id]); broken {
			l.violations = append(l.violations, v)
		}
	}
	return killed
}

// ranAt returns which endpoints ran each request.
func ranAt(endpoints []*endpoint) map[string][]string {
	ran := map[string][]string{}
	for _, e := range endpoints {
		for _, run := range e.server.Runs() {
			ran[run.Request] = append(ran[run.Request], e.server.ID)
		}
	}
	return ran
}

// brokenByStop returns which promise a stop broke to a request; c.mu is held.
func (c *calendar) brokenByStop(r *sentRequest, ran []string) (Violation, bool) {
	until := r.ended
	if !r.lost.IsZero() {
		until = r.lost
	}
	s, stopping := c.stopDuring(r.balancer, r.at, until)
	if until.IsZero() || !stopping || !c.bindsStop(r.balancer, r.at, until) || c.spoilt(ran, r.at, until) {
		return Violation{}, false
	}
	late := r.at.Sub(s.began.Add(stopNotice))
	p := promiseBroken(r, s, late, len(ran) > 0)
	detail := fmt.Sprintf("%s, %s %s sent %v after SIGTERM, %v after the notice, ended %v after SIGTERM with status %d, ran at %v",
		r.balancer, r.method, cmp.Or(r.kind, "plain"), r.at.Sub(s.began), late, until.Sub(s.began), r.status, ran)
	return Violation{p, r.id, detail}, p != ""
}

// promiseBroken returns the promise that a stop broke to a request that was sent late after its notice,
// and that ran or did not; empty for none.
func promiseBroken(r *sentRequest, s plannedStop, late time.Duration, ran bool) Promise {
	byKill := !s.killed.IsZero() && !r.lost.Before(s.killed)
	switch {
	case r.lost.IsZero():
		if r.mayHaveRun && ran && late > signalDelay && r.ended.Sub(r.at) < routeTimeout {
			return LateNotGivenUp
		}
	case byKill:
	case r.partial:
		return StopsEndBetween
	case ran && late > 0:
		return LateIsAnswered
	case ran:
		return StopsLoseNothing
	}
	return ""
}

// slowBehavior is that of the endpoints whose requests meet a stop while they run: 300 to 900 ms.
func slowBehavior(number int) platformtest.Behavior {
	return platformtest.Behavior{ServiceTime: time.Duration(300+number*7%13*50) * time.Millisecond, Slots: slowSlots}
}

const slowSlots = 24
