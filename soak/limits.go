package soak

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/lotuswing/lotuswing/audit"
	"github.com/lotuswing/lotuswing/coord/window"
	"github.com/lotuswing/lotuswing/internal/pause"
	"github.com/lotuswing/lotuswing/platform/platformtest"
)

// Endpoints name how many requests a second they take from all balancers together, for a while,
// change their word, send something that is none, and name nothing any more. These faults strike
// beside the others, drawn from numbers of their own, so that the plays of seeds without them
// stay what they were.

const (
	// limitedFor is how long an endpoint names limits at most, and limitHolds how long one of
	// them at most.
	limitedFor = 12 * time.Second
	limitHolds = 8 * time.Second
	// mostLimit is the highest limit, in requests a second.
	mostLimit = 6
	// limitKnown is how long after an answer with it a balancer keeps a limit that nothing
	// disturbs.
	limitKnown = 500 * time.Millisecond
)

// limiting is a time in which an endpoint named one limit.
type limiting struct {
	endpoint  *endpoint
	perSecond float64
	from, to  time.Time
}

// strikeLimits lets endpoints name limits at times, a mean gap apart, until ctx ends.
func (w *world) strikeLimits(ctx context.Context, gap time.Duration, rng *rand.Rand, report func(string)) {
	var naming sync.WaitGroup
	defer naming.Wait()
	busy := map[*endpoint]bool{}
	var mu sync.Mutex
	rest := func() { pause.For(ctx, time.Duration(rng.Int64N(int64(2*gap)))) }
	for rest(); ctx.Err() == nil; rest() {
		e := w.drawLimited(rng)
		seed := rng.Uint64()
		mu.Lock()
		taken := busy[e]
		busy[e] = true
		mu.Unlock()
		if taken {
			continue
		}
		report("limit named")
		naming.Go(func() {
			w.nameLimits(ctx, e, rand.New(rand.NewPCG(seed, 0)))
			mu.Lock()
			defer mu.Unlock()
			delete(busy, e)
		})
	}
}

// drawLimited draws an endpoint with numbers of the caller's own.
func (w *world) drawLimited(rng *rand.Rand) *endpoint {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.current[rng.IntN(len(w.current))]
}

// nameLimits has an endpoint name one limit after the other for a while.
func (w *world) nameLimits(ctx context.Context, e *endpoint, rng *rand.Rand) {
	probes := rng.IntN(2) == 0
	end := time.Now().Add(time.Duration(rng.Int64N(int64(limitedFor))))
	for ctx.Err() == nil && time.Now().Before(end) {
		perSecond := float64(rng.IntN(10*mostLimit)) / 10
		e.name(strconv.FormatFloat(perSecond, 'f', -1, 64), probes)
		l := limiting{endpoint: e, perSecond: perSecond, from: time.Now()}
		pause.For(ctx, time.Duration(rng.Int64N(int64(limitHolds))))
		if rng.IntN(4) == 0 { // something that is no limit changes nothing
			e.name([]string{"-1", "many", "1e9", " "}[rng.IntN(4)], probes)
			pause.For(ctx, time.Duration(rng.Int64N(int64(time.Second))))
		}
		l.to = time.Now()
		w.calendar.limit(l)
	}
	e.name("", false)
}

// name sets what the endpoint's answers say of its limit.
func (e *endpoint) name(limit string, probes bool) {
	e.server.Set(func(b *platformtest.Behavior) { b.Limit, b.ProbesNameLimit = limit, probes })
}

// limit notes a time in which an endpoint named one limit.
func (c *calendar) limit(l limiting) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.limitings = append(c.limitings, l)
}

// checkLimits compares what endpoints with a limit ran, of balancers that nothing disturbed since
// it was named, with what they had named.
func (l *ledger) checkLimits(c *calendar) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, named := range c.limitings {
		most, allowed := window.MaxCount(l.ranQuietly(c, named), audit.LimitWindow), audit.LimitAllows(named.perSecond)
		if float64(most) > allowed {
			l.broken(LimitsHold, named.endpoint.server.ID, "%d requests in %v, allowed %v of a limit of %v a second named at %v",
				most, audit.LimitWindow, allowed, named.perSecond, named.from.Format(time.StampMilli))
		}
	}
}

// ranQuietly returns when an endpoint ran what balancers sent that nothing disturbed since it
// named a limit, and that had passed on an answer with it some time before: of an endpoint whose
// answers are lost, or in the name of others, nobody hears of a limit. c.mu is held.
func (l *ledger) ranQuietly(c *calendar, named limiting) []time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	runs := named.endpoint.server.Runs()
	told := l.toldOf(named, runs)
	var ran []time.Time
	for _, run := range runs {
		r := l.sent[run.Request]
		if r == nil || run.At.After(named.to) || !c.quiet(r.balancer, named.from, run.At) {
			continue
		}
		if at, ok := told[r.balancer]; ok && run.At.Sub(at) >= limitKnown {
			ran = append(ran, run.At)
		}
	}
	slices.SortFunc(ran, time.Time.Compare)
	return ran
}

// toldOf returns when balancers first passed on an answer with a limit, by balancer; l.mu is held.
func (l *ledger) toldOf(named limiting, runs []platformtest.Run) map[string]time.Time {
	told := map[string]time.Time{}
	for _, run := range runs {
		r := l.sent[run.Request]
		if r == nil || r.status != http.StatusOK || run.At.Before(named.from) || r.ended.IsZero() {
			continue
		}
		if at, ok := told[r.balancer]; !ok || r.ended.Before(at) {
			told[r.balancer] = r.ended
		}
	}
	return told
}
