package soak

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/lotuswing/lotuswing/audit"
	"github.com/lotuswing/lotuswing/internal/pause"
	"github.com/lotuswing/lotuswing/platform/platformtest"
)

// Endpoints say in their answers that they leave, of which the store knows nothing, or refuse all
// requests and ask for a time without any. These faults strike beside the others, drawn from numbers
// of their own.

const (
	// refusesFor is how long an endpoint refuses all at most.
	refusesFor = 6 * time.Second
	// staysFor is how long one that leaves serves on at the least, and half as long again at most.
	staysFor = 4 * time.Second
)

// backoffs are what endpoints ask for, some of which is no time.
var backoffs = []string{"0", "0.3", "1", "2.5", "4", "soon", "-1"}

// strikeWords lets endpoints say such things at times, a mean gap apart, until ctx ends.
func (w *world) strikeWords(ctx context.Context, gap time.Duration, rng *rand.Rand, report func(string)) {
	var saying sync.WaitGroup
	defer saying.Wait()
	rest := func() { pause.For(ctx, time.Duration(rng.Int64N(int64(2*gap)))) }
	for rest(); ctx.Err() == nil; rest() {
		e := w.drawLimited(rng)
		d := time.Duration(rng.Int64N(int64(refusesFor)))
		if rng.IntN(3) == 0 {
			report("leaving said")
			saying.Go(func() { w.sayLeaving(ctx, e, staysFor+d/2) })
			continue
		}
		report("backoff asked")
		retryAfter := backoffs[rng.IntN(len(backoffs))]
		saying.Go(func() {
			e.refuse(retryAfter)
			pause.For(ctx, d)
			e.refuse("")
		})
	}
}

// refuse has the endpoint refuse all requests and ask for a time without any; empty ends that.
func (e *endpoint) refuse(retryAfter string) {
	e.server.Set(func(b *platformtest.Behavior) { b.Refuse, b.RetryAfter = retryAfter != "", retryAfter })
}

// sayLeaving has an endpoint say that it leaves, and takes it out of the store after a while. Another
// one takes its place.
func (w *world) sayLeaving(ctx context.Context, e *endpoint, stays time.Duration) {
	w.mu.Lock()
	_, err := w.addEndpoint(e.service)
	w.withdraw(e)
	w.mu.Unlock()
	if err != nil {
		w.fail(err)
		return
	}
	e.server.Set(func(b *platformtest.Behavior) { b.Leaving = true })
	pause.For(ctx, stays)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.store.RemoveServer(e.server.ID)
}

// checkWords compares what endpoints got of balancers that nothing disturbed with what they had told
// them.
func (l *ledger) checkWords(c *calendar, endpoints []*endpoint) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var arrivals []audit.Arrival
	for _, e := range endpoints {
		arrivals = append(arrivals, l.arrivedAt(e)...)
	}
	excused := func(a audit.Arrival, told time.Time) bool { return !c.quiet(a.Balancer, told, a.At) }
	for _, v := range audit.SentAfterLeaving(arrivals, leaveLimit, excused) {
		l.broken(WordsHold, "", "%s", v.What)
	}
	for _, v := range audit.SentInBackoff(arrivals, excused) {
		l.broken(WordsHold, "", "%s", v.What)
	}
}

// arrivedAt returns what an endpoint got, with who sent it and when.
func (l *ledger) arrivedAt(e *endpoint) (all []audit.Arrival) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, a := range e.server.Arrivals() {
		r := l.sent[a.Request]
		if r == nil {
			continue
		}
		a.Balancer, a.Sent = r.balancer, r.at
		all = append(all, a)
	}
	return all
}
