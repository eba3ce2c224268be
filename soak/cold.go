package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/lotuswing/lotuswing/internal/pause"
	"github.com/lotuswing/lotuswing/platform/platformtest"
)

// Endpoints turn cold at any moment, under the same identity or as new incarnations, single ones, those of a
// zone or of a service, and again while they warm up. Their entries say so late, more requests than they
// bear come at the same moment, and the links, the store and the balancers are disturbed meanwhile. These
// faults strike beside the others, drawn from numbers of their own, so that the plays of seeds without them
// stay what they were.

const (
	// leastCold and mostCold bound how long endpoints warm up.
	leastCold = 2 * time.Second
	mostCold  = 5 * time.Second
	// mostLate is how long an entry lags at most behind an endpoint that turned cold.
	mostLate = 1500 * time.Millisecond
	// mostAway is how long the store is away at most from shortly before endpoints turn cold.
	mostAway = 3 * time.Second
	// mostDown is how long an endpoint is down at most before it starts as a new incarnation.
	mostDown = 500 * time.Millisecond
	// leastLinkDelay and mostLinkDelay bound how late bytes come on a slow link.
	leastLinkDelay = 5 * time.Millisecond
	mostLinkDelay  = 400 * time.Millisecond
	// mostPause is how long balancers are paused at most.
	mostPause = 1200 * time.Millisecond
	// mostFails is how long a cold endpoint refuses or fails all at most.
	mostFails = 800 * time.Millisecond
	// leastBurst and mostBurst bound how many callers send at once, and burstPause is the mean pause between
	// two requests of one.
	leastBurst = 4
	mostBurst  = 40
	burstPause = 10 * time.Millisecond
	// longWork is how long requests of one service take, and manySlots how many of its requests an endpoint
	// takes at once.
	longWork  = 100 * time.Millisecond
	manySlots = 8
	// burstCallers is the number of the first caller of a burst.
	burstCallers = 100_000
)

// warmupRate returns how many requests a second a cold endpoint of a service bears.
func (w *world) warmupRate(service string) float64 {
	if w.colds && service == serviceBeta {
		return 5
	}
	return 2.5
}

// coldAllows returns how many requests a cold endpoint may get in a second.
func coldAllows(rate float64) float64 { return rate*1.5 + 8 }

// cooling is a time in which an endpoint warms up, and bears rate requests a second.
type cooling struct {
	endpoint *endpoint
	from, to time.Time
	rate     float64
}

func (c *calendar) cool(cold cooling) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.coolings = append(c.coolings, cold)
}

// turnCold lets an endpoint warm up for a time, at a pace in percent of the usual. Its entry says so late;
// w.mu is held.
func (w *world) turnCold(ctx context.Context, e *endpoint, length time.Duration, pace int, late time.Duration, warming *sync.WaitGroup) {
	until := time.Now().Add(length)
	if until.Before(e.coldUntil) {
		until = e.coldUntil
	}
	e.coldUntil = until
	e.server.Set(func(b *platformtest.Behavior) { b.ColdPace, b.ColdUntil = pace, until })
	w.calendar.cool(cooling{endpoint: e, from: time.Now(), to: until, rate: w.warmupRate(e.service)})
	if late == 0 {
		w.list(e, length)
	}
	warming.Go(func() {
		if late > 0 {
			pause.For(ctx, late)
			w.listAgain(e)
		}
		pause.For(ctx, time.Until(until))
		w.listAgain(e)
	})
}

// listAgain writes the entry of an endpoint that stays, with how much longer it warms up.
func (w *world) listAgain(e *endpoint) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if slices.Contains(w.current, e) {
		w.list(e, max(0, time.Until(e.coldUntil)))
	}
}

// restartEndpoint ends an endpoint without a word and starts another incarnation at its address after a
// while; nil if the endpoint is not there any more, or ctx ends.
func (w *world) restartEndpoint(ctx context.Context, e *endpoint, down time.Duration) *endpoint {
	w.mu.Lock()
	if !slices.Contains(w.current, e) || len(w.current) == 1 {
		w.mu.Unlock()
		return nil
	}
	w.withdraw(e)
	w.mu.Unlock()
	_ = e.http.Close()
	e.proxy.resetAll()
	pause.For(ctx, down)
	w.mu.Lock()
	defer w.mu.Unlock()
	next, addr, err := w.startEndpoint(e.service)
	if err != nil {
		w.failure = err
		return nil
	}
	next.zone, next.proxy = e.zone, e.proxy
	next.proxy.Retarget(addr)
	w.add(next)
	w.store.RemoveServer(e.server.ID)
	return next
}

// snap is how some endpoints turn cold.
type snap struct {
	struck  []*endpoint
	restart bool          // as new incarnations
	down    time.Duration // before they start
	length  time.Duration
	pace    int
	late    time.Duration                           // of their entries
	again   time.Duration                           // from then on, once more; 0 for not
	delay   time.Duration                           // of their links; 0 for none
	fails   func(b *platformtest.Behavior, on bool) // nil for not

	failsAfter, failsFor time.Duration

	away    time.Duration // of the store; 0 for none
	paused  []*balancer
	killed  []*balancer
	callers int // of the burst
	demand  time.Duration
}

// drawSnap draws which endpoints turn cold, and what comes with it.
func (w *world) drawSnap(rng *rand.Rand) snap {
	upTo := func(most time.Duration) time.Duration { return time.Duration(rng.Int64N(int64(most))) }
	oneIn := func(n int) bool { return rng.IntN(n) == 0 }
	s := snap{
		struck: w.drawStruck(rng), restart: oneIn(3), down: upTo(mostDown), length: leastCold + upTo(mostCold-leastCold), pace: 200 + rng.IntN(201),
		late: upTo(mostLate), callers: leastBurst + rng.IntN(mostBurst-leastBurst+1),
	}
	s.failsAfter, s.failsFor = upTo(s.length/2), upTo(mostFails)
	s.demand = s.length/2 + upTo(s.length/2)
	if oneIn(3) {
		s.again = upTo(s.length)
	}
	if oneIn(2) {
		s.delay = leastLinkDelay + upTo(mostLinkDelay-leastLinkDelay)
	}
	if oneIn(3) {
		s.away = upTo(mostAway)
	}
	switch rng.IntN(4) {
	case 0:
		s.fails = func(b *platformtest.Behavior, on bool) { b.Refuse = on }
	case 1:
		s.fails = func(b *platformtest.Behavior, on bool) { b.ResetConnection = on }
	}
	for _, i := range rng.Perm(len(w.balancers))[:len(w.balancers)/2] {
		s.paused = append(s.paused, w.balancers[i])
	}
	if !oneIn(3) {
		s.paused = nil
	}
	if oneIn(4) {
		s.killed = w.balancers[:len(w.balancers)/3]
	}
	return s
}

// drawStruck draws a single endpoint, those of a zone or those of a service.
func (w *world) drawStruck(rng *rand.Rand) (struck []*endpoint) {
	w.mu.Lock()
	defer w.mu.Unlock()
	one, kind := w.current[rng.IntN(len(w.current))], rng.IntN(3)
	for _, e := range w.current {
		if e == one || kind == 1 && e.zone == one.zone || kind == 2 && e.service == one.service {
			struck = append(struck, e)
		}
	}
	return struck
}

// strikeCold lets endpoints turn cold at times, a mean gap apart, until ctx ends.
func (w *world) strikeCold(ctx context.Context, gap time.Duration, rng *rand.Rand, report func(string)) {
	var snaps sync.WaitGroup
	defer snaps.Wait()
	rest := func() { pause.For(ctx, time.Duration(rng.Int64N(int64(2*gap)))) }
	for rest(); ctx.Err() == nil; rest() {
		s, seed := w.drawSnap(rng), rng.Uint64()
		report("endpoints turn cold")
		snaps.Go(func() { w.chill(ctx, s, rand.New(rand.NewPCG(seed, 0))) })
	}
}

// chill lets endpoints turn cold with all that comes with it, and returns when that is over.
func (w *world) chill(ctx context.Context, s snap, rng *rand.Rand) {
	from := time.Now()
	w.log.Info("fault", "kind", "endpoints turn cold", "what", s.String())
	var all sync.WaitGroup
	if s.away > 0 {
		w.store.SetFaults(platformtest.Faults{Refuse: rng.IntN(2) == 0, Silent: true})
		all.Go(func() {
			pause.For(ctx, s.away)
			w.store.SetFaults(platformtest.Faults{})
			w.calendar.bear("", from, time.Now())
		})
	}
	for _, b := range s.paused {
		stopped := time.Duration(rng.Int64N(int64(mostPause)))
		all.Go(func() {
			b.signal(syscall.SIGSTOP)
			pause.For(ctx, stopped)
			b.signal(syscall.SIGCONT)
			w.calendar.disturb(b.id, from, time.Now())
		})
	}
	if len(s.killed) > 0 {
		dark := time.Duration(rng.Int64N(int64(mostPause)))
		all.Go(func() { w.killTogether(s.killed, platformtest.Faults{}, dark, 0) })
	}
	for range s.callers {
		caller := w.burstCaller(rng.Uint64())
		all.Go(func() {
			demand, end := context.WithTimeout(ctx, s.demand)
			defer end()
			caller.run(demand)
		})
	}
	for _, e := range s.struck {
		all.Go(func() { w.chillEndpoint(ctx, s, e, &all) })
	}
	all.Wait()
}

// String says what is drawn.
func (s snap) String() string {
	var struck []string
	for _, e := range s.struck {
		struck = append(struck, e.server.ID)
	}
	return fmt.Sprintf("%v restart %v for %v pace %d late %v again %v delay %v fails %v away %v paused %v killed %v callers %d for %v",
		struck, s.restart, s.length, s.pace, s.late, s.again, s.delay, s.fails != nil, s.away, ids(s.paused), ids(s.killed), s.callers, s.demand)
}

// burstCaller returns a caller of a burst.
func (w *world) burstCaller(seed uint64) *caller {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.bursts++
	c := w.newCaller(burstCallers+w.bursts, rand.New(rand.NewPCG(seed, 0)))
	c.pause = burstPause
	return c
}

// chillEndpoint lets one endpoint turn cold, and once more if that is drawn.
func (w *world) chillEndpoint(ctx context.Context, s snap, e *endpoint, all *sync.WaitGroup) {
	from := time.Now()
	turns := []time.Duration{0}
	if s.again > 0 {
		turns = append(turns, s.again)
	}
	if s.delay > 0 {
		e.proxy.SetDelay(s.delay)
		e.proxy.Set(Delay)
		defer func() {
			e.proxy.Set(Pass)
			e.proxy.SetDelay(delayTime)
			w.calendar.bear("", from, time.Now())
		}()
	}
	for _, after := range turns {
		pause.For(ctx, after)
		if s.restart {
			if next := w.restartEndpoint(ctx, e, s.down); next != nil {
				w.calendar.spoil(e.server.ID, from, time.Now())
				e = next
			}
		}
		w.mu.Lock()
		if slices.Contains(w.current, e) {
			w.turnCold(ctx, e, s.length, s.pace, s.late, all)
		}
		w.mu.Unlock()
	}
	if s.fails != nil {
		pause.For(ctx, s.failsAfter)
		e.server.Set(func(b *platformtest.Behavior) { s.fails(b, true) })
		pause.For(ctx, s.failsFor)
		e.server.Set(func(b *platformtest.Behavior) { s.fails(b, false) })
	}
	pause.For(ctx, s.length)
	w.calendar.spoil(e.server.ID, from, time.Now())
}

// span is a request that arrived at a cold endpoint.
type span struct {
	request       string
	sent, arrived time.Time
	unaware       bool // sent before the endpoint turned cold
}

// checkCold counts the requests that were sent and arrived within any second, at endpoints that were cold
// when they arrived.
func (l *ledger) checkCold(c *calendar) {
	c.mu.Lock()
	defer c.mu.Unlock()
	coolings := map[*endpoint][]cooling{}
	for _, cold := range c.coolings {
		coolings[cold.endpoint] = append(coolings[cold.endpoint], cold)
	}
	for e, cold := range coolings {
		most := fullest(spansAt(e, cold), time.Second)
		allowed := coldAllows(cold[0].rate)
		if float64(len(most)) <= allowed {
			continue
		}
		unaware, senders, requests := 0, map[string]bool{}, []string{}
		for _, s := range most {
			if s.unaware {
				unaware++
			}
			l.mu.Lock()
			if r := l.sent[s.request]; r != nil {
				senders[r.balancer] = true
			}
			l.mu.Unlock()
			requests = append(requests, s.request)
		}
		l.broken(FewToCold, e.server.ID, "%d requests in a second from %s, allowed %v; it turned cold at %s, %d were sent before that; by %d balancers: %s",
			len(most), most[0].sent.Format(time.StampMilli), allowed, turned(cold, most[0]), unaware, len(senders), strings.Join(requests, " "))
	}
}

// turned returns when an endpoint turned cold last before a request arrived.
func turned(coolings []cooling, s span) (at string) {
	for _, c := range coolings {
		if !s.arrived.Before(c.from) {
			at = c.from.Format(time.StampMilli)
		}
	}
	return at
}

// spansAt returns the requests that arrived at an endpoint while it was cold.
func spansAt(e *endpoint, coolings []cooling) (spans []span) {
	for _, a := range e.server.Arrivals() {
		i := slices.IndexFunc(coolings, func(c cooling) bool { return !a.At.Before(c.from) && !a.At.After(c.to) })
		if i < 0 {
			continue
		}
		s := span{request: a.Request, sent: a.At, arrived: a.At}
		if e.proxy != nil {
			s.sent = e.proxy.seen.last(a.Request, a.At)
		}
		s.unaware = s.sent.Before(coolings[i].from)
		spans = append(spans, s)
	}
	slices.SortFunc(spans, func(a, b span) int { return a.sent.Compare(b.sent) })
	return spans
}

// fullest returns the most requests that were both sent and arrived within any time of a length. They must
// be sorted by when they were sent.
func fullest(spans []span, length time.Duration) (most []span) {
	for i, first := range spans {
		var within []span
		for _, s := range spans[i:] {
			if s.arrived.Sub(first.sent) < length {
				within = append(within, s)
			}
		}
		if len(within) > len(most) {
			most = within
		}
	}
	return most
}
